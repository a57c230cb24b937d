package edge

import (
	"net/http"

	"balsamhill/pkg/proxy"
)

// observer logs failed attempts and calls that are refused, late, truncated, canceled, retried
// or failed, and a sample of the others.
type observer struct {
	edge *Edge
}

var _ proxy.Observer = observer{}

// AttemptFailed implements proxy.Observer.
func (o observer) AttemptFailed(event proxy.AttemptEvent) {
	o.edge.log.Info("attempt failed", "request", event.RequestID, "route", event.Route, "service", event.Service,
		"server", event.ServerID, "attempt", event.Attempt, "end", event.Result.String(), "took", event.Took.String(),
		"error", errorText(event.Err), "inFlight", event.InFlight, "pace", event.Slowdown,
		"reportAge", event.ReportAge.String(), "revision", event.Revision)
}

// CallRefused implements proxy.Observer.
func (o observer) CallRefused(event proxy.RefusalEvent) {
	o.edge.log.Info("call refused", "request", event.RequestID, "route", event.Route, "service", event.Service,
		"status", event.Status, "outcome", string(event.Outcome), "detail", event.Detail,
		"attempts", event.Attempts, "took", event.Took.String(), "revision", event.Revision,
		"usable", event.Candidates, "meanInFlight", event.MeanInFlight, "leaving", event.Leaving, "paused", event.Paused)
}

// ordinaryResponsesPerLogLine is the number of ordinary responses for each one that is
// logged.
const ordinaryResponsesPerLogLine = 200

// CallCompleted implements proxy.Observer. It logs all responses that are late, follow a
// retry or have a 5xx status, and one in ordinaryResponsesPerLogLine of the others.
func (o observer) CallCompleted(event proxy.CallEvent) {
	o.edge.counters.recordResponse(event)
	if !event.Late() && event.Attempts <= 1 && event.Status < http.StatusInternalServerError &&
		o.edge.ordinaryResponses.Add(1)%ordinaryResponsesPerLogLine != 0 {
		return
	}
	o.edge.log.Info("call answered", "request", event.RequestID, "route", event.Route, "service", event.Service,
		"server", event.ServerID, "status", event.Status, "attempts", event.Attempts, "late", event.Late(),
		"took", event.Took.String(), "target", event.Target.String(), "revision", event.Revision)
}

// CallTruncated implements proxy.Observer.
func (o observer) CallTruncated(event proxy.CallEvent, cause error) {
	o.edge.log.Info("answer truncated", "request", event.RequestID, "route", event.Route, "service", event.Service,
		"server", event.ServerID, "status", event.Status, "attempts", event.Attempts, "took", event.Took.String(),
		"error", errorText(cause), "revision", event.Revision)
}

// CallCanceled implements proxy.Observer.
func (o observer) CallCanceled(event proxy.CallEvent) {
	o.edge.log.Info("caller left", "request", event.RequestID, "route", event.Route, "service", event.Service,
		"attempts", event.Attempts, "took", event.Took.String(), "revision", event.Revision)
}

// CallLate implements proxy.Observer. It logs while the call is still waiting, so that the
// line exists even if the process ends before the call does.
func (o observer) CallLate(event proxy.CallEvent) {
	o.edge.log.Info("call is late", "request", event.RequestID, "route", event.Route, "service", event.Service,
		"server", event.ServerID, "attempts", event.Attempts, "took", event.Took.String(),
		"target", event.Target.String(), "revision", event.Revision)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
