package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/feed"
	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
)

const (
	// sendInterval is how often new load reports go to the peers.
	sendInterval = 20 * time.Millisecond
	// heartbeatInterval is how often a message goes out without new reports, and
	// idleHeartbeat how often from a gateway that does not measure for others.
	heartbeatInterval = 100 * time.Millisecond
	idleHeartbeat     = 500 * time.Millisecond
	// relayInterval is how often load reports go from a region to the others, and
	// domainRelayInterval and farRelayInterval how often from a failure domain of a
	// large region to others of its own and of other regions, where the receivers
	// are many.
	relayInterval       = 50 * time.Millisecond
	domainRelayInterval = 100 * time.Millisecond
	farRelayInterval    = 300 * time.Millisecond
	// introduceInterval is how often a message describes its sender.
	introduceInterval = 500 * time.Millisecond
)

func (e *Edge) newestPeer(now int64, table int) (string, feed.Mark, bool) {
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	return e.peers.Newest(now, table)
}

func (e *Edge) isReader(now int64) bool {
	if e.stopping.Load() {
		return false
	}
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	return e.peers.IsReader(now, !e.storeView.unreachable.Load())
}

// runSending sends messages to the peers until ctx ends.
func (e *Edge) runSending(ctx context.Context) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	sender := &sender{
		edge: e, told: make(map[string]told),
		near: relayLink{told: make(map[string]told)}, far: relayLink{told: make(map[string]told)},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for {
		select {
		case <-ticker.C:
			sender.tick()
		case <-ctx.Done():
			return
		}
	}
}

// sender builds and sends messages. It belongs to one goroutine.
type sender struct {
	edge         *Edge
	sequence     uint64
	sentAt       int64
	introducedAt int64
	markedAt     int64
	marks        []feed.Mark
	told         map[string]told
	// relayedAt is when the relay last looked, near and far are its links to other
	// failure domains of a large region and to other regions.
	relayedAt int64
	near, far relayLink
	buffer    []byte
	random    *rand.Rand
}

// othersPerMessage is how many other gateways an introduction describes.
const othersPerMessage = 2

// told is what the peers know of a server.
type told struct {
	reportedAt int64
	silent     bool
}

func (s *sender) tick() {
	e := s.edge
	now := e.now()
	assignment := e.refreshAssignment(now)
	s.relay(now)
	interval := heartbeatInterval
	var reports []gossip.Report
	if assignment.Tells() {
		reports = s.newReports(now, assignment)
	} else {
		interval = idleHeartbeat
	}
	marks, changed := s.currentMarks(now)
	suspicions := e.guard.Outgoing()
	if len(reports) == 0 && len(suspicions) == 0 && !changed && !e.greet.Load() && now-s.sentAt < int64(interval) {
		return
	}
	s.sentAt = now
	message := gossip.Message{
		Key:            gossip.KeyOf(e.self.ID),
		Incarnation:    e.self.Incarnation,
		Stopping:       e.stopping.Load(),
		StoreReachable: !e.storeView.unreachable.Load(),
		Interval:       interval,
		Suspicions:     wireSuspicions(suspicions),
	}
	greet := e.greet.Swap(false)
	if changed || greet || now-s.markedAt >= int64(heartbeatInterval) {
		s.markedAt = now
		message.Marks = marks
	}
	if greet || now-s.introducedAt >= int64(introduceInterval) || s.introducedAt == 0 {
		s.introducedAt = now
		message.Introduction = &e.self
		e.peersMu.Lock()
		message.Others = e.peers.Some(now, othersPerMessage, s.random)
		if remote, ok := e.peers.SomeRemote(s.random); ok {
			message.Others = append(message.Others, remote)
		}
		e.peersMu.Unlock()
	}
	e.peersMu.Lock()
	targets := e.peers.Targets(now)
	e.peersMu.Unlock()
	s.send(targets, &message, reports)
}

// relayLink is what a relay remembers of its messages to other groups.
type relayLink struct {
	sentAt int64
	to     []string
	told   map[string]told
}

// due reports whether the next message is due, and takes note of its receivers.
// New receivers are told everything.
func (l *relayLink) due(now int64, interval time.Duration, targets []string) bool {
	if len(targets) == 0 || now-l.sentAt < int64(interval) {
		return false
	}
	l.sentAt = now
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
	wide := e.peers.Wide()
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
	if view == nil || !link.due(now, interval, targets) {
		return
	}
	var reports []gossip.Report
	for id, server := range view.snapshot.ServersByID {
		if e.ownGroup(server, wide) {
			reports = appendNews(reports, link.told, now, id, server.Stats, toldOf(server.Stats))
		}
	}
	s.send(targets, &gossip.Message{
		Key: gossip.KeyOf(e.self.ID), Incarnation: e.self.Incarnation, Introduction: &e.self, Interval: interval,
		StoreReachable: !e.storeView.unreachable.Load(),
	}, reports)
}

// ownGroup reports whether a server belongs to the gateways that this one talks to.
func (e *Edge) ownGroup(server *routing.Server, wide bool) bool {
	if wide {
		return server.FailureDomain == e.settings.FailureDomain
	}
	return server.Region == e.settings.Region
}

// send sends a message with as many reports as fit, and further messages with the
// rest of them.
func (s *sender) send(targets []string, message *gossip.Message, reports []gossip.Report) {
	e := s.edge
	for first := true; first || len(reports) > 0; first = false {
		s.sequence++
		message.Sequence = s.sequence
		message.Reports = reports[:min(len(reports), reportsPerMessage)]
		reports = reports[len(message.Reports):]
		s.buffer = message.Marshal(s.buffer[:0])
		e.sendTo(targets, s.buffer)
		message.Marks, message.Introduction, message.Others, message.Suspicions = nil, nil, nil, nil
	}
}

// suspicionsPerMessage keeps messages below the usual packet size.
const suspicionsPerMessage = 20

// wireSuspicions returns the gateway's own suspicions. Those of peers are not
// passed on, because their senders reach the same gateways.
func wireSuspicions(suspicions []crashguard.Suspicion) []gossip.Suspicion {
	var own []gossip.Suspicion
	for _, suspicion := range suspicions {
		if suspicion.From == "" && len(own) < suspicionsPerMessage {
			own = append(own, gossip.Suspicion{
				Fingerprint: uint64(suspicion.Fingerprint), Server: gossip.ServerKey(suspicion.ServerID),
			})
		}
	}
	return own
}

// currentMarks returns what this gateway holds of the tables, and whether it
// holds more than the peers were told.
func (s *sender) currentMarks(now int64) (marks []feed.Mark, changed bool) {
	for i, w := range s.edge.watchers {
		mark, _ := w.mark(now)
		marks = append(marks, mark)
		if i >= len(s.marks) || s.marks[i].Changed != mark.Changed {
			changed = true
		}
	}
	s.marks = marks
	return marks, changed
}

// reportsPerMessage keeps messages below the usual packet size.
const reportsPerMessage = 45

func (e *Edge) sendTo(targets []string, data []byte) {
	for _, target := range targets {
		address, err := netip.ParseAddrPort(target)
		if err != nil {
			continue
		}
		_, err = e.datagrams.WriteToUDPAddrPort(data, address)
		if err != nil {
			e.counters.sendErrors.Inc()
		}
	}
	e.counters.messagesSent.Add(len(targets))
	e.counters.messageBytes.Add(len(targets) * len(data))
}

// newReports returns what this gateway has learnt itself since the last message.
func (s *sender) newReports(now int64, assignment *gossip.Assignment) []gossip.Report {
	view := s.edge.view.Load()
	if view == nil {
		return nil
	}
	var reports []gossip.Report
	for id, server := range view.snapshot.ServersByID {
		current, ok := s.news(id, server, assignment)
		if ok {
			reports = appendNews(reports, s.told, now, id, server.Stats, current)
		}
	}
	return reports
}

// news returns what this gateway tells its group of a server, false if nothing:
// what it learnt itself of its group's servers and, if it is the relay, what it
// holds of those of other groups.
func (s *sender) news(id string, server *routing.Server, assignment *gossip.Assignment) (told, bool) {
	if !s.edge.ownGroup(server, assignment.Wide()) {
		return toldOf(server.Stats), s.edge.relay.Load()
	}
	known := s.told[id]
	current := told{reportedAt: server.Stats.OwnReportedAt(), silent: known.silent}
	if current == known && !known.silent && !server.Stats.IsSilent() {
		return told{}, false
	}
	if assignment.Measures(id, server.FailureDomain) {
		current.silent = server.Stats.IsSilent()
	}
	return current, true
}

func toldOf(stats *routing.Stats) told {
	return told{reportedAt: stats.ReportedAt(), silent: stats.IsSilent()}
}

// appendNews appends a report on a server if it differs from what was told.
func appendNews(reports []gossip.Report, tellings map[string]told, now int64, id string, stats *routing.Stats,
	current told,
) []gossip.Report {
	if current == tellings[id] {
		return reports
	}
	tellings[id] = current
	return append(reports, gossip.Report{
		Server:       gossip.ServerKey(id),
		Age:          time.Duration(now - current.reportedAt),
		InFlight:     int64(stats.ReportedInFlight()),
		PacePermille: stats.PacePermille(),
		Silent:       current.silent,
	})
}

// refreshAssignment returns who measures what, at most 100 ms old.
func (e *Edge) refreshAssignment(now int64) *gossip.Assignment {
	current := e.assignment.Load()
	if current != nil && now-e.assignedAt.Load() < int64(heartbeatInterval) {
		return current
	}
	e.peersMu.Lock()
	fresh := e.peers.Assign(now)
	known := e.peers.Known()
	e.peersMu.Unlock()
	e.regionSize.Store(int64(known))
	e.assignedAt.Store(now)
	e.assignment.Store(&fresh)
	return &fresh
}

// runReceiving takes messages in until the socket is closed.
func (e *Edge) runReceiving() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := e.datagrams.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		message, err := gossip.Unmarshal(buffer[:n])
		if err != nil {
			e.counters.badMessages.Inc()
			continue
		}
		e.receive(&message)
	}
}

func (e *Edge) receive(message *gossip.Message) {
	now := e.now()
	e.peersMu.Lock()
	newer, joined := e.peers.Hear(now, message)
	e.peersMu.Unlock()
	if !newer {
		return
	}
	if joined {
		e.counters.joins.Inc()
		e.greet.Store(true)
	}
	for i, mark := range message.Marks {
		if i < len(e.watchers) {
			e.watchers[i].confirm(now, mark)
		}
	}
	view := e.view.Load()
	if view == nil {
		return
	}
	for _, suspicion := range message.Suspicions {
		if server, ok := view.byKey[suspicion.Server]; ok {
			e.guard.Heard(now, crashguard.Fingerprint(suspicion.Fingerprint), server.ID, "peer")
		}
	}
	assignment := e.assignment.Load()
	for _, report := range message.Reports {
		server, ok := view.byKey[report.Server]
		if !ok {
			continue
		}
		server.Stats.ReportFromPeer(now-int64(report.Age), report.InFlight, report.PacePermille)
		if report.Silent != server.Stats.IsSilent() && !e.measures(assignment, server) {
			server.Stats.SetSilent(report.Silent)
		}
	}
}

// measures reports whether this gateway probes a server itself.
func (e *Edge) measures(assignment *gossip.Assignment, server *routing.Server) bool {
	return assignment != nil && server.Region == e.settings.Region &&
		assignment.Measures(server.ID, server.FailureDomain)
}
