package processtest

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// bookingResponse is the response to a call with an idempotency key.
type bookingResponse struct {
	status  int
	outcome string
	replay  string
	body    string
	err     error
}

// book sends a booking with an idempotency key.
func book(url, key string) bookingResponse {
	request, err := http.NewRequest(http.MethodPost, url+"/booking-desk/book", strings.NewReader(`{"lesson":7}`))
	if err != nil {
		return bookingResponse{err: err}
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return bookingResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return bookingResponse{
		status:  response.StatusCode,
		outcome: response.Header.Get("Balsamhill-Outcome"),
		replay:  response.Header.Get("Balsamhill-Replay"),
		body:    string(body),
		err:     err,
	}
}

// runs returns how often a key has run, as recorded by the platform stand-in.
func (f *fleet) runs(key string) int64 {
	f.t.Helper()
	_, body := get(f.url + "/standin/runs?key=" + key)
	var decoded struct {
		Runs int64 `json:"runs"`
	}
	assert.NilError(f.t, json.Unmarshal([]byte(body), &decoded))
	return decoded.Runs
}

// Guards against a booking that runs twice when the same key is sent through two
// gateways concurrently, again later, and through a gateway that was started since.
func TestSameKeyThroughTwoGateways(t *testing.T) {
	f := startFleet(t)
	f.startServer("booking-desk", "khomas")
	f.startServer("booking-desk", "khomas")
	gateways := []*gatewayProcess{f.startGateway("gw-1", "khomas"), f.startGateway("gw-2", "khomas")}
	for _, g := range gateways {
		f.waitForService(g, "booking-desk")
	}
	responses := make([]bookingResponse, 8)
	var group sync.WaitGroup
	for i := range responses {
		group.Go(func() { responses[i] = book(gateways[i%2].traffic, "key-1") })
	}
	group.Wait()
	assert.Equal(t, f.runs("key-1"), int64(1))
	for _, response := range responses {
		assert.NilError(t, response.err)
		assert.Assert(t, response.outcome != "not-run", "%+v", response)
	}
	eventually(t, "recorded response replayed", func() bool {
		again := book(gateways[0].traffic, "key-1")
		return again.replay == "answer" && strings.Contains(again.body, `"runs":1`)
	})
	third := f.startGateway("gw-3", "khomas")
	f.waitForService(third, "booking-desk")
	again := book(third.traffic, "key-1")
	assert.Equal(t, again.replay, "answer", "%+v", again)
	assert.Equal(t, f.runs("key-1"), int64(1))
}

// Guards against a booking that is sent to a server without a claim, or that hangs,
// while the store is down. Fetches must still be served.
func TestStoreOutageRefusesBookings(t *testing.T) {
	f := startFleet(t)
	f.startServer("booking-desk", "khomas")
	g := f.startGateway("gw-1", "khomas")
	f.waitForService(g, "booking-desk")
	first := book(g.traffic, "before")
	assert.Equal(t, first.status, http.StatusOK, "%+v", first)

	f.faults(`{"down":true}`)
	// A refusal right after the start of the outage may have the outcome unknown,
	// because the gateway may not have read the key digest yet.
	eventually(t, "refused as not run", func() bool {
		response := book(g.traffic, "during")
		assert.Equal(t, response.status, http.StatusServiceUnavailable, "%+v", response)
		return response.outcome == "not-run"
	})
	again := book(g.traffic, "before")
	assert.Assert(t, again.outcome != "not-run", "the key ran: %+v", again)
	status, _ := get(g.traffic + "/booking-desk/free")
	assert.Equal(t, status, http.StatusOK)

	f.faults(`{}`)
	eventually(t, "booking after the outage", func() bool { return book(g.traffic, "during").status == http.StatusOK })
	assert.Equal(t, f.runs("during"), int64(1))
	assert.Equal(t, f.runs("before"), int64(1))
}

// Guards against a false not-run and a second run when a gateway process is stopped
// with a booking in flight and continues after the caller has sent the booking through
// another gateway.
func TestPausedGateway(t *testing.T) {
	f := startFleet(t)
	f.startServer("booking-desk", "khomas", "-service-time", "300ms")
	first, second := f.startGateway("gw-1", "khomas"), f.startGateway("gw-2", "khomas")
	f.waitForService(first, "booking-desk")
	f.waitForService(second, "booking-desk")
	f.pauseDuringBooking(first, second)
}

// Guards against the same fault with a session between the gateways: the paused
// gateway queries the other one before it responds with not-run.
func TestPausedGatewayQueriesPeer(t *testing.T) {
	f := startFleet(t)
	f.startServer("booking-desk", "khomas", "-service-time", "300ms")
	first, second := f.startGateway("gw-1", "khomas"), f.startGateway("gw-2", "khomas")
	f.waitForService(first, "booking-desk")
	f.waitForService(second, "booking-desk")
	eventually(t, "session between the gateways", func() bool {
		return first.connected(t) == 1 && second.connected(t) == 1
	})
	f.pauseDuringBooking(first, second)
}

// Guards against SIGHUP terminating a paused gateway. The kernel sends it to stopped
// processes when their process group becomes orphaned.
func TestHangupDoesNotEndGateway(t *testing.T) {
	f := startFleet(t)
	f.startServer("booking-desk", "khomas", "-service-time", "300ms")
	g := f.startGateway("gw-1", "khomas")
	f.waitForService(g, "booking-desk")
	done := make(chan bookingResponse, 1)
	go func() { done <- book(g.traffic, "key-1") }()
	eventually(t, "booking in flight", func() bool { return g.inFlight() == 1 })
	for _, signal := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGHUP, syscall.SIGCONT} {
		assert.NilError(t, g.command.Process.Signal(signal))
	}
	response := <-done
	assert.NilError(t, response.err)
	assert.Equal(t, response.status, http.StatusOK)
}

// pauseDuringBooking stops the first gateway with a booking in flight, sends the
// booking through the second gateway and continues the first.
func (f *fleet) pauseDuringBooking(first, second *gatewayProcess) {
	t := f.t
	t.Helper()
	done := make(chan bookingResponse, 1)
	go func() { done <- book(first.traffic, "key-1") }()
	eventually(t, "booking in flight", func() bool { return first.inFlight() == 1 })
	assert.NilError(t, first.command.Process.Signal(syscall.SIGSTOP))
	other := book(second.traffic, "key-1")
	assert.Assert(t, other.outcome != "not-run", "%+v", other)
	assert.NilError(t, first.command.Process.Signal(syscall.SIGCONT))
	response := <-done
	assert.NilError(t, response.err)
	assert.Assert(t, response.outcome != "not-run" || f.runs("key-1") == 0, "%+v", response)
	assert.Assert(t, f.runs("key-1") <= 1)
}

// Guards against a second run, and against a false not-run, when a gateway is killed
// with a booking in flight and the caller sends it again through another gateway.
func TestKilledGateway(t *testing.T) {
	f := startFleet(t)
	f.startServer("booking-desk", "khomas", "-service-time", "300ms")
	first, second := f.startGateway("gw-1", "khomas"), f.startGateway("gw-2", "khomas")
	f.waitForService(first, "booking-desk")
	f.waitForService(second, "booking-desk")
	done := make(chan bookingResponse, 1)
	go func() { done <- book(first.traffic, "key-1") }()
	eventually(t, "booking ran", func() bool { return f.runs("key-1") == 1 })
	assert.NilError(t, first.command.Process.Kill())
	lost := <-done
	assert.Assert(t, lost.err != nil)
	resent := book(second.traffic, "key-1")
	assert.Equal(t, resent.outcome, "unknown", "%+v", resent)
	assert.Equal(t, f.runs("key-1"), int64(1))
}
