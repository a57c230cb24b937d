package proxy

import (
	"sync"
	"time"

	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// mayRace reports whether a second attempt may run beside the first.
func (c *call) mayRace() bool {
	return c.safety == retry.Idempotent && retry.MayAskAgain(c.incomingAttempt) &&
		(!c.body.present || c.body.buffered != nil)
}

// contest is a race between attempts. Attempts that end when it is over give up
// their answer themselves.
type contest struct {
	call    *call
	results chan *attempt
	mu      sync.Mutex
	over    bool
	running []*attempt
	hedged  bool
}

// maxRacers is the largest number of attempts of one call.
const maxRacers = 2

func (x *contest) start(a *attempt) {
	x.running = append(x.running, a)
	go func() {
		a.send()
		x.mu.Lock()
		late := x.over
		if !late {
			x.results <- a
		}
		x.mu.Unlock()
		if late {
			a.discard()
		}
	}()
}

// finish ends the race and gives up all attempts but the winner.
func (x *contest) finish(winner *attempt) {
	x.mu.Lock()
	x.over = true
	x.mu.Unlock()
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

// race sends a call and, when it takes longer than most, a hedge to another
// server; the first answer wins. It also retries as sequence does.
func (c *call) race(server *routing.Server) *attempt {
	x := &contest{call: c, results: make(chan *attempt, maxRacers)}
	first := c.newAttempt(server)
	hedgeAfter, hedge := c.service.latency.HedgeAfter(first.started)
	hedge = hedge && c.limits.HedgePercent > 0 && retry.MayHedge(c.safety, safeMethod(c.r.Method))
	patience := retry.FirstByteWait(first.started, c.deadline)
	wait := patience
	if hedge {
		wait = min(wait, hedgeAfter)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	x.start(first)
	var fallback *attempt
	for {
		select {
		case a := <-x.results:
			c.record(a)
			last, decided := x.judge(a, fallback)
			if decided {
				c.won(x, first, last)
				return last
			}
			fallback = last
		case <-timer.C:
			now := c.proxy.config.Now()
			if hedge && c.sent == 1 {
				hedge = false
				x.hedge(now)
				timer.Reset(time.Duration(first.started-now) + patience)
				continue
			}
			if next, more := x.afterPatience(now, first); more {
				timer.Reset(next)
			}
		}
	}
}

// judge looks at the end of one attempt. It reports the attempt that decides
// the race, or the one to fall back to while others run.
func (x *contest) judge(a, fallback *attempt) (*attempt, bool) {
	c := x.call
	if a.end == retry.Answered || a.end == retry.ServerError {
		if fallback != nil {
			fallback.discard()
		}
		return a, true
	}
	if fallback != nil {
		// The other attempt ended before: of two failures the one with an answer
		// says more.
		if a.response == nil {
			a, fallback = fallback, a
		}
		fallback.discard()
		return a, true
	}
	if len(x.running) == 1 {
		if !c.mayTryAgain(a) {
			return a, true
		}
		server := c.choose()
		if server == nil {
			return a, true
		}
		c.service.Counters.retries.Inc()
		x.start(c.newAttempt(server))
	}
	return a, false
}

// hedge starts a second attempt if the budget and the servers allow it.
func (x *contest) hedge(now int64) {
	c := x.call
	if retry.Expired(now, c.deadline) {
		return
	}
	if !c.service.hedges.Take(now, c.limits.HedgePercent) {
		c.service.Counters.hedgesDenied.Inc()
		return
	}
	server := c.choose()
	if server == nil {
		return
	}
	c.service.Counters.hedges.Inc()
	x.hedged = true
	x.start(c.newAttempt(server))
}

// afterPatience runs when the first attempt has been silent for long: it is
// given up for an attempt at another server if there may be one, so that a pool
// of silent connections delays each caller by a bounded time. Else everything
// continues to the deadline. It returns the time to the next look.
func (x *contest) afterPatience(now int64, first *attempt) (time.Duration, bool) {
	c := x.call
	if retry.Expired(now, c.deadline) {
		for _, a := range x.running {
			a.cancel(errDeadline)
		}
		return 0, false
	}
	if c.sent == 1 && c.service.retries.Take(now, c.limits.RetryPercent) {
		if server := c.choose(); server != nil {
			c.service.Counters.retries.Inc()
			first.cancel(errDeadline)
			x.start(c.newAttempt(server))
		}
	}
	if c.deadline == 0 {
		return 0, false
	}
	return time.Duration(c.deadline - now), true
}

// won ends the race and learns from it.
func (c *call) won(x *contest, first, last *attempt) {
	x.finish(last)
	now := c.proxy.config.Now()
	if last.response == nil {
		return
	}
	// A first attempt that lost took at least this long; leaving it out would
	// make the observed p95 fall with each hedge.
	c.service.latency.Observe(now, time.Duration(now-first.started))
	if last != first && x.hedged {
		c.service.Counters.hedgesWon.Inc()
	}
}
