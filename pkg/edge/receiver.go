package edge

import (
	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
)

// isGroupReader reports whether this gateway is the reader of its group: the one that
// reads the store unless another group reads it for all groups.
func (e *Edge) isGroupReader(now int64) bool {
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	return e.ranksFirstAsReader(now)
}

// longPollsStore reports whether this gateway long-polls the store: it is the reader of
// its group, and no other group reads for all groups.
func (e *Edge) longPollsStore(now int64) bool {
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	return e.ranksFirstAsReader(now) && !e.peers.OtherGroupReads(now, len(e.watchers), e.otherGroupMaxAge)
}

// ranksFirstAsReader reports whether this gateway comes first among those of its group that
// can read the store. The caller holds peersMu.
func (e *Edge) ranksFirstAsReader(now int64) bool {
	return !e.stopping.Load() && e.peers.IsStoreReader(now, !e.storeState.Unreachable())
}

// refreshAssignment returns the assignment of probes to gateways, at most one
// heartbeatInterval old. The pointer changes only when the assignment does.
func (e *Edge) refreshAssignment(now int64) *gossip.Assignment {
	current := e.assignment.Load()
	if current != nil && now-e.assignedAt.Load() < int64(heartbeatInterval) {
		return current
	}
	e.peersMu.Lock()
	e.peers.SetIsolated(e.contact.Isolated())
	updated := e.peers.Assign(now)
	known, alive := e.peers.KnownInRegion(), e.peers.AliveInGroup(now)
	e.peersMu.Unlock()
	e.livePeers.Store(int64(alive))
	e.regionSize.Store(int64(known))
	e.assignedAt.Store(now)
	if current != nil && current.Equal(&updated) {
		return current
	}
	e.assignment.Store(&updated)
	return &updated
}

// runReceiver processes incoming messages until the socket is closed.
func (e *Edge) runReceiver() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := e.datagrams.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		message, err := gossip.Unmarshal(buffer[:n])
		if err != nil {
			e.counters.invalidMessages.Inc()
			continue
		}
		e.receive(&message)
	}
}

func (e *Edge) receive(message *gossip.Message) {
	now := e.now()
	e.peersMu.Lock()
	wasIsolated := e.peers.IsIsolated(message.Key)
	newer, joined := e.peers.ApplyMessage(now, message)
	sender := e.peers.IDOf(message.Key)
	e.peersMu.Unlock()
	if !newer {
		return
	}
	if message.Isolated != wasIsolated {
		e.log.Info("reachability of the servers changed at another gateway", "gateway", sender, "isolated", message.Isolated)
		e.assignedAt.Store(0)
	}
	if joined {
		e.counters.joins.Inc()
		e.announcePending.Store(true)
	}
	for i, state := range message.TableStates {
		if i < len(e.watchers) {
			e.watchers[i].confirm(now, state, sender)
		}
	}
	e.serverLimits.apply(now, message.Key, message.Limits)
	indexed := e.indexed.Load()
	if indexed == nil {
		return
	}
	e.applySuspicions(now, indexed, message.Suspicions)
	e.applyLeaving(now, indexed, message.Leaving)
	assignment := e.assignment.Load()
	for _, report := range message.Reports {
		server, ok := indexed.byKey[report.Server]
		if !ok {
			continue
		}
		server.Stats.ReportFromPeer(now-int64(report.Age), report.InFlight, report.SlowdownPermille)
		if report.Unresponsive != server.Stats.Unresponsive() && !e.shouldProbe(assignment, server) {
			e.setUnresponsive(server, report.Unresponsive, sender)
		}
	}
}

// shouldProbe reports whether this gateway probes a server itself.
func (e *Edge) shouldProbe(assignment *gossip.Assignment, server *routing.Server) bool {
	return assignment != nil && server.Region == e.settings.Region &&
		assignment.ShouldProbe(server.ID, server.FailureDomain)
}
