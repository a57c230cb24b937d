package edge

import (
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"balsamhill/pkg/gossip"
	"balsamhill/pkg/prober"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
)

const (
	// probeTick is how often due probes are started, and idleProbeTick how often a
	// gateway without servers to probe checks for new ones.
	probeTick     = 10 * time.Millisecond
	idleProbeTick = 100 * time.Millisecond
	// intervalRefresh is how often the probe intervals of the services are recomputed.
	intervalRefresh = 100 * time.Millisecond
	// probeTimeout bounds a probe; the load in a later response would be stale.
	probeTimeout = 250 * time.Millisecond
	// unresponsiveThreshold is the number of consecutive failed probes after which a
	// server counts as unresponsive.
	unresponsiveThreshold = 2
	// unresponsiveProbeInterval is how often an unresponsive server is probed.
	unresponsiveProbeInterval = 200 * time.Millisecond
	// maxProbeBodyBytes bounds how much of the body of a probe response is read.
	maxProbeBodyBytes = 4 << 10
)

// probeState is the state of the probes of one server.
type probeState struct {
	server *routing.Server
	// path is empty if another gateway now probes the server.
	path      string
	service   string
	startedAt int64
	running   bool
	failures  int
}

// probeResult is the result of a probe.
type probeResult struct {
	server *routing.Server
	ok     bool
}

// probeScheduler starts the probes of the servers that are assigned to this gateway, at
// the intervals of package prober. It is used by one goroutine.
type probeScheduler struct {
	edge *Edge
	// states holds the servers that this gateway probes or whose probe is still running,
	// by ID. It is derived from snapshot and assignment.
	states     map[string]*probeState
	snapshot   *routing.Snapshot
	assignment *gossip.Assignment
	// intervals holds the maximum age of load reports by service.
	intervals           map[string]time.Duration
	intervalsComputedAt int64
	results             chan probeResult
}

func newProbeScheduler(e *Edge) *probeScheduler {
	return &probeScheduler{edge: e, states: make(map[string]*probeState), results: make(chan probeResult, 64)}
}

// runProber probes the servers that are assigned to this gateway until ctx is done.
func (e *Edge) runProber(ctx context.Context) {
	p := newProbeScheduler(e)
	timer := time.NewTimer(probeTick)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(p.tick(ctx))
		case result := <-p.results:
			p.handleResult(result)
		case <-ctx.Done():
			return
		}
	}
}

// handleResult updates the state of a server after a probe.
func (p *probeScheduler) handleResult(result probeResult) {
	state := p.states[result.server.ID]
	state.running = false
	if state.path == "" {
		delete(p.states, result.server.ID)
	}
	if state.server.Incarnation != result.server.Incarnation {
		return
	}
	if result.ok {
		state.failures = 0
		p.edge.setUnresponsive(result.server, false, p.edge.self.ID)
		return
	}
	state.failures++
	if state.failures >= unresponsiveThreshold {
		p.edge.setUnresponsive(result.server, true, p.edge.self.ID)
	}
}

// setUnresponsive records, counts and logs whether a server responds to the probes of a gateway.
func (e *Edge) setUnresponsive(server *routing.Server, unresponsive bool, prober string) {
	if !server.Stats.SetUnresponsive(unresponsive) {
		return
	}
	e.counters.recordProbeVerdict(unresponsive, prober == e.self.ID)
	e.log.Info("server responsiveness changed", "server", server.ID, "service", server.Service,
		"unresponsive", unresponsive, "prober", prober)
}

// tick starts the probes that are due and returns the delay until the next tick.
func (p *probeScheduler) tick(ctx context.Context) time.Duration {
	e := p.edge
	snapshot, assignment := e.snapshot.Load(), e.assignment.Load()
	if snapshot == nil || assignment == nil || e.stopping.Load() {
		return idleProbeTick
	}
	if snapshot != p.snapshot || assignment != p.assignment {
		p.snapshot, p.assignment = snapshot, assignment
		p.assign()
	}
	if len(p.states) == 0 {
		return idleProbeTick
	}
	now := e.now()
	p.refreshIntervals(now)
	for _, state := range p.states {
		if state.path == "" || state.running || !state.due(now, p.intervals[state.service]) {
			continue
		}
		state.running = true
		state.startedAt = now
		e.counters.probes.Inc()
		go e.probe(ctx, state.server, state.path, p.results)
	}
	return probeTick
}

// refreshIntervals recomputes the probe intervals from the load, every intervalRefresh.
func (p *probeScheduler) refreshIntervals(now int64) {
	if p.intervals != nil && now-p.intervalsComputedAt < int64(intervalRefresh) {
		return
	}
	p.intervalsComputedAt = now
	p.intervals = make(map[string]time.Duration, len(p.snapshot.Services))
	maxProbesPerSecond := p.edge.limits.Load().ProbesPerSecond
	for name, view := range p.snapshot.Services {
		p.intervals[name] = prober.Interval(view.MeanInFlight(now), maxProbesPerSecond)
	}
}

// assign updates the states to the snapshot and the assignment. The state of a server that
// another gateway now probes is removed when its running probe has ended.
func (p *probeScheduler) assign() {
	for _, state := range p.states {
		state.path = ""
	}
	for _, rule := range p.snapshot.Version.Routing.Services {
		view := p.snapshot.Services[rule.Name]
		if view == nil || rule.ProbePath == "" {
			continue
		}
		for _, server := range view.Servers {
			if !p.edge.shouldProbe(p.assignment, server) {
				continue
			}
			state := p.states[server.ID]
			if state == nil {
				state = &probeState{}
				p.states[server.ID] = state
			}
			if state.server != nil && state.server.Incarnation != server.Incarnation {
				state.failures = 0
			}
			state.server, state.path, state.service = server, rule.ProbePath, rule.Name
		}
	}
	maps.DeleteFunc(p.states, func(_ string, state *probeState) bool { return state.path == "" && !state.running })
}

// due reports whether the server has to be probed. A withdrawn server wants no probes either;
// one that is under way when the server withdraws ends within probeTimeout.
func (s *probeState) due(now int64, interval time.Duration) bool {
	if s.server.Stats.Withdrawal.Withdrawn(now) {
		return false
	}
	if now-s.startedAt < int64(limitedProbeInterval(&s.server.Stats.Gate)) {
		return false
	}
	if s.failures >= unresponsiveThreshold {
		return now-s.startedAt >= int64(unresponsiveProbeInterval)
	}
	last := max(s.startedAt, s.server.Stats.ReportedAt())
	return now-last >= int64(interval)
}

// probe requests the load of a server and sends the result to results.
func (e *Edge) probe(ctx context.Context, server *routing.Server, path string, results chan<- probeResult) {
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := e.now()
	result := probeResult{server: server, ok: e.fetchLoad(callCtx, server, path)}
	if !result.ok {
		e.counters.probeErrors.Inc()
		e.contact.ProbeFailed(server.Address, sentAt)
	}
	select {
	case results <- result:
	case <-ctx.Done():
	}
}

// recordProbeLimit records the limit that the response to a probe names.
func (e *Edge) recordProbeLimit(server *routing.Server, response *http.Response) {
	protocol := e.codec.Protocol()
	if protocol == nil {
		return
	}
	if limit := protocol.ServerLimit(response.Header); limit.Kind == proxy.LimitNamed {
		server.Stats.Gate.RecordNamed(e.now(), limit.Rate)
	}
}

// fetchLoad sends a probe, records the reported load and reports whether the server
// responded.
func (e *Edge) fetchLoad(ctx context.Context, server *routing.Server, path string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+path, nil)
	if err != nil {
		return false
	}
	request.Header["User-Agent"] = nil
	response, err := e.probeTransport.RoundTrip(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	e.recordProbeWithdrawal(server, response)
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBodyBytes))
	if err != nil {
		return false
	}
	id, report, ok := e.codec.ParseProbeResponse(response.Header)
	if id != server.ID {
		return false
	}
	e.recordProbeLimit(server, response)
	if ok {
		server.Stats.ReportLoad(e.now(), report.InFlight, report.SlowdownPermille)
	}
	return true
}
