package proxy_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/proxy"
	"balsamhill/pkg/serverconn"
)

// TestOwnLimitIsNoFailureOfServer guards against servers that are ejected because this gateway may not
// open another connection, and against a refusal that does not say that the call did not run.
func TestOwnLimitIsNoFailureOfServer(t *testing.T) {
	p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) {
		config.Transport = serverconn.NewShared(serverconn.SharedConfig{
			Dial: serverconn.LimitDial(serverconn.Dial, 0), Connections: 4,
		})
	}}, "127.0.0.1:1", "127.0.0.1:2")
	got := do(t, newClient(t, false), newRequest(t, http.MethodPost, p.url+"/x", nil))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Equal(t, got.header.Get("Balsamhill-Outcome"), "not-run")
	for _, server := range p.servers {
		assert.Equal(t, server.Stats.Failures.Load(), uint64(0))
	}
}
