// Package claim holds the rules for calls with an idempotency key: which gateway
// may dispatch a call, what is recorded about it, and when a gateway may report
// that it did not run. Package claimstore performs the I/O for these rules.
// Package claim does no I/O, starts no goroutine and reads no clock.
package claim

// Call identifies a call with an idempotency key.
type Call struct {
	Service string
	// Key is the value of the Idempotency-Key header.
	Key string
	// Fingerprint is a hash of what must be equal in all requests with one key; see
	// NewFingerprint and SameRequest.
	Fingerprint uint64
	// Arrived is the arrival time in nanoseconds on the gateway's monotonic clock.
	Arrived int64
}

// Kind is what the gateway does with a call.
type Kind int

const (
	// Refuse means that the gateway responds in place of a server; see
	// Decision.NotRun.
	Refuse Kind = iota
	// Dispatch means that this gateway owns the claim and may send the call to a
	// server.
	Dispatch
	// Replay means that the caller receives the recorded response.
	Replay
	// Ran means that the call ran, but that its response was not recorded.
	Ran
	// Mismatch means that the key was used for a different request.
	Mismatch
)

// Decision is the result of an attempt to claim a key.
type Decision struct {
	Kind Kind
	// Ticket must be passed to MayDispatch and Finish if Kind is Dispatch.
	Ticket Ticket
	// Response is set if Kind is Replay.
	Response *RecordedResponse
	// NotRun means, if Kind is Refuse, that the call did not run and can no longer
	// be dispatched by any gateway. If it is false, the outcome is unknown.
	NotRun bool
	// Reason explains a refusal to the caller.
	Reason string
}

// Ticket permits its holder to dispatch one call.
type Ticket struct {
	Service string
	Key     string
	// ClaimID is unique for each claim.
	ClaimID string
	// ClaimedAt is in nanoseconds on the gateway's monotonic clock.
	ClaimedAt int64
	// RowVersion is the version of the claim row in the table service.
	RowVersion  uint64
	Fingerprint uint64
}

// RecordedResponse is the response of a server, stored for replay.
type RecordedResponse struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// MaxResponseBytes is the size of the largest body that is recorded.
const MaxResponseBytes = 64 << 10

// ResultKind is the kind of a Result.
type ResultKind int

const (
	// ResultUnknown means that the call may have run.
	ResultUnknown ResultKind = iota
	// ResultReleased means that nothing was sent, or that the server guaranteed
	// that the call did not run.
	ResultReleased
	// ResultDone means that the server responded.
	ResultDone
)

// Result is how a dispatched call ended.
type Result struct {
	Kind ResultKind
	// Response is set if Kind is ResultDone and the response is small enough to be
	// recorded, else nil.
	Response *RecordedResponse
}
