package proxy_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/loadreport"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/withdrawal"
)

// headerProtocol is a minimal protocol for tests.
type headerProtocol struct{}

func (headerProtocol) RequestID(header http.Header) string { return header.Get("Id") }
func (headerProtocol) SetRequestID(header http.Header, id string) {
	header.Set("Id", id)
}
func (headerProtocol) TimeoutMillis(header http.Header) string { return header.Get("Wait") }
func (headerProtocol) SetRequestHeader(header http.Header, dispatch proxy.Dispatch) {
	header.Set("To", dispatch.ServerID)
}
func (headerProtocol) ClassifyResponse(response *http.Response, dispatch proxy.Dispatch) proxy.ResponseKind {
	switch {
	case response.Header.Get("Id") != dispatch.RequestID:
		return proxy.ResponseMismatched
	case response.StatusCode == http.StatusMisdirectedRequest:
		return proxy.ResponseWrongServer
	case response.Header.Get("Not-Run") != "":
		return proxy.ResponseNotRun
	case response.StatusCode == http.StatusServiceUnavailable:
		return proxy.ResponseUnconfirmed
	}
	return proxy.ResponseFinal
}
func (headerProtocol) LoadReport(http.Header) (loadreport.Report, bool) {
	return loadreport.Report{}, false
}
func (headerProtocol) ServerLimit(header http.Header) proxy.ServerLimit {
	text := header.Get("Limit")
	rate, err := strconv.ParseFloat(text, 64)
	switch {
	case text == "":
		return proxy.ServerLimit{}
	case err != nil:
		return proxy.ServerLimit{Kind: proxy.LimitUnreadable}
	}
	return proxy.ServerLimit{Kind: proxy.LimitNamed, Rate: rate}
}
func (headerProtocol) Withdrawal(response *http.Response) proxy.Withdrawal {
	said := proxy.Withdrawal{ServerID: response.Header.Get("From"), Leaving: response.Header.Get("Leaving") == "1"}
	if response.StatusCode == http.StatusServiceUnavailable {
		pause, ok := withdrawal.ParseRetryAfter(response.Header)
		said.Pause, said.Unreadable = pause, !ok
	}
	return said
}
func (headerProtocol) IsInternal(string) bool { return false }
func (headerProtocol) Refuse(w http.ResponseWriter, refusal proxy.Refusal) {
	w.Header().Set("Outcome", string(refusal.Outcome))
	if refusal.RetryAfter > 0 {
		w.Header().Set("Again", refusal.RetryAfter.String())
	}
	w.WriteHeader(refusal.Status)
}

// newLatencyTargetProxy returns a proxy with headerProtocol whose route has a
// latency target.
func newLatencyTargetProxy(t *testing.T, class preset.Class, addresses ...string) *testProxy {
	t.Helper()
	return newObservedProxy(t, class, nil, addresses...)
}

// newObservedProxy is newLatencyTargetProxy with an observer.
func newObservedProxy(t *testing.T, class preset.Class, observer proxy.Observer, addresses ...string) *testProxy {
	t.Helper()
	route := useRoute(routing.Route{Class: class, LatencyTarget: 400 * time.Millisecond, MaxAttempts: 2})
	return newTestProxy(t, testConfig{
		tuning: preset.Tuning{Policy: preset.PolicyLeastExpectedLatency, QueueFactor: 100, QueueMillis: 100},
		configure: func(config *proxy.Config) {
			route(config)
			config.Protocol = headerProtocol{}
			config.ResponseBufferBytes = 64 << 10
			config.TimeoutIncludesBody = true
			config.ReplayBodyBytes = 1 << 20
			config.ReplaceRejections = true
			config.RetryBase = func() float64 { return 5 }
			config.Observer = observer
		},
		limits: func(limits map[preset.Class]preset.Limits) {
			for class, l := range limits {
				l.RetryPercent, l.TimeoutMillis, l.RetryErrors = 20, 1000, true
				if class == preset.ClassFetch {
					l.HedgePercent = 15
				}
				limits[class] = l
			}
		},
	}, addresses...)
}

func (p *testProxy) send(t *testing.T, method, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, p.url+"/a", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Id", "7")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	response.Body = io.NopCloser(strings.NewReader(string(data)))
	return response
}

func echoBody(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = w.Write(body)
}

// TestCallsAreRefusedWhenServersAreFull guards against calls that pile up in the
// queues of full servers, which prolongs an overload. They must be refused early,
// with the outcome not-run and a Retry-After time.
func TestCallsAreRefusedWhenServersAreFull(t *testing.T) {
	var requests atomic.Int64
	p := newLatencyTargetProxy(t, preset.ClassBooking, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		echoBody(w, r)
	}))
	// A report from the far future does not age during the test.
	p.servers[0].Stats.Report(1<<62, 40)
	started := time.Now()
	response := p.send(t, http.MethodPost, "x")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Outcome"), string(proxy.NotRun))
	assert.Assert(t, response.Header.Get("Again") != "")
	assert.Equal(t, requests.Load(), int64(0))
	assert.Assert(t, time.Since(started) < 400*time.Millisecond)
}

// TestRetryAfter guards against a Retry-After time of 200 ms, which can be the whole
// latency target, after servers with free slots have rejected a call at random.
func TestRetryAfter(t *testing.T) {
	reject := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	tests := []struct {
		desc     string
		inFlight int64
		want     string
	}{
		{"servers reject the call but have free slots", 0, "10ms"},
		{"servers are full", 40, "200ms"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			p := newLatencyTargetProxy(t, preset.ClassBooking, startServer(t, reject))
			p.servers[0].Stats.Report(1<<62, test.inFlight)
			response := p.send(t, http.MethodPost, "x")
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, response.Header.Get("Outcome"), string(proxy.NotRun))
			assert.Equal(t, response.Header.Get("Again"), test.want)
		})
	}
}

// TestCallWaitsForFreeSlot guards against a call that is refused, or queued at a
// server, although a slot becomes free shortly after.
func TestCallWaitsForFreeSlot(t *testing.T) {
	p := newLatencyTargetProxy(t, preset.ClassBooking, startServer(t, echoBody))
	p.servers[0].Stats.Report(1<<62, 40)
	time.AfterFunc(15*time.Millisecond, func() { p.servers[0].Stats.Report(1<<62, 0) })
	response := p.send(t, http.MethodPost, "x")
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// TestUploadIsRetriedAfterRejection guards against an upload that is lost because a
// full server had read a part of it, and against one that arrives incomplete at the
// second server.
func TestUploadIsRetriedAfterRejection(t *testing.T) {
	body := strings.Repeat("0123456789", 20_000)
	reject := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, 50_000)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	p := newLatencyTargetProxy(t, preset.ClassUpload, startServer(t, reject), startServer(t, echoBody))
	// The policy prefers the server that rejects.
	p.servers[1].NetworkLatency = int64(time.Second)
	response := p.send(t, http.MethodPost, body)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, string(data) == body, "%d bytes of %d", len(data), len(body))
}

// TestUnconfirmed503HasUnknownOutcome guards against forwarding a 503 of a server
// that does not guarantee that the call did not run: callers conclude from the status
// that it did not.
func TestUnconfirmed503HasUnknownOutcome(t *testing.T) {
	p := newLatencyTargetProxy(t, preset.ClassBooking, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	response := p.send(t, http.MethodPost, "x")
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get("Outcome"), string(proxy.Unknown))
}

// TestMismatchedResponseIsNotForwarded guards against a server that sends the
// response of another request.
func TestMismatchedResponseIsNotForwarded(t *testing.T) {
	mismatched := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "other")
		_, _ = w.Write([]byte("secret"))
	}
	t.Run("non-idempotent", func(t *testing.T) {
		p := newLatencyTargetProxy(t, preset.ClassBooking, startServer(t, mismatched))
		response := p.send(t, http.MethodPost, "x")
		assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	})
	t.Run("idempotent", func(t *testing.T) {
		p := newLatencyTargetProxy(t, preset.ClassFetch, startServer(t, mismatched), startServer(t, echoBody))
		p.servers[1].NetworkLatency = int64(time.Second)
		response := p.send(t, http.MethodGet, "")
		assert.Equal(t, response.StatusCode, http.StatusOK)
	})
}

// TestTruncatedResponseIsRetried guards against a truncated response that reaches
// the caller although another server could send a complete one.
func TestTruncatedResponseIsRetried(t *testing.T) {
	truncated := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("short"))
	}
	p := newLatencyTargetProxy(t, preset.ClassFetch, startServer(t, truncated), startServer(t, echoBody))
	p.servers[1].NetworkLatency = int64(time.Second)
	response := p.send(t, http.MethodGet, "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// TestSlowedServerIsHedged guards against a fetch that stays with a server that
// became slow while processing it, although another one can still respond in time.
func TestSlowedServerIsHedged(t *testing.T) {
	var slow atomic.Bool
	first := func(w http.ResponseWriter, r *http.Request) {
		if slow.Load() {
			select {
			case <-time.After(2 * time.Second):
			case <-r.Context().Done():
				return
			}
		}
		time.Sleep(60 * time.Millisecond)
		echoBody(w, r)
	}
	p := newLatencyTargetProxy(t, preset.ClassFetch, startServer(t, first), startServer(t, echoBody))
	p.servers[1].NetworkLatency = int64(200 * time.Millisecond)
	for _, server := range p.servers {
		server.Stats.Report(1<<62, 0)
		server.Stats.ReportSlowdown(1000)
	}
	for range 15 {
		p.send(t, http.MethodGet, "")
	}
	slow.Store(true)
	time.AfterFunc(20*time.Millisecond, func() {
		p.servers[0].Stats.Report(1<<62, 1)
		p.servers[0].Stats.ReportSlowdown(70_000)
	})
	started := time.Now()
	response := p.send(t, http.MethodGet, "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, time.Since(started) < 400*time.Millisecond, "took %s", time.Since(started))
}

// truncationRecorder records the responses that an observer receives as truncated.
type truncationRecorder struct {
	refusalRecorder
	truncated chan error
}

func (r *truncationRecorder) CallTruncated(_ proxy.CallEvent, cause error) { r.truncated <- cause }

// TestBodyWithoutEndIsCutAtTimeout guards against a call that lasts longer than its route's
// timeout because the server goes on sending.
func TestBodyWithoutEndIsCutAtTimeout(t *testing.T) {
	const timeout = time.Second
	closed := make(chan struct{})
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		defer close(closed)
		w.Header().Set("Id", r.Header.Get("Id"))
		block := make([]byte, 16<<10)
		for r.Context().Err() == nil {
			_, _ = w.Write(block)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	})
	observer := &truncationRecorder{truncated: make(chan error, 1)}
	p := newObservedProxy(t, preset.ClassFetch, observer, server)
	request, err := http.NewRequest(http.MethodGet, p.url+"/a", nil)
	assert.NilError(t, err)
	request.Header.Set("Id", "7")
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, time.Since(began) < timeout+500*time.Millisecond, "cut after %s", time.Since(began))
	<-closed
	assert.ErrorContains(t, <-observer.truncated, "time for the attempt ended")
}
