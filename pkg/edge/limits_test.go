package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/serverlimit"
)

// share returns what a gateway may send to a server, in requests per second, and whether
// it knows of a limit.
func (e *Edge) share(id string) (rate float64, limited bool) {
	indexed := e.indexed.Load()
	e.serverLimits.mu.Lock()
	defer e.serverLimits.mu.Unlock()
	for _, allowance := range e.serverLimits.book.Allowances(e.now()) {
		if server := indexed.byKey[allowance.Server]; server != nil && server.ID == id {
			return allowance.Rate, allowance.Limited
		}
	}
	return 0, false
}

// TestLimitReachesAllGateways guards against a limit that only the gateway knows to which
// the server named it, against shares that exceed it, and against a limit that stays at
// some gateways after its end.
func TestLimitReachesAllGateways(t *testing.T) {
	const limit = 4.0
	store := storeWith("a")
	first := startEdge(t, "first", store)
	gateways := []*Edge{
		first,
		startEdge(t, "second", store, first.settings.BootstrapAddress),
		startEdgeIn(t, "third", "other", "far", store, first.settings.BootstrapAddress),
	}
	for _, e := range gateways {
		eventually(t, e.settings.ID+" has the server", 5*time.Second, func() bool { return e.hasServer("a") })
	}
	first.server("a").Stats.Gate.RecordNamed(first.now(), limit)
	gateways = append(gateways, startEdge(t, "fourth", store, first.settings.BootstrapAddress))
	for _, e := range gateways {
		eventually(t, e.settings.ID+" knows the limit", 5*time.Second, func() bool {
			return e.hasServer("a") && e.server("a").Stats.Gate.Limited()
		})
	}
	sum := func() float64 {
		total := 0.0
		for _, e := range gateways {
			rate, _ := e.share("a")
			total += rate
		}
		return total
	}
	eventually(t, "shares are granted", 5*time.Second, func() bool { return sum() >= 0.8*limit*(1-serverlimit.ProbeShare) })
	assert.Assert(t, sum() <= limit)
	rate, _ := gateways[2].share("a")
	assert.Equal(t, rate, 0.0)
	first.server("a").Stats.Gate.RecordUnnamed(first.now()+1, first.now()+1)
	for _, e := range gateways {
		eventually(t, e.settings.ID+" knows the end of the limit", 5*time.Second, func() bool {
			return !e.server("a").Stats.Gate.Limited()
		})
	}
}
