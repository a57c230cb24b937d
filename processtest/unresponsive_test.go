package processtest

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
)

// Guards against pooled connections that a middlebox has forgotten: fetches are
// answered over new connections, and no booking is swallowed without unknown.
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
	// The pooled connection carried an answer a moment ago, so it may be used; then
	// the caller must be told unknown.
	response := book(g.traffic, "key-2")
	assert.NilError(t, response.err)
	if response.status != http.StatusOK {
		assert.Equal(t, response.outcome, "unknown", "%+v", response)
	}
	assert.Assert(t, f.runs("key-2") <= 1)
}
