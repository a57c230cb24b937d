package proxy

import (
	"math/rand/v2"
	"time"

	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

const (
	// progressInterval is how often the progress of a call is estimated; servers
	// report their load about every 20 ms.
	progressInterval = 20 * time.Millisecond
	// minHedgeSpeedup is how many times faster than the remaining time another
	// server's expected response must be.
	minHedgeSpeedup = 2
	// overdueProgress is the progress, in multiples of the estimated service time,
	// above which a call is overdue: it takes much longer than the slowdown that the
	// server reports explains.
	overdueProgress = 2.5
	// minRemaining is the fraction of the service time that is always assumed to
	// remain, since the service time of a single call is not known.
	minRemaining = 0.15
)

// progressEstimator estimates how much of a call a server has completed, from the
// slowdown that the server reports meanwhile.
type progressEstimator struct {
	server *routing.Server
	// serviceTime is the expected time in nanoseconds on an idle server without
	// slowdown.
	serviceTime int64
	// progress is the completed part of the call in multiples of serviceTime, and
	// updatedAt the time of the last update on the clock of Config.Now.
	progress  float64
	updatedAt int64
}

// newProgressEstimator returns nil if there is no service-time estimate yet or no
// hedge is allowed.
func (c *call) newProgressEstimator(first *attempt) *progressEstimator {
	serviceTime := c.service.serviceTime.EstimateNanos()
	if serviceTime <= 0 || c.limits.HedgePercent <= 0 || !retry.MayHedge(c.safety, safeMethod(c.r.Method)) || !c.mayAddAttempt() {
		return nil
	}
	return &progressEstimator{server: first.server, serviceTime: serviceTime, updatedAt: first.startedAt}
}

// update advances the progress to now and returns the expected time until the
// response.
func (e *progressEstimator) update(now int64) (remaining int64) {
	slowdown := max(minSlowdown, e.server.Stats.Slowdown(now, 1))
	e.progress += float64(now-e.updatedAt) / (float64(e.serviceTime) * slowdown)
	e.updatedAt = now
	return int64(max(minRemaining, 1-e.progress) * float64(e.serviceTime) * slowdown)
}

// minSlowdown avoids a division by zero if a server reports a slowdown of 0.
const minSlowdown = 0.01

// hedgeIfSlow sends a hedge if the first attempt is not expected to meet the
// latency target, or is overdue, and another server can still respond in time.
func (h *hedgedCall) hedgeIfSlow(now int64) {
	c := h.call
	remaining := h.progress.update(now)
	target := c.arrived + int64(c.route.LatencyTarget)
	overdue := h.progress.progress > overdueProgress
	if !overdue && now+remaining <= target {
		return
	}
	server, expected := c.untriedWithFreeHeadroom(now)
	if server == nil {
		return
	}
	inTime := now+expected <= target
	if overdue {
		inTime = c.deadline == 0 || now+expected <= c.deadline
	}
	if !inTime || (!overdue && remaining < minHedgeSpeedup*expected) {
		return
	}
	if !c.service.hedgeBudget.Take(now, c.limits.HedgePercent, 0) ||
		!c.service.retryBudget.Take(now, c.limits.RetryPercent, c.proxy.retryBase()) {
		c.service.Metrics.hedgesDenied.Inc()
		return
	}
	if !server.Stats.Take(now) {
		return
	}
	c.tried = append(c.tried, server)
	c.service.Metrics.hedges.Inc()
	h.hedged = true
	h.startAttempt(c.newFreshAttempt(server))
}

// untriedWithFreeHeadroom returns the best server that was not tried yet and the
// expected time until its response, or nil if that server is not HeadroomFree.
func (c *call) untriedWithFreeHeadroom(now int64) (*routing.Server, int64) {
	random := randPool.Get().(*rand.Rand)
	defer randPool.Put(random)
	pick := c.pick(random)
	server := c.view.Choose(pick)
	if server == nil || c.view.HeadroomOf(server, now, pick.SaturationFactor) != routing.HeadroomFree {
		return nil, 0
	}
	return server, c.view.ExpectedLatency(server, pick)
}
