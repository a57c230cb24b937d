package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/retry"
)

const (
	// maxBufferedBodyBytes is the largest body that is kept for another attempt.
	maxBufferedBodyBytes = 64 << 10
	// initialBufferBytes is how much the buffer grows at a time for bodies of unknown size.
	initialBufferBytes = 4 << 10
	// unreadBodyTimeout is how long the rest of a body that nobody wants is read
	// after the answer. Closing at once would reset the connection, and the caller
	// could lose the answer.
	unreadBodyTimeout = 500 * time.Millisecond
	// defaultIdleTimeout applies when a preset gives no idle time.
	defaultIdleTimeout = 30 * time.Second
)

var (
	errBodyTooLarge = errors.New("body is larger than the class allows")
	errBodyClosed   = errors.New("body read after the end of the call")
)

// emptyBody is a body without bytes that http.Transport does not recognise as
// such.
type emptyBody struct{}

func (*emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (*emptyBody) Close() error             { return nil }

// requestBody reads a caller's body with an idle time per read and a limit on
// its size. The transport's goroutines may still read when the handler has
// returned; they then get an error and the connection is not touched.
type requestBody struct {
	call        *call
	present     bool
	maxBytes    int64
	idleTimeout time.Duration
	// buffered is the whole body if it was read in advance, else nil.
	buffered []byte
	// overflowed says that the body was read in advance up to the limit and is larger.
	overflowed bool
	// readAhead was read from the source and is delivered first.
	readAhead []byte
	// replayLimit is how much of a streamed body is kept for another attempt, 0 for
	// nothing.
	replayLimit int

	mu sync.Mutex
	// readDone is signalled when a read from the caller returns.
	readDone sync.Cond
	// replayBuffer is the beginning of the body; offset is where the last attempt reads in
	// it. It is empty after the body has grown over keepLimit.
	replayBuffer     []byte
	replayOffset     int
	replayOverflowed bool
	// generation counts attempts; only the last one may read.
	generation int
	bytesRead  int64
	consumed   bool
	atEOF      bool
	closed     bool
	readErr    error
	// readInFlight says that a read from the caller is in flight.
	readInFlight bool
	// lastProgress is when the last bytes came.
	lastProgress time.Time
	// trailer receives the caller's trailers at the end of the body.
	trailer http.Header
	// stallTimer cancels the attempt when a server does not take the body.
	stallTimer *time.Timer
}

func (c *call) bodyIdleTimeout() time.Duration {
	if idle := c.limits.Idle(); idle > 0 {
		return idle
	}
	return defaultIdleTimeout
}

func (b *requestBody) init(c *call) {
	b.call = c
	b.maxBytes = c.limits.MaxBodyBytes
	b.idleTimeout = c.bodyIdleTimeout()
	b.replayLimit = c.proxy.config.ReplayBodyBytes
	b.readDone.L = &b.mu
	b.present = c.r.Body != nil && c.r.Body != http.NoBody && c.r.ContentLength != 0
	if b.present && c.r.ProtoMajor == 1 {
		// Answers may start before the body ends; see closeIfBodyUnread.
		_ = c.control.EnableFullDuplex()
	}
}

// replayable reports whether another attempt can send the whole body.
func (b *requestBody) replayable() bool {
	if !b.present || b.buffered != nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.consumed || b.replayComplete() && (b.readErr == nil || b.readErr == io.EOF)
}

// replayComplete reports whether all bytes that were read so far are kept.
func (b *requestBody) replayComplete() bool {
	return b.replayLimit > 0 && !b.replayOverflowed
}

// addToReplay stores bytes that were read from the caller.
func (b *requestBody) addToReplay(data []byte) {
	if !b.replayComplete() {
		return
	}
	if len(b.replayBuffer)+len(data) > b.replayLimit {
		b.replayBuffer, b.replayOverflowed = nil, true
		return
	}
	b.replayBuffer = append(b.replayBuffer, data...)
}

// readError returns why reading from the caller failed, nil if it did not.
func (b *requestBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr
}

// readFailed reports whether the caller's side ended the body early.
func (b *requestBody) readFailed() bool {
	err := b.readError()
	return err != nil && err != io.EOF
}

// attach sets the body of an outgoing request.
func (b *requestBody) attach(out *http.Request) {
	switch {
	case !b.present:
		return
	case b.buffered != nil:
		out.ContentLength = int64(len(b.buffered))
		if len(b.buffered) > 0 {
			out.Body = io.NopCloser(bytes.NewReader(b.buffered))
		}
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.generation++
	b.replayOffset = 0
	b.readDone.Broadcast()
	if b.consumed && !b.replayComplete() {
		// A late read of an earlier attempt took bytes; without them the body is
		// not whole.
		b.readErr = errBodyClosed
	}
	out.ContentLength = b.call.r.ContentLength
	out.Body = streamedBody{b, b.generation}
	if declared := declaredTrailers(b.call.r.Trailer); declared != nil {
		b.trailer = declared
		out.Trailer = declared
		out.ContentLength = -1
	}
}

// declaredTrailers returns the trailers that may be passed on, without values.
func declaredTrailers(from http.Header) http.Header {
	var to http.Header
	for name := range from {
		if hopByHopHeaders[name] || isGatewayHeader(name) {
			continue
		}
		if to == nil {
			to = http.Header{}
		}
		to[name] = nil
	}
	return to
}

// streamedBody is the body of an outgoing request. Its Close does not reach the
// caller's body, so that an attempt that read nothing leaves it usable.
type streamedBody struct {
	body       *requestBody
	generation int
}

func (s streamedBody) Read(p []byte) (int, error) { return s.body.read(p, s.generation) }
func (s streamedBody) Close() error               { return nil }

// read serves the attempt of a generation; generation 0 reads in advance.
func (b *requestBody) read(p []byte, generation int) (int, error) {
	b.mu.Lock()
	for b.readInFlight && !b.closed && generation == b.generation {
		// The attempt before has not returned from its last read.
		b.readDone.Wait()
	}
	if b.closed || generation != b.generation {
		b.mu.Unlock()
		return 0, errBodyClosed
	}
	b.consumed = true
	if b.replayOffset < len(b.replayBuffer) {
		n := copy(p, b.replayBuffer[b.replayOffset:])
		b.replayOffset += n
		if b.stallTimer != nil {
			b.stallTimer.Reset(b.idleTimeout)
		}
		b.mu.Unlock()
		return n, nil
	}
	if len(b.readAhead) > 0 {
		n := copy(p, b.readAhead)
		b.readAhead = b.readAhead[n:]
		if b.stallTimer != nil {
			b.stallTimer.Reset(b.idleTimeout)
		}
		b.mu.Unlock()
		return n, nil
	}
	if b.readErr != nil {
		b.mu.Unlock()
		return 0, b.readErr
	}
	if b.stallTimer != nil {
		b.stallTimer.Stop()
	}
	b.readInFlight = true
	_ = b.call.control.SetReadDeadline(time.Now().Add(b.idleTimeout))
	b.mu.Unlock()

	n, err := b.call.r.Body.Read(p)

	b.mu.Lock()
	defer b.mu.Unlock()
	b.readInFlight = false
	b.lastProgress = time.Now()
	b.readDone.Broadcast()
	n, err = b.accountRead(n, err)
	b.addToReplay(p[:n])
	if generation != b.generation {
		if !b.replayComplete() {
			b.readErr = errBodyClosed
		}
		return 0, errBodyClosed
	}
	if b.replayComplete() {
		b.replayOffset += n
	}
	return n, err
}

// accountRead accounts for one read from the caller.
func (b *requestBody) accountRead(n int, err error) (int, error) {
	if b.closed {
		return 0, errBodyClosed
	}
	b.bytesRead += int64(n)
	if b.maxBytes > 0 && b.bytesRead > b.maxBytes {
		n, err = 0, errBodyTooLarge
	}
	if err != nil {
		b.readErr = err
	}
	if err == io.EOF {
		b.atEOF = true
		for name := range b.trailer {
			b.trailer[name] = b.call.r.Trailer[name]
		}
	}
	if b.call.r.ProtoMajor >= 2 {
		// On HTTP/2 a deadline ends the body even while nobody reads. On HTTP/1.1
		// net/http removes it at the end of the body.
		_ = b.call.control.SetReadDeadline(time.Time{})
	}
	if err == nil && b.stallTimer != nil {
		b.stallTimer.Reset(b.idleTimeout)
	}
	return n, err
}

// startStallTimer cancels an attempt when its server takes nothing from a streamed body
// for the idle time.
func (b *requestBody) startStallTimer(cancel func()) {
	if !b.present || b.buffered != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stallTimer != nil {
		b.stallTimer.Stop()
	}
	b.stallTimer = time.AfterFunc(b.idleTimeout, cancel)
	b.stallTimer.Stop()
}

// responseProgressed gives the body more time, because the idle time counts only while
// neither body makes progress.
func (b *requestBody) responseProgressed() {
	if !b.present || b.buffered != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.atEOF || b.closed:
	case b.readInFlight:
		_ = b.call.control.SetReadDeadline(time.Now().Add(b.idleTimeout))
	case b.stallTimer != nil && b.readErr == nil:
		b.stallTimer.Reset(b.idleTimeout)
	}
}

// progressedWithin reports whether the body made progress within the idle time.
func (b *requestBody) progressedWithin(idle time.Duration) bool {
	if !b.present || b.buffered != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.lastProgress) < idle
}

// close ends the use of the caller's body by this call.
func (b *requestBody) close() {
	if !b.present {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.readDone.Broadcast()
	if b.stallTimer != nil {
		b.stallTimer.Stop()
	}
	if !b.atEOF {
		_ = b.call.control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// boundUnreadBody bounds how long net/http reads the rest of a body that was
// refused before it was opened.
func boundUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// readUpTo reads up to a limit and reports whether the body ended.
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

// bufferBody reads bodies of up to 64 KiB in advance where another attempt or
// the fingerprint of a key needs them. It reports whether the call may go on.
func (c *call) bufferBody() bool {
	b := &c.body
	if !b.present || c.safety == retry.NonIdempotent || len(c.r.Trailer) > 0 {
		return true
	}
	if c.r.ContentLength > maxBufferedBodyBytes || c.route.Class == preset.ClassUpload && c.r.ContentLength < 0 {
		return true
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

// unread makes bytes that were read in advance the beginning of the body
// again.
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

// closeIfBodyUnread makes an HTTP/1.1 connection end after the answer if the
// body has not been read to its end: what follows on the connection could
// otherwise be taken for a request. Connections with chunked requests are
// closed too, since net/http does not tell whether the request also had a
// Content-Length, by which a proxy in front could have read it differently
// (RFC 9112, 6.1).
func (c *call) closeIfBodyUnread() {
	if c.r.ProtoMajor != 1 || !c.body.present && c.r.ContentLength == 0 {
		return
	}
	c.body.mu.Lock()
	atEOF := c.body.atEOF
	c.body.mu.Unlock()
	if !atEOF || len(c.r.TransferEncoding) > 0 {
		c.w.Header().Set("Connection", "close")
	}
}
