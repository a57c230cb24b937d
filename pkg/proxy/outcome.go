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
	// NotRun guarantees that the call did not run and will not run.
	NotRun Outcome = "not-run"
	// Unknown means that the call may have run.
	Unknown Outcome = "unknown"
)

// refuse responds in place of a server. retryAfter is sent only if the call did not
// run and the service is unavailable.
func (p *Proxy) refuse(w http.ResponseWriter, status int, outcome Outcome, detail string, retryAfter time.Duration) {
	refusal := Refusal{Status: status, Outcome: outcome, Detail: detail}
	if status == http.StatusServiceUnavailable && outcome == NotRun {
		refusal.RetryAfter = retryAfter
	}
	p.config.Protocol.Refuse(w, refusal)
}

// refuseUnrouted refuses a call whose service is not known yet. revision is that of the
// configuration that the call uses, 0 for none.
func (p *Proxy) refuseUnrouted(w http.ResponseWriter, r *http.Request, arrived int64, revision uint64, status int, detail string) {
	limitUnreadBodyDrain(w, r)
	outcome := outcomeWithoutService(r)
	if observer := p.config.Observer; observer != nil {
		observer.CallRefused(RefusalEvent{
			RequestID: p.config.Protocol.RequestID(w.Header()),
			Status:    status,
			Outcome:   outcome,
			Detail:    detail,
			Took:      time.Duration(p.config.Now() - arrived),
			Revision:  revision,
		})
	}
	p.refuse(w, status, outcome, detail, defaultRetryAfter)
}

// defaultRetryAfter is when a caller may retry a call that did not run: long enough
// for a burst of a few calls per server to pass.
const defaultRetryAfter = 200 * time.Millisecond

// shortRetryAfter is when a caller may retry if a server has headroom. It only keeps
// callers that retry immediately from using up their attempts within a millisecond.
const shortRetryAfter = 10 * time.Millisecond

// outcomeWithoutService is the outcome of a call that is refused before its service
// is known. Without the service, other gateways cannot be asked whether one of them
// holds an attempt with the same key, so the outcome of a call with a key is
// unknown.
func outcomeWithoutService(r *http.Request) Outcome {
	if claimedKey(r) != "" {
		return Unknown
	}
	return NotRun
}

// refuse responds in place of a server with the outcome that can be guaranteed.
func (c *call) refuse(status int, detail string) {
	c.informational.close()
	outcome := c.resolveOutcome()
	c.proxy.config.Metrics.outcomes[outcome].Inc()
	c.reportRefusal(status, outcome, detail)
	c.setHandoffOutcome(c.w.Header(), c.refusalOutcome(outcome))
	c.closeIfBodyUnread()
	_ = c.control.SetWriteDeadline(time.Now().Add(c.idleTimeout()))
	c.proxy.refuse(c.w, status, outcome, detail, c.retryAfter())
}

// retryAfter returns when the caller may retry if the call did not run. A server
// that rejects calls although it has headroom does so at random and would probably
// accept the next call, so a short delay is enough. To find a server with headroom,
// it clears the list of tried servers.
func (c *call) retryAfter() time.Duration {
	now := c.proxy.config.Now()
	switch {
	case c.outlivesGateway():
		// Other gateways serve.
		return shortRetryAfter
	case c.mustHandOff():
		return defaultRetryAfter
	case c.view != nil && c.view.AllWithdrawn(now):
		return c.withdrawalRetryAfter(now)
	case c.atLimit:
		return c.limitRetryAfter()
	}
	if c.notRunCount == 0 {
		return defaultRetryAfter
	}
	c.tried = c.tried[:0]
	if server, _ := c.untriedWithFreeHeadroom(now); server == nil {
		return defaultRetryAfter
	}
	return shortRetryAfter
}

// maxLimitRetryAfter is when a caller may retry if this gateway holds no lease of a
// server with a limit. Other gateways may.
const maxLimitRetryAfter = time.Second

// limitRetryAfter returns when this gateway may send the next request to a server that
// named a limit.
func (c *call) limitRetryAfter() time.Duration {
	wait, ok := c.view.Wait(c.proxy.config.Now())
	if !ok {
		return maxLimitRetryAfter
	}
	return min(max(wait, defaultRetryAfter), maxLimitRetryAfter)
}

// reportRefusal sends an event for a refusal, or for a call whose caller left.
func (c *call) reportRefusal(status int, outcome Outcome, detail string) {
	observer := c.proxy.config.Observer
	if observer == nil {
		return
	}
	if c.r.Context().Err() != nil {
		observer.CallCanceled(c.callEvent(nil))
		return
	}
	usable, mean := c.candidateCount(), 0.0
	leaving, paused := 0, 0
	if c.view != nil {
		now := c.proxy.config.Now()
		mean = c.view.MeanInFlight(now)
		leaving, paused = c.view.Withdrawals(now)
	}
	observer.CallRefused(RefusalEvent{
		Candidates:   usable,
		MeanInFlight: mean,
		Leaving:      leaving,
		Paused:       paused,
		RequestID:    c.requestID,
		Route:        c.route.Name,
		Service:      c.serviceName,
		Status:       status,
		Outcome:      outcome,
		Detail:       detail,
		Attempts:     c.attemptCount,
		Took:         time.Duration(c.proxy.config.Now() - c.arrived),
		Revision:     c.revision,
	})
}

// resolveOutcome returns the outcome that can be guaranteed for a call without a
// response, and finishes its claim.
func (c *call) resolveOutcome() Outcome {
	notRun := c.attemptLog.DidNotRun()
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

// verifyTimeout bounds the verification that no other gateway holds an attempt. The
// queries between gateways have 100 ms; the rest is for the response of the store.
const verifyTimeout = 250 * time.Millisecond

func (c *call) verifyNotRun() bool {
	if c.proxy.config.Claims == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), verifyTimeout)
	defer cancel()
	return c.proxy.config.Claims.VerifyNotRun(ctx, c.claimIdentity())
}
