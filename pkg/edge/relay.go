package edge

import (
	"slices"
	"time"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
)

const (
	// relayInterval is how often load reports go from a region to the others, and
	// domainRelayInterval and farRelayInterval how often from a failure domain of a
	// large region to others of its own and of other regions, where the receivers
	// are many.
	relayInterval       = 50 * time.Millisecond
	domainRelayInterval = 100 * time.Millisecond
	remoteRelayInterval = 300 * time.Millisecond
)

// relayLink is what a relay remembers of its messages to other groups.
type relayLink struct {
	sentAt      int64
	targets     []string
	sent        map[string]sentReport
	tableStates []feed.TableState
}

// due reports whether the next message is due, at once if the tables were confirmed,
// and takes note of its receivers. New receivers are told everything.
func (l *relayLink) due(now int64, interval time.Duration, targets []string, tableStates []feed.TableState) bool {
	confirmed := !slices.EqualFunc(l.tableStates, tableStates, func(a, b feed.TableState) bool { return a.AsOf == b.AsOf })
	if len(targets) == 0 || now-l.sentAt < int64(interval) && !confirmed {
		return false
	}
	l.sentAt, l.tableStates = now, tableStates
	if !slices.Equal(targets, l.targets) {
		l.targets = targets
		clear(l.sent)
	}
	return true
}

// relayReports tells the other groups of gateways of the load of this group's servers if
// this gateway does it for its group.
func (s *sender) relayReports(now int64) {
	e := s.edge
	if now-s.relayCheckedAt < int64(relayInterval) || e.stopping.Load() {
		return
	}
	s.relayCheckedAt = now
	e.peersMu.Lock()
	var targets []gossip.RelayTarget
	byDomain := e.peers.GroupedByDomain()
	isRelay := e.peers.IsRelay(now)
	if isRelay {
		targets = e.peers.RelayTargets(now)
	}
	e.peersMu.Unlock()
	e.isRelay.Store(isRelay)
	var local, remote []string
	for _, target := range targets {
		if target.Region == e.settings.Region {
			local = append(local, target.Address)
		} else {
			remote = append(remote, target.Address)
		}
	}
	s.sendRelay(now, &s.local, domainRelayInterval, local, byDomain)
	interval := relayInterval
	if byDomain {
		interval = remoteRelayInterval
	}
	s.sendRelay(now, &s.remote, interval, remote, byDomain)
}

func (s *sender) sendRelay(now int64, link *relayLink, interval time.Duration, targets []string, byDomain bool) {
	e := s.edge
	view := e.view.Load()
	tableStates := e.tableStates(now)
	if view == nil || !link.due(now, interval, targets, tableStates) {
		return
	}
	var reports []gossip.Report
	for id, server := range view.snapshot.ServersByID {
		if e.inOwnGroup(server, byDomain) {
			reports = appendIfDue(reports, link.sent, now, id, server.Stats, reportStateOf(server.Stats))
		}
	}
	message := e.newMessage(interval)
	message.Sender = &e.self
	message.TableStates = tableStates
	s.send(targets, message, reports)
}

// inOwnGroup reports whether a server belongs to the gateways that this one talks to.
func (e *Edge) inOwnGroup(server *routing.Server, byDomain bool) bool {
	if byDomain {
		return server.FailureDomain == e.settings.FailureDomain
	}
	return server.Region == e.settings.Region
}
