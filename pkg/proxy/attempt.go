package proxy

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"balsamhill/pkg/attempts"
	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/handoff"
	"balsamhill/pkg/responsecheck"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/serverconn"
)

// Causes with which attempts are canceled.
var (
	errDeadline  = errors.New("time for the attempt ended")
	errIdle      = errors.New("body transfer idle for too long")
	errDenied    = errors.New("attempt denied before it was sent")
	errWithdrawn = errors.New("attempt denied because the server is leaving or asked for a pause")
	errStopping  = errors.New("attempt denied because the gateway stops before the time limit of the call")
	errGuarded   = errors.New("attempt denied by the crash guard")
	errNotNeeded = errors.New("attempt no longer needed")
	errCallEnded = errors.New("call ended")
	// errUnusableResponse stands for ResponseMismatched and for ResponseUnconfirmed.
	errUnusableResponse = errors.New("the answer does not belong to the request")
)

// attempt is one request to one server on behalf of a call. send runs in one
// goroutine. While it runs, other goroutines read only reused, which is atomic, and
// the fields that are set before send: server, number, startedAt and cancel. They
// read the others after send has returned.
type attempt struct {
	call      *call
	server    *routing.Server
	number    int
	ctx       context.Context
	cancel    context.CancelCauseFunc
	startedAt int64
	// inFlightBefore and slowdownBefore are the server's requests in flight and its
	// slowdown, as recorded before the attempt.
	inFlightBefore, slowdownBefore float64

	// conn carries the request; it is nil until a connection was assigned, and if the
	// transport does not track its connections. writesBefore is the number of writes
	// on conn before this request.
	conn         *serverconn.Conn
	writesBefore int64
	// fresh requires a fresh connection (see ServerTransport). A hedge and the attempt
	// after a first-byte timeout need one, because all pooled connections may have
	// stopped responding for the same reason.
	fresh bool
	// reused reports whether the connection had carried a request before.
	reused atomic.Bool
	// gotConnection reports whether a connection was assigned.
	gotConnection bool
	// resent reports whether bytes were written on an earlier connection of this
	// attempt.
	resent bool
	// denied reports whether the attempt was forbidden: by the claim, by the crash
	// guard, because the gateway ends too soon, because the server withdrew, or because
	// the transport was about to resend the request.
	denied bool
	// denyReason is the detail of the refusal if the crash guard, the end of the gateway or
	// the server's withdrawal denied the attempt, else empty.
	denyReason string
	// withdrawn reports whether the attempt was denied because its server withdrew after it
	// was chosen. Another server may be tried.
	withdrawn bool

	// handoff describes the call to the gateway to which the attempt hands it off. declined
	// says that that gateway did not take the call, and conclusive that its refusal is the
	// response.
	handoff              handoff.Request
	declined, conclusive bool
	// refusedElsewhere says that the response is a refusal of a call that may have run.
	refusedElsewhere bool

	dispatch     Dispatch
	response     *http.Response
	responseKind ResponseKind
	err          error
	result       retry.Result
	// inSet is the number of the attempt in the set of its call.
	inSet attempts.Number
}

func (c *call) newAttempt(server *routing.Server) *attempt {
	c.attemptCount++
	now := c.proxy.config.Now()
	a := &attempt{call: c, server: server, number: c.attemptCount, startedAt: now, slowdownBefore: server.Stats.ReportedSlowdown()}
	if a.slowdownBefore > 0 {
		// Only calls at servers that report their slowdown are samples for the
		// service-time estimate.
		a.inFlightBefore = c.view.InFlightWith(server, now)
	}
	if server.Gateway {
		a.recordHandoff()
	}
	a.ctx, a.cancel = context.WithCancelCause(c.baseContext)
	c.latestAttempt.Store(a)
	return a
}

// newFreshAttempt returns an attempt that uses a fresh connection.
func (c *call) newFreshAttempt(server *routing.Server) *attempt {
	a := c.newAttempt(server)
	a.fresh = true
	return a
}

// startTimeout cancels the attempt after the given time; 0 means no limit. The returned
// function stops the timer.
func (a *attempt) startTimeout(wait time.Duration) (stop func()) {
	if wait <= 0 {
		return func() {}
	}
	timer := time.AfterFunc(wait, func() { a.cancel(errDeadline) })
	return func() { timer.Stop() }
}

// send sends the request and waits for the response header or a failure.
func (a *attempt) send() {
	c := a.call
	guard := a.crashGuard()
	// The first attempt was admitted before its server was chosen; see
	// acquireCrashGuard.
	if guard != nil && a.number > 1 {
		a.denyReason = c.admitByCrashGuard(c.crashFingerprint)
		if a.denyReason != "" {
			a.denied = true
			a.err = errGuarded
			a.result = retry.NeverWritten
			a.cancel(errGuarded)
			return
		}
	}
	a.server.Stats.Start()
	a.roundTrip()
	a.result = a.classify()
	if a.denied {
		a.err = context.Cause(a.ctx)
	}
	now := c.proxy.config.Now()
	if a.server.Gateway {
		a.recordHandoffResult()
	}
	if a.response != nil {
		a.recordResponse(now)
	} else {
		if a.serverFailed() {
			a.server.Stats.Failure()
		}
		a.server.Stats.End()
	}
	if guard != nil {
		guard.Done(now, crashguard.Attempt{
			Fingerprint: c.crashFingerprint, SentAt: a.startedAt,
			Server: crashguard.Server{ID: a.server.ID, Incarnation: a.server.Incarnation},
		}, a.guardResult())
	}
}

// crashGuard returns the crash guard that applies to the attempt, nil for none. The gateway to
// which a call is handed off applies its own.
func (a *attempt) crashGuard() CrashGuard {
	if a.server.Gateway {
		return nil
	}
	return a.call.proxy.config.CrashGuard
}

// acquireCrashGuard asks the crash guard to admit the first attempt, and refuses the
// call if it does not.
func (c *call) acquireCrashGuard() bool {
	if c.proxy.config.CrashGuard == nil {
		return true
	}
	c.crashFingerprint = c.computeCrashFingerprint()
	reason := c.admitByCrashGuard(c.crashFingerprint)
	if reason == "" {
		return true
	}
	c.proxy.config.Metrics.failed[retry.NeverWritten].Inc()
	c.refuse(http.StatusServiceUnavailable, reason)
	return false
}

// releaseCrashGuard ends the admission by acquireCrashGuard of a call that is refused
// before its first attempt.
func (c *call) releaseCrashGuard() {
	guard := c.proxy.config.CrashGuard
	if guard != nil {
		guard.Done(c.proxy.config.Now(), crashguard.Attempt{Fingerprint: c.crashFingerprint}, crashguard.ResultOther)
	}
}

func (a *attempt) roundTrip() {
	c := a.call
	trace := &httptrace.ClientTrace{GotConn: a.gotConn, Got1xxResponse: a.got1xx}
	a.dispatch = c.newDispatch(a.server, a.number)
	if a.server.Gateway {
		a.dispatch.Handoff = a.handoff.String()
	}
	request := c.outgoingRequest(a.server, a.dispatch).WithContext(httptrace.WithClientTrace(a.ctx, trace))
	c.body.initStallTimer(func() { a.cancel(errIdle) })
	fresh := a.fresh || c.safety != retry.Idempotent
	if a.server.Gateway {
		a.response, a.err = c.proxy.config.Handoff.RoundTrip(fresh, request)
	} else {
		a.response, a.err = c.proxy.config.Transport.RoundTrip(c.serviceName, fresh, request)
	}
	if a.err != nil {
		a.response = nil
		return
	}
	if a.server.Gateway {
		a.classifyHandoff()
	} else {
		a.responseKind = c.proxy.config.Protocol.ClassifyResponse(a.response, a.dispatch)
		a.recordWithdrawal()
	}
	switch a.responseKind {
	case ResponseMismatched, ResponseUnconfirmed:
		a.dropResponse(errUnusableResponse)
	default:
		a.bufferResponse()
	}
}

// dropResponse discards a response that must not be forwarded, and closes its
// connection unless other requests share it.
func (a *attempt) dropResponse(cause error) {
	a.err = cause
	_ = a.response.Body.Close()
	if a.conn != nil && !a.conn.Multiplexed() {
		_ = a.conn.Close()
	}
	a.response = nil
}

// bufferResponse reads up to ResponseBufferBytes of the response body. If the body
// breaks off within them, the attempt has failed and can be retried.
func (a *attempt) bufferResponse() {
	limit := a.call.proxy.config.ResponseBufferBytes
	if limit == 0 || a.response.Body == http.NoBody || a.response.StatusCode == http.StatusSwitchingProtocols ||
		!a.call.mayKeep(bufferSize(a.response.ContentLength, limit), false) {
		return
	}
	err := serverconn.BufferBody(a.response, limit)
	if err != nil {
		// The response is as unusable as one to another request.
		a.responseKind = ResponseMismatched
		a.dropResponse(err)
	}
}

// gotConn is called by the transport immediately before it writes the request.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if a.gotConnection && !a.onMultiplexedConn() && a.written() {
		a.resent = true
	}
	a.gotConnection = true
	a.reused.Store(info.Reused)
	conn, _ := info.Conn.(*serverconn.Conn)
	a.conn = conn
	if conn != nil {
		conn.Expect(responsecheck.Request{Method: a.call.r.Method, Upgrade: a.call.upgrade != ""})
		a.writesBefore = conn.Writes()
		if !conn.Multiplexed() {
			conn.SetUserTimeoutOff(a.call.upgrade != "" || a.call.body.present && a.call.body.buffered == nil)
		}
	}
	c := a.call
	if a.resent && c.safety != retry.Idempotent {
		c.proxy.config.Metrics.resendsRefused.Inc()
		a.deny(errDenied)
		return
	}
	switch {
	case c.ticket != nil && !c.proxy.config.Claims.MayDispatch(*c.ticket):
		a.deny(errDenied)
	case c.outlivesGateway():
		a.denyStopping()
	case a.server.Stats.Withdrawal.Withdrawn(c.proxy.config.Now()):
		a.denyWithdrawn()
	}
}

// onMultiplexedConn reports whether the request uses an HTTP/2 connection. There,
// http.Transport assigns another connection to a request with a body only if the
// first one could not be used at all.
func (a *attempt) onMultiplexedConn() bool {
	return a.conn != nil && a.conn.Multiplexed()
}

// deny keeps the transport from writing the request. On HTTP/2 canceling the
// context is enough, because the transport checks it before it writes. On HTTP/1.1
// it does not check, but the connection belongs to this request alone and can be
// closed.
func (a *attempt) deny(cause error) {
	a.denied = true
	a.cancel(cause)
	if a.conn != nil && !a.conn.Multiplexed() {
		_ = a.conn.Close()
	}
}

// written reports whether a byte of the request may have been written on the
// current or an earlier connection.
func (a *attempt) written() bool {
	switch {
	case a.resent:
		return true
	case !a.gotConnection:
		return false
	case a.conn == nil:
		return true
	case a.onMultiplexedConn():
		return !a.denied
	case a.conn.Writes() != a.writesBefore:
		return true
	}
	// The transport's goroutine may be about to write. After Close no byte can be
	// sent, and Close waits for a write in progress.
	_ = a.conn.Close()
	return a.conn.Writes() != a.writesBefore
}

// got1xx forwards informational responses. net/http itself sends 100 Continue when
// the body is read.
func (a *attempt) got1xx(code int, header textproto.MIMEHeader) error {
	if code != http.StatusContinue {
		a.call.informational.send(code, http.Header(header))
	}
	return nil
}

// discard cancels an attempt and drops its response.
func (a *attempt) discard() {
	a.cancel(errNotNeeded)
	if a.response == nil {
		return
	}
	a.call.proxy.config.Metrics.lateResponses.Inc()
	_ = a.response.Body.Close()
	a.server.Stats.End()
}

// finish ends an attempt whose response was delivered.
func (a *attempt) finish() {
	_ = a.response.Body.Close()
	a.server.Stats.End()
	a.cancel(errCallEnded)
}

// informationalWriter forwards informational responses to the caller until the
// final response begins.
type informationalWriter struct {
	protocol Protocol
	mu       sync.Mutex
	w        http.ResponseWriter
	closed   bool
}

func (i *informationalWriter) send(code int, header http.Header) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed || i.w == nil {
		return
	}
	to := i.w.Header()
	saved := to.Clone()
	clear(to)
	copyResponseHeader(i.protocol, to, header)
	i.w.WriteHeader(code)
	clear(to)
	maps.Copy(to, saved)
}

func (i *informationalWriter) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}
