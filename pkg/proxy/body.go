package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// unreadBodyTimeout limits how long the unread rest of a body is drained after
	// the response. Closing the connection at once would send a reset, and the caller
	// could lose the response.
	unreadBodyTimeout = 500 * time.Millisecond
	// defaultIdleTimeout applies if the preset sets no idle timeout.
	defaultIdleTimeout = 30 * time.Second
)

var (
	errBodyTooLarge = errors.New("body is larger than the class allows")
	errBodyClosed   = errors.New("request body read after its attempt or call ended")
)

// requestBody reads a caller's body with an idle timeout for each read and a limit
// on its size. Goroutines of http.Transport may still read after the handler has
// returned. They get an error then, and the caller's connection is not touched.
type requestBody struct {
	call        *call
	present     bool
	maxBytes    int64
	idleTimeout time.Duration
	// buffered is the complete body if it was read before the first attempt, else nil.
	buffered []byte
	// overflowed is set if the body turned out to be larger than
	// maxBufferedBodyBytes while it was buffered.
	overflowed bool
	// readAhead holds bytes that were read from the caller but not yet sent; read
	// returns them first.
	readAhead []byte
	// replayLimit is how many bytes of a streamed body are kept for another attempt;
	// 0 keeps none.
	replayLimit int

	mu sync.Mutex
	// stateChanged is signaled when a read from the caller returns, when another
	// attempt takes over and when the body is closed.
	stateChanged sync.Cond
	// replayBuffer holds the bytes read so far; it is dropped, and replayOverflowed
	// set, once they exceed replayLimit. replayOffset is the position of the latest
	// attempt in it.
	replayBuffer     []byte
	replayOffset     int
	replayOverflowed bool
	// generation counts the attempts; only the latest may read.
	generation int
	bytesRead  int64
	// consumed is set by the first read and cleared by unread.
	consumed bool
	atEOF    bool
	closed   bool
	readErr  error
	// readInFlight is set while a read from the caller is in flight.
	readInFlight bool
	// lastProgress is when the last read from the caller returned.
	lastProgress time.Time
	// trailer is the trailer of the outgoing request; the values are set at the end
	// of the body.
	trailer http.Header
	// stallTimer cancels the attempt if its server stops reading the body.
	stallTimer *time.Timer
}

func (c *call) idleTimeout() time.Duration {
	if idle := c.limits.Idle(); idle > 0 {
		return idle
	}
	return defaultIdleTimeout
}

func (b *requestBody) init(c *call) {
	b.call = c
	b.maxBytes = c.limits.MaxBodyBytes
	b.idleTimeout = c.idleTimeout()
	b.replayLimit = c.proxy.config.ReplayBodyBytes
	b.stateChanged.L = &b.mu
	b.present = c.r.Body != nil && c.r.Body != http.NoBody && c.r.ContentLength != 0
	if b.present && c.r.ProtoMajor == 1 {
		// The response may start before the request body ends; see
		// closeIfBodyUnread.
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

// replayComplete reports whether the replay buffer holds all bytes read so far.
func (b *requestBody) replayComplete() bool {
	return b.replayLimit > 0 && !b.replayOverflowed
}

// addToReplay appends bytes that were read from the caller to the replay buffer.
func (b *requestBody) addToReplay(data []byte) {
	if !b.replayComplete() {
		return
	}
	if len(b.replayBuffer)+len(data) > b.replayLimit || !b.call.mayKeep(len(data), false) {
		b.replayBuffer, b.replayOverflowed = nil, true
		return
	}
	b.replayBuffer = append(b.replayBuffer, data...)
}

// readError returns the error that ended reading from the caller, io.EOF at the end
// of the body and nil before.
func (b *requestBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr
}

// readFailed reports whether reading from the caller failed before the end of the
// body.
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
	b.stateChanged.Broadcast()
	if b.consumed && !b.replayComplete() {
		// An earlier attempt consumed bytes that are not in the replay buffer, so
		// this attempt cannot send the complete body.
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

// declaredTrailers returns the names of the trailers that may be forwarded, without
// values.
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

// streamedBody is the body of one attempt's request. Close leaves the caller's body
// open, so that another attempt can still use it.
type streamedBody struct {
	body       *requestBody
	generation int
}

func (s streamedBody) Read(p []byte) (int, error) { return s.body.read(p, s.generation) }
func (s streamedBody) Close() error               { return nil }

// read reads for the attempt with the given generation. Generation 0 stands for
// reads before the first attempt.
func (b *requestBody) read(p []byte, generation int) (int, error) {
	b.mu.Lock()
	for b.readInFlight && !b.closed && generation == b.generation {
		// A read of the previous attempt has not returned.
		b.stateChanged.Wait()
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
	b.stateChanged.Broadcast()
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

// accountRead applies the size limit to the result of one read from the caller and
// records an error, the end of the body and its trailers.
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
		// On HTTP/2 an expired deadline ends the body even while no read is in
		// flight. On HTTP/1.1 net/http clears the deadline at the end of the body.
		_ = b.call.control.SetReadDeadline(time.Time{})
	}
	if err == nil && b.stallTimer != nil {
		b.stallTimer.Reset(b.idleTimeout)
	}
	return n, err
}

// close makes later reads fail and limits how long net/http drains the unread rest.
func (b *requestBody) close() {
	if !b.present {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.stateChanged.Broadcast()
	if b.stallTimer != nil {
		b.stallTimer.Stop()
	}
	if !b.atEOF {
		_ = b.call.control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// limitUnreadBodyDrain limits how long net/http drains the body of a request that is
// refused before it has an initialized requestBody.
func limitUnreadBodyDrain(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// closeIfBodyUnread closes an HTTP/1.1 connection after the response if the request
// body was not read to its end, because the remaining bytes could be parsed as a
// request. Connections with chunked requests are closed too: net/http does not
// report whether such a request also had a Content-Length, by which a proxy in front
// could have framed it differently (RFC 9112, 6.1).
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
