package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/loadreport"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
)

// headerDialect is a small dialect for tests.
type headerDialect struct{}

func (headerDialect) RequestID(header http.Header) string { return header.Get("Id") }
func (headerDialect) SetRequestID(header http.Header, id string) {
	header.Set("Id", id)
}
func (headerDialect) TimeoutMillis(header http.Header) string { return header.Get("Wait") }
func (headerDialect) SetRequestHeader(header http.Header, dispatch proxy.Dispatch) {
	header.Set("To", dispatch.ServerID)
}
func (headerDialect) ClassifyResponse(response *http.Response, dispatch proxy.Dispatch) proxy.ResponseKind {
	switch {
	case response.Header.Get("Id") != dispatch.RequestID:
		return proxy.ResponseMismatched
	case response.Header.Get("Not-Run") != "":
		return proxy.ResponseNotRun
	case response.StatusCode == http.StatusServiceUnavailable:
		return proxy.ResponseUnconfirmed
	}
	return proxy.ResponseFinal
}
func (headerDialect) Load(http.Header) (loadreport.Report, bool) { return loadreport.Report{}, false }
func (headerDialect) IsInternal(string) bool                     { return false }
func (headerDialect) Refuse(w http.ResponseWriter, refusal proxy.Refusal) {
	w.Header().Set("Outcome", string(refusal.Outcome))
	if refusal.RetryAfter > 0 {
		w.Header().Set("Again", refusal.RetryAfter.String())
	}
	w.WriteHeader(refusal.Status)
}

// pacedBench is a bench whose route has a target and whose dialect is
// headerDialect.
func pacedBench(t *testing.T, class preset.Class, addresses ...string) *bench {
	t.Helper()
	return observedBench(t, class, nil, addresses...)
}

// observedBench is a pacedBench with an observer.
func observedBench(t *testing.T, class preset.Class, observer proxy.Observer, addresses ...string) *bench {
	t.Helper()
	route := routesOf(routing.Route{Class: class, LatencyTarget: 400 * time.Millisecond, MaxAttempts: 2})
	return newBench(t, setup{
		tuning: preset.Tuning{Policy: preset.PolicyLeastExpectedLatency, QueueFactor: 100, QueueMillis: 100},
		adjust: func(config *proxy.Config) {
			route(config)
			config.Protocol = headerDialect{}
			config.ResponseBufferBytes = 64 << 10
			config.ReplayBodyBytes = 1 << 20
			config.ReplaceRefusals = true
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

func (b *bench) send(t *testing.T, method, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, b.url+"/a", strings.NewReader(body))
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

func answer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = w.Write(body)
}

// TestFullServersRefuseAtOnce guards against calls that pile up in the queues of
// servers that are full: they are refused soon, as not run and with a time to
// come back. On an overloaded day the queues kept the overload alive.
func TestFullServersRefuseAtOnce(t *testing.T) {
	var arrivals atomic.Int64
	b := pacedBench(t, preset.ClassBooking, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		answer(w, r)
	}))
	b.servers[0].Stats.Report(1<<62, 40)
	began := time.Now()
	response := b.send(t, http.MethodPost, "x")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Outcome"), string(proxy.NotRun))
	assert.Assert(t, response.Header.Get("Again") != "")
	assert.Equal(t, arrivals.Load(), int64(0))
	assert.Assert(t, time.Since(began) < 400*time.Millisecond)
}

// TestComeBackTime guards against callers that are told to wait, and so come back
// too late, although nothing has to pass first: servers that refused calls at
// random while they had free slots cost each caller 200 ms of a target of 200 ms.
func TestComeBackTime(t *testing.T) {
	refuse := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	tests := []struct {
		desc     string
		inFlight int64
		want     string
	}{
		{"servers refuse but have free slots", 0, "10ms"},
		{"servers are full", 40, "200ms"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := pacedBench(t, preset.ClassBooking, startServer(t, refuse))
			b.servers[0].Stats.Report(1<<62, test.inFlight)
			response := b.send(t, http.MethodPost, "x")
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, response.Header.Get("Outcome"), string(proxy.NotRun))
			assert.Equal(t, response.Header.Get("Again"), test.want)
		})
	}
}

// TestCallWaitsForFreeSlot guards against a call that is refused, or queued at a
// server, although a slot becomes free in a moment.
func TestCallWaitsForFreeSlot(t *testing.T) {
	b := pacedBench(t, preset.ClassBooking, startServer(t, answer))
	b.servers[0].Stats.Report(1<<62, 40)
	time.AfterFunc(15*time.Millisecond, func() { b.servers[0].Stats.Report(1<<62, 0) })
	response := b.send(t, http.MethodPost, "x")
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// TestUploadIsSentAgainAfterRefusal guards against an upload that is lost because
// a server that was full had read a part of it, and against one that arrives
// incomplete at the second server.
func TestUploadIsSentAgainAfterRefusal(t *testing.T) {
	body := strings.Repeat("0123456789", 20_000)
	refuse := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, 50_000)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	b := pacedBench(t, preset.ClassUpload, startServer(t, refuse), startServer(t, answer))
	// The policy prefers the server that refuses.
	b.servers[1].Penalty = int64(time.Second)
	response := b.send(t, http.MethodPost, body)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, string(data) == body, "%d bytes of %d", len(data), len(body))
}

// TestUnvouchedRefusalIsNoPromise guards against a 503 of a server that does not
// guarantee that the call did not run: passing it on would promise so.
func TestUnvouchedRefusalIsNoPromise(t *testing.T) {
	b := pacedBench(t, preset.ClassBooking, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	response := b.send(t, http.MethodPost, "x")
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get("Outcome"), string(proxy.Unknown))
}

// TestForeignAnswerReachesNobody guards against an answer to another request that
// a server sends where this one's is due.
func TestForeignAnswerReachesNobody(t *testing.T) {
	foreign := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "other")
		_, _ = w.Write([]byte("secret"))
	}
	t.Run("non-idempotent", func(t *testing.T) {
		b := pacedBench(t, preset.ClassBooking, startServer(t, foreign))
		response := b.send(t, http.MethodPost, "x")
		assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	})
	t.Run("idempotent", func(t *testing.T) {
		b := pacedBench(t, preset.ClassFetch, startServer(t, foreign), startServer(t, answer))
		b.servers[1].Penalty = int64(time.Second)
		response := b.send(t, http.MethodGet, "")
		assert.Equal(t, response.StatusCode, http.StatusOK)
	})
}

// TestTruncatedAnswerIsTriedAgain guards against a short answer that reaches the
// caller although another server could give the whole one.
func TestTruncatedAnswerIsTriedAgain(t *testing.T) {
	truncated := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("short"))
	}
	b := pacedBench(t, preset.ClassFetch, startServer(t, truncated), startServer(t, answer))
	b.servers[1].Penalty = int64(time.Second)
	response := b.send(t, http.MethodGet, "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// TestSlowedServerIsHedged guards against a fetch that stays with a server that
// became slow while it works, although another one can still answer in time.
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
		answer(w, r)
	}
	b := pacedBench(t, preset.ClassFetch, startServer(t, first), startServer(t, answer))
	b.servers[1].Penalty = int64(200 * time.Millisecond)
	for _, server := range b.servers {
		server.Stats.Report(1<<62, 0)
		server.Stats.ReportSlowdown(1000)
	}
	for range 15 {
		b.send(t, http.MethodGet, "")
	}
	slow.Store(true)
	time.AfterFunc(20*time.Millisecond, func() {
		b.servers[0].Stats.Report(1<<62, 1)
		b.servers[0].Stats.ReportSlowdown(70_000)
	})
	began := time.Now()
	response := b.send(t, http.MethodGet, "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, time.Since(began) < 400*time.Millisecond, "took %s", time.Since(began))
}
