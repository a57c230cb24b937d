package control

// maxPeerInFlight bounds the requests in flight that a peer may report for one
// server.
const maxPeerInFlight = 1 << 20

// peerTable holds the requests in flight that the other gateways of the region
// report.
type peerTable struct {
	loads map[string]map[string]int64
	// sums is the sum over all peers by server, updated incrementally so that a
	// report costs time for its own entries only.
	sums map[string]int64
}

func newPeerTable() peerTable {
	return peerTable{loads: make(map[string]map[string]int64), sums: make(map[string]int64)}
}

func (t *peerTable) inFlight(serverID string) int64 {
	return t.sums[serverID]
}

// set replaces a peer's number for a server.
func (t *peerTable) set(peer, serverID string, inFlight int64) {
	loads := t.loads[peer]
	if loads == nil {
		loads = make(map[string]int64)
		t.loads[peer] = loads
	}
	t.sums[serverID] += inFlight - loads[serverID]
	loads[serverID] = inFlight
	if inFlight == 0 {
		delete(loads, serverID)
	}
	if t.sums[serverID] == 0 {
		delete(t.sums, serverID)
	}
}

// applyPeerLoadReport applies the entries of a report. Servers without an entry keep
// the peer's last number, because a report contains only changes.
func (s *State) applyPeerLoadReport(report PeerLoadReport) {
	if report.Peer == s.config.GatewayID {
		return
	}
	for _, load := range report.Loads {
		inFlight := min(max(0, load.InFlight), maxPeerInFlight)
		s.peers.set(report.Peer, load.ServerID, inFlight)
		s.publishPeerLoad(load.ServerID)
	}
}

func (s *State) applyPeerLost(lost PeerLost) {
	for serverID := range s.peers.loads[lost.Peer] {
		s.peers.set(lost.Peer, serverID, 0)
		s.publishPeerLoad(serverID)
	}
	delete(s.peers.loads, lost.Peer)
}

// applyPeerJoined sends the drain evidence in force to a new or reconnected peer,
// so that it applies the drains at once.
func (s *State) applyPeerJoined(now int64, joined PeerJoined) {
	drains := s.Drains(now)
	if len(drains) > 0 {
		s.actions = append(s.actions, SendDrains{Peer: joined.Peer, Drains: drains})
	}
}

// publishPeerLoad makes the sum of a server visible to the goroutines of calls.
func (s *State) publishPeerLoad(serverID string) {
	row, ok := s.servers[serverID]
	if ok {
		row.stats.SetPeersInFlight(s.peers.inFlight(serverID))
	}
}
