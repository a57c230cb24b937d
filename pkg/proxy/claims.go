package proxy

import (
	"context"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/crashguard"
)

// Claims gives out the right to dispatch calls with an idempotency key. It is
// safe for concurrent use.
type Claims interface {
	// Claim waits at most until the context ends. A Refuse decision already
	// holds the verified outcome.
	Claim(ctx context.Context, call claim.Call) claim.Decision
	// MayDispatch must be asked immediately before each attempt is written. If it
	// reports false, the call must not be sent.
	MayDispatch(ticket claim.Ticket) bool
	// Finish records the result of a claimed call, also if the context has ended;
	// the record is written in the background. It reports whether not-run may be
	// said, which is only the case for ResultReleased. For ResultReleased it asks
	// the other gateways and may block for up to 250 ms or until the context ends,
	// which leaves false; for other results it returns at once.
	Finish(ctx context.Context, ticket claim.Ticket, result claim.Result) (notRun bool)
	// VerifyNotRun reports whether not-run may be said of a call with a key that
	// this gateway refused before it claimed the key. It may block for up to 250 ms
	// or until the context ends, which leaves false.
	VerifyNotRun(ctx context.Context, call claim.Call) bool
}

// CrashGuard bounds how many servers one request can take down. It is safe for
// concurrent use.
type CrashGuard interface {
	// Admit reports whether a request with this fingerprint may be sent now. The
	// caller must call Done after an Allowed attempt.
	Admit(now int64, fingerprint crashguard.Fingerprint) crashguard.Admission
	// Done ends an admitted attempt.
	Done(now int64, fingerprint crashguard.Fingerprint, result crashguard.Result, serverID string)
}
