package gateway

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/platform/standin"
)

// TestNotReadyWithoutVMList guards against a gateway that reports ready before it has
// read the list of servers and would refuse every call with 503.
func TestNotReadyWithoutVMList(t *testing.T) {
	platformStandin := standin.New()
	platformStandin.SetFaults(platform.Faults{ListDown: true})
	store := httptest.NewServer(platformStandin)
	t.Cleanup(store.Close)
	client := httpplatform.New(store.URL)
	t.Cleanup(client.Close)
	useOrdinaryPreset(t, client)
	g := newRegionGateway(t, "gw-1", "khomas", client)
	startGateway(t, g)
	waitUntil(t, "preset in force", func() bool { return g.snapshot.Load() != nil })
	assert.Equal(t, g.notReadyReason(), "the platform's list of VMs was not read yet, so no server is known")
	platformStandin.SetFaults(platform.Faults{})
	waitUntil(t, "ready", func() bool { return g.notReadyReason() == "" })
}

// TestNotReadyBeforeServerIsKnown guards against a gateway that reports ready when its published
// snapshot has no server yet, so that the first calls get 503.
func TestNotReadyBeforeServerIsKnown(t *testing.T) {
	store := httptest.NewServer(standin.New())
	t.Cleanup(store.Close)
	client := httpplatform.New(store.URL)
	t.Cleanup(client.Close)
	useOrdinaryPreset(t, client)
	g := newRegionGateway(t, "gw-1", "khomas", client)
	startGateway(t, g)
	waitUntil(t, "preset in force and list read", func() bool { return g.snapshot.Load() != nil && g.listRead.Load() })
	assert.Equal(t, g.notReadyReason(), "no server that may get calls is known yet")
	startStandinServer(t, client, "booking-1", "booking-desk", "khomas", nil)
	waitUntil(t, "ready", func() bool { return g.notReadyReason() == "" })
	assert.Assert(t, g.snapshot.Load().HasServer())
}
