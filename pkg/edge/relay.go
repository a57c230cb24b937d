package edge

import (
	"slices"
	"time"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
)

const (
	// relayInterval is how often a relay sends load reports to other regions.
	// domainRelayInterval and remoteRelayInterval apply in a region that is grouped by
	// failure domain, where the receivers are many: to the other failure domains of the
	// region and to other regions.
	relayInterval       = 50 * time.Millisecond
	domainRelayInterval = 100 * time.Millisecond
	remoteRelayInterval = 300 * time.Millisecond
)

// relayLink is the state of a relay's messages to the relays of other failure domains, or
// of other regions.
type relayLink struct {
	sentAt      int64
	targets     []string
	sent        map[string]sentReport
	tableStates []feed.TableState
	limits      relayedLimits
	leaving     leavingNotices
	suspicions  toldSuspicions
}

// due reports whether the next message is due and records its targets. A message is due
// at once if the store has confirmed the tables. If the targets change, all reports are
// sent again.
func (l *relayLink) due(now int64, interval time.Duration, targets []string, tableStates []feed.TableState) bool {
	confirmed := !slices.EqualFunc(l.tableStates, tableStates, func(a, b feed.TableState) bool {
		return a.Loaded() == b.Loaded() && a.Era == b.Era && a.AsOf == b.AsOf && a.Rank == b.Rank
	})
	if now-l.sentAt < int64(interval) && !confirmed {
		return false
	}
	l.sentAt, l.tableStates = now, tableStates
	if !slices.Equal(targets, l.targets) {
		l.targets = targets
		clear(l.sent)
		l.limits = relayedLimits{}
		l.leaving = leavingNotices{}
		l.suspicions = toldSuspicions{}
	}
	return true
}

// relayReports sends the load of this group's servers to the other groups if this gateway
// is the relay of its group.
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
		targets = e.peers.NextRelayTargets(now)
	}
	e.peersMu.Unlock()
	e.isRelay.Store(isRelay)
	var domainTargets, regionTargets []string
	for _, target := range targets {
		if target.Region == e.settings.Region {
			domainTargets = append(domainTargets, target.Address)
		} else {
			regionTargets = append(regionTargets, target.Address)
		}
	}
	s.sendRelay(now, &s.otherDomains, domainRelayInterval, domainTargets, byDomain)
	interval := relayInterval
	if byDomain {
		interval = remoteRelayInterval
	}
	s.sendRelay(now, &s.otherRegions, interval, regionTargets, byDomain)
}

// sendRelay sends the reports that are due to the relays of other groups.
func (s *sender) sendRelay(now int64, link *relayLink, interval time.Duration, targets []string, byDomain bool) {
	e := s.edge
	indexed := e.indexed.Load()
	if indexed == nil || len(targets) == 0 {
		return
	}
	tableStates := e.tableStates(now)
	if !link.due(now, interval, targets, tableStates) {
		return
	}
	var reports []gossip.Report
	for id, server := range indexed.snapshot.ServersByID {
		if e.inOwnGroup(server, byDomain) {
			reports = appendIfDue(reports, link.sent, now, id, server.Stats, reportVersionOf(server.Stats))
		}
	}
	message := e.newMessage(now, interval)
	message.Sender = &e.self
	message.TableStates = tableStates
	message.Leaving = link.leaving.take(now, indexed, true)
	message.Suspicions = link.suspicions.take(now, &s.suspicions, true)
	s.send(targets, message, reports)
	s.sendNotices(now, targets, interval, e.serverLimits.statementsFor(now, &link.limits))
}

// inOwnGroup reports whether a server belongs to the group of this gateway: its failure
// domain if the region is grouped by domain, else its region.
func (e *Edge) inOwnGroup(server *routing.Server, byDomain bool) bool {
	if byDomain {
		return server.FailureDomain == e.settings.FailureDomain
	}
	return server.Region == e.settings.Region
}
