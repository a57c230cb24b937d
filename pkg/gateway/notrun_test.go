package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/platform/standin"
)

// TestNotRunWithGatewayStartedSince guards against a false not-run: a gateway that is
// cut off from the store has no row of a gateway that started later and ran the call.
func TestNotRunWithGatewayStartedSince(t *testing.T) {
	store := httptest.NewServer(standin.New())
	t.Cleanup(store.Close)
	client := httpplatform.New(store.URL)
	t.Cleanup(client.Close)
	useOrdinaryPreset(t, client)
	startStandinServer(t, client, "desk-1", "booking-desk", "khomas", nil)
	l := &regionLink{}
	older := newRegionGateway(t, "gw-1", "khomas", newCuttablePlatform(t, store.URL, l))
	startGateway(t, older)
	// Otherwise the shutdown would wait until the results are written to the store.
	t.Cleanup(func() { l.setCut(false) })
	callSucceeds := func(g *Gateway) func() bool {
		return func() bool {
			status, _, _ := callGateway(t, g, http.MethodGet, "/booking-desk/ready", "")
			return status == http.StatusOK
		}
	}
	waitUntil(t, "service served", callSucceeds(older))
	waitUntil(t, "digest read", func() bool { return scrape(t, older)["balsamhill_claim_feed_reads_total"] >= 1 })
	// The older gateway is cut off from the store.
	l.setCut(true)
	fresh := newRegionGateway(t, "gw-2", "khomas", client)
	startGateway(t, fresh)
	waitUntil(t, "service served by the new gateway", callSucceeds(fresh))
	waitUntil(t, "new gateway ready", func() bool { return fresh.notReadyReason() == "" })
	status, _, body := callGateway(t, fresh, http.MethodPost, "/booking-desk/book", "key-1")
	assert.Equal(t, status, http.StatusOK, body)
	status, outcome, body := callGateway(t, older, http.MethodPost, "/booking-desk/book", "key-1")
	assert.Equal(t, status, http.StatusServiceUnavailable, body)
	assert.Equal(t, outcome, "unknown", body)
}
