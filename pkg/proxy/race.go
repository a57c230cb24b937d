package proxy

import (
	"sync"
	"time"

	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// mayRace reports whether a second attempt may run beside the first.
func (c *call) mayRace() bool {
	return c.safety == retry.Idempotent && retry.MayRepeat(c.incomingAttempt) &&
		(!c.body.present || c.body.buffered != nil)
}

// contest is a race between attempts. The first runs in the handler's goroutine,
// so that a call without a hedge costs no goroutine; the timer starts others.
// Attempts that end when the race is over give up their answer themselves.
type contest struct {
	call     *call
	first    *attempt
	patience time.Duration
	// results receives the attempts other than the first.
	results chan *attempt

	// mu guards the fields below and those of the call that change with each
	// attempt: sent and tried.
	mu       sync.Mutex
	over     bool
	running  []*attempt
	open     int
	timer    *time.Timer
	mayHedge bool
	hedged   bool
	// watch follows the first attempt on routes with a target, else nil.
	watch *paceWatch
}

// maxRacers is the largest number of attempts of one call.
const maxRacers = maxSends

// race sends a call and, when it takes longer than most, a hedge to another
// server; the first answer wins. It also retries as sequence does.
func (c *call) race(server *routing.Server) *attempt {
	x := &contest{call: c, results: make(chan *attempt, maxRacers), first: c.newAttempt(server)}
	x.running = append(x.running, x.first)
	x.open = 1
	x.arm()
	defer x.timer.Stop()
	x.first.send()
	var fallback *attempt
	for a := x.first; ; a = <-x.results {
		last, decided := x.ended(a, fallback)
		if decided {
			c.won(x, last)
			return last
		}
		fallback = last
	}
}

// arm sets the timer to the hedge, or to the end of the patience with the first
// attempt if there may be no hedge.
func (x *contest) arm() {
	c := x.call
	started := x.first.started
	x.patience = retry.FirstByteTimeout(started, c.deadline)
	wait := x.patience
	hedgeAfter, known := c.service.latency.HedgeAfter(started)
	if c.route.LatencyTarget > 0 {
		// The reported pace tells earlier than the time since the start.
		known = false
		x.watch = c.newPaceWatch(x.first)
	}
	if x.watch != nil {
		wait = min(wait, paceLook)
	}
	if known && c.limits.HedgePercent > 0 && retry.MayHedge(c.safety, safeMethod(c.r.Method)) {
		x.mayHedge = true
		wait = min(wait, hedgeAfter)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.timer = time.AfterFunc(wait, x.tick)
}

// tick runs in the timer's goroutine while the first attempt is in flight.
func (x *contest) tick() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over {
		return
	}
	now := x.call.proxy.config.Now()
	if left := time.Duration(x.first.started-now) + x.patience; x.watch != nil && x.call.sent == 1 && left > 0 {
		x.look(now)
		x.timer.Reset(min(paceLook, left))
		return
	}
	if x.mayHedge && x.call.sent == 1 {
		x.mayHedge = false
		x.hedge(now)
		x.timer.Reset(time.Duration(x.first.started-now) + x.patience)
		return
	}
	if next, more := x.afterPatience(now); more {
		x.timer.Reset(next)
	}
}

// start runs an attempt beside the first.
func (x *contest) start(a *attempt) {
	x.running = append(x.running, a)
	x.open++
	go func() {
		a.send()
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.over {
			a.discard()
			return
		}
		x.results <- a
		if a.decides() {
			x.first.cancel(errLost)
		}
	}()
}

// decides reports whether the end of an attempt ends its race. An error does not
// while others run: a server that fails fast would win every race.
func (a *attempt) decides() bool {
	return a.end == retry.ResponseReceived
}

// ended takes note of the end of an attempt; see judge.
func (x *contest) ended(a, fallback *attempt) (*attempt, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.call.record(a)
	x.open--
	last, decided := x.judge(a, fallback)
	x.over = decided
	return last, decided
}

// finish gives up all attempts but the winner when the race is over.
func (x *contest) finish(winner *attempt) {
	for _, a := range x.running {
		if a != winner {
			a.cancel(errLost)
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

// judge looks at the end of one attempt. It reports the attempt that decides
// the race, or the one to fall back to while others run.
func (x *contest) judge(a, fallback *attempt) (*attempt, bool) {
	c := x.call
	if a.decides() {
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
	if x.open > 0 {
		return a, false
	}
	if !c.mayTryAgain(a) {
		return a, true
	}
	server := c.choose()
	if server == nil {
		return a, true
	}
	c.service.Counters.retries.Inc()
	x.start(c.newAttempt(server))
	return a, false
}

// hedge starts a second attempt if the budget and the servers allow it.
func (x *contest) hedge(now int64) {
	c := x.call
	if retry.Expired(now, c.deadline) || !c.mayRunAgain() {
		return
	}
	if !c.service.hedges.Take(now, c.limits.HedgePercent, 0) {
		c.service.Counters.hedgesDenied.Inc()
		return
	}
	server := c.choose()
	if server == nil {
		return
	}
	c.service.Counters.hedges.Inc()
	x.hedged = true
	x.start(c.freshAttempt(server))
}

// afterPatience runs when the first attempt has been silent for long: it is
// given up for an attempt at another server if there may be one, so that a pool
// of silent connections delays each caller by a bounded time. Else everything
// continues to the deadline. It returns the time to the next look.
func (x *contest) afterPatience(now int64) (time.Duration, bool) {
	c := x.call
	if retry.Expired(now, c.deadline) {
		for _, a := range x.running {
			a.cancel(errDeadline)
		}
		return 0, false
	}
	if c.sent == 1 && c.mayRunAgain() && c.service.retries.Take(now, c.limits.RetryPercent, c.proxy.retryBase()) {
		if server := x.serverAfterSilence(); server != nil {
			c.service.Counters.retries.Inc()
			x.first.cancel(errDeadline)
			x.start(c.freshAttempt(server))
		}
	}
	if c.deadline == 0 {
		return 0, false
	}
	return time.Duration(c.deadline - now), true
}

// serverAfterSilence returns where to send the second attempt of a silent call.
// If the silent connection had been used before, something between may have
// forgotten it and others of its kind: those are closed, and without another
// server the same one is tried over a new connection.
func (x *contest) serverAfterSilence() *routing.Server {
	c := x.call
	if x.first.reused.Load() {
		c.proxy.config.Servers.DropIdle(c.target)
	}
	server := c.choose()
	if server == nil && x.first.reused.Load() {
		return x.first.server
	}
	return server
}

// won ends the race and learns from it.
func (c *call) won(x *contest, last *attempt) {
	x.finish(last)
	now := c.proxy.config.Now()
	if last.response == nil {
		return
	}
	// A first attempt that lost took at least this long; leaving it out would
	// make the observed p95 fall with each hedge.
	c.service.latency.Observe(now, time.Duration(now-x.first.started))
	if last != x.first && x.hedged {
		c.service.Counters.hedgesWon.Inc()
	}
}
