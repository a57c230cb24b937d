package proxy_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/proxy"
)

// closingServer responds to the first request on each connection. It closes the
// connection without a response after it has read the second.
func closingServer(t testing.TB, runs *atomic.Int64) string {
	return startRawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for first := true; ; first = false {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			runs.Add(1)
			if !first {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
}

// TestTransportDoesNotResendNonIdempotentCalls guards against a second run of a call:
// http.Transport resends certain requests on its own when a reused connection is lost.
func TestTransportDoesNotResendNonIdempotentCalls(t *testing.T) {
	tests := []struct {
		desc, method, path, body string
		headers                  []string
		wantRuns                 int64
	}{
		{"post with key", "POST", "/x", "", []string{"Idempotency-Key", "k"}, 1},
		{"post with key and body", "POST", "/x", "hello", []string{"Idempotency-Key", "k"}, 1},
		{"post with the other key header", "POST", "/x", "", []string{"X-Idempotency-Key", "k"}, 1},
		{"post without key", "POST", "/x", "hello", nil, 1},
		{"put with key in a fetch route", "PUT", "/fetch", "hello", []string{"Idempotency-Key", "k"}, 1},
		{"get in a booking route", "GET", "/x", "", nil, 1},
		{"get with key in a booking route", "GET", "/x", "", []string{"Idempotency-Key", "k"}, 1},
		{"delete in an upload route", "DELETE", "/upload", "", nil, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var runs atomic.Int64
			claims := &fakeClaims{decision: claim.Decision{Kind: claim.Dispatch}, mayDispatch: true}
			guard := &fakeGuard{}
			p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) {
				config.Claims = claims
				config.CrashGuard = guard
			}}, closingServer(t, &runs))
			client := newClient(t, false)
			first := do(t, client, newRequest(t, "POST", p.url+"/x", nil))
			assert.Equal(t, first.status, 200)
			runs.Store(0)
			got := do(t, client, newRequest(t, test.method, p.url+test.path, strings.NewReader(test.body), test.headers...))
			assert.Equal(t, runs.Load(), test.wantRuns)
			// http.Transport must not have tried to resend. Denying the resend is only
			// the second line of defense.
			assert.Equal(t, counter(p, "balsamhill_transport_resends_refused_total"), uint64(0))
			assert.Equal(t, got.status, 502)
			assert.Equal(t, got.header.Get("Balsamhill-Outcome"), "unknown")
			assert.Equal(t, guard.results[len(guard.results)-1], crashguard.ResultConnectionLost)
			for _, result := range claims.results {
				assert.Equal(t, result.Kind, claim.ResultUnknown)
			}
		})
	}
}

// TestFetchIsRetriedAfterConnectionLoss checks that an idempotent call is retried on
// another server.
func TestFetchIsRetriedAfterConnectionLoss(t *testing.T) {
	closing := startRawServer(t, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
	})
	healthy := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Balsamhill-Attempt"))
	})
	p := newTestProxy(t, testConfig{}, closing, healthy)
	got := do(t, newClient(t, false), newRequest(t, "GET", p.url+"/fetch", nil))
	assert.Equal(t, got.body, "2")
}

// TestOutcomeOfRefusedAndFailedCalls checks the status and the outcome that the caller
// receives, and the result that is recorded for the claim.
func TestOutcomeOfRefusedAndFailedCalls(t *testing.T) {
	respondingWith := func(header string, status int) func(t *testing.T) string {
		return func(t *testing.T) string {
			return startServer(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if header != "" {
					w.Header().Set("Balsamhill-Outcome", header)
				}
				w.WriteHeader(status)
			})
		}
	}
	refusingConnections := func(t *testing.T) string { return unusedAddress(t) }
	tests := []struct {
		desc        string
		server      func(t *testing.T) string
		key         string
		verified    bool
		decision    claim.Decision
		mayDispatch bool
		wantStatus  int
		wantOutcome string
		wantReplay  string
		wantResult  []claim.ResultKind
	}{
		{"no connection, no key", refusingConnections, "", false, claim.Decision{}, true, 503, "not-run", "", nil},
		{"no connection, key", refusingConnections, "k", false, claim.Decision{Kind: claim.Dispatch}, true, 503, "not-run", "",
			[]claim.ResultKind{claim.ResultReleased}},
		{"server guarantees not-run", respondingWith("not-run", 503), "k", false, claim.Decision{Kind: claim.Dispatch}, true, 503, "not-run",
			"", []claim.ResultKind{claim.ResultReleased}},
		{"success contradicts the guarantee", respondingWith("not-run", 200), "k", false, claim.Decision{Kind: claim.Dispatch}, true,
			200, "", "", []claim.ResultKind{claim.ResultDone}},
		{"server sheds without guarantee", respondingWith("", 503), "k", false, claim.Decision{Kind: claim.Dispatch}, true, 503,
			"unknown", "", []claim.ResultKind{claim.ResultUnknown}},
		{"server error", respondingWith("", 500), "k", false, claim.Decision{Kind: claim.Dispatch}, true, 500, "unknown", "",
			[]claim.ResultKind{claim.ResultUnknown}},
		{"server error without key", respondingWith("", 500), "", false, claim.Decision{}, true, 500, "unknown", "", nil},
		{"claim too old to dispatch", respondingWith("", 200), "k", false, claim.Decision{Kind: claim.Dispatch}, false, 503,
			"not-run", "", []claim.ResultKind{claim.ResultReleased}},
		{"response", respondingWith("", 201), "k", false, claim.Decision{Kind: claim.Dispatch}, true, 201, "", "",
			[]claim.ResultKind{claim.ResultDone}},
		{"claim refused, verified", respondingWith("", 200), "k", false, claim.Decision{Kind: claim.Refuse, NotRun: true}, true,
			503, "not-run", "", nil},
		{"claim refused", respondingWith("", 200), "k", false, claim.Decision{Kind: claim.Refuse}, true, 503, "unknown", "", nil},
		{"ran", respondingWith("", 200), "k", false, claim.Decision{Kind: claim.Ran}, true, 409, "unknown", "ran", nil},
		{"mismatch", respondingWith("", 200), "k", false, claim.Decision{Kind: claim.Mismatch}, true, 422, "unknown", "", nil},
		{"replay", respondingWith("", 200), "k", false, claim.Decision{Kind: claim.Replay,
			Response: &claim.RecordedResponse{Status: 202, Body: []byte("old")}}, true, 202, "", "answer", nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			claims := &fakeClaims{decision: test.decision, mayDispatch: test.mayDispatch, verified: test.verified}
			p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) { config.Claims = claims }}, test.server(t))
			request := newRequest(t, "POST", p.url+"/x", strings.NewReader("body"))
			if test.key != "" {
				request.Header.Set("Idempotency-Key", test.key)
			}
			got := do(t, newClient(t, false), request)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, test.wantStatus)
			assert.Equal(t, got.header.Get("Balsamhill-Outcome"), test.wantOutcome)
			assert.Equal(t, got.header.Get("Balsamhill-Replay"), test.wantReplay)
			var kinds []claim.ResultKind
			for _, result := range claims.results {
				kinds = append(kinds, result.Kind)
			}
			assert.DeepEqual(t, kinds, test.wantResult)
		})
	}
}

// TestRefusalBeforeTheClaimIsVerified guards against an unproven outcome not-run: a call
// with a key that is refused before its claim may run through another gateway.
func TestRefusalBeforeTheClaimIsVerified(t *testing.T) {
	for _, verified := range []bool{false, true} {
		claims := &fakeClaims{verified: verified}
		p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) { config.Claims = claims }})
		got := do(t, newClient(t, false), newRequest(t, "POST", p.url+"/x", nil, "Idempotency-Key", "k"))
		assert.Equal(t, got.status, 503)
		want := map[bool]string{false: "unknown", true: "not-run"}[verified]
		assert.Equal(t, got.header.Get("Balsamhill-Outcome"), want)
		assert.Equal(t, claims.verifies, 1)
	}
}

// TestKeyedCallRequiresClaims checks that a call with a key is refused without Claims,
// since nothing would keep it from running twice, unless ForwardUnclaimed is set.
func TestKeyedCallRequiresClaims(t *testing.T) {
	var runs atomic.Int64
	server := startServer(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	p := newTestProxy(t, testConfig{}, server)
	got := do(t, newClient(t, false), newRequest(t, "POST", p.url+"/x", nil, "Idempotency-Key", "k"))
	assert.Equal(t, got.status, 503)
	assert.Equal(t, runs.Load(), int64(0))
	p = newTestProxy(t, testConfig{configure: func(config *proxy.Config) { config.ForwardUnclaimed = true }}, server)
	got = do(t, newClient(t, false), newRequest(t, "POST", p.url+"/x", nil, "Idempotency-Key", "k"))
	assert.Equal(t, got.status, 200)
	assert.Equal(t, runs.Load(), int64(1))
}

// TestKeyedCallIsRetriedAfterConnectFailure checks that the claim is used at another
// server, with the complete body: a failure to connect proves that nothing was sent.
func TestKeyedCallIsRetriedAfterConnectFailure(t *testing.T) {
	healthy := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	for _, size := range []int{5, 200_000} {
		claims := &fakeClaims{decision: claim.Decision{Kind: claim.Dispatch}, mayDispatch: true}
		p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) { config.Claims = claims }}, unusedAddress(t), healthy)
		body := strings.Repeat("x", size)
		got := do(t, newClient(t, false), newRequest(t, "POST", p.url+"/x", strings.NewReader(body), "Idempotency-Key", "k"))
		assert.Equal(t, got.status, 200)
		assert.Assert(t, got.body == body)
		assert.Equal(t, len(claims.results), 1)
		assert.Equal(t, claims.results[0].Response != nil, size < claim.MaxResponseBytes)
	}
}

// TestCrashGuardRefusalReachesNoServer checks that a request that the crash guard does
// not admit is refused with the outcome not-run.
func TestCrashGuardRefusalReachesNoServer(t *testing.T) {
	var runs atomic.Int64
	server := startServer(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	for _, admission := range []crashguard.Admission{crashguard.Busy, crashguard.Blocked} {
		guard := &fakeGuard{admission: admission}
		p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) { config.CrashGuard = guard }}, server)
		got := do(t, newClient(t, false), newRequest(t, "POST", p.url+"/x", strings.NewReader("boom")))
		assert.Equal(t, got.status, 503)
		assert.Equal(t, got.header.Get("Balsamhill-Outcome"), "not-run")
		assert.Equal(t, runs.Load(), int64(0))
		assert.Equal(t, len(guard.results), 0)
	}
}

// TestRejectionDoesNotClearSuspicion guards against a request that crashes servers and is not
// held back, because a busy server rejects it now and then without running it.
func TestRejectionDoesNotClearSuspicion(t *testing.T) {
	for _, test := range []struct {
		status  int
		outcome string
		want    crashguard.Result
	}{
		{503, "not-run", crashguard.ResultOther},
		{500, "", crashguard.ResultResponded},
		{200, "", crashguard.ResultResponded},
	} {
		server := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			if test.outcome != "" {
				w.Header().Set("Balsamhill-Outcome", test.outcome)
			}
			w.WriteHeader(test.status)
		})
		guard := &fakeGuard{}
		p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) { config.CrashGuard = guard }}, server)
		do(t, newClient(t, false), newRequest(t, "POST", p.url+"/x", strings.NewReader("b")))
		assert.Equal(t, guard.results[0], test.want, "status %d", test.status)
	}
}

// TestClaimedCallContinuesAfterCallerDisconnects guards against losing the response of
// a run: a caller that disconnects and resends must get it, so a claimed call continues
// without its caller.
func TestClaimedCallContinuesAfterCallerDisconnects(t *testing.T) {
	started, disconnected := make(chan struct{}), make(chan struct{})
	server := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-disconnected
		_, _ = io.WriteString(w, "booked")
	})
	claims := &fakeClaims{decision: claim.Decision{Kind: claim.Dispatch}, mayDispatch: true}
	p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) { config.Claims = claims }}, server)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	request := newRequest(t, "POST", p.url+"/x", strings.NewReader("body"), "Idempotency-Key", "k").WithContext(ctx)
	got := do(t, newClient(t, false), request)
	assert.ErrorIs(t, got.err, context.Canceled)
	waitFor(t, "the gateway detects that the caller left", func() bool { return p.callers.Load() == 0 })
	close(disconnected)
	assert.NilError(t, p.proxy.Wait(t.Context()))
	assert.Equal(t, len(claims.results), 1)
	assert.Equal(t, string(claims.results[0].Response.Body), "booked")
}
