package proxy

import (
	"sync"
	"time"

	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// mayRunInParallel reports whether a second attempt may run beside the first.
func (c *call) mayRunInParallel() bool {
	return c.safety == retry.Idempotent && retry.MayRepeat(c.incomingAttempt) &&
		(!c.body.present || c.body.buffered != nil)
}

// hedgedCall is a race between attempts. The first runs in the handler's goroutine,
// so that a call without a hedge costs no goroutine; the timer starts others.
// Attempts that end when the race is over give up their answer themselves.
type hedgedCall struct {
	call             *call
	first            *attempt
	firstByteTimeout time.Duration
	// results receives the attempts other than the first.
	results chan *attempt

	// mu guards the fields below and those of the call that change with each
	// attempt: sent and tried.
	mu           sync.Mutex
	decided      bool
	attempts     []*attempt
	inFlight     int
	timer        *time.Timer
	hedgePending bool
	hedged       bool
	// progress follows the first attempt on routes with a target, else nil.
	progress *progressEstimator
}

// maxParallelAttempts is the largest number of attempts of one call.
const maxParallelAttempts = maxTotalAttempts

// runWithHedging sends a call and, when it takes longer than most, a hedge to another
// server; the first answer wins. It also retries as sequence does.
func (c *call) runWithHedging(server *routing.Server) *attempt {
	x := &hedgedCall{call: c, results: make(chan *attempt, maxParallelAttempts), first: c.newAttempt(server)}
	x.attempts = append(x.attempts, x.first)
	x.inFlight = 1
	x.startTimer()
	defer x.timer.Stop()
	x.first.send()
	var fallback *attempt
	for a := x.first; ; a = <-x.results {
		last, decided := x.attemptEnded(a, fallback)
		if decided {
			c.completeHedged(x, last)
			return last
		}
		fallback = last
	}
}

// startTimer sets the timer to the hedge, or to the end of the patience with the first
// attempt if there may be no hedge.
func (x *hedgedCall) startTimer() {
	c := x.call
	started := x.first.startedAt
	x.firstByteTimeout = retry.FirstByteTimeout(started, c.deadline)
	wait := x.firstByteTimeout
	hedgeAfter, known := c.service.hedgeDelay.HedgeAfter(started)
	if c.route.Target > 0 {
		// The reported pace tells earlier than the time since the start.
		known = false
		x.progress = c.newProgressEstimator(x.first)
	}
	if x.progress != nil {
		wait = min(wait, progressInterval)
	}
	if known && c.limits.HedgePercent > 0 && retry.MayHedge(c.safety, safeMethod(c.r.Method)) {
		x.hedgePending = true
		wait = min(wait, hedgeAfter)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.timer = time.AfterFunc(wait, x.onTimer)
}

// onTimer runs in the timer's goroutine while the first attempt is in flight.
func (x *hedgedCall) onTimer() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.decided {
		return
	}
	now := x.call.proxy.config.Now()
	if left := time.Duration(x.first.startedAt-now) + x.firstByteTimeout; x.progress != nil && x.call.attemptCount == 1 && left > 0 {
		x.hedgeIfSlow(now)
		x.timer.Reset(min(progressInterval, left))
		return
	}
	if x.hedgePending && x.call.attemptCount == 1 {
		x.hedgePending = false
		x.startHedge(now)
		x.timer.Reset(time.Duration(x.first.startedAt-now) + x.firstByteTimeout)
		return
	}
	if next, more := x.onFirstByteTimeout(now); more {
		x.timer.Reset(next)
	}
}

// startAttempt runs an attempt beside the first.
func (x *hedgedCall) startAttempt(a *attempt) {
	x.attempts = append(x.attempts, a)
	x.inFlight++
	go func() {
		a.send()
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.decided {
			a.discard()
			return
		}
		x.results <- a
		if a.isFinal() {
			x.first.cancel(errSuperseded)
		}
	}()
}

// isFinal reports whether the end of an attempt ends its race. An error does not
// while others run: a server that fails fast would win every race.
func (a *attempt) isFinal() bool {
	return a.result == retry.ResponseReceived
}

// attemptEnded takes note of the end of an attempt; see judge.
func (x *hedgedCall) attemptEnded(a, fallback *attempt) (*attempt, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.call.recordAttempt(a)
	x.inFlight--
	last, decided := x.evaluate(a, fallback)
	x.decided = decided
	return last, decided
}

// cancelOthers gives up all attempts but the winner when the race is over.
func (x *hedgedCall) cancelOthers(winner *attempt) {
	for _, a := range x.attempts {
		if a != winner {
			a.cancel(errSuperseded)
		}
	}
	for {
		select {
		case a := <-x.results:
			a.discard()
		default:
			return
		}
	}
}

// evaluate looks at the end of one attempt. It reports the attempt that decides
// the race, or the one to fall back to while others run.
func (x *hedgedCall) evaluate(a, fallback *attempt) (*attempt, bool) {
	c := x.call
	if a.isFinal() {
		if fallback != nil {
			fallback.discard()
		}
		return a, true
	}
	if fallback != nil {
		// Of two failures the one with an answer says more.
		if a.response == nil {
			a, fallback = fallback, a
		}
		fallback.discard()
	}
	if x.inFlight > 0 {
		return a, false
	}
	if !c.takeRetry(a) {
		return a, true
	}
	server := c.choose()
	if server == nil {
		return a, true
	}
	c.service.Counters.retries.Inc()
	x.startAttempt(c.newAttempt(server))
	return a, false
}

// startHedge starts a second attempt if the budget and the servers allow it.
func (x *hedgedCall) startHedge(now int64) {
	c := x.call
	if retry.Expired(now, c.deadline) || !c.mayAddAttempt() {
		return
	}
	if !c.service.hedgeBudget.Take(now, c.limits.HedgePercent, 0) {
		c.service.Counters.hedgesDenied.Inc()
		return
	}
	server := c.choose()
	if server == nil {
		return
	}
	c.service.Counters.hedges.Inc()
	x.hedged = true
	x.startAttempt(c.newFreshAttempt(server))
}

// onFirstByteTimeout runs when the first attempt has been silent for long: it is
// given up for an attempt at another server if there may be one, so that a pool
// of silent connections delays each caller by a bounded time. Else everything
// continues to the deadline. It returns the time to the next look.
func (x *hedgedCall) onFirstByteTimeout(now int64) (time.Duration, bool) {
	c := x.call
	if retry.Expired(now, c.deadline) {
		for _, a := range x.attempts {
			a.cancel(errDeadline)
		}
		return 0, false
	}
	if c.attemptCount == 1 && c.mayAddAttempt() && c.service.retryBudget.Take(now, c.limits.RetryPercent, c.proxy.retryBase()) {
		if server := x.serverAfterTimeout(); server != nil {
			c.service.Counters.retries.Inc()
			x.first.cancel(errDeadline)
			x.startAttempt(c.newFreshAttempt(server))
		}
	}
	if c.deadline == 0 {
		return 0, false
	}
	return time.Duration(c.deadline - now), true
}

// serverAfterTimeout returns where to send the second attempt of a silent call.
// If the silent connection had been used before, something between may have
// forgotten it and others of its kind: those are closed, and without another
// server the same one is tried over a new connection.
func (x *hedgedCall) serverAfterTimeout() *routing.Server {
	c := x.call
	if x.first.reused.Load() {
		c.proxy.config.Transport.CloseIdle(c.serviceName)
	}
	server := c.choose()
	if server == nil && x.first.reused.Load() {
		return x.first.server
	}
	return server
}

// completeHedged ends the race and learns from it.
func (c *call) completeHedged(x *hedgedCall, last *attempt) {
	x.cancelOthers(last)
	now := c.proxy.config.Now()
	if last.response == nil {
		return
	}
	// A first attempt that lost took at least this long; leaving it out would
	// make the observed p95 fall with each hedge.
	c.service.hedgeDelay.Observe(now, time.Duration(now-x.first.startedAt))
	if last != x.first && x.hedged {
		c.service.Counters.hedgesWon.Inc()
	}
}
