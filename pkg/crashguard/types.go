// Package crashguard limits how many servers one request can crash when its
// caller keeps resending it: after the request was in flight on several servers
// whose connections were lost, the guard blocks its fingerprint for a while. The
// proxy calls Admit before and Done after each attempt; the gateways exchange
// suspicions. The package does no I/O, starts no goroutine and reads no clock.
package crashguard

import "time"

// Fingerprint identifies a request across resends. The proxy computes it; the guard
// only compares it.
type Fingerprint uint64

// Server identifies one run of a server: one that has started again under its ID is
// another Server.
type Server struct {
	ID string
	// Incarnation rises with each start of the server. It is 0 if it is unknown.
	Incarnation uint64
}

// sameRun reports whether two servers may be the same run.
func (s Server) sameRun(other Server) bool {
	return s.ID == other.ID && (s.Incarnation == other.Incarnation || s.Incarnation == 0 || other.Incarnation == 0)
}

// Suspicion records that the connection to a server was lost while a request with
// the fingerprint was in flight, or, if Cleared is set, that a server has responded to
// such a request.
type Suspicion struct {
	Fingerprint Fingerprint
	// Server is not set if Cleared is.
	Server  Server
	Cleared bool
	// SentAt and LostAt are the times at which the attempt was sent and lost, 0 if they are
	// unknown.
	SentAt, LostAt int64
	// From is the peer that reported the suspicion, empty if this gateway lost the
	// connection itself. A gateway sends its own suspicions to all peers. Those of
	// peers need relaying only if some gateways have no session with each other, and
	// must not be sent back to From.
	From string
}

// Duration returns how long the attempt took until it was lost, 0 if that is unknown.
func (s *Suspicion) Duration() time.Duration {
	if s.SentAt == 0 {
		return 0
	}
	return time.Duration(s.LostAt - s.SentAt)
}

// Attempt is an attempt that has ended.
type Attempt struct {
	Fingerprint Fingerprint
	// SentAt is the time at which it was sent, and Server the server to which; neither is set
	// if it was not sent.
	SentAt int64
	Server Server
}

// Admission is the decision whether a request may be sent.
type Admission int

const (
	// Allowed means that the request may be sent.
	Allowed Admission = iota
	// Busy means that an attempt of the same suspected request is in flight, so
	// that this one must wait or be refused.
	Busy
	// Blocked means that the request is suspected of having crashed Limits.Servers
	// servers and must be refused until the block expires.
	Blocked
)

// Result says how an admitted attempt ended.
type Result int

const (
	// ResultOther covers timeouts, cancellations, rejections of a request that did not
	// run, and failures before the request was sent. It neither raises nor clears a
	// suspicion.
	ResultOther Result = iota
	// ResultResponded means that the server sent a response other than a rejection.
	ResultResponded
	// ResultConnectionLost means that the connection was lost while the request was
	// in flight, or that its response was incomplete or belonged to another request.
	ResultConnectionLost
)
