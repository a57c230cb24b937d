// Package retry classifies the results of attempts and decides whether another server
// may be tried, whether a hedge may be sent, and whether the gateway may report to the
// caller that the call did not run. It also holds the budgets for retries and hedges
// and computes deadlines. The proxy uses it. The package does no I/O, starts no
// goroutine and reads no clock: times are nanoseconds on the gateway's monotonic
// clock.
package retry

// Safety says whether a call may run more than once.
type Safety int

const (
	// NonIdempotent calls must run at most once.
	NonIdempotent Safety = iota
	// Idempotent calls may run any number of times.
	Idempotent
	// Keyed calls are not idempotent and hold a claim on their idempotency key.
	Keyed
)

// Result is the result of one attempt.
type Result int

const (
	// ResponseReceived means that the server responded with a final status that none of
	// the cases below covers.
	ResponseReceived Result = iota
	// NeverWritten means that no byte of the request was written.
	NeverWritten
	// RefusedNotRun means that the server guaranteed that the call did not run, in a
	// response or by HTTP/2 REFUSED_STREAM or GOAWAY.
	RefusedNotRun
	// Shed means a 503 response without that guarantee.
	Shed
	// ServerError means a 5xx response other than 503 without that guarantee.
	ServerError
	// ConnectionLost means that the connection failed after the first byte was written.
	ConnectionLost
	// TimedOut means that the timeout of the attempt expired after the first byte was
	// written.
	TimedOut
	// Canceled means that the gateway or the caller canceled the attempt after the
	// first byte was written.
	Canceled
	// resultCount is the number of results.
	resultCount
)

// Results returns all results that an attempt can have.
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

// Observation is what the transport observed of an attempt.
type Observation struct {
	// Written says that at least one byte of the request may have been written.
	Written bool
	// Status is the final status of the response, 0 if there was none.
	Status int
	// NotRun says that the server guaranteed that the call did not run.
	NotRun bool
	// TimedOut says that the timeout of the attempt expired.
	TimedOut bool
	// Canceled says that the caller disconnected or that the response of another
	// attempt was used.
	Canceled bool
}

const (
	statusServerErrors = 500
	statusShed         = 503
)

// Classify returns the result of an attempt from what was observed.
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
	case observed.Canceled:
		return Canceled
	default:
		return ConnectionLost
	}
}

// DidNotRun reports whether an attempt with this result certainly did not run and
// cannot run later.
func (r Result) DidNotRun() bool {
	return r == NeverWritten || r == RefusedNotRun
}

// MayRetry reports whether the safety of the call and the result of its last attempt
// permit an attempt at another server. The budget and the deadline must permit it
// too.
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

// MayHedge reports whether a second attempt may run concurrently with the first.
func MayHedge(safety Safety, safeMethod bool) bool {
	return safety == Idempotent && safeMethod
}

// MayAddAttempts reports whether this gateway may use more than one attempt for a call. An
// attempt number above 1 says that an upstream gateway of the call chain already
// repeats the call. Without this rule, a chain of depth n could send 2^n calls to its
// last server.
func MayAddAttempts(incomingAttempt int) bool {
	return incomingAttempt <= 1
}

// OutgoingAttempt returns the Balsamhill-Attempt value of an attempt; own is the
// number of this gateway's attempt, starting at 1.
func OutgoingAttempt(incomingAttempt, own int) int {
	return max(1, incomingAttempt, own)
}

// AttemptLog collects the results of all attempts of one call. The zero value is a
// call without attempts.
type AttemptLog struct {
	mayHaveRun bool
}

// Add records the result of an attempt.
func (l *AttemptLog) Add(result Result) {
	if !result.DidNotRun() {
		l.mayHaveRun = true
	}
}

// DidNotRun reports whether certainly none of this gateway's attempts ran and none can
// run later.
func (l *AttemptLog) DidNotRun() bool {
	return !l.mayHaveRun
}
