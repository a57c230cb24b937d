package proxy

import (
	"math/rand/v2"
	"time"

	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

const (
	// paceLook is how often the progress of a call is estimated; loads are reported
	// about every 20 ms.
	paceLook = 20 * time.Millisecond
	// hedgeGain is how much faster another server must be.
	hedgeGain = 2
	// overdue is the progress from which the server's reports say nothing about the
	// call: it takes much longer than its work should.
	overdue = 2.5
	// leastRemaining is the part of the work that is taken to be left at any time,
	// since the work of a single call is not known.
	leastRemaining = 0.15
)

// paceWatch estimates how far a server has come with a call, from the pace that
// the server reports while it works.
type paceWatch struct {
	server *routing.Server
	// work is the expected time on an idle server at its usual pace.
	work     int64
	progress float64
	lookedAt int64
}

// newPaceWatch returns nil if nothing can be estimated or no hedge is allowed.
func (c *call) newPaceWatch(first *attempt) *paceWatch {
	work := c.service.work.EstimateNanos()
	if work <= 0 || c.limits.HedgePercent <= 0 || !retry.MayHedge(c.safety, safeMethod(c.r.Method)) || !c.mayRunAgain() {
		return nil
	}
	return &paceWatch{server: first.server, work: work, lookedAt: first.started}
}

// look moves the progress on and returns the expected time to the answer.
func (w *paceWatch) look(now int64) (remaining int64) {
	pace := max(minPace, w.server.Stats.Slowdown(now, 1))
	w.progress += float64(now-w.lookedAt) / (float64(w.work) * pace)
	w.lookedAt = now
	return int64(max(leastRemaining, 1-w.progress) * float64(w.work) * pace)
}

// minPace keeps a report of no work at all from being divided by.
const minPace = 0.01

// look sends a hedge if the first attempt's server has become slow, or keeps the
// call for much longer than it should, and another server can still answer in
// time.
func (x *contest) look(now int64) {
	c := x.call
	remaining := x.watch.look(now)
	target := c.arrived + int64(c.route.LatencyTarget)
	late := x.watch.progress > overdue
	if !late && now+remaining <= target {
		return
	}
	server, expected := c.alternative(now)
	if server == nil {
		return
	}
	inTime := now+expected <= target
	if late {
		inTime = c.deadline == 0 || now+expected <= c.deadline
	}
	if !inTime || (!late && remaining < hedgeGain*expected) {
		return
	}
	if !c.service.hedges.Take(now, c.limits.HedgePercent, 0) ||
		!c.service.retries.Take(now, c.limits.RetryPercent, c.proxy.retryBase()) {
		c.service.Counters.hedgesDenied.Inc()
		return
	}
	c.tried = append(c.tried, server)
	c.service.Counters.hedges.Inc()
	x.hedged = true
	x.start(c.freshAttempt(server))
}

// alternative returns a server that was not tried yet, with a free slot, and the
// expected time to its answer, nil if the best one has none.
func (c *call) alternative(now int64) (*routing.Server, int64) {
	random := randPool.Get().(*rand.Rand)
	defer randPool.Put(random)
	pick := c.pick(random)
	server := c.view.Choose(pick)
	if server == nil || c.view.HeadroomOf(server, now, pick.SaturationFactor) != routing.HeadroomFree {
		return nil, 0
	}
	return server, c.view.ExpectedLatency(server, pick)
}
