package proxy

import (
	"sync"
	"time"

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
// Attempts that end after the call is decided discard their own response.
type hedgedCall struct {
	call             *call
	first            *attempt
	firstByteTimeout time.Duration
	// results receives the attempts other than the first.
	results chan *attempt

	// mu guards the fields below, and those of the call that change with each
	// attempt: attemptCount, notRunCount and tried.
	mu           sync.Mutex
	decided      bool
	attempts     []*attempt
	inFlight     int
	timer        *time.Timer
	hedgePending bool
	hedged       bool
	// progress estimates the progress of the first attempt on routes with a latency
	// target, else nil.
	progress *progressEstimator
}

// resultsCapacity is the capacity of hedgedCall.results. It is the maximum number of
// attempts of one call, so that sending a result never blocks.
const resultsCapacity = maxTotalAttempts

// runWithHedging sends a call and, if the response takes longer than usual, a hedge
// to another server; the first final response wins. It also retries as
// runSequentially does.
func (c *call) runWithHedging(server *routing.Server) *attempt {
	h := &hedgedCall{call: c, results: make(chan *attempt, resultsCapacity), first: c.newAttempt(server)}
	h.attempts = append(h.attempts, h.first)
	h.inFlight = 1
	h.startTimer()
	defer h.timer.Stop()
	h.first.send()
	var fallback *attempt
	for a := h.first; ; a = <-h.results {
		last, decided := h.attemptEnded(a, fallback)
		if decided {
			c.completeHedged(h, last)
			return last
		}
		fallback = last
	}
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
		h.progress = c.newProgressEstimator(h.first)
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
	if h.decided {
		return
	}
	now := h.call.proxy.config.Now()
	if left := time.Duration(h.first.startedAt-now) + h.firstByteTimeout; h.progress != nil && h.call.attemptCount == 1 && left > 0 {
		h.hedgeIfSlow(now)
		h.timer.Reset(min(progressInterval, left))
		return
	}
	if h.hedgePending && h.call.attemptCount == 1 {
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
	h.attempts = append(h.attempts, a)
	h.inFlight++
	go func() {
		a.send()
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.decided {
			a.discard()
			return
		}
		h.results <- a
		if a.isFinal() {
			h.first.cancel(errNotNeeded)
		}
	}()
}

// isFinal reports whether the result of an attempt decides the call. An error does
// not while other attempts are in flight: otherwise a server that fails fast would
// win over each slower good response.
func (a *attempt) isFinal() bool {
	return a.result == retry.ResponseReceived
}

// attemptEnded records the result of an attempt and evaluates it; see evaluate.
func (h *hedgedCall) attemptEnded(a, fallback *attempt) (*attempt, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.call.recordAttempt(a)
	h.inFlight--
	last, decided := h.evaluate(a, fallback)
	h.decided = decided
	return last, decided
}

// cancelOthers cancels all attempts but the winner after the call is decided.
func (h *hedgedCall) cancelOthers(winner *attempt) {
	for _, a := range h.attempts {
		if a != winner {
			a.cancel(errNotNeeded)
		}
	}
	for {
		select {
		case a := <-h.results:
			a.discard()
		default:
			return
		}
	}
}

// evaluate evaluates the result of one attempt. It returns the attempt that decides
// the call and true, or the one to fall back to while others are in flight and
// false.
func (h *hedgedCall) evaluate(a, fallback *attempt) (*attempt, bool) {
	c := h.call
	if a.isFinal() {
		if fallback != nil {
			fallback.discard()
		}
		return a, true
	}
	if fallback != nil {
		// Of two failed attempts, the one with a response has more information for
		// the caller.
		if a.response == nil {
			a, fallback = fallback, a
		}
		fallback.discard()
	}
	if h.inFlight > 0 {
		return a, false
	}
	if !c.takeRetry(a) {
		return a, true
	}
	server := c.chooseToSend()
	if server == nil {
		return a, true
	}
	c.service.Metrics.retries.Inc()
	h.startAttempt(c.newAttempt(server))
	return a, false
}

// startHedge starts a second attempt if the budget allows it and a server is left.
func (h *hedgedCall) startHedge(now int64) {
	c := h.call
	if retry.Expired(now, c.deadline) || !c.mayAddAttempt() {
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

// onFirstByteTimeout runs when the first attempt has had no response within the
// first-byte timeout, and again at the deadline. If no other attempt was started and
// the limits allow one, it cancels the first attempt and starts one at another
// server, so that a pool of unresponsive connections delays each caller by a bounded
// time. At the deadline it cancels all attempts. It returns the time until the timer
// must fire again, and false if it need not.
func (h *hedgedCall) onFirstByteTimeout(now int64) (time.Duration, bool) {
	c := h.call
	if retry.Expired(now, c.deadline) {
		for _, a := range h.attempts {
			a.cancel(errDeadline)
		}
		return 0, false
	}
	if c.attemptCount == 1 && c.mayAddAttempt() && c.service.retryBudget.Take(now, c.limits.RetryPercent, c.proxy.retryBase()) {
		if server := h.serverAfterTimeout(); server != nil {
			c.service.Metrics.retries.Inc()
			h.first.cancel(errDeadline)
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
	h.cancelOthers(last)
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
