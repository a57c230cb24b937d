package proxy_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
)

// TestCallsOverLimitAreRefused guards against calls over the limit that are refused
// without a guaranteed outcome, and against a call that ends without admitting the
// next one.
func TestCallsOverLimitAreRefused(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	server := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			close(started)
			<-release
		}
	})
	claims := &fakeClaims{decision: claim.Decision{Kind: claim.Dispatch}, mayDispatch: true}
	// 4 slots × 0.25: one call at a time.
	p := newTestProxy(t, testConfig{tuning: preset.Tuning{Policy: preset.PolicyRandom, QueueFactor: 0.25, QueueMillis: 20},
		configure: func(config *proxy.Config) { config.Claims = claims }}, server)
	client := newClient(t, false)
	held := make(chan result)
	go func() { held <- do(t, client, newRequest(t, "POST", p.url+"/hold", nil)) }()
	<-started
	got := do(t, client, newRequest(t, "POST", p.url+"/x", nil))
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.header.Get("Balsamhill-Outcome"), "not-run")
	got = do(t, client, newRequest(t, "POST", p.url+"/x", nil, "Idempotency-Key", "k"))
	assert.Equal(t, got.header.Get("Balsamhill-Outcome"), "unknown")
	assert.Equal(t, claims.verifies, 1)
	assert.Equal(t, len(claims.calls), 0)
	close(release)
	assert.Equal(t, (<-held).status, 200)
	assert.NilError(t, p.proxy.Wait(t.Context()))
	got = do(t, client, newRequest(t, "POST", p.url+"/x", nil))
	assert.Equal(t, got.status, 200)
}

// TestCallerDeadlineIsEnforced guards against a call that waits for the response, or
// whose request stays open at the server, beyond the caller's deadline.
func TestCallerDeadlineIsEnforced(t *testing.T) {
	ended := make(chan struct{}, 2)
	server := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended <- struct{}{}
	})
	p := newTestProxy(t, testConfig{}, server)
	for _, method := range []string{"GET", "POST"} {
		got := do(t, newClient(t, false), newRequest(t, method, p.url+"/fetch", nil, "X-Request-Timeout-Ms", "50"))
		assert.Equal(t, got.status, 504)
		assert.Equal(t, got.header.Get("Balsamhill-Outcome"), "unknown")
		<-ended
	}
}
