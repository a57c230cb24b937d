// Package responsecheck decides what is an HTTP response and where it ends. A Stream checks the
// bytes of an HTTP/1.x connection before a client library parses them, because a library may accept
// more than the protocol does, and Parsed checks responses whose bytes are not seen, those of HTTP/2.
// Package serverconn applies both to all connections. The package does no I/O, starts no goroutine
// and reads no clock.
package responsecheck

import "fmt"

// Reason says why a response was refused. It is the value of a metric label.
type Reason string

const (
	// ReasonUnframed means that the body has neither a length nor chunks, so that its end cannot
	// be distinguished from a lost connection.
	ReasonUnframed Reason = "unframed"
	// ReasonFraming means that the length or the coding of the body is invalid or ambiguous.
	ReasonFraming Reason = "framing"
	// ReasonStatusLine means that the first line is not that of an HTTP/1.x response.
	ReasonStatusLine Reason = "status_line"
	// ReasonStatus means that the status is not one of HTTP.
	ReasonStatus Reason = "status"
	// ReasonField means that a line of the head or of the trailer is not a field.
	ReasonField Reason = "field"
	// ReasonUpgrade means that the server switched protocols without being asked.
	ReasonUpgrade Reason = "upgrade"
	// ReasonUnrequested means that the server sent bytes while no response was due.
	ReasonUnrequested Reason = "unrequested"
)

// Error is the refusal of a response.
type Error struct {
	Reason Reason
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	return "response refused: " + e.Detail
}

// maxExcerptBytes bounds what an error repeats of a response.
const maxExcerptBytes = 80

// refuse returns an Error whose detail ends with the offending part of the response.
func refuse(reason Reason, detail string, excerpt []byte) *Error {
	return &Error{Reason: reason, Detail: fmt.Sprintf("%s: %q", detail, excerpt[:min(len(excerpt), maxExcerptBytes)])}
}
