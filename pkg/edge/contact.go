package edge

import (
	"balsamhill/pkg/gossip"
	"balsamhill/pkg/reachability"
)

// contactServers returns the servers by which the contact with all servers is verified.
func (e *Edge) contactServers() []reachability.Server {
	snapshot := e.snapshot.Load()
	if snapshot == nil {
		return nil
	}
	servers := make([]reachability.Server, 0, len(snapshot.ServersByID))
	for _, server := range snapshot.ServersByID {
		servers = append(servers, reachability.Server{
			Address: server.Address, Service: server.Service, FailureDomain: server.FailureDomain,
			ReportedAt: server.Stats.ReportedAt(),
		})
	}
	return servers
}

// contactChanged passes the probes to other gateways when this one becomes isolated. When it
// reaches servers again, it takes its share of the probes and discards the failures of the servers
// since the links were lost.
func (e *Edge) contactChanged(isolated bool, lostAt int64) {
	e.assignedAt.Store(0)
	if isolated {
		return
	}
	select {
	case e.linksRestored <- lostAt:
	default:
		// The loss that waits is an earlier one.
	}
}

// handoffCandidates returns the gateways that may take calls of this one.
func (e *Edge) handoffCandidates(now int64) []gossip.HandoffCandidate {
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	return e.peers.HandoffCandidates(now)
}
