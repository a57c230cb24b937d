package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"balsamhill/pkg/budget"
	"balsamhill/pkg/peer"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/settings"
)

const (
	budgetInterval = time.Second
	// minGrantRetryInterval is the least time between two attempts to change one grant
	// row. Up to the same time is added at random, so that gateways do not collide.
	minGrantRetryInterval = 5 * time.Second
	// linkGrantIdleTimeout is how long a link grant is renewed after its last use.
	linkGrantIdleTimeout = 30 * time.Second
	// linkBurstDuration is the time over which unused link bytes accumulate.
	linkBurstDuration = 4 * time.Second
	// minLinkBurstBytes lets a small share send one batch of key queries.
	minLinkBurstBytes = 2 << 10
	// noticeReserve is the number of bytes that key queries leave unused; it is enough
	// for about seven notices.
	noticeReserve = 1 << 10
	bitsPerByte   = 8
	// minProbeMicros is the least cost of a probe. It bounds the probe rate of services
	// that do not configure the cost.
	minProbeMicros = 1000
)

// budgets holds this gateway's grants.
type budgets struct {
	link *linkBudget
	// probes holds a grant for each service with a probe path. The unit is probes per
	// second to each server.
	probes map[string]*grant
	// aliveGateways is the number of alive gateways, this one included, when it was
	// last determined.
	aliveGateways atomic.Int64
}

// grant is this gateway's part of one grant row. It is safe for concurrent use.
type grant struct {
	name string

	mu     sync.Mutex
	holder *budget.Holder
	// requested is the share that this gateway wants, and total the sum of all shares.
	// Both are in the unit of the row.
	requested, total float64
	nextAt           int64
}

func (g *Gateway) newBudgets() *budgets {
	b := &budgets{
		link:   &linkBudget{gateway: g, grant: g.newGrant("link")},
		probes: make(map[string]*grant),
	}
	b.link.fixed = budget.NewBucket(g.now(), linkBurstDuration, minLinkBurstBytes)
	b.link.granted = budget.NewBucket(g.now(), linkBurstDuration, minLinkBurstBytes)
	for _, service := range g.settings.Services {
		if service.ProbePath != "" {
			b.probes[service.Name] = g.newGrant("probe/" + service.Name)
		}
	}
	return b
}

func (g *Gateway) newGrant(name string) *grant {
	id := fmt.Sprintf("%s@%d", g.settings.VM.ID, g.incarnation)
	created := &grant{name: name, holder: budget.NewHolder(id)}
	g.metrics.NewGauge(fmt.Sprintf("balsamhill_budget_share{budget=%q}", name), func() float64 {
		return created.share(g.now())
	})
	return created
}

// share returns the share that may be used now.
func (gr *grant) share(now int64) float64 {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	// A reduced total takes effect at once, without waiting for the next grant.
	return min(gr.holder.Share(now), gr.total)
}

// request sets the share that the next renewal requests; with 0 the grant expires.
func (gr *grant) request(requested, total float64) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.requested, gr.total = requested, total
}

// renewalDue reports whether to change the row now. If so, it sets the earliest time of
// the next attempt.
func (gr *grant) renewalDue(now int64) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.requested <= 0 || now < gr.nextAt || !gr.holder.RenewDue(now, gr.requested) {
		return false
	}
	gr.nextAt = now + int64(minGrantRetryInterval) + rand.Int64N(int64(minGrantRetryInterval))
	return true
}

func (g *Gateway) runBudgets(ctx context.Context) {
	runEvery(ctx, budgetInterval, nil, func(ctx context.Context) {
		g.budgets.aliveGateways.Store(int64(g.peers.aliveGateways()))
		g.budgets.link.updateRequest(g.now())
		g.renew(ctx, g.budgets.link.grant)
		for _, gr := range g.budgets.probes {
			g.renew(ctx, gr)
		}
	})
}

// renew changes the row of a grant if that is due. A failed change affects only this
// grant and is repeated when the next attempt is due.
func (g *Gateway) renew(ctx context.Context, gr *grant) {
	if !gr.renewalDue(g.now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	key := budget.RowPrefix + gr.name
	sent := g.now()
	result, err := g.platform.Get(ctx, key)
	if err != nil {
		g.counters.platformErrors.Inc()
		return
	}
	var stored platform.Row
	if len(result.Rows) == 1 {
		stored = result.Rows[0]
	}
	row, err := budget.ParseRow(stored.Value)
	if err != nil {
		g.log.Warn("cannot parse the row of a budget; its share is not renewed", "key", key, "error", err.Error())
		return
	}
	gr.mu.Lock()
	next := gr.holder.Plan(budget.RowRead{Row: row, SentAt: sent, Time: result.Time}, gr.requested, gr.total)
	gr.mu.Unlock()
	outcome := g.platform.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: stored.Version}},
		Writes: []platform.Write{{Key: key, Value: next.Encode()}},
	})
	gr.mu.Lock()
	gr.holder.WriteCompleted(outcome.Status == platform.CommitApplied)
	gr.mu.Unlock()
	if outcome.Status != platform.CommitApplied {
		g.counters.grantFailures.Inc()
	}
}

// probeTotal returns the probes per second that all gateways together may send to each
// server of the service.
func probeTotal(service settings.Service, percent float64) float64 {
	micros := max(minProbeMicros, service.ProbeMicros)
	return percent / 100 * float64(service.Slots) * 1e6 / float64(micros)
}

// equalShare divides a total by the number of alive gateways. The result is only
// requested; the grants never exceed the total, even if the number is wrong.
func (g *Gateway) equalShare(total float64) float64 {
	alive := g.budgets.aliveGateways.Load()
	if alive == 0 {
		alive = int64(g.settings.Peers.MaxGateways)
	}
	return total / float64(alive)
}

// linkBudget charges the frames that cross the link. Rates are in bytes per second.
type linkBudget struct {
	gateway *Gateway
	grant   *grant

	mu      sync.Mutex
	fixed   *budget.Bucket
	granted *budget.Bucket
	// usedAt is when a frame other than a heartbeat was last submitted, whether sent or
	// not.
	usedAt int64
}

// total returns the link budget of all gateways, 0 before a preset is in force.
func (l *linkBudget) total() float64 {
	snapshot := l.gateway.snapshot.Load()
	if snapshot == nil {
		return 0
	}
	percent := snapshot.Version.Preset.Measuring.LinkPercent
	return percent / 100 * float64(l.gateway.settings.Peers.LinkBitsPerSecond) / bitsPerByte
}

// updateRequest requests a grant while there is traffic that needs one.
func (l *linkBudget) updateRequest(now int64) {
	l.mu.Lock()
	used := l.usedAt != 0 && now-l.usedAt < int64(linkGrantIdleTimeout)
	l.mu.Unlock()
	total := budget.GrantedTotal(l.total())
	requested := 0.0
	if used {
		requested = l.gateway.equalShare(total)
	}
	l.grant.request(requested, total)
}

// Allow implements peer.Link.
func (l *linkBudget) Allow(kind peer.FrameKind, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.gateway.now()
	fixed := budget.FixedShare(l.total(), l.gateway.settings.Peers.MaxGateways)
	if kind == peer.KindHeartbeat {
		l.fixed.Charge(now, fixed, float64(bytes))
		return true
	}
	reserve := 0.0
	if kind == peer.KindQuery {
		reserve = noticeReserve
	}
	l.usedAt = now
	if l.fixed.TakeWithReserve(now, fixed, float64(bytes), reserve) {
		return true
	}
	return l.granted.TakeWithReserve(now, l.grant.share(now), float64(bytes), reserve)
}
