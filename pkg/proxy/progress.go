package proxy

import (
	"math/rand/v2"
	"time"

	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

const (
	// progressInterval is how often the progress of a call is estimated; loads are reported
	// about every 20 ms.
	progressInterval = 20 * time.Millisecond
	// minHedgeSpeedup is how much faster another server must be.
	minHedgeSpeedup = 2
	// overdueProgress is the progress from which the server's reports say nothing about the
	// call: it takes much longer than its work should.
	overdueProgress = 2.5
	// minRemaining is the part of the work that is taken to be left at any time,
	// since the work of a single call is not known.
	minRemaining = 0.15
)

// progressEstimator estimates how far a server has come with a call, from the pace that
// the server reports while it works.
type progressEstimator struct {
	server *routing.Server
	// serviceTime is the expected time on an idle server at its usual pace.
	serviceTime int64
	progress    float64
	updatedAt   int64
}

// newProgressEstimator returns nil if nothing can be estimated or no hedge is allowed.
func (c *call) newProgressEstimator(first *attempt) *progressEstimator {
	work := c.service.serviceTime.EstimateNanos()
	if work <= 0 || c.limits.HedgePercent <= 0 || !retry.MayHedge(c.safety, safeMethod(c.r.Method)) || !c.mayAddAttempt() {
		return nil
	}
	return &progressEstimator{server: first.server, serviceTime: work, updatedAt: first.startedAt}
}

// update moves the progress on and returns the expected time to the answer.
func (w *progressEstimator) update(now int64) (remaining int64) {
	pace := max(minSlowdown, w.server.Stats.Slowdown(now, 1))
	w.progress += float64(now-w.updatedAt) / (float64(w.serviceTime) * pace)
	w.updatedAt = now
	return int64(max(minRemaining, 1-w.progress) * float64(w.serviceTime) * pace)
}

// minSlowdown keeps a report of no work at all from being divided by.
const minSlowdown = 0.01

// hedgeIfSlow sends a hedge if the first attempt's server has become slow, or keeps the
// call for much longer than it should, and another server can still answer in
// time.
func (x *hedgedCall) hedgeIfSlow(now int64) {
	c := x.call
	remaining := x.progress.update(now)
	target := c.arrived + int64(c.route.Target)
	late := x.progress.progress > overdueProgress
	if !late && now+remaining <= target {
		return
	}
	server, expected := c.untriedWithHeadroom(now)
	if server == nil {
		return
	}
	inTime := now+expected <= target
	if late {
		inTime = c.deadline == 0 || now+expected <= c.deadline
	}
	if !inTime || (!late && remaining < minHedgeSpeedup*expected) {
		return
	}
	if !c.service.hedgeBudget.Take(now, c.limits.HedgePercent, 0) ||
		!c.service.retryBudget.Take(now, c.limits.RetryPercent, c.proxy.retryBase()) {
		c.service.Counters.hedgesDenied.Inc()
		return
	}
	c.tried = append(c.tried, server)
	c.service.Counters.hedges.Inc()
	x.hedged = true
	x.startAttempt(c.newFreshAttempt(server))
}

// untriedWithHeadroom returns a server that was not tried yet, with a free slot, and the
// expected time to its answer, nil if the best one has none.
func (c *call) untriedWithHeadroom(now int64) (*routing.Server, int64) {
	random := randPool.Get().(*rand.Rand)
	defer randPool.Put(random)
	pick := c.pick(random)
	server := c.view.Choose(pick)
	if server == nil || c.view.HeadroomOf(server, now, pick.SaturationFactor) != routing.HeadroomFree {
		return nil, 0
	}
	return server, c.view.ExpectedLatency(server, pick)
}
