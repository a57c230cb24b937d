package proxy

import (
	"context"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/crashguard"
)

// Claims grants the right to dispatch calls with an idempotency key. It is safe for
// concurrent use.
type Claims interface {
	// Claim requests the right to dispatch a call and waits for the decision at most
	// until the context ends. A Refuse decision already holds the verified outcome.
	Claim(ctx context.Context, call claim.Call) claim.Decision
	// MayDispatch must be called immediately before each attempt is written. If it
	// returns false, the attempt must not be sent.
	MayDispatch(ticket claim.Ticket) bool
	// Finish records the result of a claimed call, even if the context has ended; the
	// record is written in the background. It reports whether the outcome not-run may
	// be returned, which is only possible for ResultReleased. For ResultReleased it
	// queries the other gateways and may block for up to 250 ms or until the context
	// ends, and then returns false. For other results it returns at once.
	Finish(ctx context.Context, ticket claim.Ticket, result claim.Result) (notRun bool)
	// VerifyNotRun reports whether the outcome not-run may be returned for a call with
	// a key that this gateway refused before it claimed the key. It may block for up
	// to 250 ms or until the context ends, and then returns false.
	VerifyNotRun(ctx context.Context, call claim.Call) bool
}

// CrashGuard limits how many servers one request can crash. It is safe for concurrent
// use.
type CrashGuard interface {
	// Admit decides whether a request with this fingerprint may be sent now. Each
	// attempt that was Allowed must be followed by Done.
	Admit(now int64, fingerprint crashguard.Fingerprint) crashguard.Admission
	// Done records the result of an admitted attempt.
	Done(now int64, attempt crashguard.Attempt, result crashguard.Result)
}
