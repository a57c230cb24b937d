// Package retry decides what follows after an attempt to send a call to a
// server: whether another server may be tried, whether a hedge may be sent, and
// whether the caller may be told that the call did not run. It also keeps the
// budgets for retries and hedges and does the arithmetic of deadlines. The
// package does no I/O, starts no goroutine and reads no clock: times are
// nanoseconds on the gateway's monotonic clock.
package retry

// Safety says what a second run of a call would do.
type Safety int

const (
	// NonIdempotent calls must run at most once.
	NonIdempotent Safety = iota
	// Idempotent calls may run any number of times.
	Idempotent
	// Keyed calls are non-idempotent and hold a claim on their idempotency key.
	Keyed
)

// Result says how one attempt ended.
type Result int

const (
	// ResponseReceived means that the server answered with its final status, other than
	// the cases below.
	ResponseReceived Result = iota
	// NeverWritten means that no byte of the request was written.
	NeverWritten
	// RefusedNotRun means that the server guaranteed that the call did not run:
	// Balsamhill-Outcome: not-run, or HTTP/2 REFUSED_STREAM.
	RefusedNotRun
	// Shed means a 503 answer without that guarantee.
	Shed
	// ServerError means a 5xx answer other than 503 without that guarantee.
	ServerError
	// ConnectionLost means a failure after the first byte was written.
	ConnectionLost
	// TimedOut means that the time for the attempt ended after the first byte
	// was written.
	TimedOut
	// Cancelled means that the gateway or the caller gave the attempt up after
	// the first byte was written.
	Cancelled
	resultCount
)

// Results returns all ends of an attempt.
func Results() []Result {
	all := make([]Result, 0, resultCount)
	for result := range resultCount {
		all = append(all, result)
	}
	return all
}

// String returns the name used in logs and metrics.
func (r Result) String() string {
	switch r {
	case ResponseReceived:
		return "answered"
	case NeverWritten:
		return "never_written"
	case RefusedNotRun:
		return "refused_not_run"
	case Shed:
		return "shed"
	case ServerError:
		return "server_error"
	case ConnectionLost:
		return "broken"
	case TimedOut:
		return "timed_out"
	default:
		return "cancelled"
	}
}

// Observation is what the transport reports about an attempt.
type Observation struct {
	// Written says that at least one byte of the request may have been written.
	Written bool
	// Status is the final status of the answer, 0 if there was none.
	Status int
	// NotRun says that the server guaranteed that the call did not run.
	NotRun bool
	// TimedOut says that the attempt's time limit ended it.
	TimedOut bool
	// Cancelled says that the caller left or another attempt won.
	Cancelled bool
}

const (
	statusServerErrors = 500
	statusShed         = 503
)

// Classify maps what was observed to how the attempt ended.
func Classify(observed Observation) Result {
	switch {
	case observed.NotRun:
		return RefusedNotRun
	case observed.Status == statusShed:
		return Shed
	case observed.Status >= statusServerErrors:
		return ServerError
	case observed.Status != 0:
		return ResponseReceived
	case !observed.Written:
		return NeverWritten
	case observed.TimedOut:
		return TimedOut
	case observed.Cancelled:
		return Cancelled
	default:
		return ConnectionLost
	}
}

// DidNotRun reports whether an attempt that ended like this certainly did not
// run and cannot run later.
func (r Result) DidNotRun() bool {
	return r == NeverWritten || r == RefusedNotRun
}

// MayRetry reports whether the kind of call and the end of its last attempt
// allow an attempt at another server, if budget and time allow it too.
func MayRetry(safety Safety, result Result) bool {
	switch result {
	case NeverWritten, RefusedNotRun:
		return true
	case Shed, ConnectionLost, TimedOut:
		return safety == Idempotent
	default:
		return false
	}
}

// MayHedge reports whether a second attempt may run beside the first.
func MayHedge(safety Safety, safeMethod bool) bool {
	return safety == Idempotent && safeMethod
}

// MayRepeat reports whether a call may use more than one attempt at all. An
// attempt number above 1 says that a gateway nearer to the origin of the call
// chain already sent the call a second time; without this rule a chain of depth
// n could send 2^n calls to its last server.
func MayRepeat(incomingAttempt int) bool {
	return incomingAttempt <= 1
}

// OutgoingAttempt returns the Balsamhill-Attempt value of an attempt; own counts
// this gateway's attempts from 1.
func OutgoingAttempt(incomingAttempt, own int) int {
	return max(1, incomingAttempt, own)
}

// AttemptLog collects the ends of all attempts of one call. The zero value is a call
// without attempts.
type AttemptLog struct {
	mayHaveRun bool
}

// Add records the end of an attempt.
func (l *AttemptLog) Add(result Result) {
	if !result.DidNotRun() {
		l.mayHaveRun = true
	}
}

// DidNotRun reports whether no attempt of this gateway ran or can still run.
func (l *AttemptLog) DidNotRun() bool {
	return !l.mayHaveRun
}
