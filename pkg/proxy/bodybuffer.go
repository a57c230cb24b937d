package proxy

import (
	"errors"
	"io"
	"net/http"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/retry"
)

const (
	// maxBufferedBodyBytes is the size of the largest body that is read in full
	// before the first attempt.
	maxBufferedBodyBytes = 64 << 10
	// initialBufferBytes is the initial size of the buffer for a body of unknown
	// length.
	initialBufferBytes = 4 << 10
)

// readUpTo reads to the end of the body or until it has more than limit bytes, and
// reports whether the body is complete.
func (b *requestBody) readUpTo(limit int) (data []byte, complete bool, err error) {
	size := initialBufferBytes
	if length := b.call.r.ContentLength; length > 0 {
		size = int(min(length, int64(limit)))
	}
	data = make([]byte, 0, size+1)
	for len(data) <= limit {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := b.read(data[len(data):min(cap(data), limit+1)], 0)
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return data, false, nil
}

// bufferBody reads a body of up to maxBufferedBodyBytes before the first attempt if
// another attempt or the fingerprint of an idempotency key needs it. It refuses the
// call and returns false if the body is too large or cannot be read.
func (c *call) bufferBody() bool {
	b := &c.body
	if !b.present || c.safety == retry.NonIdempotent || len(c.r.Trailer) > 0 {
		return true
	}
	if c.r.ContentLength > maxBufferedBodyBytes || c.route.Class == preset.ClassUpload && c.r.ContentLength < 0 {
		return true
	}
	if !c.mayKeep(bufferSize(c.r.ContentLength, maxBufferedBodyBytes), true) {
		c.proxy.config.Metrics.crowded.Inc()
		c.refuse(http.StatusServiceUnavailable, crowdedDetail)
		return false
	}
	data, complete, err := b.readUpTo(maxBufferedBodyBytes)
	switch {
	case errors.Is(err, errBodyTooLarge):
		c.refuseTooLarge()
		return false
	case err != nil:
		c.proxy.config.Metrics.badBody.Inc()
		c.refuse(http.StatusBadRequest, "the body could not be read")
		return false
	case complete:
		b.buffered = data
	default:
		b.overflowed = true
		b.unread(data)
	}
	return true
}

// bufferSize returns how many bytes a buffer for a body takes, of which limit bytes are kept; length
// is -1 if it is not known.
func bufferSize(length int64, limit int) int {
	if length < 0 {
		return limit
	}
	return int(min(length, int64(limit)))
}

// mayKeep reports whether the call may keep so many more bytes of its bodies.
func (c *call) mayKeep(bytes int, essential bool) bool {
	return c.proxy.config.KeepBytes == nil || c.proxy.config.KeepBytes(c.r.Context(), bytes, essential)
}

// crowdedDetail is the detail of the refusal of a call for which the gateway has no room.
const crowdedDetail = "the gateway has too many calls in flight"

// RefuseCrowded refuses a request because the gateway has too many calls in flight.
func (p *Proxy) RefuseCrowded(w http.ResponseWriter, r *http.Request) {
	p.config.Metrics.crowded.Inc()
	p.config.Protocol.SetRequestID(w.Header(), p.requestID(r))
	p.refuseUnrouted(w, r, p.config.Now(), 0, http.StatusServiceUnavailable, crowdedDetail)
}

// unread puts bytes that were read before the first attempt back to the beginning
// of the body.
func (b *requestBody) unread(data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consumed = false
	if b.replayComplete() {
		b.replayOffset = 0
		return
	}
	b.readAhead = data
}
