package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/feed"
	"balsamhill/pkg/gossip"
)

const (
	// sendInterval is how often new load reports go to the peers.
	sendInterval = 20 * time.Millisecond
	// heartbeatInterval is how often a message goes out without new reports, and
	// idleHeartbeat how often from a gateway that does not measure for others.
	heartbeatInterval = 100 * time.Millisecond
	idleHeartbeat     = 500 * time.Millisecond
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
		edge: e, told: make(map[string]told), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
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
	buffer       []byte
	random       *rand.Rand
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
		e.peersMu.Unlock()
	}
	s.send(now, &message, reports)
}

func (s *sender) send(now int64, message *gossip.Message, reports []gossip.Report) {
	e := s.edge
	e.peersMu.Lock()
	targets := e.peers.Targets(now)
	e.peersMu.Unlock()
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
		known := s.told[id]
		current := told{reportedAt: server.Stats.OwnReportedAt(), silent: known.silent}
		if current.reportedAt == known.reportedAt && !server.Stats.IsSilent() && !known.silent {
			continue
		}
		if assignment.Measures(id, server.FailureDomain) {
			current.silent = server.Stats.IsSilent()
		}
		if current == known || server.Region != s.edge.settings.Region {
			continue
		}
		s.told[id] = current
		reports = append(reports, gossip.Report{
			Server:       gossip.ServerKey(id),
			Age:          time.Duration(now - current.reportedAt),
			InFlight:     int64(server.Stats.ReportedInFlight()),
			PacePermille: server.Stats.PacePermille(),
			Silent:       current.silent,
		})
	}
	return reports
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
		if report.Silent != server.Stats.IsSilent() &&
			(assignment == nil || !assignment.Measures(server.ID, server.FailureDomain)) {
			server.Stats.SetSilent(report.Silent)
		}
	}
}
