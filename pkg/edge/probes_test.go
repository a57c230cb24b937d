package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/gossip"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/prober"
	"balsamhill/pkg/routing"
)

// newSchedulerWithServer returns the probe scheduler of a gateway with one server, which
// does not respond.
func newSchedulerWithServer(t *testing.T) *probeScheduler {
	t.Helper()
	e := idleEdge(t, "g1")
	e.self.HighCapacity = false
	e.snapshot.Store(snapshotOf(&routing.Server{
		ID: "a", Service: "s", Address: "127.0.0.1:1", Region: "r", FailureDomain: "d", Stats: &routing.Stats{},
	}))
	return newProbeScheduler(e)
}

func snapshotOf(servers ...*routing.Server) *routing.Snapshot {
	rule := preset.ServiceRule{Name: "s", ProbePath: "/health"}
	return &routing.Snapshot{
		Version:  preset.Version{Routing: &preset.Routing{Services: []preset.ServiceRule{rule}}},
		Services: map[string]*routing.ServiceView{"s": routing.NewServiceView("s", 4, "r", preset.Tuning{}, servers)},
	}
}

// assignWithPeers assigns the probes anew, with high-capacity peers of these IDs alive.
func assignWithPeers(p *probeScheduler, ids ...string) {
	e := p.edge
	now := e.now()
	e.peers = gossip.NewPeers(e.self)
	for _, id := range ids {
		peer := gossip.Gateway{ID: id, Region: "r", FailureDomain: "d", HighCapacity: true, Incarnation: 1}
		e.peers.ApplyMessage(now, &gossip.Message{Key: gossip.KeyOf(id), Incarnation: 1, Sequence: 1, Sender: &peer})
	}
	assignment := e.peers.Assign(now)
	e.assignment.Store(&assignment)
}

// TestProbeSchedulerIdlesWithoutServers guards against gateways that run the scheduler at
// probeTick although other gateways probe all servers, which in a large region takes a third
// of the CPU time of most gateways.
func TestProbeSchedulerIdlesWithoutServers(t *testing.T) {
	p := newSchedulerWithServer(t)
	assignWithPeers(p)
	assert.Equal(t, p.tick(t.Context()), probeTick)
	p.handleResult(<-p.results)
	assignWithPeers(p, "g2")
	assert.Equal(t, p.edge.shouldProbe(p.edge.assignment.Load(), p.edge.snapshot.Load().Services["s"].Servers[0]), false)
	assert.Equal(t, p.tick(t.Context()), idleProbeTick)
}

// TestProbeFailuresSurviveReassignment guards against a scheduler that resets the failures
// of a server whenever the set of servers or gateways changes.
func TestProbeFailuresSurviveReassignment(t *testing.T) {
	p := newSchedulerWithServer(t)
	assignWithPeers(p)
	server := p.edge.snapshot.Load().Services["s"].Servers[0]
	for range unresponsiveThreshold {
		p.tick(t.Context())
		p.handleResult(<-p.results)
		time.Sleep(prober.MaxReportAge)
		p.edge.snapshot.Store(snapshotOf(server))
		assignWithPeers(p)
	}
	assert.Assert(t, server.Stats.Unresponsive())
	p.tick(t.Context())
	assert.Equal(t, p.states["a"].failures, unresponsiveThreshold)
}

// TestUnchangedAssignmentKeepsPointer guards against work on a new assignment at each
// refresh, ten times a second, while the same gateways are alive.
func TestUnchangedAssignmentKeepsPointer(t *testing.T) {
	p := newSchedulerWithServer(t)
	assignWithPeers(p, "g2", "g3")
	first := p.edge.assignment.Load()
	assert.Equal(t, p.edge.refreshAssignment(p.edge.now()+int64(heartbeatInterval)), first)
	assert.Assert(t, p.edge.refreshAssignment(p.edge.now()+int64(time.Minute)) != first, "the others are no longer alive")
}

// TestRestartedServerStartsWithoutProbeFailures guards against a server that started again under
// its ID and is taken for unresponsive after one failed probe, because the failures of its
// last run count.
func TestRestartedServerStartsWithoutProbeFailures(t *testing.T) {
	p := newSchedulerWithServer(t)
	assignWithPeers(p)
	for range unresponsiveThreshold {
		p.tick(t.Context())
		p.handleResult(<-p.results)
		time.Sleep(prober.MaxReportAge)
	}
	p.tick(t.Context())
	late := <-p.results
	restarted := &routing.Server{
		ID: "a", Service: "s", Address: "127.0.0.1:1", Region: "r", FailureDomain: "d", Incarnation: 1, Stats: &routing.Stats{},
	}
	p.edge.snapshot.Store(snapshotOf(restarted))
	p.tick(t.Context())
	p.handleResult(late)
	assert.Equal(t, p.states["a"].failures, 0)
	time.Sleep(prober.MaxReportAge)
	p.tick(t.Context())
	p.handleResult(<-p.results)
	assert.Equal(t, p.states["a"].failures, 1)
	assert.Assert(t, !restarted.Stats.Unresponsive())
}
