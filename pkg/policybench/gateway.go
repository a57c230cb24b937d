package policybench

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamhill/pkg/control"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
)

const (
	serviceName     = "service"
	summaryInterval = 250 * time.Millisecond
	// callTimeout is the timeout of the class fetch.
	callTimeout  = 5 * time.Second
	retryPercent = 10
	hedgePercent = 2
	// maxSavedTokens bounds the retries, and the hedges, that a gateway can save up.
	maxSavedTokens = 10
	// maxReportAge is the age of a load report after which the server is probed.
	maxReportAge = 500 * time.Millisecond
	// probesPerSecond is the probe budget of all gateways together for each server:
	// 1 % of 4 slots at 6 ms per probe.
	probesPerSecond = 6.7
	// probeBytes is the size on the link of a probe with its response, headerBytes
	// that of the load report in a response.
	probeBytes  = 400
	headerBytes = 60
)

// gateway runs the control state and the policies of the product.
type gateway struct {
	run         *run
	id          string
	region      string
	domain      string
	random      *rand.Rand
	state       *control.State
	view        *routing.ServiceView
	probedAt    map[string]int64
	retryTokens float64
	hedgeTokens float64
	// p95 is an estimate of the 95th percentile of latencies, in nanoseconds.
	p95 float64
}

// call is one request of a caller.
type call struct {
	gateway     *gateway
	arrivedAt   int64
	serviceTime float64
	attempts    []*attempt
	pending     int
	retried     bool
	completed   bool
}

type attempt struct {
	server    *server
	target    *routing.Server
	sentAt    int64
	completed bool
	job       *job
	trace     TracedAttempt
}

func (g *gateway) tick() {
	for _, action := range g.state.Tick(g.run.clock.now) {
		if publish, ok := action.(control.Publish); ok {
			g.view = publish.Snapshot.Services[serviceName]
		}
		if announcement, ok := action.(control.AnnounceDrain); ok {
			g.sendToPeers(control.DrainNoticed{
				ServerID: announcement.ServerID, Incarnation: announcement.Incarnation, FromPeer: g.id, Age: announcement.Age,
			}, true)
		}
	}
	if g.run.policy.probes {
		g.probe()
	}
	g.run.clock.after(control.TickInterval, g.tick)
}

// sendToPeers sends an event to the other gateways of the region, or of all regions.
func (g *gateway) sendToPeers(event control.Event, everywhere bool) {
	for _, other := range g.run.gateways {
		if other == g || (other.region != g.region && !everywhere) {
			continue
		}
		g.run.clock.after(g.run.oneWayLatency(g.region, g.domain, other.region, other.domain), func() {
			other.state.Apply(g.run.clock.now, event)
		})
	}
}

func (g *gateway) sendSummary() {
	g.sendToPeers(control.PeerLoadReport{Peer: g.id, Loads: g.state.LoadReport()}, false)
	g.run.clock.after(summaryInterval, g.sendSummary)
}

// probe probes the servers of the local region whose load report is too old.
func (g *gateway) probe() {
	now := g.run.clock.now
	interval := int64(float64(time.Second) * float64(len(g.run.gateways)) / probesPerSecond)
	for _, target := range g.view.Local {
		outdated := now-target.Stats.ReportedAt() > int64(maxReportAge)
		if !outdated || now-g.probedAt[target.ID] < interval {
			continue
		}
		g.probedAt[target.ID] = now
		g.sendProbe(target)
	}
}

func (g *gateway) sendProbe(target *routing.Server) {
	s := g.run.byID[target.ID]
	distance := g.run.oneWayLatency(g.region, g.domain, s.region, s.domain)
	cost := g.run.deployment.ProbeCost
	g.run.result.probeTime += cost
	g.run.clock.after(distance, func() {
		s.arrive(&job{serviceTime: float64(cost), done: func(r reply) {
			g.run.clock.after(distance, func() {
				if r.status == succeeded {
					target.Stats.Report(g.run.clock.now, r.inFlight)
				}
			})
		}})
	})
}

// startCall starts a call and schedules its hedge.
func (g *gateway) startCall() {
	c := &call{gateway: g, arrivedAt: g.run.clock.now, serviceTime: drawServiceTime(g.run.random)}
	g.retryTokens = min(maxSavedTokens, g.retryTokens+retryPercent/100.0)
	g.hedgeTokens = min(maxSavedTokens, g.hedgeTokens+hedgePercent/100.0)
	g.run.result.countOffered(g.run.clock.now)
	g.sendAttempt(c)
	if !g.run.policy.hedges || g.p95 == 0 {
		return
	}
	g.run.clock.after(time.Duration(g.p95), func() {
		if c.completed || len(c.attempts) != 1 || g.hedgeTokens < 1 {
			return
		}
		g.hedgeTokens--
		g.run.result.hedges++
		g.sendAttempt(c)
	})
}

func (g *gateway) choose(c *call) (*server, *routing.Server) {
	if g.run.policy.ideal {
		return g.run.idealServer(g, c)
	}
	tried := make([]*routing.Server, 0, 2)
	for _, a := range c.attempts {
		tried = append(tried, a.target)
	}
	target := g.view.Choose(routing.Pick{Rand: g.random, Now: g.run.clock.now, Tried: tried})
	if target == nil {
		return nil, nil
	}
	return g.run.byID[target.ID], target
}

// sendAttempt sends one attempt.
func (g *gateway) sendAttempt(c *call) {
	s, target := g.choose(c)
	if s == nil {
		g.complete(c, false)
		return
	}
	a := &attempt{server: s, target: target, sentAt: g.run.clock.now}
	a.job = &job{serviceTime: c.serviceTime}
	if len(c.attempts) > 0 {
		// The service time on another server is independent, so it is drawn again.
		a.job.serviceTime = drawServiceTime(g.run.random)
	}
	a.trace = traceAttempt(g.run, c, a)
	c.attempts = append(c.attempts, a)
	c.pending++
	s.outstanding++
	if target != nil {
		target.Stats.Start()
	}
	g.run.result.countAttempt(g.run, a)
	distance := g.run.oneWayLatency(g.region, g.domain, s.region, s.domain)
	a.job.done = func(r reply) {
		s.outstanding--
		g.run.clock.after(distance, func() { g.receive(c, a, r) })
	}
	g.run.clock.after(distance, func() { s.arrive(a.job) })
}

// receive handles the reply to an attempt.
func (g *gateway) receive(c *call, a *attempt, r reply) {
	if a.completed {
		return
	}
	a.completed = true
	c.pending--
	g.recordResult(a, r)
	if a.server.region != g.region {
		g.run.result.linkBytes += headerBytes
	}
	if c.completed {
		return
	}
	if r.status == succeeded {
		g.cancelOthers(c)
		g.complete(c, true)
		return
	}
	if !c.retried && g.retryTokens >= 1 {
		g.retryTokens--
		g.run.result.retries++
		c.retried = true
		g.sendAttempt(c)
		return
	}
	if c.pending == 0 {
		g.complete(c, false)
	}
}

func (g *gateway) recordResult(a *attempt, r reply) {
	if a.target == nil {
		return
	}
	stats, now := a.target.Stats, g.run.clock.now
	stats.End()
	switch r.status {
	case succeeded:
		stats.Success(now, now-a.sentAt)
		g.updateP95(float64(now - a.sentAt))
	case failed:
		stats.Failure()
	case shed:
		stats.Shed()
	}
	if r.inFlight >= 0 {
		stats.Report(now, r.inFlight)
	}
	if r.draining {
		stats.DrainNoticedAt.Store(now)
	}
}

// updateP95 adjusts the estimate by stochastic approximation.
func (g *gateway) updateP95(latency float64) {
	const step = 0.02
	switch {
	case g.p95 == 0:
		g.p95 = 4 * latency
	case latency > g.p95:
		g.p95 *= 1 + step*0.95
	default:
		g.p95 *= 1 - step*0.05
	}
}

// cancelOthers cancels the attempts that are still open. A server completes an attempt
// that it has started.
func (g *gateway) cancelOthers(c *call) {
	for _, a := range c.attempts {
		if a.completed {
			continue
		}
		a.completed = true
		if a.target != nil {
			a.target.Stats.End()
		}
		distance := g.run.oneWayLatency(g.region, g.domain, a.server.region, a.server.domain)
		g.run.clock.after(distance, func() {
			index := slices.Index(a.server.queue, a.job)
			if index < 0 {
				return
			}
			a.server.queue = slices.Delete(a.server.queue, index, index+1)
			a.server.outstanding--
		})
	}
}

func (g *gateway) complete(c *call, ok bool) {
	c.completed = true
	latency := time.Duration(g.run.clock.now-c.arrivedAt) + 2*g.run.deployment.Caller
	g.run.result.record(g.run, c, latency, ok && latency <= callTimeout)
}

func presetFor(policy preset.Policy) *preset.Preset {
	p := preset.Default("bench", preset.KindOrdinary)
	p.Services[serviceName] = preset.Tuning{Policy: policy}
	return p
}
