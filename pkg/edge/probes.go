package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
)

const (
	// probeTick is how often due probes are started.
	probeTick = 10 * time.Millisecond
	// leastProbeInterval is how old the report of a server may grow before the next
	// probe; fresher ones are worth less than their probes.
	leastProbeInterval = 30 * time.Millisecond
	// probeShare is the part of the allowed probes that is used, because gateways
	// may disagree for a moment about who measures a server.
	probeShare = 0.6
	// probeTimeout bounds a probe; a later answer would be stale.
	probeTimeout = 250 * time.Millisecond
	// silentProbes is the number of failed probes in a row from which a server
	// counts as silent.
	silentProbes = 2
	// silentProbeInterval is how often a silent server is probed.
	silentProbeInterval = 200 * time.Millisecond
	maxProbeBody        = 4 << 10
)

func newProbeTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: probeTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		MaxConnsPerHost:     2,
		IdleConnTimeout:     5 * time.Second,
		ReadBufferSize:      2 << 10,
		WriteBufferSize:     1 << 10,
	}
}

// probeState is what the prober remembers of a server.
type probeState struct {
	startedAt int64
	running   bool
	failures  int
}

// probeResult is the end of a probe.
type probeResult struct {
	server *routing.Server
	ok     bool
}

// runProbes probes the servers that this gateway measures until ctx ends.
func (e *Edge) runProbes(ctx context.Context) {
	states := make(map[string]*probeState)
	results := make(chan probeResult, 64)
	ticker := time.NewTicker(probeTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.startProbes(ctx, states, results)
		case result := <-results:
			states[result.server.ID].ended(result)
		case <-ctx.Done():
			return
		}
	}
}

func (s *probeState) ended(result probeResult) {
	s.running = false
	if result.ok {
		s.failures = 0
		result.server.Stats.SetSilent(false)
		return
	}
	s.failures++
	if s.failures >= silentProbes {
		result.server.Stats.SetSilent(true)
	}
}

func (e *Edge) startProbes(ctx context.Context, states map[string]*probeState, results chan<- probeResult) {
	snapshot := e.snapshot.Load()
	if snapshot == nil || e.stopping.Load() {
		return
	}
	assignment := e.assignment.Load()
	if assignment == nil {
		return
	}
	for id := range states {
		if snapshot.ServersByID[id] == nil && !states[id].running {
			delete(states, id)
		}
	}
	for _, rule := range snapshot.Version.Routing.Services {
		if view := snapshot.Services[rule.Name]; view != nil && rule.ProbePath != "" {
			e.startServiceProbes(ctx, view.Servers, rule.ProbePath, assignment, states, results)
		}
	}
}

func (e *Edge) startServiceProbes(ctx context.Context, servers []*routing.Server, path string,
	assignment *gossip.Assignment, states map[string]*probeState, results chan<- probeResult,
) {
	now := e.now()
	interval := probeInterval(e.terms.Load().ProbesPerS)
	for _, server := range servers {
		if server.Region != e.settings.Region {
			continue
		}
		state := states[server.ID]
		if state == nil {
			state = &probeState{}
			states[server.ID] = state
		}
		if state.running || !state.due(now, server, interval) || !assignment.Measures(server.ID, server.FailureDomain) {
			continue
		}
		state.running = true
		state.startedAt = now
		e.counters.probes.Inc()
		go e.probe(ctx, server, path, results)
	}
}

// probeInterval returns the time between two probes of a server.
func probeInterval(allowedPerSecond float64) time.Duration {
	if allowedPerSecond <= 0 {
		return leastProbeInterval
	}
	return max(leastProbeInterval, time.Duration(float64(time.Second)/(probeShare*allowedPerSecond)))
}

func (s *probeState) due(now int64, server *routing.Server, interval time.Duration) bool {
	if s.failures >= silentProbes {
		return now-s.startedAt >= int64(silentProbeInterval)
	}
	last := max(s.startedAt, server.Stats.ReportedAt())
	return now-last >= int64(interval)
}

// probe asks a server for its load.
func (e *Edge) probe(ctx context.Context, server *routing.Server, path string, results chan<- probeResult) {
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := probeResult{server: server, ok: e.readLoad(callCtx, server, path)}
	if !result.ok {
		e.counters.probeErrors.Inc()
	}
	select {
	case results <- result:
	case <-ctx.Done():
	}
}

func (e *Edge) readLoad(ctx context.Context, server *routing.Server, path string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+path, nil)
	if err != nil {
		return false
	}
	request.Header["User-Agent"] = nil
	response, err := e.probes.RoundTrip(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBody))
	if err != nil {
		return false
	}
	id, report, ok := e.codec.ProbeAnswer(response.Header)
	if id != server.ID {
		return false
	}
	if ok {
		server.Stats.ReportLoad(e.now(), report.InFlight, report.PacePermille)
	}
	return true
}
