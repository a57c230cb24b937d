package proxy

import (
	"time"

	"balsamhill/pkg/attempts"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// runSequentially sends one attempt after the other. The response of a failed one is kept until
// a later one has a result that says more.
func (c *call) runSequentially(server *routing.Server) *attempt {
	var set attempts.Set
	var sent []*attempt
	for server != nil {
		a := c.newAttempt(server)
		a.inSet = set.Start()
		sent = append(sent, a)
		stop := a.startTimeout(c.attemptTimeout())
		a.send()
		stop()
		c.recordAttempt(a)
		server = nil
		if set.End(a.inSet, a.setResult()) == attempts.Retry {
			server = c.chooseForRetry(a)
		}
	}
	if set.Winner() == 0 {
		set.NoRetry()
	}
	winner := sent[set.Winner()-1]
	for _, a := range sent {
		if a != winner {
			a.discard()
		}
	}
	return winner
}

// chooseForRetry returns the server of another attempt after the last one failed, nil if none
// may be sent.
func (c *call) chooseForRetry(last *attempt) *routing.Server {
	if !c.takeRetry(last) {
		return nil
	}
	server := c.chooseToSend()
	if server != nil {
		c.service.Metrics.retries.Inc()
	}
	return server
}

// attemptTimeout returns how long the next attempt may wait for its response, 0 for
// no limit.
func (c *call) attemptTimeout() time.Duration {
	if c.deadline == 0 {
		return 0
	}
	return max(1, time.Duration(c.deadline-c.proxy.config.Now()))
}

// recordAttempt records the result of an attempt.
func (c *call) recordAttempt(a *attempt) {
	c.attemptLog.Add(a.result)
	if a.result.DidNotRun() {
		c.notRunCount++
	}
	if a.result == retry.NeverWritten || a.declined {
		c.unsentCount++
	}
	c.reportFailedAttempt(a)
	c.service.Metrics.attempts[a.result].Inc()
}

// takeRetry reports whether the call may be sent to another server after the last
// attempt, and takes a retry from the budget if so.
func (c *call) takeRetry(last *attempt) bool {
	if last.conclusive || last.denied && !last.withdrawn || !retry.MayAddAttempts(c.incomingAttempt) {
		return false
	}
	if !c.resultAllowsRetry(last) || !c.body.replayable() {
		return false
	}
	now := c.proxy.config.Now()
	if !c.mayStartAnother(now) {
		return false
	}
	if !c.nextIsFree(last) && !c.takeRetryToken(now) {
		c.service.Metrics.retriesDenied.Inc()
		return false
	}
	return true
}

// mayStartAnother reports whether another attempt could be sent now, whatever the budgets say.
func (c *call) mayStartAnother(now int64) bool {
	return c.mayAddAttempt() && !retry.Expired(now, c.deadline) && !c.outlivesGateway() && c.baseContext.Err() == nil
}

// takeRetryToken takes a retry from the budget of the service, and reports whether there is one.
func (c *call) takeRetryToken(now int64) bool {
	return c.service.retryBudget.Take(now, c.limits.RetryPercent, c.proxy.retryBase())
}

const (
	// defaultMaxAttempts limits the attempts of a call that may have run, if its route
	// sets no limit.
	defaultMaxAttempts = 2
	// maxTotalAttempts limits the attempts of a call, including those that certainly
	// did not run.
	maxTotalAttempts = 4
)

func (p *Proxy) retryBase() float64 {
	if p.config.RetryBase == nil {
		return 0
	}
	return p.config.RetryBase()
}

// nextIsFree reports whether the next attempt needs no budget. The last one reached no server, so
// that what it needed covers the next one; or no attempt did, and the next one goes to another
// gateway.
func (c *call) nextIsFree(last *attempt) bool {
	return last.neverSent() || last.declined || c.unsentCount == c.attemptCount && c.mustHandOff()
}

// mayAddAttempt reports whether the limits on attempts allow another one. They hold for the
// attempts of all gateways that the call passed.
func (c *call) mayAddAttempt() bool {
	sent, mayHaveRun := c.earlierAttempts()
	return c.attemptCount-c.notRunCount+mayHaveRun < c.maxAttempts() && c.attemptCount+sent < maxTotalAttempts
}

func (c *call) maxAttempts() int {
	if c.route.MaxAttempts > 0 {
		return c.route.MaxAttempts
	}
	return defaultMaxAttempts
}

// resultAllowsRetry reports whether the result of an attempt allows a retry.
func (c *call) resultAllowsRetry(last *attempt) bool {
	if last.result == retry.ServerError && c.limits.RetryErrors {
		return c.safety == retry.Idempotent
	}
	return retry.MayRetry(c.safety, last.result)
}
