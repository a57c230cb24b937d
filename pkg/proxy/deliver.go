package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/retry"
)

// copyBufferBytes is the size of the buffer between the two bodies.
const copyBufferBytes = 32 << 10

var bufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferBytes)
	return &buffer
}}

// deliver hands a server's answer to the caller.
func (c *call) deliver(a *attempt) {
	defer a.finish()
	c.informational.close()
	switch {
	case a.response.StatusCode == http.StatusSwitchingProtocols:
		c.switchProtocols(a)
		return
	case !selfDelimiting(a.response):
		// Without a length or chunks a broken answer ends like a whole one.
		c.proxy.config.Metrics.unframedResponse.Inc()
		c.refuse(http.StatusBadGateway, "the server's answer has neither a length nor chunks")
		return
	}
	header := c.w.Header()
	copyResponseHeader(c.proxy.config.Protocol, header, a.response.Header)
	c.setOutcomeHeader(a)
	declareTrailers(c.proxy.config.Protocol, header, a.response.Trailer)
	if len(a.response.Trailer) > 0 && c.r.ProtoMajor == 1 && c.r.Method != http.MethodHead {
		// HTTP/1.1 has trailers after chunks only; HTTP/2 also after a length.
		header.Del("Content-Length")
	}
	c.closeIfBodyUnread()
	c.setWriteDeadline()
	c.w.WriteHeader(a.response.StatusCode)
	c.clearWriteDeadline()
	recorder := &responseRecorder{enabled: c.ticket != nil}
	err := c.streamResponse(a, recorder)
	c.finishClaimedResponse(a, recorder, err)
	if err != nil {
		c.countIncomplete(err)
		// Breaks the caller's connection, so that a truncated answer does not end
		// like a whole one.
		panic(http.ErrAbortHandler)
	}
	c.proxy.config.Metrics.completed.Inc()
	if observer := c.proxy.config.Observer; observer != nil {
		observer.CallCompleted(c.responseEvent(a))
	}
	setTrailers(c.proxy.config.Protocol, header, a.response.Trailer)
}

// selfDelimiting reports whether the end of an answer's body can be told from a broken
// connection.
func selfDelimiting(response *http.Response) bool {
	return response.ProtoMajor >= 2 || response.ContentLength >= 0 || len(response.TransferEncoding) > 0 ||
		response.Body == http.NoBody || response.Request != nil && response.Request.Method == http.MethodHead
}

// setOutcomeHeader tells the caller of a failed call whether it ran.
func (c *call) setOutcomeHeader(a *attempt) {
	switch a.result {
	case retry.RefusedNotRun:
		c.w.Header().Set(outcomeHeader, string(c.resolveOutcome()))
	case retry.Shed, retry.ServerError:
		c.w.Header().Set(outcomeHeader, string(Unknown))
	}
}

// declareTrailers declares the trailers that the server declared.
func declareTrailers(protocol Protocol, header, trailers http.Header) {
	for name := range trailers {
		if !hopByHopHeaders[name] && !protocol.IsInternal(name) {
			header.Add("Trailer", name)
		}
	}
}

// setTrailers sets the trailers, which have their values after the body.
func setTrailers(protocol Protocol, header, trailers http.Header) {
	for name, values := range trailers {
		if hopByHopHeaders[name] || protocol.IsInternal(name) {
			continue
		}
		// The prefix also works for trailers that were not declared.
		header[http.TrailerPrefix+name] = values
	}
}

// responseRecorder keeps an answer's body for the claim row.
type responseRecorder struct {
	enabled    bool
	body       []byte
	overflowed bool
}

func (r *responseRecorder) add(data []byte) {
	if !r.enabled || r.overflowed {
		return
	}
	if len(r.body)+len(data) > claim.MaxResponseBytes {
		r.overflowed = true
		r.body = nil
		return
	}
	r.body = append(r.body, data...)
}

// callerWriteError marks failures on the caller's side.
type callerWriteError struct{ error }

func (e callerWriteError) Unwrap() error { return e.error }

// streamResponse copies the answer's body. It flushes after each read unless the first
// read brought the whole body, since net/http then sends header and body at once.
func (c *call) streamResponse(a *attempt, recorder *responseRecorder) error {
	if a.response.Body == http.NoBody {
		return nil
	}
	pooled := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	buffer := *pooled
	idle := c.bodyIdleTimeout()
	stall := c.watchResponse(a, idle)
	defer stall.Stop()
	var copied int64
	var writeErr error
	for {
		n, err := a.response.Body.Read(buffer)
		copied += int64(n)
		if n > 0 {
			recorder.add(buffer[:n])
			stall.Stop()
			if writeErr == nil {
				writeErr = c.writeBody(buffer[:n], err != nil || copied == a.response.ContentLength)
			}
			if writeErr != nil && (!recorder.enabled || recorder.overflowed) {
				return writeErr
			}
			c.body.responseProgressed()
			stall.Reset(idle)
		}
		if errors.Is(err, io.EOF) {
			return writeErr
		}
		if err != nil {
			return errors.Join(writeErr, err)
		}
	}
}

// watchResponse cancels an attempt when neither the answer nor the request's body
// makes progress for the idle time.
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

// writeBody sends a part of the body to the caller; the last part is not flushed,
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

// setWriteDeadline bounds the next write to the caller.
func (c *call) setWriteDeadline() {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.bodyIdleTimeout()))
}

// clearWriteDeadline is needed on HTTP/2 only, where a deadline ends the stream
// also while nothing is written. On HTTP/1.1 it stays for net/http's last flush.
func (c *call) clearWriteDeadline() {
	if c.r.ProtoMajor >= 2 {
		_ = c.control.SetWriteDeadline(time.Time{})
	}
}

// finishClaimedResponse records the result of a claimed call.
func (c *call) finishClaimedResponse(a *attempt, recorder *responseRecorder, err error) {
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
	if complete && !recorder.overflowed {
		header := http.Header{}
		copyResponseHeader(c.proxy.config.Protocol, header, a.response.Header)
		result.Answer = &claim.RecordedResponse{Status: a.response.StatusCode, Header: header, Body: recorder.body}
	}
	c.finishClaim(result)
}

func (c *call) countIncomplete(err error) {
	var caller callerWriteError
	if errors.As(err, &caller) || c.r.Context().Err() != nil {
		c.proxy.config.Metrics.canceled.Inc()
		return
	}
	c.proxy.config.Metrics.truncated.Inc()
}
