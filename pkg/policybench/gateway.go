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
	// burst is the largest number of retries or hedges saved up.
	burst = 10
	// probeAge is the age of the view of a server from which it is probed.
	probeAge = 500 * time.Millisecond
	// probesPerSecond is the fleet's budget for each server at 1 % of 4 slots
	// and 6 ms a probe.
	probesPerSecond = 6.7
	// probeBytes and headerBytes are the sizes on the link of a probe with its
	// answer and of the load report of an answer.
	probeBytes  = 400
	headerBytes = 60
)

// gateway runs the real control state and picks with the real policy.
type gateway struct {
	run     *run
	id      string
	region  string
	domain  string
	random  *rand.Rand
	state   *control.State
	view    *routing.ServiceView
	probed  map[string]int64
	retries float64
	hedges  float64
	// p95 is an estimate of the 95th percentile of latencies, in nanoseconds.
	p95 float64
}

// call is one caller's request.
type call struct {
	gateway  *gateway
	arrived  int64
	work     float64
	attempts []*attempt
	pending  int
	retried  bool
	ended    bool
}

type attempt struct {
	server *server
	target *routing.Server
	sent   int64
	ended  bool
	job    *job
	traced TracedAttempt
}

func (g *gateway) tick() {
	for _, action := range g.state.Tick(g.run.clock.now) {
		if publish, ok := action.(control.Publish); ok {
			g.view = publish.Snapshot.Services[serviceName]
		}
		if learned, ok := action.(control.AnnounceDrain); ok {
			g.tellPeers(control.DrainNoticed{
				ServerID: learned.ServerID, Incarnation: learned.Incarnation, FromPeer: g.id, Age: learned.Age,
			}, true)
		}
	}
	if g.run.policy.probes {
		g.probe()
	}
	g.run.clock.after(control.TickInterval, g.tick)
}

// tellPeers sends an event to the other gateways of the region, or to all.
func (g *gateway) tellPeers(event control.Event, everywhere bool) {
	for _, other := range g.run.gateways {
		if other == g || (other.region != g.region && !everywhere) {
			continue
		}
		g.run.clock.after(g.run.distance(g.region, g.domain, other.region, other.domain), func() {
			other.state.Apply(g.run.clock.now, event)
		})
	}
}

func (g *gateway) sendSummary() {
	g.tellPeers(control.PeerLoadReport{Peer: g.id, Loads: g.state.LoadReport()}, false)
	g.run.clock.after(summaryInterval, g.sendSummary)
}

// probe probes servers of the own region whose view is too old.
func (g *gateway) probe() {
	now := g.run.clock.now
	interval := int64(float64(time.Second) * float64(len(g.run.gateways)) / probesPerSecond)
	for _, target := range g.view.Local {
		old := now-target.Stats.ReportedAt() > int64(probeAge)
		if !old || now-g.probed[target.ID] < interval {
			continue
		}
		g.probed[target.ID] = now
		g.sendProbe(target)
	}
}

func (g *gateway) sendProbe(target *routing.Server) {
	s := g.run.byID[target.ID]
	distance := g.run.distance(g.region, g.domain, s.region, s.domain)
	cost := g.run.deployment.ProbeCost
	g.run.result.probeTime += cost
	g.run.clock.after(distance, func() {
		s.arrive(&job{work: float64(cost), done: func(r reply) {
			g.run.clock.after(distance, func() {
				if r.status == answered {
					target.Stats.Report(g.run.clock.now, r.inFlight)
				}
			})
		}})
	})
}

// accept begins a call.
func (g *gateway) accept() {
	c := &call{gateway: g, arrived: g.run.clock.now, work: serviceTime(g.run.random)}
	g.retries = min(burst, g.retries+retryPercent/100.0)
	g.hedges = min(burst, g.hedges+hedgePercent/100.0)
	g.run.result.offer(g.run.clock.now)
	g.dispatch(c)
	if !g.run.policy.hedges || g.p95 == 0 {
		return
	}
	g.run.clock.after(time.Duration(g.p95), func() {
		if c.ended || len(c.attempts) != 1 || g.hedges < 1 {
			return
		}
		g.hedges--
		g.run.result.hedges++
		g.dispatch(c)
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

// dispatch sends one attempt.
func (g *gateway) dispatch(c *call) {
	s, target := g.choose(c)
	if s == nil {
		g.end(c, false)
		return
	}
	a := &attempt{server: s, target: target, sent: g.run.clock.now}
	a.job = &job{work: c.work}
	if len(c.attempts) > 0 {
		// Another server meets its own obstacles, so the service time is drawn anew.
		a.job.work = serviceTime(g.run.random)
	}
	a.traced = traceAttempt(g.run, c, a)
	c.attempts = append(c.attempts, a)
	c.pending++
	s.onTheWay++
	if target != nil {
		target.Stats.Start()
	}
	g.run.result.countAttempt(g.run, a)
	distance := g.run.distance(g.region, g.domain, s.region, s.domain)
	a.job.done = func(r reply) {
		s.onTheWay--
		g.run.clock.after(distance, func() { g.receive(c, a, r) })
	}
	g.run.clock.after(distance, func() { s.arrive(a.job) })
}

// receive takes the answer of an attempt.
func (g *gateway) receive(c *call, a *attempt, r reply) {
	if a.ended {
		return
	}
	a.ended = true
	c.pending--
	g.observe(a, r)
	if a.server.region != g.region {
		g.run.result.linkBytes += headerBytes
	}
	if c.ended {
		return
	}
	if r.status == answered {
		g.cancelOthers(c)
		g.end(c, true)
		return
	}
	if !c.retried && g.retries >= 1 {
		g.retries--
		g.run.result.retries++
		c.retried = true
		g.dispatch(c)
		return
	}
	if c.pending == 0 {
		g.end(c, false)
	}
}

func (g *gateway) observe(a *attempt, r reply) {
	if a.target == nil {
		return
	}
	stats, now := a.target.Stats, g.run.clock.now
	stats.End()
	switch r.status {
	case answered:
		stats.Success(now, now-a.sent)
		g.learnP95(float64(now - a.sent))
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

// learnP95 moves the estimate by stochastic approximation.
func (g *gateway) learnP95(latency float64) {
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

// cancelOthers cancels the slower attempt; a server that has begun it completes it.
func (g *gateway) cancelOthers(c *call) {
	for _, a := range c.attempts {
		if a.ended {
			continue
		}
		a.ended = true
		if a.target != nil {
			a.target.Stats.End()
		}
		distance := g.run.distance(g.region, g.domain, a.server.region, a.server.domain)
		g.run.clock.after(distance, func() {
			index := slices.Index(a.server.queue, a.job)
			if index < 0 {
				return
			}
			a.server.queue = slices.Delete(a.server.queue, index, index+1)
			a.server.onTheWay--
		})
	}
}

func (g *gateway) end(c *call, ok bool) {
	c.ended = true
	latency := time.Duration(g.run.clock.now-c.arrived) + 2*g.run.deployment.Caller
	g.run.result.record(g.run, c, latency, ok && latency <= callTimeout)
}

func presetFor(policy preset.Policy) *preset.Preset {
	p := preset.Default("bench", preset.KindOrdinary)
	p.Services[serviceName] = preset.Tuning{Policy: policy}
	return p
}
