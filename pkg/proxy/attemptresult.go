package proxy

import (
	"context"
	"errors"

	"balsamhill/pkg/attempts"
	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/responsecheck"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/serverconn"
)

func (a *attempt) classify() retry.Result {
	o := retry.Observation{}
	if a.response != nil && a.server.Gateway && a.responseKind == ResponseFinal {
		// The other gateway has made the retries that the status permits.
		return retry.ResponseReceived
	}
	if a.response != nil {
		return resultOf(a.responseKind, a.response.StatusCode)
	}
	if a.responseKind == ResponseUnconfirmed {
		return retry.Shed
	}
	o.NotRun = serverconn.RefusedStream(a.err) && !a.resent
	o.Written = a.written()
	o.TimedOut = a.timedOut()
	o.Canceled = a.ctx.Err() != nil && !a.resent
	return retry.Classify(o)
}

// setResult returns the result of the attempt for the set of its call. An error is not final:
// otherwise a server that fails fast would win over each slower good response. That holds for
// the refusal of another gateway too.
func (a *attempt) setResult() attempts.Result {
	return attempts.Result{
		Final:      a.result == retry.ResponseReceived && !a.refusedElsewhere,
		Response:   a.response != nil,
		MayHaveRun: !a.result.DidNotRun(),
	}
}

// refused returns why what the server sent was no response, empty if it was one.
func (a *attempt) refused() responsecheck.Reason {
	var refusal *responsecheck.Error
	if errors.As(a.err, &refusal) {
		return refusal.Reason
	}
	return ""
}

func (a *attempt) timedOut() bool {
	cause := context.Cause(a.ctx)
	return errors.Is(cause, errDeadline) || errors.Is(cause, errIdle)
}

// serverFailed reports whether a failed attempt counts as a failure of the server.
// An attempt that the caller or the gateway ended does not.
func (a *attempt) serverFailed() bool {
	if a.resent {
		return true
	}
	if a.denied || a.result == retry.Canceled || a.call.body.readFailed() || errors.Is(a.err, serverconn.ErrTooManyConnections) {
		return false
	}
	return a.timedOut() || a.ctx.Err() == nil
}

func (a *attempt) guardResult() crashguard.Result {
	switch {
	case a.refused() != "", a.response != nil && (a.responseKind == ResponseNotRun || a.responseKind == ResponseWrongServer):
		// A server whose response was refused has not crashed.
		return crashguard.ResultOther
	case a.response != nil:
		return crashguard.ResultResponded
	case a.result == retry.ConnectionLost && !a.call.body.readFailed():
		return crashguard.ResultConnectionLost
	default:
		return crashguard.ResultOther
	}
}
