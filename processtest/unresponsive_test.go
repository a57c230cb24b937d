package processtest

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
)

// Guards against pooled connections whose state a middlebox has dropped: fetches must
// succeed over new connections, and a booking that is lost must end as unknown.
func TestUnresponsiveServerConnections(t *testing.T) {
	f := startFleet(t)
	server := f.startServer("booking-desk", "khomas")
	proxy := startTCPProxy(t, server.address(t))
	client := httpplatform.New(f.url)
	defer client.Close()
	vms, err := client.ListVMs(context.Background())
	assert.NilError(t, err)
	for _, vm := range vms {
		vm.Address = proxy.address()
		vm.State = platform.VMLive
		assert.NilError(t, client.RegisterVM(context.Background(), vm))
	}
	g := f.startGateway("gw-1", "khomas")
	f.waitForService(g, "booking-desk")
	for range 3 {
		status, _ := get(g.traffic + "/booking-desk/free")
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Assert(t, proxy.blackholeAll() > 0)
	status, body := get(g.traffic + "/booking-desk/free")
	assert.Equal(t, status, http.StatusOK, body)

	assert.Equal(t, book(g.traffic, "key-1").status, http.StatusOK)
	proxy.blackholeAll()
	// The pooled connection delivered a response recently, so the gateway may use it.
	// The outcome must then be unknown.
	response := book(g.traffic, "key-2")
	assert.NilError(t, response.err)
	if response.status != http.StatusOK {
		assert.Equal(t, response.outcome, "unknown", "%+v", response)
	}
	assert.Assert(t, f.runs("key-2") <= 1)
}
