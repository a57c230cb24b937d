package proxy

import (
	"net/http"
	"time"

	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

const drainingHeader = "Balsamhill-Draining"

// observe takes what an answer says about the server.
func (a *attempt) observe(now int64) {
	response, stats := a.response, a.server.Stats
	served := false
	switch {
	case a.judgement == ResponseWrongServer:
		// The server is gone and its address belongs to another one.
		stats.DrainNoticedAt.Store(now)
		return
	case response.StatusCode == http.StatusServiceUnavailable || a.judgement == ResponseNotRun:
		stats.Shed()
	case response.StatusCode >= http.StatusInternalServerError:
		stats.Failure()
	default:
		served = true
		stats.Success(now, now-a.started)
	}
	if report, ok := a.call.proxy.config.Protocol.Load(response.Header); ok {
		stats.ReportLoad(now, report.InFlight, report.SlowdownPermille)
	}
	if served {
		a.learnWork(now)
	}
	if response.Header[drainingHeader] != nil {
		stats.DrainNoticedAt.Store(now)
	}
}

// learnWork takes an answer into the estimate of the service's work.
func (a *attempt) learnWork(now int64) {
	a.call.service.work.Observe(routing.ServiceTimeSample{
		Nanos:          now - a.started - a.server.Penalty,
		SlowdownBefore: a.paceBefore,
		SlowdownAfter:  a.server.Stats.ReportedSlowdown(),
		InFlightBefore: a.loadBefore,
		InFlightAfter:  a.server.Stats.ReportedInFlight(),
		Slots:          a.call.view.SlotsOf(a.server),
	})
}

// Observer is told of calls that did not go as usual. It must not block.
type Observer interface {
	// AttemptFailed is told of each attempt without a final answer.
	AttemptFailed(AttemptEvent)
	// CallRefused is told of each answer in place of a server.
	CallRefused(RefusalEvent)
	// CallCompleted is told of each server's answer that was passed on.
	CallCompleted(ResponseEvent)
	// CallCanceled is told of each call whose caller left before the answer.
	CallCanceled(ResponseEvent)
	// CallLate is told of each call without an answer at its route's target. It is
	// called from another goroutine than that of the call.
	CallLate(ResponseEvent)
}

// ResponseEvent describes the end of a call with a server's answer, or without one
// if its caller left.
type ResponseEvent struct {
	RequestID string
	Route     string
	Service   string
	ServerID  string
	Status    int
	Attempts  int
	Took      time.Duration
	// Target is the route's target, 0 if it has none.
	Target   time.Duration
	Revision uint64
}

// Late reports whether the answer came after the route's target.
func (e ResponseEvent) Late() bool {
	return e.Target > 0 && e.Took > e.Target
}

// AttemptEvent describes a failed attempt.
type AttemptEvent struct {
	RequestID string
	Route     string
	Service   string
	ServerID  string
	Attempt   int
	Result    retry.Result
	Took      time.Duration
	Err       error
	// InFlight, Slowdown and ReportAge are what the choice of the server was based on.
	InFlight  float64
	Slowdown  float64
	ReportAge time.Duration
	// Revision is that of the configuration that the call saw.
	Revision uint64
}

// RefusalEvent describes an answer in place of a server.
type RefusalEvent struct {
	RequestID string
	Route     string
	Service   string
	Status    int
	Outcome   Outcome
	Detail    string
	Attempts  int
	Took      time.Duration
	Revision  uint64
	// Usable is the number of servers that could be chosen, and MeanInFlight the
	// mean of their fresh load reports.
	Usable       int
	MeanInFlight float64
}

// answerEvent describes the call for the observer; a is nil without an answer.
func (c *call) answerEvent(a *attempt) ResponseEvent {
	event := c.eventSoFar()
	event.Attempts = c.sent
	if a != nil {
		event.ServerID = a.server.ID
		event.Status = a.response.StatusCode
	}
	return event
}

// eventSoFar describes the call by what does not change, and may be called beside
// it.
func (c *call) eventSoFar() ResponseEvent {
	return ResponseEvent{
		RequestID: c.requestID,
		Route:     c.route.Name,
		Service:   c.target,
		Took:      time.Duration(c.proxy.config.Now() - c.arrived),
		Target:    c.route.LatencyTarget,
		Revision:  c.revision,
	}
}

// watchLateness has the observer told if there is no answer at the route's target.
func (c *call) watchLateness() {
	if c.proxy.config.Observer == nil || c.route.LatencyTarget <= 0 {
		return
	}
	left := c.route.LatencyTarget - time.Duration(c.proxy.config.Now()-c.arrived)
	c.lateness = time.AfterFunc(max(0, left), c.observeLateness)
}

// observeLateness runs beside the call.
func (c *call) observeLateness() {
	event := c.eventSoFar()
	if a := c.newest.Load(); a != nil {
		event.ServerID = a.server.ID
		event.Attempts = a.number
	}
	c.proxy.config.Observer.CallLate(event)
}

// observe tells the observer of an attempt that failed.
func (c *call) observe(a *attempt) {
	observer := c.proxy.config.Observer
	if observer == nil || a.end == retry.ResponseReceived {
		return
	}
	now := c.proxy.config.Now()
	stats := a.server.Stats
	observer.AttemptFailed(AttemptEvent{
		RequestID: c.requestID,
		Route:     c.route.Name,
		Service:   c.target,
		ServerID:  a.server.ID,
		Attempt:   a.number,
		Result:    a.end,
		Took:      time.Duration(now - a.started),
		Err:       a.err,
		InFlight:  stats.EstimatedInFlight(now),
		Slowdown:  stats.ReportedSlowdown(),
		ReportAge: time.Duration(now - stats.ReportedAt()),
		Revision:  c.revision,
	})
}
