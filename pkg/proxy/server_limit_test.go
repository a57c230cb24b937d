package proxy_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/serverlimit"
)

// limitingHandler answers with the given limit and counts the requests.
func limitingHandler(limit string, requests *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if limit != "" {
			w.Header().Set("Limit", limit)
		}
		echoBody(w, r)
	}
}

// forever is a time that no test reaches, on the clock of the proxy.
const forever = int64(time.Hour)

// TestServerWithLimitGetsNothingWithoutShare guards against requests to a server that
// named a limit from a gateway that holds no share of it.
func TestServerWithLimitGetsNothingWithoutShare(t *testing.T) {
	var limited, other atomic.Int64
	p := newLatencyTargetProxy(t, preset.ClassFetch, startServer(t, limitingHandler("3", &limited)), startServer(t, limitingHandler("", &other)))
	for limited.Load() == 0 {
		assert.Equal(t, p.send(t, http.MethodGet, "").StatusCode, http.StatusOK)
	}
	before := other.Load()
	for range 30 {
		assert.Equal(t, p.send(t, http.MethodGet, "").StatusCode, http.StatusOK)
	}
	assert.Equal(t, limited.Load(), int64(1))
	assert.Equal(t, other.Load()-before, int64(30))
}

// TestShareOfLimitIsKept guards against attempts beyond this gateway's share of a
// server's limit, which first requests, retries and hedges draw on alike.
func TestShareOfLimitIsKept(t *testing.T) {
	for _, class := range []preset.Class{preset.ClassFetch, preset.ClassBooking} {
		var requests atomic.Int64
		rejecting := func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			w.Header().Set("Limit", "10")
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		p := newLatencyTargetProxy(t, class, startServer(t, rejecting), startServer(t, rejecting))
		for _, server := range p.servers {
			server.Stats.Gate.RecordNamed(1, 10)
			server.Stats.Gate.Allow(1, serverlimit.Allowance{Limited: true, Limit: 10, Rate: 2, Until: forever})
		}
		began := time.Now()
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for time.Since(began) < time.Second {
					p.send(t, http.MethodPost, "")
				}
			})
		}
		callers.Wait()
		// Two servers, two requests a second each, and two that each gate had collected.
		allowed := 2 * (2*(time.Since(began)+time.Second).Seconds() + 2)
		assert.Assert(t, float64(requests.Load()) <= allowed, "%d requests, %v allowed", requests.Load(), allowed)
		assert.Assert(t, requests.Load() > 0)
	}
}

// TestCallAtLimitsIsRefusedAtOnce guards against a call that is held, or fails with an
// unknown outcome, because all servers are at the limits that they named.
func TestCallAtLimitsIsRefusedAtOnce(t *testing.T) {
	var requests atomic.Int64
	p := newLatencyTargetProxy(t, preset.ClassBooking, startServer(t, limitingHandler("3", &requests)))
	p.servers[0].Stats.Gate.RecordNamed(1, 3)
	began := time.Now()
	response := p.send(t, http.MethodPost, "x")
	assert.Assert(t, time.Since(began) < 200*time.Millisecond)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Outcome"), "not-run")
	assert.Assert(t, response.Header.Get("Again") != "")
	assert.Equal(t, requests.Load(), int64(0))
}

// TestLimitEndsWithLaterAnswerOnly guards against a limit that stays after the server no
// longer names it, and against one that a rejection or an unreadable value ends.
func TestLimitEndsWithLaterAnswerOnly(t *testing.T) {
	var limit atomic.Value
	limit.Store("3")
	var requests atomic.Int64
	p := newLatencyTargetProxy(t, preset.ClassFetch, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		limitingHandler(limit.Load().(string), &requests)(w, r)
	}))
	gate := &p.servers[0].Stats.Gate
	p.send(t, http.MethodGet, "")
	assert.Assert(t, gate.Limited())
	assert.Equal(t, gate.TakeAnswers().Rate, 3.0)
	gate.Allow(1, serverlimit.Allowance{Limited: true, Limit: 3, Rate: 1000, Until: forever})
	time.Sleep(10 * time.Millisecond)
	limit.Store("many")
	p.send(t, http.MethodGet, "")
	assert.Equal(t, gate.TakeAnswers(), serverlimit.Answers{})
	time.Sleep(10 * time.Millisecond)
	limit.Store("")
	p.send(t, http.MethodGet, "")
	answers := gate.TakeAnswers()
	assert.Assert(t, answers.UnnamedAt > answers.UnnamedSentAt && answers.NamedAt == 0)
}
