package proxy

import (
	"net/http"
	"time"

	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

const drainingHeader = "Balsamhill-Draining"

// recordResponse updates the server's statistics from a response. That of another gateway says
// nothing of that gateway.
func (a *attempt) recordResponse(now int64) {
	if a.server.Gateway {
		return
	}
	response, stats := a.response, a.server.Stats
	served := false
	switch {
	case a.responseKind == ResponseWrongServer:
		// The server is gone and another one has its address.
		stats.DrainNoticedAt.Store(now)
		return
	case response.StatusCode == http.StatusServiceUnavailable || a.responseKind == ResponseNotRun:
		stats.Shed()
	case response.StatusCode >= http.StatusInternalServerError:
		stats.Failure()
	default:
		served = true
		stats.Success(now, now-a.startedAt)
	}
	if report, ok := a.call.proxy.config.Protocol.LoadReport(response.Header); ok {
		stats.ReportLoad(now, report.InFlight, report.SlowdownPermille)
	}
	a.recordServerLimit(now, served)
	if served {
		a.observeServiceTime(now)
	}
	if response.Header[drainingHeader] != nil {
		stats.DrainNoticedAt.Store(now)
	}
}

// recordServerLimit records what a response says of its server's limit. A rejection or
// a failure that names none says nothing of it.
func (a *attempt) recordServerLimit(now int64, served bool) {
	gate := &a.server.Stats.Gate
	limit := a.call.proxy.config.Protocol.ServerLimit(a.response.Header)
	switch {
	case limit.Kind == LimitNamed:
		gate.RecordNamed(now, limit.Rate)
	case limit.Kind == LimitUnnamed && served:
		gate.RecordUnnamed(now, a.startedAt)
	}
}

// observeServiceTime adds a response to the service-time estimate.
func (a *attempt) observeServiceTime(now int64) {
	a.call.service.serviceTime.Observe(routing.ServiceTimeSample{
		Nanos:          now - a.startedAt - a.server.NetworkLatency,
		SlowdownBefore: a.slowdownBefore,
		SlowdownAfter:  a.server.Stats.ReportedSlowdown(),
		InFlightBefore: a.inFlightBefore,
		InFlightAfter:  a.server.Stats.ReportedInFlight(),
		Slots:          a.call.view.SlotsOf(a.server),
	})
}

// Observer receives events about calls. It must not block.
type Observer interface {
	// AttemptFailed is called for each attempt without a final response.
	AttemptFailed(AttemptEvent)
	// CallRefused is called for each refusal that is sent in place of a server's
	// response.
	CallRefused(RefusalEvent)
	// CallCompleted is called for each server response that was forwarded completely.
	CallCompleted(CallEvent)
	// CallTruncated is called for each server response that ended before it was complete,
	// with the cause.
	CallTruncated(CallEvent, error)
	// CallCanceled is called for each call whose caller left before the response.
	CallCanceled(CallEvent)
	// CallLate is called for each call without a response at its route's latency
	// target, in a goroutine other than that of the call.
	CallLate(CallEvent)
}

// CallEvent describes a call that was completed, truncated or canceled, or that is late. Without
// a response, Status is 0; ServerID is empty for a canceled call, and that of the
// latest attempt, if any, for a late one.
type CallEvent struct {
	RequestID string
	Route     string
	Service   string
	ServerID  string
	Status    int
	Attempts  int
	Took      time.Duration
	// Target is the route's latency target, 0 if it has none.
	Target   time.Duration
	Revision uint64
}

// Late reports whether the call took longer than its latency target.
func (e CallEvent) Late() bool {
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
	// InFlight, Slowdown and ReportAge describe the server's load as recorded when
	// the attempt ended.
	InFlight  float64
	Slowdown  float64
	ReportAge time.Duration
	// Revision is the configuration revision that the call uses.
	Revision uint64
}

// RefusalEvent describes a refusal that is sent in place of a server's response.
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
	// Candidates is the number of servers that could be chosen, including draining
	// ones if no other is left. MeanInFlight is the mean of the requests in flight in
	// the recent load reports of the service's servers.
	Candidates   int
	MeanInFlight float64
	// Leaving is the number of servers that leave according to their responses, and Paused
	// that of those that want no request of this gateway for some time.
	Leaving, Paused int
}

// callEvent returns the event of a call; a is nil without a response.
func (c *call) callEvent(a *attempt) CallEvent {
	event := c.baseEvent()
	event.Attempts = c.attemptCount
	if a != nil {
		event.ServerID = a.server.ID
		event.Status = a.response.StatusCode
	}
	return event
}

// baseEvent returns an event with the fields that do not change while the call is
// processed. Other goroutines may call it.
func (c *call) baseEvent() CallEvent {
	return CallEvent{
		RequestID: c.requestID,
		Route:     c.route.Name,
		Service:   c.serviceName,
		Took:      time.Duration(c.proxy.config.Now() - c.arrived),
		Target:    c.route.LatencyTarget,
		Revision:  c.revision,
	}
}

// startLateTimer starts the timer that reports the call if it has no response at
// the route's latency target.
func (c *call) startLateTimer() {
	if c.proxy.config.Observer == nil || c.route.LatencyTarget <= 0 {
		return
	}
	left := c.route.LatencyTarget - time.Duration(c.proxy.config.Now()-c.arrived)
	c.lateTimer = time.AfterFunc(max(0, left), c.reportLate)
}

// reportLate runs in the timer's goroutine.
func (c *call) reportLate() {
	event := c.baseEvent()
	if a := c.latestAttempt.Load(); a != nil {
		event.ServerID = a.server.ID
		event.Attempts = a.number
	}
	c.proxy.config.Observer.CallLate(event)
}

// reportFailedAttempt sends an event for an attempt that failed.
func (c *call) reportFailedAttempt(a *attempt) {
	observer := c.proxy.config.Observer
	if observer == nil || a.result == retry.ResponseReceived {
		return
	}
	now := c.proxy.config.Now()
	stats := a.server.Stats
	observer.AttemptFailed(AttemptEvent{
		RequestID: c.requestID,
		Route:     c.route.Name,
		Service:   c.serviceName,
		ServerID:  a.server.ID,
		Attempt:   a.number,
		Result:    a.result,
		Took:      time.Duration(now - a.startedAt),
		Err:       a.err,
		InFlight:  stats.EstimatedInFlight(now),
		Slowdown:  stats.ReportedSlowdown(),
		ReportAge: time.Duration(now - stats.ReportedAt()),
		Revision:  c.revision,
	})
}
