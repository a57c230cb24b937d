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
	case !framed(a.response):
		// Without a length or chunks a broken answer ends like a whole one.
		c.proxy.config.Metrics.unframedResponse.Inc()
		c.refuse(http.StatusBadGateway, "the server's answer has neither a length nor chunks")
		return
	}
	header := c.w.Header()
	copyResponseHeader(c.proxy.config.Protocol, header, a.response.Header)
	c.setOutcomeHeader(a)
	announceTrailers(c.proxy.config.Protocol, header, a.response.Trailer)
	if len(a.response.Trailer) > 0 && c.r.ProtoMajor == 1 && c.r.Method != http.MethodHead {
		// HTTP/1.1 has trailers after chunks only; HTTP/2 also after a length.
		header.Del("Content-Length")
	}
	c.closeIfBodyUnread()
	c.setWriteDeadline()
	c.w.WriteHeader(a.response.StatusCode)
	c.clearWriteDeadline()
	record := &recording{wanted: c.ticket != nil}
	err := c.streamResponse(a, record)
	c.finishClaimedResponse(a, record, err)
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
	deliverTrailers(c.proxy.config.Protocol, header, a.response.Trailer)
}

// framed reports whether the end of an answer's body can be told from a broken
// connection.
func framed(response *http.Response) bool {
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

// announceTrailers declares the trailers that the server declared.
func announceTrailers(dialect Protocol, header, trailers http.Header) {
	for name := range trailers {
		if !hopHeaders[name] && !dialect.IsInternal(name) {
			header.Add("Trailer", name)
		}
	}
}

// deliverTrailers sets the trailers, which have their values after the body.
func deliverTrailers(dialect Protocol, header, trailers http.Header) {
	for name, values := range trailers {
		if hopHeaders[name] || dialect.IsInternal(name) {
			continue
		}
		// The prefix also works for trailers that were not declared.
		header[http.TrailerPrefix+name] = values
	}
}

// recording keeps an answer's body for the claim row.
type recording struct {
	wanted bool
	body   []byte
	full   bool
}

func (r *recording) add(data []byte) {
	if !r.wanted || r.full {
		return
	}
	if len(r.body)+len(data) > claim.MaxResponseBytes {
		r.full = true
		r.body = nil
		return
	}
	r.body = append(r.body, data...)
}

// errCaller marks failures on the caller's side.
type errCaller struct{ error }

func (e errCaller) Unwrap() error { return e.error }

// streamResponse copies the answer's body. It flushes after each read unless the first
// read brought the whole body, since net/http then sends header and body at once.
func (c *call) streamResponse(a *attempt, record *recording) error {
	if a.response.Body == http.NoBody {
		return nil
	}
	pooled := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	buffer := *pooled
	idle := c.idleTimeout()
	stall := c.watchResponse(a, idle)
	defer stall.Stop()
	var copied int64
	var failed error
	for {
		n, err := a.response.Body.Read(buffer)
		copied += int64(n)
		if n > 0 {
			record.add(buffer[:n])
			stall.Stop()
			if failed == nil {
				failed = c.writeBody(buffer[:n], err != nil || copied == a.response.ContentLength)
			}
			if failed != nil && (!record.wanted || record.full) {
				return failed
			}
			c.body.answerMoved()
			stall.Reset(idle)
		}
		if errors.Is(err, io.EOF) {
			return failed
		}
		if err != nil {
			return errors.Join(failed, err)
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
		if c.body.movedWithin(idle) {
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
		return errCaller{err}
	}
	return nil
}

// setWriteDeadline bounds the next write to the caller.
func (c *call) setWriteDeadline() {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.idleTimeout()))
}

// clearWriteDeadline is needed on HTTP/2 only, where a deadline ends the stream
// also while nothing is written. On HTTP/1.1 it stays for net/http's last flush.
func (c *call) clearWriteDeadline() {
	if c.r.ProtoMajor >= 2 {
		_ = c.control.SetWriteDeadline(time.Time{})
	}
}

// finishClaimedResponse records the result of a claimed call.
func (c *call) finishClaimedResponse(a *attempt, record *recording, err error) {
	if c.ticket == nil || c.claimFinished {
		return
	}
	if a.result != retry.ResponseReceived {
		c.finishClaim(claim.Result{Kind: claim.ResultUnknown})
		return
	}
	result := claim.Result{Kind: claim.ResultDone}
	var caller errCaller
	whole := err == nil || errors.As(err, &caller) && !errors.Is(err, io.ErrUnexpectedEOF) && a.ctx.Err() == nil
	if whole && !record.full {
		header := http.Header{}
		copyResponseHeader(c.proxy.config.Protocol, header, a.response.Header)
		result.Response = &claim.RecordedResponse{Status: a.response.StatusCode, Header: header, Body: record.body}
	}
	c.finishClaim(result)
}

func (c *call) countIncomplete(err error) {
	var caller errCaller
	if errors.As(err, &caller) || c.r.Context().Err() != nil {
		c.proxy.config.Metrics.canceled.Inc()
		return
	}
	c.proxy.config.Metrics.truncated.Inc()
}
