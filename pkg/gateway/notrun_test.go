package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/platform/standin"
)

// Guards against a false not-run by a gateway that does not know of another one
// which was started since it last read the gateway rows, and which ran the call.
func TestNotRunWithGatewayStartedSince(t *testing.T) {
	store := httptest.NewServer(standin.New())
	t.Cleanup(store.Close)
	client := httpplatform.New(store.URL)
	t.Cleanup(client.Close)
	putPresetInForce(t, client)
	startStandinServer(t, client, "desk-1", "booking-desk", "khomas", nil)
	l := &link{}
	old := regionGateway(t, "gw-1", "khomas", linkedPlatform(t, store.URL, l))
	startGateway(t, old)
	// The shutdown would wait for the store to learn the results.
	t.Cleanup(func() { l.setCut(false) })
	served := func(g *Gateway) func() bool {
		return func() bool {
			status, _, _ := callGateway(t, g, http.MethodGet, "/booking-desk/ready", "")
			return status == http.StatusOK
		}
	}
	waitUntil(t, "service served", served(old))
	waitUntil(t, "digest read", func() bool { return scrape(t, old)["balsamhill_claim_feed_reads_total"] >= 1 })
	// The older gateway is cut off from the store.
	l.setCut(true)
	fresh := regionGateway(t, "gw-2", "khomas", client)
	startGateway(t, fresh)
	waitUntil(t, "service served by the new gateway", served(fresh))
	waitUntil(t, "new gateway ready", func() bool { return fresh.notReady() == "" })
	status, _, body := callGateway(t, fresh, http.MethodPost, "/booking-desk/book", "key-1")
	assert.Equal(t, status, http.StatusOK, body)
	status, outcome, body := callGateway(t, old, http.MethodPost, "/booking-desk/book", "key-1")
	assert.Equal(t, status, http.StatusServiceUnavailable, body)
	assert.Equal(t, outcome, "unknown", body)
}
