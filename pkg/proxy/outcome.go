package proxy

import (
	"context"
	"encoding/json"
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

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
}

// refuse answers in place of a server.
func refuse(w http.ResponseWriter, status int, outcome Outcome, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(outcomeHeader, string(outcome))
	w.WriteHeader(status)
	// An error here means that the caller has gone away.
	_ = json.NewEncoder(w).Encode(problem{
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
	})
}

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
	c.informer.close()
	outcome := c.outcome()
	c.proxy.config.Metrics.outcomes[outcome].Inc()
	c.closeIfBodyUnread()
	_ = c.control.SetWriteDeadline(time.Now().Add(c.idle()))
	refuse(c.w, status, outcome, detail)
}

// outcome returns what may be said about a call that gets no answer, and ends
// its claim.
func (c *call) outcome() Outcome {
	notRun := c.log.DidNotRun()
	switch {
	case c.ticket != nil && notRun:
		notRun = c.finish(claim.Result{Kind: claim.ResultReleased})
	case c.ticket != nil:
		c.finish(claim.Result{Kind: claim.ResultUnknown})
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
