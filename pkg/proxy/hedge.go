package proxy

import (
	"sync"
	"time"

	"balsamhill/pkg/attempts"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// mayRunInParallel reports whether a second attempt may run while the first is in
// flight.
func (c *call) mayRunInParallel() bool {
	return c.safety == retry.Idempotent && retry.MayAddAttempts(c.incomingAttempt) &&
		(!c.body.present || c.body.buffered != nil)
}

// hedgedCall runs the attempts of a call that may be hedged. The first attempt runs
// in the handler's goroutine, so that a call without a hedge costs no goroutine.
// The others run in goroutines of their own, which the timer or a retry starts.
// Package attempts decides which one the call ends with; the others are canceled only
// then, and discard their own response.
type hedgedCall struct {
	call             *call
	first            *attempt
	firstByteTimeout time.Duration
	// decided is closed when an attempt decides the call.
	decided chan struct{}

	// mu guards the fields below, and those of the call that change with each
	// attempt: attemptCount, notRunCount and tried.
	mu sync.Mutex
	// set holds the attempts, sent the same ones in the order of their numbers.
	set          attempts.Set
	sent         []*attempt
	timer        *time.Timer
	hedgePending bool
	hedged       bool
	// progress estimates the progress of the first attempt on routes with a latency
	// target, else nil.
	progress *attempts.Progress
}

// runWithHedging sends a call and, if the response takes longer than usual, a hedge
// to another server; the first final response wins. It also retries as
// runSequentially does.
func (c *call) runWithHedging(server *routing.Server) *attempt {
	h := &hedgedCall{call: c, decided: make(chan struct{}), first: c.newAttempt(server)}
	h.add(h.first)
	h.startTimer()
	defer h.timer.Stop()
	h.first.send()
	h.attemptEnded(h.first)
	<-h.decided
	h.mu.Lock()
	defer h.mu.Unlock()
	winner := h.winner()
	c.completeHedged(h, winner)
	return winner
}

// add adds an attempt that is sent now.
func (h *hedgedCall) add(a *attempt) {
	a.inSet = h.set.Start()
	h.sent = append(h.sent, a)
}

// winner returns the attempt that decides the call, nil while there is none.
func (h *hedgedCall) winner() *attempt {
	if n := h.set.Winner(); n != 0 {
		return h.sent[n-1]
	}
	return nil
}

// startTimer starts the timer for the hedge, or for the first-byte timeout of the
// first attempt if no hedge is allowed.
func (h *hedgedCall) startTimer() {
	c := h.call
	started := h.first.startedAt
	h.firstByteTimeout = retry.FirstByteTimeout(started, c.deadline)
	wait := h.firstByteTimeout
	hedgeAfter, known := c.service.hedgeDelay.HedgeAfter(started)
	switch {
	case h.first.server.Gateway:
		// The other gateway sends the hedges.
		known = false
	case c.route.LatencyTarget > 0:
		// The slowdown that the server reports shows a slow call earlier than the
		// time since its start.
		known = false
		h.progress = c.newProgress(h.first)
	}
	if h.progress != nil {
		wait = min(wait, progressInterval)
	}
	if known && c.limits.HedgePercent > 0 && retry.MayHedge(c.safety, safeMethod(c.r.Method)) {
		h.hedgePending = true
		wait = min(wait, hedgeAfter)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(wait, h.onTimer)
}

// onTimer runs in the timer's goroutine until the call is decided.
func (h *hedgedCall) onTimer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner() != nil {
		return
	}
	now := h.call.proxy.config.Now()
	if left := time.Duration(h.first.startedAt-now) + h.firstByteTimeout; h.progress != nil && h.set.Started() == 1 && left > 0 {
		h.hedgeIfSlow(now)
		h.timer.Reset(min(progressInterval, left))
		return
	}
	if h.hedgePending && h.set.Started() == 1 {
		h.hedgePending = false
		h.startHedge(now)
		h.timer.Reset(time.Duration(h.first.startedAt-now) + h.firstByteTimeout)
		return
	}
	if next, rearm := h.onFirstByteTimeout(now); rearm {
		h.timer.Reset(next)
	}
}

// startAttempt runs an attempt in parallel to the first.
func (h *hedgedCall) startAttempt(a *attempt) {
	h.add(a)
	go func() {
		a.send()
		h.attemptEnded(a)
	}()
}

// attemptEnded records the result of an attempt, and sends another one or decides the call if
// that follows from it.
func (h *hedgedCall) attemptEnded(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner() != nil {
		h.set.End(a.inSet, a.setResult())
		h.call.service.Metrics.attempts[a.result].Inc()
		a.discard()
		return
	}
	h.call.recordAttempt(a)
	step := h.set.End(a.inSet, a.setResult())
	if step == attempts.Retry && !h.retry(a) {
		step = h.set.NoRetry()
	}
	if step == attempts.Decided {
		h.decide()
	}
}

// retry sends another attempt after the last one failed, and reports whether it did.
func (h *hedgedCall) retry(last *attempt) bool {
	server := h.call.chooseForRetry(last)
	if server == nil {
		return false
	}
	h.startAttempt(h.call.newAttempt(server))
	return true
}

// decide cancels and discards all attempts but the winner. One that was overdue counts as a
// failure of its server.
func (h *hedgedCall) decide() {
	winner := h.winner()
	for _, a := range h.sent {
		switch {
		case a == winner:
		case h.set.Ended(a.inSet):
			a.discard()
		case h.set.Overdue(a.inSet):
			a.cancel(errDeadline)
		default:
			a.cancel(errNotNeeded)
		}
	}
	close(h.decided)
}

// startHedge starts a second attempt if the budget allows it and a server is left.
func (h *hedgedCall) startHedge(now int64) {
	c := h.call
	if !c.mayStartAnother(now) {
		return
	}
	if !c.service.hedgeBudget.Take(now, c.limits.HedgePercent, 0) {
		c.service.Metrics.hedgesDenied.Inc()
		return
	}
	server := c.chooseToSend()
	if server == nil {
		return
	}
	c.service.Metrics.hedges.Inc()
	h.hedged = true
	h.startAttempt(c.newFreshAttempt(server))
}

// lostGatewayInterval is how often a call checks whether the gateway that has it is still heard.
const lostGatewayInterval = 250 * time.Millisecond

// onFirstByteTimeout runs when the first attempt has had no response within the
// first-byte timeout, and again at the deadline. If no other attempt is in flight and
// the limits allow one, it starts one at another server, and for a call that was handed off
// only if the other gateway is lost, so that a pool of unresponsive
// connections delays each caller by a bounded time. At the deadline it cancels all
// attempts. It returns the time until the timer must fire again, and false if it need not.
func (h *hedgedCall) onFirstByteTimeout(now int64) (time.Duration, bool) {
	c := h.call
	if retry.Expired(now, c.deadline) {
		for _, a := range h.sent {
			a.cancel(errDeadline)
		}
		return 0, false
	}
	if h.first.server.Gateway && !c.proxy.config.Handoff.Lost(h.first.server) {
		// The other gateway has the attempts of the call, and tries other servers itself.
		return min(lostGatewayInterval, c.attemptTimeout()), c.deadline != 0
	}
	h.set.MarkOverdue(h.first.inSet)
	if !h.set.Promising() && c.mayStartAnother(now) && c.takeRetryToken(now) {
		if server := h.serverAfterTimeout(); server != nil {
			c.service.Metrics.retries.Inc()
			h.startAttempt(c.newFreshAttempt(server))
		}
	}
	if c.deadline == 0 {
		return 0, false
	}
	return time.Duration(c.deadline - now), true
}

// serverAfterTimeout returns the server of the second attempt after a first-byte
// timeout. If the unresponsive connection had been used before, a network device
// may have dropped its state and that of other idle connections. The idle
// connections are then closed, and if there is no other server, the same one is
// tried on a fresh connection.
func (h *hedgedCall) serverAfterTimeout() *routing.Server {
	c := h.call
	if h.first.reused.Load() {
		c.proxy.config.Transport.CloseIdle(c.serviceName)
	}
	server := c.chooseToSend()
	if server == nil && h.first.reused.Load() && h.first.server.Stats.Take(c.proxy.config.Now()) {
		return h.first.server
	}
	return server
}

// completeHedged ends the call's other attempts and records its latency.
func (c *call) completeHedged(h *hedgedCall, last *attempt) {
	now := c.proxy.config.Now()
	if last.response == nil || last.server.Gateway {
		return
	}
	// If the hedge responded first, the first attempt would have taken at least this
	// long. Leaving it out would make the observed p95 fall with each hedge.
	c.service.hedgeDelay.Observe(now, time.Duration(now-h.first.startedAt))
	if last != h.first && h.hedged {
		c.service.Metrics.hedgesWon.Inc()
	}
}
