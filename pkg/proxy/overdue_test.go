package proxy_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/handoff"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/responsecheck"
)

const (
	// overdueTimeout is the time limit of calls in tests of overdue attempts. The first-byte
	// timeout is half of it.
	overdueTimeout = 2 * time.Second
	// overdueWork is how long the server of the first attempt works: longer than the first-byte
	// timeout, and less than the time limit.
	overdueWork = 1300 * time.Millisecond
)

// overdueTransport responds to the first request after overdueWork, and to each later one with
// next.
type overdueTransport struct {
	requests atomic.Int64
	// brokenOff is set if the first request was canceled while its server was at work.
	brokenOff atomic.Bool
	// atFirst is called when the first request has been sent.
	atFirst func()
	next    func(*http.Request) (*http.Response, error)
}

var _ proxy.ServerTransport = (*overdueTransport)(nil)

func (*overdueTransport) CloseIdle(string) {}

func (o *overdueTransport) RoundTrip(_ string, _ bool, r *http.Request) (*http.Response, error) {
	if o.requests.Add(1) > 1 {
		return o.next(r)
	}
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	o.atFirst()
	select {
	case <-r.Context().Done():
		o.brokenOff.Store(true)
		return nil, r.Context().Err()
	case <-time.After(overdueWork):
		return textResponse(r, http.StatusOK, "first"), nil
	}
}

func textResponse(r *http.Request, status int, text string) *http.Response {
	return &http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Request: r, Header: http.Header{},
		Body: io.NopCloser(strings.NewReader(text)), ContentLength: int64(len(text)),
	}
}

func refuseConnection(*http.Request) (*http.Response, error) {
	return nil, errors.New("connection refused")
}

// connectAndReturn returns a next function whose connection succeeds.
func connectAndReturn(respond func(*http.Request) (*http.Response, error)) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
		if r.Context().Err() != nil {
			return nil, r.Context().Err()
		}
		return respond(r)
	}
}

// TestAttemptIsNotGivenUpForOneThatFails guards against a call that breaks off an attempt at
// which a server is at work, in favor of another one that is not sent or gets no response.
func TestAttemptIsNotGivenUpForOneThatFails(t *testing.T) {
	answer := connectAndReturn(func(r *http.Request) (*http.Response, error) {
		return textResponse(r, http.StatusOK, "second"), nil
	})
	tests := []struct {
		desc string
		next func(*http.Request) (*http.Response, error)
		// stops says that the gateway stops while the first attempt is in flight, and guarded
		// that the crash guard admits no further attempt.
		stops, guarded bool
		// otherGateway is the outcome of another gateway, if the links to all servers are lost
		// while the first attempt is in flight.
		otherGateway handoff.Outcome
		want         string
	}{
		{desc: "gateway stops", next: answer, stops: true, want: "first"},
		{desc: "crash guard denies", next: answer, guarded: true, want: "first"},
		{desc: "no connection", next: refuseConnection, want: "first"},
		{
			desc: "connection lost", want: "first",
			next: connectAndReturn(func(*http.Request) (*http.Response, error) { return nil, io.ErrUnexpectedEOF }),
		},
		{
			desc: "second server sends no valid response", want: "first",
			next: connectAndReturn(func(*http.Request) (*http.Response, error) { return nil, &responsecheck.Error{} }),
		},
		{
			desc: "second server full", want: "first",
			next: connectAndReturn(func(r *http.Request) (*http.Response, error) {
				return textResponse(r, http.StatusServiceUnavailable, "full"), nil
			}),
		},
		{
			desc: "second server silent", want: "first",
			next: connectAndReturn(func(r *http.Request) (*http.Response, error) {
				<-r.Context().Done()
				return nil, r.Context().Err()
			}),
		},
		{desc: "other gateway declines", otherGateway: handoff.Declined, want: "first"},
		{desc: "other gateway refuses", otherGateway: handoff.RefusedUnknown, want: "first"},
		{desc: "second server responds", next: answer, want: "second"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			transport := &overdueTransport{next: test.next}
			guard := &fakeGuard{admission: crashguard.Allowed}
			var endsAt atomic.Int64
			var now func() int64
			p := newHandoffProxy(t, testConfig{
				configure: func(config *proxy.Config) {
					now, config.EndsAt, config.Transport, config.CrashGuard = config.Now, endsAt.Load, transport, guard
				},
				limits: withOverdueTimeout,
			}, "127.0.0.1:1", "127.0.0.1:2")
			transport.atFirst = func() {
				if test.stops {
					endsAt.Store(now() + int64(overdueTimeout)/2)
				}
				if test.guarded {
					guard.deny()
				}
				if test.otherGateway != "" {
					p.handsOffTo(startServer(t, otherGateway(test.otherGateway)))
				}
			}
			got := do(t, newClient(t, false), newRequest(t, http.MethodGet, p.url+"/fetch", nil))
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, got.body, test.want)
			assert.Equal(t, transport.brokenOff.Load(), test.want != "first")
		})
	}
}

// withOverdueTimeout sets overdueTimeout, and allows retries but no hedges.
func withOverdueTimeout(classes map[preset.Class]preset.Limits) {
	for class, limits := range classes {
		limits.TimeoutMillis, limits.RetryPercent, limits.HedgePercent = overdueTimeout.Milliseconds(), 100, 0
		classes[class] = limits
	}
}

// otherGateway refuses all calls that are handed off to it.
func otherGateway(outcome handoff.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(handoff.Header, string(outcome))
		w.WriteHeader(http.StatusBadGateway)
	}
}

// TestRejectionIsKeptWhenNextAttemptIsDenied guards against a server's rejection that is dropped
// for an attempt at another server that is then not sent.
func TestRejectionIsKeptWhenNextAttemptIsDenied(t *testing.T) {
	guard := &fakeGuard{admission: crashguard.Allowed}
	var requests atomic.Int64
	reject := func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		guard.deny()
		w.Header().Set("Balsamhill-Outcome", "not-run")
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	p := newTestProxy(t, testConfig{
		configure: func(config *proxy.Config) { config.CrashGuard = guard }, limits: withOverdueTimeout,
	}, startServer(t, reject), startServer(t, reject))
	got := do(t, newClient(t, false), newRequest(t, http.MethodPost, p.url+"/x", nil))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Retry-After"), "7", got.body)
	assert.Equal(t, got.header.Get("Balsamhill-Outcome"), "not-run")
	assert.Equal(t, requests.Load(), int64(1))
}

// TestSlowHandoffIsLeftToOtherGateway guards against a call that runs on more servers than its route
// allows, because it is handed off again beside another gateway that uses its attempts; and against a
// call that waits for a gateway that is gone.
func TestSlowHandoffIsLeftToOtherGateway(t *testing.T) {
	for lost, want := range map[bool]string{false: "first", true: "second"} {
		t.Run(want, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			p := newHandoffProxy(t, testConfig{limits: withOverdueTimeout}, unusedAddress(t))
			p.handoff.lost.Store(lost)
			other := func(w http.ResponseWriter, r *http.Request) {
				text := "second"
				if requests.Add(1) == 1 {
					text = "first"
					select {
					case <-time.After(overdueWork):
					case <-r.Context().Done():
					}
				}
				w.Header().Set(handoff.Header, string(handoff.Answered))
				_, _ = io.WriteString(w, text)
			}
			p.handsOffTo(startServer(t, other), startServer(t, other))
			got := do(t, newClient(t, false), newRequest(t, http.MethodGet, p.url+"/fetch", nil))
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, got.body, want)
			assert.Equal(t, requests.Load() == 1, !lost)
		})
	}
}
