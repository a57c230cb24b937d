package edge

import (
	"net/http"
	"slices"
	"time"

	"balsamhill/pkg/control"
	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/withdrawal"
)

const (
	// leavingRepeatInterval is how often a gateway tells its peers again that a server
	// leaves, for lost messages and gateways that have just started.
	leavingRepeatInterval = time.Second
	// leavingPerMessage keeps messages below the usual maximum size of a packet.
	leavingPerMessage = 20
)

// recordProbeWithdrawal records what the response to a probe says of the work that the server
// wants.
func (e *Edge) recordProbeWithdrawal(server *routing.Server, response *http.Response) {
	protocol := e.codec.Protocol()
	if protocol == nil {
		return
	}
	said := protocol.Withdrawal(response)
	if said.Unreadable {
		e.counters.unreadableProbeWithdrawals.Inc()
	}
	if said.ServerID == server.ID {
		said.Record(e.now(), server.Stats.Withdrawal)
	}
}

// leavingServers returns the servers of a snapshot that leave according to their responses.
func leavingServers(snapshot *routing.Snapshot) []*routing.Server {
	var servers []*routing.Server
	for _, server := range snapshot.ServersByID {
		if _, _, leaving := server.Stats.Withdrawal.Leaving(); leaving {
			servers = append(servers, server)
		}
	}
	return servers
}

// leavingNotices says when a gateway told some of its peers that servers leave.
type leavingNotices struct {
	toldAt map[withdrawal.Server]int64
}

// take returns the servers of which the peers have to be told with the next message, and
// records that they are. Unless all is set, it leaves out those that this gateway knows from a
// peer.
func (n *leavingNotices) take(now int64, indexed *indexedSnapshot, all bool) []gossip.LeavingServer {
	if indexed == nil || len(indexed.leaving) == 0 {
		n.toldAt = nil
		return nil
	}
	var notices []gossip.LeavingServer
	toldAt := make(map[withdrawal.Server]int64, len(indexed.leaving))
	for _, server := range indexed.leaving {
		key := withdrawal.Server{ID: server.ID, Incarnation: server.Incarnation}
		at, told := n.toldAt[key]
		due := !told || now-at >= int64(leavingRepeatInterval)
		if due && len(notices) < leavingPerMessage && mayTell(server, all) {
			notices = append(notices, gossip.LeavingServer{Server: gossip.ServerKey(server.ID), Incarnation: server.Incarnation})
			at, told = now, true
		}
		if told {
			toldAt[key] = at
		}
	}
	n.toldAt = toldAt
	return notices
}

// untold reports whether the peers have not been told of a server yet.
func (n *leavingNotices) untold(indexed *indexedSnapshot, all bool) bool {
	return indexed != nil && slices.ContainsFunc(indexed.leaving, func(server *routing.Server) bool {
		_, told := n.toldAt[withdrawal.Server{ID: server.ID, Incarnation: server.Incarnation}]
		return !told && mayTell(server, all)
	})
}

// mayTell reports whether this gateway tells its peers that a server leaves.
func mayTell(server *routing.Server, all bool) bool {
	_, source, _ := server.Stats.Withdrawal.Leaving()
	return all || source == withdrawal.SourceResponse
}

// applyLeaving applies the notices of another gateway that servers leave. A notice of another
// incarnation than the listed one has no effect: its sender repeats it.
func (e *Edge) applyLeaving(now int64, indexed *indexedSnapshot, notices []gossip.LeavingServer) {
	for _, notice := range notices {
		server, ok := indexed.byKey[notice.Server]
		if ok && server.Incarnation == notice.Incarnation {
			server.Stats.Withdrawal.RecordLeaving(now, withdrawal.SourcePeer)
		}
	}
}

// recordWithdrawal counts and logs that a server wants no new requests.
func (e *Edge) recordWithdrawal(a control.ServerWithdrew) {
	if a.Leaving {
		e.counters.recordWithdrawal("leaving", a.Source.String())
		e.log.Info("server said that it leaves; it gets no new requests", "server", a.ServerID, "service", a.Service,
			"incarnation", a.Incarnation, "source", a.Source.String(), "sinceLearned", e.since(a.At))
		return
	}
	e.counters.recordWithdrawal("pause", a.Source.String())
	e.log.Info("server asked for a pause; it gets no requests", "server", a.ServerID, "service", a.Service,
		"incarnation", a.Incarnation, "source", a.Source.String(), "sinceLearned", e.since(a.At),
		"pause", time.Duration(a.Until-a.At).String())
}

// recordWithdrawalEnd logs that a server gets requests again, or is gone.
func (e *Edge) recordWithdrawalEnd(a control.WithdrawalEnded) {
	message := "pause of the server is over"
	if a.Leaving {
		message = "server that said that it leaves is gone"
	}
	e.log.Info(message, "server", a.ServerID, "service", a.Service, "incarnation", a.Incarnation,
		"source", a.Source.String(), "took", time.Duration(a.EndedAt-a.At).String())
}

// since returns the time since a moment as text.
func (e *Edge) since(at int64) string {
	return time.Duration(e.now() - at).String()
}
