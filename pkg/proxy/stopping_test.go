package proxy_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
)

// TestCallThatOutlivesGatewayIsNotSent guards against a call that is sent to a server although
// the gateway ends before the call must have ended: its connection would be closed while
// the server works on it.
func TestCallThatOutlivesGatewayIsNotSent(t *testing.T) {
	const timeout = 2 * time.Second
	tests := []struct {
		desc string
		// left is how long the gateway still runs once it stops.
		left time.Duration
		// stopsAtFirst says that it stops when the first request reaches a server, which
		// then breaks the connection. Otherwise it has stopped before.
		stopsAtFirst  bool
		path, outcome string
		status        int
		requests      int64
	}{
		{desc: "enough time left", left: 2 * timeout, path: "/x", status: http.StatusOK, requests: 1},
		{desc: "booking", left: timeout / 2, path: "/x", status: http.StatusServiceUnavailable, outcome: "not-run"},
		{desc: "fetch", left: timeout / 2, path: "/fetch", status: http.StatusServiceUnavailable, outcome: "not-run"},
		{desc: "upload", left: timeout / 2, path: "/upload", status: http.StatusServiceUnavailable, outcome: "not-run"},
		{
			desc: "retry", left: timeout / 2, stopsAtFirst: true, path: "/fetch", status: http.StatusBadGateway,
			outcome: "unknown", requests: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var endsAt, requests atomic.Int64
			var now func() int64
			stop := func() { endsAt.Store(now() + int64(test.left)) }
			handler := func(w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				if test.stopsAtFirst {
					stop()
					panic(http.ErrAbortHandler)
				}
			}
			p := newTestProxy(t, testConfig{
				configure: func(config *proxy.Config) { now, config.EndsAt = config.Now, endsAt.Load },
				limits: func(classes map[preset.Class]preset.Limits) {
					allowExtraAttempts(classes)
					for class, limits := range classes {
						limits.TimeoutMillis = timeout.Milliseconds()
						classes[class] = limits
					}
				},
			}, startServer(t, handler), startServer(t, handler))
			if !test.stopsAtFirst {
				stop()
			}
			method, body := http.MethodPost, strings.NewReader("body")
			if test.path == "/fetch" {
				method, body = http.MethodGet, strings.NewReader("")
			}
			got := do(t, newClient(t, false), newRequest(t, method, p.url+test.path, body))
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, test.status, got.body)
			assert.Equal(t, got.header.Get("Balsamhill-Outcome"), test.outcome)
			assert.Equal(t, requests.Load(), test.requests)
		})
	}
}

// failedAttempts records the errors of failed attempts.
type failedAttempts struct {
	refusalRecorder
	errors []error
}

func (f *failedAttempts) AttemptFailed(event proxy.AttemptEvent) {
	f.errors = append(f.errors, event.Err)
}

// TestAttemptDeniedByStopSaysSo guards against a log line of a failed attempt that does not tell a
// gateway that stops from a lost claim.
func TestAttemptDeniedByStopSaysSo(t *testing.T) {
	var endsAt atomic.Int64
	var seen failedAttempts
	var now func() int64
	p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) {
		now, config.EndsAt, config.Observer = config.Now, endsAt.Load, &seen
		config.Transport = transportFunc{config.Transport, func(*http.Request) { endsAt.Store(now() + 1) }}
	}}, startServer(t, func(http.ResponseWriter, *http.Request) {}))
	got := do(t, newClient(t, false), newRequest(t, http.MethodPost, p.url+"/x", strings.NewReader("body")))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(seen.errors), 1)
	assert.ErrorContains(t, seen.errors[0], "the gateway stops")
}
