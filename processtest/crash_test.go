package processtest

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// metric returns the value of a metric without labels, -1 if the gateway does not
// respond.
func (g *gatewayProcess) metric(name string) float64 {
	_, body := get(g.admin + "/metrics")
	for line := range strings.Lines(body) {
		value, found := strings.CutPrefix(strings.TrimSpace(line), name+" ")
		if !found {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err == nil {
			return number
		}
	}
	return -1
}

// crashFleet has three gateways with sessions to each other, and servers that crash
// on a request with the crash header.
type crashFleet struct {
	*fleet
	gateways []*gatewayProcess
	servers  []*process
}

const (
	crashGateways = 3
	// crashServers is greater than the largest bound, 2·G for G gateways.
	crashServers = 8
)

func startCrashFleet(t *testing.T) *crashFleet {
	t.Helper()
	c := &crashFleet{fleet: startFleet(t)}
	for range crashServers {
		c.servers = append(c.servers, c.startServer("booking-desk", "khomas", "-service-time", "50ms"))
	}
	for i := range crashGateways {
		c.gateways = append(c.gateways, c.startGateway(fmt.Sprintf("gw-%d", i+1), "khomas"))
	}
	for _, g := range c.gateways {
		c.waitForService(g, "booking-desk")
		eventually(t, "sessions between all gateways", func() bool { return g.connected(t) == crashGateways-1 })
	}
	return c
}

// crashedServers returns the number of servers that do not respond.
func (c *crashFleet) crashedServers() int {
	count := 0
	for _, server := range c.servers {
		status, _ := get("http://" + server.address(c.t) + "/standin/load")
		if status == 0 {
			count++
		}
	}
	return count
}

// sendCrash sends a request that crashes the server that runs it.
func (c *crashFleet) sendCrash(g *gatewayProcess, method, key string) bookingResponse {
	request, err := http.NewRequest(method, g.traffic+"/booking-desk/crash", nil)
	assert.NilError(c.t, err)
	request.Header.Set("X-Standin-Crash", "1")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return bookingResponse{err: err}
	}
	defer response.Body.Close()
	return bookingResponse{status: response.StatusCode, outcome: response.Header.Get("Balsamhill-Outcome")}
}

// waitForMetric waits until a metric has at least a value on all gateways.
func (c *crashFleet) waitForMetric(name string, minValue float64) {
	c.t.Helper()
	for _, g := range c.gateways {
		eventually(c.t, name, func() bool { return g.metric(name) >= minValue })
	}
}

// checkUnrelatedBookings checks that each gateway still serves other bookings after
// the crashes, and that each runs once.
func (c *crashFleet) checkUnrelatedBookings() {
	c.t.Helper()
	for i, g := range c.gateways {
		key := fmt.Sprintf("unrelated-%d", i)
		eventually(c.t, "unrelated booking", func() bool { return book(g.traffic, key).status == http.StatusOK })
		assert.Equal(c.t, c.runs(key), int64(1))
	}
}

// Guards the bound on the servers that one request crashes when its caller sends it
// again through all gateways: at most 2 if each resend comes after all gateways
// received the suspicion of the last crash (delay between peers d < interval between
// sends s).
func TestCrashingRequestAfterSuspicionsArrived(t *testing.T) {
	c := startCrashFleet(t)
	for i := range 2 * crashGateways {
		response := c.sendCrash(c.gateways[i%crashGateways], http.MethodPost, "")
		assert.NilError(t, response.err)
		assert.Assert(t, response.status >= http.StatusInternalServerError, "%+v", response)
		crashed := c.crashedServers()
		assert.Assert(t, crashed >= 1 && crashed <= 2, "%d servers have crashed after %d sends", crashed, i+1)
		c.waitForMetric("balsamhill_suspected_requests", 1)
		if crashed == 2 {
			c.waitForMetric("balsamhill_blocked_requests", 1)
		}
	}
	assert.Equal(t, c.crashedServers(), 2)
	c.checkUnrelatedBookings()
}

// Guards the bound on crashed servers when the caller does not wait between sends:
// 2·G for any delay between peers. Gateways also retry a fetch themselves.
func TestCrashingRequestResentAtOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			c := startCrashFleet(t)
			for i := range 4 * crashGateways {
				response := c.sendCrash(c.gateways[i%crashGateways], method, "")
				assert.NilError(t, response.err)
			}
			crashed := c.crashedServers()
			assert.Assert(t, crashed >= 1 && crashed <= 2*crashGateways, "%d servers have crashed", crashed)
			t.Logf("%d of %d servers have crashed, bound %d", crashed, crashServers, 2*crashGateways)
			c.checkUnrelatedBookings()
		})
	}
}

// Guards against a booking with a key that crashes more than one server: it runs once,
// however often it is sent again, and no response has the outcome not-run.
func TestCrashingBookingWithKey(t *testing.T) {
	c := startCrashFleet(t)
	for i := range 2 * crashGateways {
		response := c.sendCrash(c.gateways[i%crashGateways], http.MethodPost, "crash-key")
		assert.NilError(t, response.err)
		assert.Equal(t, response.outcome, "unknown", "send %d: %+v", i+1, response)
	}
	assert.Equal(t, c.crashedServers(), 1)
	assert.Equal(t, c.runs("crash-key"), int64(1))
	c.checkUnrelatedBookings()
}

// Guards against the crash guard blocking other requests that were in flight on a
// server when one request crashed it.
func TestUnrelatedRequestsInFlightAtCrash(t *testing.T) {
	f := startFleet(t)
	c := &crashFleet{fleet: f}
	for range 2 {
		c.servers = append(c.servers, f.startServer("booking-desk", "khomas", "-service-time", "1s", "-slots", "8"))
	}
	g := f.startGateway("gw-1", "khomas")
	f.waitForService(g, "booking-desk")
	const unrelatedRequests = 6
	var group sync.WaitGroup
	for i := range unrelatedRequests {
		group.Go(func() { _, _ = get(fmt.Sprintf("%s/booking-desk/unrelated-%d", g.traffic, i)) })
	}
	eventually(t, "unrelated requests in flight", func() bool { return g.inFlight() == unrelatedRequests })
	c.sendCrash(g, http.MethodPost, "")
	group.Wait()
	assert.Equal(t, c.crashedServers(), 1)
	for i := range unrelatedRequests {
		eventually(t, "response to an unrelated request", func() bool {
			status, _ := get(fmt.Sprintf("%s/booking-desk/unrelated-%d", g.traffic, i))
			return status == http.StatusOK
		})
	}
	assert.Equal(t, g.metric("balsamhill_blocked_requests"), float64(0))
}
