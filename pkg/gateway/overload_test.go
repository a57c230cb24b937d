package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/serverstandin"
	"balsamhill/pkg/settings"
)

// scrape returns the values of /metrics by name, with labels.
func scrape(t *testing.T, g *Gateway) map[string]float64 {
	t.Helper()
	response, err := http.Get("http://" + g.AdminAddress() + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	values := make(map[string]float64)
	for line := range strings.Lines(string(body)) {
		name, value, found := strings.Cut(strings.TrimSpace(line), " ")
		number, err := strconv.ParseFloat(value, 64)
		if found && err == nil {
			values[name] = number
		}
	}
	return values
}

// extraAttempts are the retries and hedges of a service.
type extraAttempts struct {
	retries, hedges float64
}

func scrapeExtraAttempts(t *testing.T, g *Gateway) extraAttempts {
	values := scrape(t, g)
	return extraAttempts{
		retries: values[`balsamhill_retries_total{service="booking-desk"}`],
		hedges:  values[`balsamhill_hedges_total{service="booking-desk"}`],
	}
}

// checkBudget compares extra attempts to the budget of the class fetch: a percentage of
// the calls, plus one retry in each window regardless of the traffic.
func checkBudget(t *testing.T, extra extraAttempts, calls float64, took time.Duration) {
	t.Helper()
	limits := preset.Default("x", preset.KindOrdinary).Classes[preset.ClassFetch]
	windows := float64(took/(retry.WindowNanos*time.Nanosecond) + 1)
	assert.Assert(t, extra.retries <= calls*limits.RetryPercent/100+windows, "%+v of %g calls", extra, calls)
	assert.Assert(t, extra.hedges <= calls*limits.HedgePercent/100, "%+v of %g calls", extra, calls)
}

// TestRecoversFromOverload guards against retry storms and against an overload that
// continues after its cause has ended: 96 callers send to servers that run 8 calls at a
// time and shed the rest. Retries and hedges must stay within the budget, so that the
// servers receive no more attempts than the calls and the budget allow, and once the
// callers stop, calls must succeed at once.
func TestRecoversFromOverload(t *testing.T) {
	const callers, callsEach = 96, 25
	g, client := newTestGateway(t)
	useOrdinaryPreset(t, client)
	for _, id := range []string{"desk-1", "desk-2"} {
		startStandinServer(t, client, id, "booking-desk", "khomas", func(c *serverstandin.Config) {
			c.ServiceTime = 20 * time.Millisecond
			c.QueueLimit = 2
		})
	}
	startGateway(t, g)
	callSucceeds := func() bool {
		status, _, _ := callGateway(t, g, http.MethodGet, "/booking-desk/free", "")
		return status == http.StatusOK
	}
	waitUntil(t, "service served", callSucceeds)

	before, started := scrapeExtraAttempts(t, g), time.Now()
	var succeeded, refused, other atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range callsEach {
				status, _, _ := callGateway(t, g, http.MethodGet, "/booking-desk/free", "")
				switch status {
				case http.StatusOK:
					succeeded.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	group.Wait()
	after := scrapeExtraAttempts(t, g)
	extra := extraAttempts{retries: after.retries - before.retries, hedges: after.hedges - before.hedges}
	t.Logf("%d succeeded, %d refused, extra attempts %+v", succeeded.Load(), refused.Load(), extra)
	checkBudget(t, extra, callers*callsEach, time.Since(started))
	assert.Equal(t, other.Load(), int64(0))
	assert.Assert(t, refused.Load() > 0, "there was no overload")
	assert.Assert(t, succeeded.Load() > 0)
	for i := range 50 {
		assert.Assert(t, callSucceeds(), "call %d after the overload", i+1)
	}
}

// TestChainDoesNotMultiplyRetries guards against retries that multiply along a chain of
// 8 calls whose last one is always shed. Each retry at any level may add one call at
// the end of the chain, and all retries together must stay within the budget.
func TestChainDoesNotMultiplyRetries(t *testing.T) {
	const depth, calls = 8, 60
	g, client := newTestGateway(t, func(s *settings.Settings) {
		// The servers are trusted to forward the header with the calls that they make.
		s.Traffic.TrustedProxies = []string{"127.0.0.0/8"}
	})
	useOrdinaryPreset(t, client)
	var bottom, total atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		left, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/booking-desk/chain/"))
		if err != nil {
			return
		}
		total.Add(1)
		if left == 1 {
			bottom.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		request, err := http.NewRequestWithContext(r.Context(), http.MethodGet,
			"http://"+g.TrafficAddress()+"/booking-desk/chain/"+strconv.Itoa(left-1), nil)
		if err != nil {
			return
		}
		request.Header.Set("Balsamhill-Attempt", r.Header.Get("Balsamhill-Attempt"))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_ = response.Body.Close()
		w.WriteHeader(response.StatusCode)
	})
	for _, id := range []string{"desk-1", "desk-2", "desk-3"} {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		registerServer(t, client, "booking-desk", id, "khomas", server.Listener.Addr().String())
	}
	startGateway(t, g)
	waitUntil(t, "service served", func() bool {
		status, _, _ := callGateway(t, g, http.MethodGet, "/booking-desk/ready", "")
		return status == http.StatusOK
	})
	before, started := scrapeExtraAttempts(t, g), time.Now()
	for range calls {
		status, _, _ := callGateway(t, g, http.MethodGet, "/booking-desk/chain/"+strconv.Itoa(depth), "")
		assert.Assert(t, status >= http.StatusInternalServerError, status)
	}
	after := scrapeExtraAttempts(t, g)
	extra := extraAttempts{retries: after.retries - before.retries, hedges: after.hedges - before.hedges}
	t.Logf("%d calls, %d attempts at servers, %d of them at the end of the chain, %+v", calls, total.Load(), bottom.Load(), extra)
	assert.Assert(t, bottom.Load() > 0)
	assert.Assert(t, bottom.Load() <= calls+int64(extra.retries+extra.hedges), bottom.Load())
	// The budget counts calls at the gateway; each attempt at a server makes one.
	checkBudget(t, extra, float64(total.Load()+calls), time.Since(started))
}
