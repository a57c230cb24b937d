package proxy

import (
	"math/rand/v2"
	"time"

	"balsamhill/pkg/attempts"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// progressInterval is how often the progress of a call is estimated; servers report their load
// about every 20 ms.
const progressInterval = 20 * time.Millisecond

// newProgress returns nil if there is no service-time estimate yet or no hedge is allowed.
func (c *call) newProgress(first *attempt) *attempts.Progress {
	serviceTime := c.service.serviceTime.EstimateNanos()
	if serviceTime <= 0 || c.limits.HedgePercent <= 0 || !retry.MayHedge(c.safety, safeMethod(c.r.Method)) || !c.mayAddAttempt() {
		return nil
	}
	return attempts.NewProgress(first.startedAt, serviceTime)
}

// hedgeIfSlow sends a hedge if the first attempt is not expected to meet the
// latency target, or is overdue, and another server can still respond in time.
func (h *hedgedCall) hedgeIfSlow(now int64) {
	c := h.call
	h.progress.Update(now, h.first.server.Stats.Slowdown(now, 1))
	target := c.arrived + int64(c.route.LatencyTarget)
	if !h.progress.Late(target) || !c.mayStartAnother(now) {
		return
	}
	server, expected := c.untriedWithFreeHeadroom(now)
	if server == nil || !h.progress.HedgeHelps(expected, target, c.deadline) {
		return
	}
	if !c.service.hedgeBudget.Take(now, c.limits.HedgePercent, 0) || !c.takeRetryToken(now) {
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
