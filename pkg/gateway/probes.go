package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"balsamhill/pkg/loadreport"
	"balsamhill/pkg/prober"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/settings"
)

const (
	probeTickInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe; a later response would be stale. It is below
	// budget.ExpiryMargin, so that a probe ends before its grant goes to another gateway.
	probeTimeout = 250 * time.Millisecond
	// maxProbeBody bounds the bytes of a response that are read so that its connection
	// can be reused.
	maxProbeBody   = 4 << 10
	drainingHeader = "Balsamhill-Draining"
)

// runProbes probes the servers of one service until ctx ends.
func (g *Gateway) runProbes(ctx context.Context, service settings.Service) {
	p := prober.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	done := make(chan string, prober.MaxInFlight)
	ticker := time.NewTicker(probeTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.startProbes(ctx, service, p, done)
		case id := <-done:
			p.Done(id)
		case <-ctx.Done():
			return
		}
	}
}

// startProbes starts the probes that are due and updates the requested grant.
func (g *Gateway) startProbes(ctx context.Context, service settings.Service, p *prober.Prober, done chan<- string) {
	snapshot := g.snapshot.Load()
	if snapshot == nil {
		return
	}
	servers, byID := g.probeCandidates(snapshot, service.Name)
	gr := g.budgets.probes[service.Name]
	total := probeTotal(service, snapshot.Version.Preset.Measuring.ProbePercent)
	requested := 0.0
	now := g.now()
	if prober.ProbeNeeded(now, servers) {
		requested = g.equalShare(total)
	}
	gr.request(requested, total)
	for _, id := range p.Next(now, servers, gr.share(now)) {
		go func() {
			defer func() { done <- id }()
			g.probe(ctx, service, gr, byID[id])
		}()
	}
}

// probeCandidates returns the available servers of this gateway's region. Servers of
// other regions are left out, because each probe would cross the link.
func (g *Gateway) probeCandidates(snapshot *routing.Snapshot, service string) ([]prober.Server, map[string]*routing.Server) {
	var servers []prober.Server
	byID := make(map[string]*routing.Server)
	for _, server := range snapshot.Services[service].Servers {
		if server.Availability != routing.Available || server.Region != g.settings.VM.Region {
			continue
		}
		servers = append(servers, prober.Server{ID: server.ID, ReportedAt: server.Stats.ReportedAt()})
		byID[server.ID] = server
	}
	return servers, byID
}

// probe requests the load of one server and records it.
func (g *Gateway) probe(ctx context.Context, service settings.Service, gr *grant, server *routing.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+service.ProbePath, nil)
	if err != nil {
		return
	}
	// The process may have been paused since the probe was scheduled, so the grant is
	// checked again immediately before the probe is sent.
	if gr.share(g.now()) <= 0 {
		return
	}
	g.counters.probes(service.Name).Inc()
	response, err := g.transport.RoundTrip(service.Name, false, request)
	if err != nil {
		g.counters.probeFailures.Inc()
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBody))
	now := g.now()
	if response.Header.Get(drainingHeader) == "1" {
		server.Stats.DrainNoticedAt.Store(now)
	}
	if inFlight, ok := loadreport.InFlight(response.Header); ok {
		server.Stats.Report(now, inFlight)
	}
}

// addProbeLoops adds a loop for each service that is probed.
func (g *Gateway) addProbeLoops(addLoop func(func(context.Context))) {
	for _, service := range g.settings.Services {
		if service.ProbePath != "" {
			addLoop(func(ctx context.Context) { g.runProbes(ctx, service) })
		}
	}
}

func probeCounterName(service string) string {
	return fmt.Sprintf("balsamhill_probes_total{service=%q}", service)
}
