package edge

import (
	"testing"
	"time"
)

// TestGatewaysFindEachOtherSoonAfterOutage guards against gateways that started while neither a
// seed nor the store answered and stay apart after the outage, because each waits out a
// delay that it drew in it.
func TestGatewaysFindEachOtherSoonAfterOutage(t *testing.T) {
	store := storeWith("a")
	store.setDown(true)
	gateways := []*Edge{startEdge(t, "first", store), startEdge(t, "second", store)}
	time.Sleep(8 * time.Second)
	store.setDown(false)
	eventuallyAll(t, "hears the other", 3*time.Second, gateways, func(e *Edge) bool {
		e.peersMu.Lock()
		defer e.peersMu.Unlock()
		return e.peers.AliveInGroup(e.now()) == 1
	})
}
