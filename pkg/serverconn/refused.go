package serverconn

import (
	"errors"
	"strings"
)

// http2StreamError has the same fields as the unexported stream error of net/http,
// whose As method converts to any such type.
type http2StreamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

func (e http2StreamError) Error() string { return "HTTP/2 stream error" }

const (
	// errCodeRefusedStream guarantees that the server did not process the request
	// (RFC 9113, 8.7).
	errCodeRefusedStream = 7
	// cannotRetryPrefix starts the error of net/http for a request that it would have
	// resent but for its body. The cause follows only as text and is not wrapped.
	cannotRetryPrefix = "http2: Transport: cannot retry err ["
	streamErrorPrefix = "stream error: stream ID "
	goAwayError       = "http2: Transport received Server's graceful shutdown GOAWAY]"
)

// RefusedStream reports whether an HTTP/2 server guaranteed that it did not process
// the request: by REFUSED_STREAM, or by a GOAWAY frame that excludes the stream. The
// text is compared from its beginning, because other errors contain the debug data of
// a GOAWAY frame, which the server chooses.
func RefusedStream(err error) bool {
	if err == nil {
		return false
	}
	var stream http2StreamError
	if errors.As(err, &stream) {
		return stream.Code == errCodeRefusedStream
	}
	cause, ok := strings.CutPrefix(err.Error(), cannotRetryPrefix)
	if !ok {
		return false
	}
	if strings.HasPrefix(cause, goAwayError) {
		return true
	}
	detail, ok := strings.CutPrefix(cause, streamErrorPrefix)
	return ok && strings.HasPrefix(strings.TrimLeft(detail, "0123456789"), "; REFUSED_STREAM")
}
