package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// Causes for which attempts are cancelled.
var (
	errDeadline = errors.New("time for the attempt ended")
	errIdle     = errors.New("no progress of a body")
	errDenied   = errors.New("the attempt must not be sent")
	errLost     = errors.New("another attempt answered first")
	errDone     = errors.New("the call ended")
	errForeign  = errors.New("the answer does not belong to the request")
)

// attempt is one try to get the answer from one server. send runs in one
// goroutine; the fields are read by others only after it returned.
type attempt struct {
	call    *call
	server  *routing.Server
	number  int
	ctx     context.Context
	cancel  context.CancelCauseFunc
	started int64
	// loadBefore and paceBefore are what was known of the server before the attempt.
	loadBefore, paceBefore float64

	// conn carries the request; base is its count of writes before.
	conn *trackedConn
	base int64
	// fresh asks for a connection that is known to work. A second attempt needs
	// one: all pooled connections may have gone silent for the same reason.
	fresh bool
	// reused says that the connection had carried a request before.
	reused atomic.Bool
	// got says that a connection was assigned.
	got bool
	// resent says that an earlier connection of this attempt was written to.
	resent bool
	// denied says that the claim or the resend rule forbade the attempt.
	denied bool
	// guarded is why the crash guard refused the attempt.
	guarded string

	dispatch  Dispatch
	response  *http.Response
	judgement ResponseKind
	err       error
	end       retry.Result
}

func (c *call) newAttempt(server *routing.Server) *attempt {
	c.sent++
	now := c.proxy.config.Now()
	a := &attempt{call: c, server: server, number: c.sent, started: now, paceBefore: server.Stats.ReportedSlowdown()}
	if a.paceBefore > 0 {
		// Only calls at servers that report their pace are samples of the work.
		a.loadBefore = c.view.InFlightWith(server, now)
	}
	a.ctx, a.cancel = context.WithCancelCause(c.base)
	c.newest.Store(a)
	return a
}

// freshAttempt is an attempt over a connection that is known to work.
func (c *call) freshAttempt(server *routing.Server) *attempt {
	a := c.newAttempt(server)
	a.fresh = true
	return a
}

// limit bounds the time to the answer's header. The returned function ends the
// limit; 0 means no limit.
func (a *attempt) limit(wait time.Duration) (stop func()) {
	if wait <= 0 {
		return func() {}
	}
	timer := time.AfterFunc(wait, func() { a.cancel(errDeadline) })
	return func() { timer.Stop() }
}

// send sends the request and waits for the answer's header or a failure.
func (a *attempt) send() {
	c := a.call
	guard := c.proxy.config.CrashGuard
	// The guard admitted the first attempt before its server was chosen.
	if guard != nil && a.number > 1 {
		a.guarded = c.admitByCrashGuard(c.fingerprint)
		if a.guarded != "" {
			a.denied = true
			a.end = retry.NeverWritten
			a.cancel(errDenied)
			return
		}
	}
	a.server.Stats.Start()
	a.roundTrip()
	a.end = a.classify()
	now := c.proxy.config.Now()
	if a.response != nil {
		a.observe(now)
	} else {
		if a.serverFailed() {
			a.server.Stats.Failure()
		}
		a.server.Stats.End()
	}
	if guard != nil {
		guard.Done(now, c.fingerprint, a.guardEnd(), a.server.ID)
	}
}

// passGuard asks the crash guard about the first attempt, and refuses the call
// if it may not be sent.
func (c *call) passGuard() bool {
	if c.proxy.config.CrashGuard == nil {
		return true
	}
	c.fingerprint = c.crashFingerprint()
	reason := c.admitByCrashGuard(c.fingerprint)
	if reason == "" {
		return true
	}
	c.proxy.config.Metrics.failed[retry.NeverWritten].Inc()
	c.refuse(http.StatusServiceUnavailable, reason)
	return false
}

// leaveGuard ends an admission of passGuard that no attempt followed.
func (c *call) leaveGuard() {
	guard := c.proxy.config.CrashGuard
	if guard != nil {
		guard.Done(c.proxy.config.Now(), c.fingerprint, crashguard.ResultOther, "")
	}
}

func (a *attempt) roundTrip() {
	c := a.call
	trace := &httptrace.ClientTrace{GotConn: a.gotConn, Got1xxResponse: a.got1xx}
	a.dispatch = c.newDispatch(a.server, a.number)
	request := c.outgoingRequest(a.server, a.dispatch).WithContext(httptrace.WithClientTrace(a.ctx, trace))
	c.body.startStallTimer(func() { a.cancel(errIdle) })
	fresh := a.fresh || c.safety != retry.Idempotent
	a.response, a.err = c.proxy.config.Servers.RoundTrip(c.target, fresh, request)
	if a.err != nil {
		a.response = nil
		return
	}
	a.judgement = c.proxy.config.Protocol.ClassifyResponse(a.response, a.dispatch)
	switch a.judgement {
	case ResponseMismatched, ResponseUnconfirmed:
		a.dropAnswer(errForeign)
	default:
		a.readAnswer()
	}
}

// dropAnswer gives up an answer that must not be passed on, and its connection.
func (a *attempt) dropAnswer(cause error) {
	a.err = cause
	_ = a.response.Body.Close()
	if a.conn != nil && !a.conn.shared {
		_ = a.conn.Close()
	}
	a.response = nil
}

// readAnswer reads the beginning of the answer's body. A body that breaks off
// within it is a failure of the attempt, and one that ends has a length.
func (a *attempt) readAnswer() {
	limit := a.call.proxy.config.ResponseBufferBytes
	body := a.response.Body
	if limit == 0 || body == http.NoBody || a.response.StatusCode == http.StatusSwitchingProtocols {
		return
	}
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	switch {
	case err != nil:
		a.judgement = ResponseMismatched
		a.dropAnswer(err)
	case len(data) > limit:
		a.response.Body = joinedBody{io.MultiReader(bytes.NewReader(data), body), body}
	default:
		_ = body.Close()
		a.response.Body = io.NopCloser(bytes.NewReader(data))
		a.response.ContentLength = int64(len(data))
		a.response.TransferEncoding = nil
	}
}

// joinedBody reads what was buffered and then the rest of a body.
type joinedBody struct {
	io.Reader
	io.Closer
}

// gotConn runs immediately before the request is written.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if a.got && !a.onShared() && a.written() {
		a.resent = true
	}
	a.got = true
	a.reused.Store(info.Reused)
	conn, _ := info.Conn.(*trackedConn)
	a.conn = conn
	if conn != nil {
		a.base = conn.writes.Load()
		if !conn.shared {
			conn.setPatient(a.call.upgrade != "" || a.call.body.present && a.call.body.buffered == nil)
		}
	}
	c := a.call
	if a.resent && c.safety != retry.Idempotent {
		c.proxy.config.Metrics.resends.Inc()
		a.deny()
		return
	}
	if c.ticket != nil && !c.proxy.config.Claims.MayDispatch(*c.ticket) {
		a.deny()
	}
}

// onShared reports whether the request has an HTTP/2 connection. There the
// library assigns another one to a request with a body only if the first could
// not be used at all.
func (a *attempt) onShared() bool {
	return a.conn != nil && a.conn.shared
}

// deny keeps the transport from writing the request. Cancelling is enough for
// HTTP/2, which looks at the context before it writes; HTTP/1.1 does not, but
// its connection belongs to this request alone and can be closed.
func (a *attempt) deny() {
	a.denied = true
	a.cancel(errDenied)
	if a.conn != nil && !a.conn.shared {
		_ = a.conn.Close()
	}
}

// written reports whether a byte of the request may have been written on the
// present or an earlier connection.
func (a *attempt) written() bool {
	switch {
	case a.resent:
		return true
	case !a.got:
		return false
	case a.conn == nil:
		return true
	case a.onShared():
		return !a.denied
	case a.conn.writes.Load() != a.base:
		return true
	}
	// The transport's goroutine may be about to write. After Close no byte can
	// leave, and Close waits for a write that has begun.
	_ = a.conn.Close()
	return a.conn.writes.Load() != a.base
}

// got1xx passes an informational answer on, which net/http does by itself for
// 100 Continue when the body is read.
func (a *attempt) got1xx(code int, header textproto.MIMEHeader) error {
	if code != http.StatusContinue {
		a.call.informational.send(code, http.Header(header))
	}
	return nil
}

func (a *attempt) classify() retry.Result {
	o := retry.Observation{}
	if a.response != nil {
		return resultOf(a.judgement, a.response.StatusCode)
	}
	if a.judgement == ResponseUnconfirmed {
		return retry.Shed
	}
	o.NotRun = refusedStream(a.err) && !a.resent
	o.Written = a.written()
	o.TimedOut = a.timedOut()
	o.Cancelled = a.ctx.Err() != nil && !a.resent
	return retry.Classify(o)
}

func (a *attempt) timedOut() bool {
	cause := context.Cause(a.ctx)
	return errors.Is(cause, errDeadline) || errors.Is(cause, errIdle)
}

// serverFailed reports whether a failed attempt speaks against the server. An
// attempt that the caller or the gateway ended does not.
func (a *attempt) serverFailed() bool {
	if a.resent {
		return true
	}
	if a.denied || a.end == retry.Cancelled || a.call.body.readFailed() {
		return false
	}
	return a.timedOut() || a.ctx.Err() == nil
}

func (a *attempt) guardEnd() crashguard.Result {
	switch {
	case a.response != nil:
		return crashguard.ResultResponded
	case a.end == retry.ConnectionLost && !a.call.body.readFailed():
		return crashguard.ResultConnectionLost
	default:
		return crashguard.ResultOther
	}
}

// discard gives up an attempt; its answer reaches nobody.
func (a *attempt) discard() {
	a.cancel(errLost)
	if a.response == nil {
		return
	}
	a.call.proxy.config.Metrics.latePast.Inc()
	_ = a.response.Body.Close()
	a.server.Stats.End()
}

// done ends an attempt whose answer was delivered.
func (a *attempt) done() {
	_ = a.response.Body.Close()
	a.server.Stats.End()
	a.cancel(errDone)
}

// informationalWriter passes informational answers to the caller until the final answer
// begins.
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
	kept := to.Clone()
	clear(to)
	copyResponseHeader(i.protocol, to, header)
	i.w.WriteHeader(code)
	clear(to)
	maps.Copy(to, kept)
}

func (i *informationalWriter) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}
