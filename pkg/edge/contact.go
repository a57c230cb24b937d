package edge

import "balsamhill/pkg/reachability"

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

// contactChanged passes the probes to other gateways when this one becomes isolated, and takes
// its share again when it reaches servers.
func (e *Edge) contactChanged(bool, int64) {
	e.assignedAt.Store(0)
}
