// Package crashguard bounds the number of servers that one request can take
// down when its caller sends it again. The package does no I/O, starts no
// goroutine and reads no clock.
package crashguard

// Fingerprint identifies a request over several sends: a hash of the service,
// the method, the path, and the idempotency key or the first 4 KiB of the body.
type Fingerprint uint64

// Admission is the answer to whether a request may be sent.
type Admission int

const (
	// Allowed means that the request may be sent.
	Allowed Admission = iota
	// Busy means that a suspected request is being tried already and that this
	// one must wait or be refused.
	Busy
	// Blocked means that the request broke servers and is refused for a while.
	Blocked
)

// Result says how an admitted attempt ended.
type Result int

const (
	// ResultOther covers timeouts, cancellations and failures before the request
	// was sent; it says nothing about the request.
	ResultOther Result = iota
	// ResultResponded means that the server answered.
	ResultResponded
	// ResultConnectionLost means that the connection broke (reset or EOF before the
	// answer) while the request was in flight.
	ResultConnectionLost
)
