package proxy

import (
	"context"
	"net/http"
	"time"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/retry"
)

// Outcome says whether a refused or failed call ran.
type Outcome string

const (
	// NotRun promises that the call did not run and will not run.
	NotRun Outcome = "not-run"
	// Unknown means that the call may have run.
	Unknown Outcome = "unknown"
)

// refuse answers in place of a server. A call that did not run may come back after
// the time given.
func (p *Proxy) refuse(w http.ResponseWriter, status int, outcome Outcome, detail string, after time.Duration) {
	refusal := Refusal{Status: status, Outcome: outcome, Detail: detail}
	if status == http.StatusServiceUnavailable && outcome == NotRun {
		refusal.RetryAfter = after
	}
	p.config.Protocol.Refuse(w, refusal)
}

// refuseUnrouted answers a call for which no service is known yet.
func (p *Proxy) refuseUnrouted(w http.ResponseWriter, r *http.Request, arrived int64, status int, detail string) {
	boundUnreadBody(w, r)
	outcome := outcomeWithoutService(r)
	if observer := p.config.Observer; observer != nil {
		observer.CallRefused(RefusalEvent{
			RequestID: p.config.Protocol.RequestID(w.Header()),
			Status:    status,
			Outcome:   outcome,
			Detail:    detail,
			Took:      time.Duration(p.config.Now() - arrived),
		})
	}
	p.refuse(w, status, outcome, detail, retryAfter)
}

// retryAfter is when a caller of a call that did not run may come back: long
// enough for a burst of a few calls per server to pass.
const retryAfter = 200 * time.Millisecond

// returnSoon is when a caller may come back if servers have free slots. It only
// keeps callers that repeat at once from using up their tries within a millisecond.
const returnSoon = 10 * time.Millisecond

// outcomeWithoutService is the outcome of a call that is refused before its
// service is known. Whether another gateway holds an attempt of its key cannot
// be asked then, so a call with a key gets unknown.
func outcomeWithoutService(r *http.Request) Outcome {
	if claimedKey(r) != "" {
		return Unknown
	}
	return NotRun
}

// refuse answers in place of a server with the outcome that can be proven.
func (c *call) refuse(status int, detail string) {
	c.informational.close()
	outcome := c.outcome()
	c.proxy.config.Metrics.outcomes[outcome].Inc()
	c.observeRefusal(status, outcome, detail)
	c.closeIfBodyUnread()
	_ = c.control.SetWriteDeadline(time.Now().Add(c.idleTimeout()))
	c.proxy.refuse(c.w, status, outcome, detail, c.returnAfter())
}

// returnAfter is when the caller may come back if the call did not run. Servers
// that refuse calls although they have free slots do so at random, so there is
// nothing to wait for.
func (c *call) returnAfter() time.Duration {
	if c.refused == 0 {
		return retryAfter
	}
	c.tried = c.tried[:0]
	if server, _ := c.alternative(c.proxy.config.Now()); server == nil {
		return retryAfter
	}
	return returnSoon
}

// observeRefusal tells the observer of an answer in place of a server.
func (c *call) observeRefusal(status int, outcome Outcome, detail string) {
	observer := c.proxy.config.Observer
	if observer == nil {
		return
	}
	if c.r.Context().Err() != nil {
		observer.CallCanceled(c.answerEvent(nil))
		return
	}
	usable, mean := c.candidates(), 0.0
	if c.view != nil {
		mean = c.view.MeanInFlight(c.proxy.config.Now())
	}
	observer.CallRefused(RefusalEvent{
		Usable:       usable,
		MeanInFlight: mean,
		RequestID:    c.requestID,
		Route:        c.route.Name,
		Service:      c.target,
		Status:       status,
		Outcome:      outcome,
		Detail:       detail,
		Attempts:     c.sent,
		Took:         time.Duration(c.proxy.config.Now() - c.arrived),
		Revision:     c.revision,
	})
}

// outcome returns what may be said about a call that gets no answer, and ends
// its claim.
func (c *call) outcome() Outcome {
	notRun := c.log.DidNotRun()
	switch {
	case c.ticket != nil && notRun:
		notRun = c.finishClaim(claim.Result{Kind: claim.ResultReleased})
	case c.ticket != nil:
		c.finishClaim(claim.Result{Kind: claim.ResultUnknown})
	case c.safety == retry.Keyed && notRun:
		notRun = c.verifyNotRun()
	}
	if notRun {
		return NotRun
	}
	return Unknown
}

// verifyLimit bounds the verification that no other gateway holds an attempt;
// the queries between gateways have 100 ms, the rest is for the store's answer.
const verifyLimit = 250 * time.Millisecond

func (c *call) verifyNotRun() bool {
	if c.proxy.config.Claims == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), verifyLimit)
	defer cancel()
	return c.proxy.config.Claims.VerifyNotRun(ctx, c.claimIdentity())
}
