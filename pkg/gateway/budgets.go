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
	// grantRetry is the least time between two attempts to change one grant row.
	// Up to as much again is added at random, so that holders do not collide.
	grantRetry = 5 * time.Second
	// linkGrantKept is how long a link grant is kept after its last use.
	linkGrantKept = 30 * time.Second
	// linkBurst is the time for which unused link bytes may be saved.
	linkBurst = 4 * time.Second
	// linkLeastBurst lets a small share carry one batch of key queries.
	linkLeastBurst = 2 << 10
	// noticeReserve is left by key queries for about seven notices.
	noticeReserve = 1 << 10
	bitsPerByte   = 8
	// leastProbeMicros bounds the rate for services that do not state the cost.
	leastProbeMicros = 1000
)

// budgets holds this gateway's grants.
type budgets struct {
	link *linkBudget
	// probes holds a grant for each service with a probe path. Its unit is probes
	// per second on each server.
	probes map[string]*grant
	// live is how many gateways seemed to live at the last look.
	live atomic.Int64
}

// grant is the gateway's side of one grant row. It is safe for concurrent use.
type grant struct {
	name string

	mu     sync.Mutex
	holder *budget.Holder
	// wish and total are in the row's unit.
	wish, total float64
	nextAt      int64
}

func (g *Gateway) newBudgets() *budgets {
	b := &budgets{
		link:   &linkBudget{gateway: g, grant: g.newGrant("link")},
		probes: make(map[string]*grant),
	}
	b.link.fixed = budget.NewBucket(g.now(), linkBurst, linkLeastBurst)
	b.link.granted = budget.NewBucket(g.now(), linkBurst, linkLeastBurst)
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

// share returns what may be used now.
func (gr *grant) share(now int64) float64 {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	// A total that fell binds at once, without waiting for the next grant.
	return min(gr.holder.Share(now), gr.total)
}

// want sets the wish; 0 lets the grant expire.
func (gr *grant) want(wish, total float64) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.wish, gr.total = wish, total
}

// due reports whether to change the row now, and plans the next attempt.
func (gr *grant) due(now int64) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.wish <= 0 || now < gr.nextAt || !gr.holder.RenewDue(now, gr.wish) {
		return false
	}
	gr.nextAt = now + int64(grantRetry) + rand.Int64N(int64(grantRetry))
	return true
}

func (g *Gateway) runBudgets(ctx context.Context) {
	every(ctx, budgetInterval, nil, func(ctx context.Context) {
		g.budgets.live.Store(int64(g.peers.liveGateways()))
		g.budgets.link.plan(g.now())
		g.renew(ctx, g.budgets.link.grant)
		for _, gr := range g.budgets.probes {
			g.renew(ctx, gr)
		}
	})
}

// renew changes the row of a grant if that is due. Its failure costs nothing but
// the grant, so it is not repeated before the next attempt.
func (g *Gateway) renew(ctx context.Context, gr *grant) {
	if !gr.due(g.now()) {
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
		g.log.Warn("grant row does not parse", "key", key, "error", err.Error())
		return
	}
	gr.mu.Lock()
	next := gr.holder.Plan(budget.Read{Row: row, Sent: sent, Time: result.Time}, gr.wish, gr.total)
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

// probeTotal returns the probes per second that each server of the service may
// get from the whole fleet.
func probeTotal(service settings.Service, percent float64) float64 {
	micros := max(leastProbeMicros, service.ProbeMicros)
	return percent / 100 * float64(service.Slots) * 1e6 / float64(micros)
}

// fairPart divides a total by the gateways that seem to live. It is only a wish;
// the total holds whatever their number is.
func (g *Gateway) fairPart(total float64) float64 {
	live := g.budgets.live.Load()
	if live == 0 {
		live = int64(g.settings.Peers.MaxGateways)
	}
	return total / float64(live)
}

// linkBudget charges frames across the link. Rates are in bytes per second.
type linkBudget struct {
	gateway *Gateway
	grant   *grant

	mu      sync.Mutex
	fixed   *budget.Bucket
	granted *budget.Bucket
	// usedAt is when a frame was last charged to anything but the fixed share.
	usedAt int64
}

// total returns the link budget of the fleet, 0 before a preset is in force.
func (l *linkBudget) total() float64 {
	snapshot := l.gateway.snapshot.Load()
	if snapshot == nil {
		return 0
	}
	percent := snapshot.Version.Preset.Measuring.LinkPercent
	return percent / 100 * float64(l.gateway.settings.Peers.LinkBitsPerSecond) / bitsPerByte
}

// plan asks for a grant while there is traffic that needs one.
func (l *linkBudget) plan(now int64) {
	l.mu.Lock()
	used := l.usedAt != 0 && now-l.usedAt < int64(linkGrantKept)
	l.mu.Unlock()
	total := budget.GrantedTotal(l.total())
	wish := 0.0
	if used {
		wish = l.gateway.fairPart(total)
	}
	l.grant.want(wish, total)
}

// Allow implements peer.Link.
func (l *linkBudget) Allow(kind peer.Kind, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.gateway.now()
	fixed := budget.FixedShare(l.total(), l.gateway.settings.Peers.MaxGateways)
	if kind == peer.KindFixed {
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
