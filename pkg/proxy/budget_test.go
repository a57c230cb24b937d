package proxy_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
)

// useRoute replaces the routes by one whose class alone decides whether calls are
// idempotent.
func useRoute(route routing.Route) func(*proxy.Config) {
	route.Service = serviceName
	route.PathPrefix = "/"
	route.IdempotencyFromClass = true
	return func(config *proxy.Config) {
		config.Routes = routing.NewRouteTable([]routing.Route{route})
	}
}

// TestResetConnectionIsNotResent guards against resends by http.Transport itself,
// which no retry budget limits: a full server that resets its kept-alive connections
// would receive a fetch several times.
func TestResetConnectionIsNotResent(t *testing.T) {
	var requests atomic.Int64
	var full atomic.Bool
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if !full.Load() {
			_, _ = w.Write([]byte("ok"))
			return
		}
		requests.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	})
	p := newTestProxy(t, testConfig{
		configure: useRoute(routing.Route{Class: preset.ClassFetch}),
		limits: func(limits map[preset.Class]preset.Limits) {
			fetch := limits[preset.ClassFetch]
			fetch.RetryPercent, fetch.HedgePercent = 0, 0
			limits[preset.ClassFetch] = fetch
		},
	}, address)
	response, err := http.Get(p.url + "/fetch")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	full.Store(true)
	response, err = http.Get(p.url + "/fetch")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, requests.Load(), int64(1))
}

// TestAttemptLimitOfRoute guards against a hedge, or a retry after the first-byte
// timeout, that runs a call on more servers than its route allows.
func TestAttemptLimitOfRoute(t *testing.T) {
	tests := []struct {
		desc  string
		limit int
		want  int64
	}{
		{"one attempt", 1, 1},
		{"two attempts", 2, 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var requests atomic.Int64
			hang := func(_ http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				<-r.Context().Done()
			}
			p := newTestProxy(t, testConfig{
				configure: useRoute(routing.Route{Class: preset.ClassFetch, MaxAttempts: test.limit}),
				limits: func(limits map[preset.Class]preset.Limits) {
					fetch := limits[preset.ClassFetch]
					fetch.TimeoutMillis = 400
					limits[preset.ClassFetch] = fetch
				},
			}, startServer(t, hang), startServer(t, hang), startServer(t, hang))
			response, err := http.Get(p.url + "/fetch")
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
			assert.Equal(t, requests.Load(), test.want)
		})
	}
}
