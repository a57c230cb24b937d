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
	// maxBufferedBody is the largest body that is kept for another attempt.
	maxBufferedBody = 64 << 10
	// bufferStep is how much the buffer grows at a time for bodies of unknown size.
	bufferStep = 4 << 10
	// unreadBodyWait is how long the rest of a body that nobody wants is read
	// after the answer. Closing at once would reset the connection, and the caller
	// could lose the answer.
	unreadBodyWait = 500 * time.Millisecond
	// defaultIdle applies when a preset gives no idle time.
	defaultIdle = 30 * time.Second
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
	call    *call
	present bool
	limit   int64
	idle    time.Duration
	// buffered is the whole body if it was read in advance, else nil.
	buffered []byte
	// overflowed says that the body was read in advance up to the limit and is larger.
	overflowed bool
	// prefix was read from the source and is delivered first.
	prefix []byte
	// keepLimit is how much of a streamed body is kept for another attempt, 0 for
	// nothing.
	keepLimit int

	mu sync.Mutex
	// readEnded is signalled when a read from the caller returns.
	readEnded sync.Cond
	// kept is the beginning of the body; offset is where the last attempt reads in
	// it. It is empty after the body has grown over keepLimit.
	kept     []byte
	offset   int
	outgrown bool
	// generation counts attempts; only the last one may read.
	generation int
	count      int64
	consumed   bool
	ended      bool
	closed     bool
	err        error
	// reading says that a read from the caller is in flight.
	reading bool
	// moved is when the last bytes came.
	moved time.Time
	// trailer receives the caller's trailers at the end of the body.
	trailer http.Header
	// stall cancels the attempt when a server does not take the body.
	stall *time.Timer
}

func (c *call) idleTimeout() time.Duration {
	if idle := c.limits.Idle(); idle > 0 {
		return idle
	}
	return defaultIdle
}

func (b *requestBody) init(c *call) {
	b.call = c
	b.limit = c.limits.MaxBodyBytes
	b.idle = c.idleTimeout()
	b.keepLimit = c.proxy.config.ReplayBodyBytes
	b.readEnded.L = &b.mu
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
	return !b.consumed || b.keeps() && (b.err == nil || b.err == io.EOF)
}

// keeps reports whether all bytes that were read so far are kept.
func (b *requestBody) keeps() bool {
	return b.keepLimit > 0 && !b.outgrown
}

// keep stores bytes that were read from the caller.
func (b *requestBody) keep(data []byte) {
	if !b.keeps() {
		return
	}
	if len(b.kept)+len(data) > b.keepLimit {
		b.kept, b.outgrown = nil, true
		return
	}
	b.kept = append(b.kept, data...)
}

// readError returns why reading from the caller failed, nil if it did not.
func (b *requestBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
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
	b.offset = 0
	b.readEnded.Broadcast()
	if b.consumed && !b.keeps() {
		// A late read of an earlier attempt took bytes; without them the body is
		// not whole.
		b.err = errBodyClosed
	}
	out.ContentLength = b.call.r.ContentLength
	out.Body = streamedBody{b, b.generation}
	if announced := announcedTrailers(b.call.r.Trailer); announced != nil {
		b.trailer = announced
		out.Trailer = announced
		out.ContentLength = -1
	}
}

// announcedTrailers returns the trailers that may be passed on, without values.
func announcedTrailers(from http.Header) http.Header {
	var to http.Header
	for name := range from {
		if hopHeaders[name] || isInternal(name) {
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
	for b.reading && !b.closed && generation == b.generation {
		// The attempt before has not returned from its last read.
		b.readEnded.Wait()
	}
	if b.closed || generation != b.generation {
		b.mu.Unlock()
		return 0, errBodyClosed
	}
	b.consumed = true
	if b.offset < len(b.kept) {
		n := copy(p, b.kept[b.offset:])
		b.offset += n
		if b.stall != nil {
			b.stall.Reset(b.idle)
		}
		b.mu.Unlock()
		return n, nil
	}
	if len(b.prefix) > 0 {
		n := copy(p, b.prefix)
		b.prefix = b.prefix[n:]
		if b.stall != nil {
			b.stall.Reset(b.idle)
		}
		b.mu.Unlock()
		return n, nil
	}
	if b.err != nil {
		b.mu.Unlock()
		return 0, b.err
	}
	if b.stall != nil {
		b.stall.Stop()
	}
	b.reading = true
	_ = b.call.control.SetReadDeadline(time.Now().Add(b.idle))
	b.mu.Unlock()

	n, err := b.call.r.Body.Read(p)

	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.moved = time.Now()
	b.readEnded.Broadcast()
	n, err = b.took(n, err)
	b.keep(p[:n])
	if generation != b.generation {
		if !b.keeps() {
			b.err = errBodyClosed
		}
		return 0, errBodyClosed
	}
	if b.keeps() {
		b.offset += n
	}
	return n, err
}

// took accounts for one read from the caller.
func (b *requestBody) took(n int, err error) (int, error) {
	if b.closed {
		return 0, errBodyClosed
	}
	b.count += int64(n)
	if b.limit > 0 && b.count > b.limit {
		n, err = 0, errBodyTooLarge
	}
	if err != nil {
		b.err = err
	}
	if err == io.EOF {
		b.ended = true
		for name := range b.trailer {
			b.trailer[name] = b.call.r.Trailer[name]
		}
	}
	if b.call.r.ProtoMajor >= 2 {
		// On HTTP/2 a deadline ends the body even while nobody reads. On HTTP/1.1
		// net/http removes it at the end of the body.
		_ = b.call.control.SetReadDeadline(time.Time{})
	}
	if err == nil && b.stall != nil {
		b.stall.Reset(b.idle)
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
	if b.stall != nil {
		b.stall.Stop()
	}
	b.stall = time.AfterFunc(b.idle, cancel)
	b.stall.Stop()
}

// answerMoved gives the body more time, because the idle time counts only while
// neither body makes progress.
func (b *requestBody) answerMoved() {
	if !b.present || b.buffered != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.ended || b.closed:
	case b.reading:
		_ = b.call.control.SetReadDeadline(time.Now().Add(b.idle))
	case b.stall != nil && b.err == nil:
		b.stall.Reset(b.idle)
	}
}

// movedWithin reports whether the body made progress within the idle time.
func (b *requestBody) movedWithin(idle time.Duration) bool {
	if !b.present || b.buffered != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.moved) < idle
}

// close ends the use of the caller's body by this call.
func (b *requestBody) close() {
	if !b.present {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.readEnded.Broadcast()
	if b.stall != nil {
		b.stall.Stop()
	}
	if !b.ended {
		_ = b.call.control.SetReadDeadline(time.Now().Add(unreadBodyWait))
	}
}

// boundUnreadBody bounds how long net/http reads the rest of a body that was
// refused before it was opened.
func boundUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyWait))
	}
}

// readAll reads up to a limit and reports whether the body ended.
func (b *requestBody) readAll(limit int) (data []byte, whole bool, err error) {
	size := bufferStep
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
	if c.r.ContentLength > maxBufferedBody || c.route.Class == preset.ClassUpload && c.r.ContentLength < 0 {
		return true
	}
	data, whole, err := b.readAll(maxBufferedBody)
	switch {
	case errors.Is(err, errBodyTooLarge):
		c.refuseTooLarge()
		return false
	case err != nil:
		c.proxy.config.Metrics.badBody.Inc()
		c.refuse(http.StatusBadRequest, "the body could not be read")
		return false
	case whole:
		b.buffered = data
	default:
		b.overflowed = true
		b.returnBytes(data)
	}
	return true
}

// returnBytes makes bytes that were read in advance the beginning of the body
// again.
func (b *requestBody) returnBytes(data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consumed = false
	if b.keeps() {
		b.offset = 0
		return
	}
	b.prefix = data
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
	ended := c.body.ended
	c.body.mu.Unlock()
	if !ended || len(c.r.TransferEncoding) > 0 {
		c.w.Header().Set("Connection", "close")
	}
}
