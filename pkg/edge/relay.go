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
	farRelayInterval    = 300 * time.Millisecond
)

// relayLink is what a relay remembers of its messages to other groups.
type relayLink struct {
	sentAt int64
	to     []string
	told   map[string]telling
	marks  []feed.TableState
}

// due reports whether the next message is due, at once if the tables were confirmed,
// and takes note of its receivers. New receivers are told everything.
func (l *relayLink) due(now int64, interval time.Duration, targets []string, marks []feed.TableState) bool {
	confirmed := !slices.EqualFunc(l.marks, marks, func(a, b feed.TableState) bool { return a.AsOf == b.AsOf })
	if len(targets) == 0 || now-l.sentAt < int64(interval) && !confirmed {
		return false
	}
	l.sentAt, l.marks = now, marks
	if !slices.Equal(targets, l.to) {
		l.to = targets
		clear(l.told)
	}
	return true
}

// relay tells the other groups of gateways of the load of this group's servers if
// this gateway does it for its group.
func (s *sender) relay(now int64) {
	e := s.edge
	if now-s.relayedAt < int64(relayInterval) || e.stopping.Load() {
		return
	}
	s.relayedAt = now
	e.peersMu.Lock()
	var targets []gossip.RelayTarget
	wide := e.peers.GroupedByDomain()
	isRelay := e.peers.IsRelay(now)
	if isRelay {
		targets = e.peers.RelayTargets(now)
	}
	e.peersMu.Unlock()
	e.relay.Store(isRelay)
	var near, far []string
	for _, target := range targets {
		if target.Region == e.settings.Region {
			near = append(near, target.Address)
		} else {
			far = append(far, target.Address)
		}
	}
	s.sendRelay(now, &s.near, domainRelayInterval, near, wide)
	interval := relayInterval
	if wide {
		interval = farRelayInterval
	}
	s.sendRelay(now, &s.far, interval, far, wide)
}

func (s *sender) sendRelay(now int64, link *relayLink, interval time.Duration, targets []string, wide bool) {
	e := s.edge
	view := e.view.Load()
	marks := e.marks(now)
	if view == nil || !link.due(now, interval, targets, marks) {
		return
	}
	var reports []gossip.Report
	for id, server := range view.snapshot.ServersByID {
		if e.ownGroup(server, wide) {
			reports = appendNews(reports, link.told, now, id, server.Stats, toldOf(server.Stats))
		}
	}
	message := e.newMessage(interval)
	message.Sender = &e.self
	message.TableStates = marks
	s.send(targets, message, reports)
}

// ownGroup reports whether a server belongs to the gateways that this one talks to.
func (e *Edge) ownGroup(server *routing.Server, wide bool) bool {
	if wide {
		return server.FailureDomain == e.settings.FailureDomain
	}
	return server.Region == e.settings.Region
}
