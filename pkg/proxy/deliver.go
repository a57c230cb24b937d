package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/handoff"
	"balsamhill/pkg/retry"
)

// copyBufferBytes is the size of the buffers for copying bodies.
const copyBufferBytes = 32 << 10

var bufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferBytes)
	return &buffer
}}

// deliver sends a server's response to the caller.
func (c *call) deliver(a *attempt) {
	defer a.finish()
	c.informational.close()
	if a.response.StatusCode == http.StatusSwitchingProtocols {
		c.switchProtocols(a)
		return
	}
	if c.proxy.config.TimeoutIncludesBody {
		stop := a.startTimeout(c.attemptTimeout())
		defer stop()
	}
	recorder := &claim.Recorder{Enabled: c.ticket != nil}
	err := c.streamResponse(a, recorder)
	c.finishClaimedResponse(a, recorder, err)
	if err != nil && !c.headSent {
		a.err = err
		a.result = retry.Classify(retry.Observation{Written: true, TimedOut: a.timedOut(), Canceled: a.ctx.Err() != nil})
		c.reportFailedAttempt(a)
		c.refuseFailed(a)
		return
	}
	if err != nil {
		c.reportIncomplete(a, err)
		// Aborts the caller's connection or stream, so that the caller does not take
		// a truncated response for a complete one.
		panic(http.ErrAbortHandler)
	}
	c.proxy.config.Metrics.completed.Inc()
	if observer := c.proxy.config.Observer; observer != nil {
		observer.CallCompleted(c.callEvent(a))
	}
	setTrailers(c.proxy.config.Protocol, c.w.Header(), a.response.Trailer)
}

// sendHead sends the head of a response to the caller.
func (c *call) sendHead(a *attempt) {
	c.headSent = true
	header := c.w.Header()
	copyResponseHeader(c.proxy.config.Protocol, header, a.response.Header)
	c.setOutcomeHeader(a)
	c.setHandoffOutcome(header, handoff.Answered)
	declareTrailers(c.proxy.config.Protocol, header, a.response.Trailer)
	if len(a.response.Trailer) > 0 && c.r.ProtoMajor == 1 && c.r.Method != http.MethodHead {
		// HTTP/1.1 allows trailers only in chunked responses; HTTP/2 also allows
		// them together with a Content-Length.
		header.Del("Content-Length")
	}
	c.closeIfBodyUnread()
	c.setWriteDeadline()
	c.w.WriteHeader(a.response.StatusCode)
	c.clearWriteDeadline()
}

// setOutcomeHeader sets the header that states whether a failed call ran. What another gateway
// said of that stays.
func (c *call) setOutcomeHeader(a *attempt) {
	if a.server.Gateway {
		if outcome := a.response.Header.Get(outcomeHeader); outcome != "" {
			c.w.Header().Set(outcomeHeader, outcome)
		}
		return
	}
	switch a.result {
	case retry.RefusedNotRun:
		c.w.Header().Set(outcomeHeader, string(c.resolveOutcome()))
	case retry.Shed, retry.ServerError:
		c.w.Header().Set(outcomeHeader, string(Unknown))
	}
}

// declareTrailers declares the server's trailers to the caller.
func declareTrailers(protocol Protocol, header, trailers http.Header) {
	for name := range trailers {
		if !hopByHopHeaders[name] && !protocol.IsInternal(name) {
			header.Add("Trailer", name)
		}
	}
}

// setTrailers sets the values of the trailers, which are known after the body.
func setTrailers(protocol Protocol, header, trailers http.Header) {
	for name, values := range trailers {
		if hopByHopHeaders[name] || protocol.IsInternal(name) {
			continue
		}
		// The prefix also works for trailers that the server did not declare.
		header[http.TrailerPrefix+name] = values
	}
}

// callerWriteError marks a failure to write to the caller.
type callerWriteError struct{ error }

func (e callerWriteError) Unwrap() error { return e.error }

// streamResponse sends the response to the caller, nothing of it if its body fails before any of it
// was sent. It flushes after each read except the last. A body that arrives in one read is not
// flushed, because net/http then sends header and body together.
func (c *call) streamResponse(a *attempt, recorder *claim.Recorder) error {
	if a.response.Body == http.NoBody {
		c.sendHead(a)
		return nil
	}
	pooled := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	buffer := *pooled
	idle := c.idleTimeout()
	stall := c.watchResponse(a, idle)
	defer stall.Stop()
	var copied int64
	var writeErr error
	for {
		n, err := a.response.Body.Read(buffer)
		copied += int64(n)
		ended := errors.Is(err, io.EOF)
		switch {
		case c.headSent:
		case err != nil && !ended:
			return err
		case n > 0 || ended:
			c.sendHead(a)
		}
		if n > 0 {
			recorder.Add(buffer[:n])
			stall.Stop()
			if writeErr == nil {
				writeErr = c.writeBody(buffer[:n], err != nil || copied == a.response.ContentLength)
			}
			if writeErr != nil && !recorder.Recording() {
				return writeErr
			}
			c.body.responseProgressed()
			stall.Reset(idle)
		}
		if ended {
			return writeErr
		}
		if err != nil {
			return errors.Join(writeErr, err)
		}
	}
}

// watchResponse returns a timer that cancels an attempt when neither the response
// body nor the request body makes progress for the idle timeout.
func (c *call) watchResponse(a *attempt, idle time.Duration) *time.Timer {
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(idle, func() {
		<-ready
		if c.body.progressedWithin(idle) {
			timer.Reset(idle)
			return
		}
		a.cancel(errIdle)
	})
	close(ready)
	return timer
}

// writeBody writes a part of the body to the caller. It does not flush the last part,
// because net/http does so when the handler returns.
func (c *call) writeBody(data []byte, last bool) error {
	c.setWriteDeadline()
	_, err := c.w.Write(data)
	if err == nil && !last {
		err = c.control.Flush()
	}
	c.clearWriteDeadline()
	if err != nil {
		return callerWriteError{err}
	}
	return nil
}

// setWriteDeadline sets the deadline of the next write to the caller.
func (c *call) setWriteDeadline() {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.idleTimeout()))
}

// clearWriteDeadline clears the deadline on HTTP/2, where it would end the stream
// even while nothing is written. On HTTP/1.1 the deadline stays in force for the
// last flush by net/http.
func (c *call) clearWriteDeadline() {
	if c.r.ProtoMajor >= 2 {
		_ = c.control.SetWriteDeadline(time.Time{})
	}
}

// finishClaimedResponse records the result of a claimed call whose response was
// delivered or truncated. A complete response of at most claim.MaxResponseBytes is
// recorded for replay.
func (c *call) finishClaimedResponse(a *attempt, recorder *claim.Recorder, err error) {
	if c.ticket == nil || c.claimFinished {
		return
	}
	if a.result != retry.ResponseReceived {
		c.finishClaim(claim.Result{Kind: claim.ResultUnknown})
		return
	}
	result := claim.Result{Kind: claim.ResultDone}
	var writeErr callerWriteError
	complete := err == nil || errors.As(err, &writeErr) && !errors.Is(err, io.ErrUnexpectedEOF) && a.ctx.Err() == nil
	if complete && !recorder.Overflowed() {
		header := http.Header{}
		copyResponseHeader(c.proxy.config.Protocol, header, a.response.Header)
		result.Response = &claim.RecordedResponse{Status: a.response.StatusCode, Header: header, Body: recorder.Body()}
	}
	c.finishClaim(result)
}

// reportIncomplete counts a response that was not delivered completely, and sends an event
// unless the caller left.
func (c *call) reportIncomplete(a *attempt, err error) {
	var writeErr callerWriteError
	if errors.As(err, &writeErr) || c.r.Context().Err() != nil {
		c.proxy.config.Metrics.canceled.Inc()
		return
	}
	c.proxy.config.Metrics.truncated.Inc()
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	if observer := c.proxy.config.Observer; observer != nil {
		observer.CallTruncated(c.callEvent(a), err)
	}
}
