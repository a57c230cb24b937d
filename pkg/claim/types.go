// Package claim decides about calls with an idempotency key: who may dispatch
// them, what is recorded, and when a gateway may say that a call did not run.
// The package does no I/O, starts no goroutine and reads no clock.
package claim

// Call identifies a call with an idempotency key.
type Call struct {
	Service string
	// Key is the value of the Idempotency-Key header.
	Key string
	// Fingerprint is a hash of what must not differ between sends of one key; see
	// NewFingerprint and SameRequest.
	Fingerprint uint64
	// Arrived is in nanoseconds on the gateway's monotonic clock.
	Arrived int64
}

// Kind says what to do with a call.
type Kind int

const (
	// Refuse answers in place of a server; see Decision.NotRun.
	Refuse Kind = iota
	// Dispatch means that this gateway owns the claim and may send the call.
	Dispatch
	// Replay answers with the recorded answer of the run.
	Replay
	// Ran says that the call ran but that its answer was not recorded.
	Ran
	// Mismatch says that the key was used for a different request.
	Mismatch
)

// Decision is the answer of Claim.
type Decision struct {
	Kind Kind
	// Ticket must be passed to MayDispatch and Finish if Kind is Dispatch.
	Ticket Ticket
	// Response is set if Kind is Replay.
	Response *RecordedResponse
	// NotRun says for Refuse that the call did not run and can no longer run on
	// any gateway; otherwise the outcome is unknown.
	NotRun bool
	// Reason explains a refusal to the caller.
	Reason string
}

// Ticket is the right to dispatch one call.
type Ticket struct {
	Service string
	Key     string
	// ClaimID is unique for each claim.
	ClaimID string
	// ClaimedAt is in nanoseconds on the gateway's monotonic clock.
	ClaimedAt int64
	// RowVersion is the version of the claim row in the table service.
	RowVersion uint64
	// Fingerprint is that of the call.
	Fingerprint uint64
}

// RecordedResponse is a recorded answer of a server.
type RecordedResponse struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// MaxResponseBytes is the largest body that is recorded.
const MaxResponseBytes = 64 << 10

// ResultKind says how a dispatched call ended.
type ResultKind int

const (
	// ResultUnknown means that the call may have run.
	ResultUnknown ResultKind = iota
	// ResultReleased means that nothing was sent, or that the server guaranteed
	// that the call did not run.
	ResultReleased
	// ResultDone means that the server answered.
	ResultDone
)

// Result is how a dispatched call ended.
type Result struct {
	Kind ResultKind
	// Response is the answer if Kind is ResultDone and the answer is small enough
	// to be recorded, else nil.
	Response *RecordedResponse
}
