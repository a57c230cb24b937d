package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/gossip"
	"balsamhill/pkg/serverlimit"
)

const (
	// sendInterval is how often new load reports are sent to the peers.
	// groupedSendInterval applies in a region that is grouped by failure domain, where
	// each message has many receivers.
	sendInterval        = 20 * time.Millisecond
	groupedSendInterval = 40 * time.Millisecond
	// heartbeatInterval is how often a message is sent without new reports.
	heartbeatInterval = 100 * time.Millisecond
	// passiveHeartbeatInterval is how often a passive gateway sends a heartbeat to the
	// probers, and passiveBroadcastInterval how often to all peers. A gateway is passive if
	// its region is grouped by failure domain and it is neither prober nor reader of its
	// group.
	passiveHeartbeatInterval = 500 * time.Millisecond
	passiveBroadcastInterval = 2 * time.Second
	// descriptionInterval is how often a message carries the description of its sender.
	descriptionInterval = 500 * time.Millisecond
)

// runSender sends messages to the peers until ctx is done.
func (e *Edge) runSender(ctx context.Context) {
	sender := &sender{
		edge: e, sent: make(map[string]sentReport),
		otherDomains: relayLink{sent: make(map[string]sentReport)}, otherRegions: relayLink{sent: make(map[string]sentReport)},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	timer := time.NewTimer(sendInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(sender.tick())
		case <-ctx.Done():
			return
		}
	}
}

// sender builds and sends messages. It is used by one goroutine.
type sender struct {
	edge        *Edge
	sequence    uint64
	sentAt      int64
	describedAt int64
	// broadcastAt is when a passive gateway last sent a message to all peers.
	broadcastAt       int64
	tableStatesSentAt int64
	tableStates       []feed.TableState
	sent              map[string]sentReport
	// relayCheckedAt is when relayReports last ran. otherDomains is the link to the other
	// failure domains of a region that is grouped by them, otherRegions the one to other
	// regions.
	relayCheckedAt             int64
	otherDomains, otherRegions relayLink
	// leaving says which servers the group was told to leave.
	leaving leavingNotices
	// suspicions holds the suspicions to be sent, toldSuspicions says which ones the group
	// was told.
	suspicions     suspicionNotices
	toldSuspicions toldSuspicions
	// toldIsolated says whether the last message to all peers said that this gateway is
	// isolated.
	toldIsolated bool
	buffer       []byte
	random       *rand.Rand
}

// gatewaysPerMessage is how many other gateways a message with the description of its
// sender describes.
const gatewaysPerMessage = 2

// tick sends the messages that are due and returns the delay until the next tick.
func (s *sender) tick() time.Duration {
	e := s.edge
	now := e.now()
	assignment := e.refreshAssignment(now)
	s.recordSuspicions(now)
	s.relayReports(now)
	s.sendLimits(now, assignment)
	if e.ready() && !assignment.SendsReports() && !e.isGroupReader(now) {
		s.sendPassive(now, assignment)
		return heartbeatInterval
	}
	var reports []gossip.Report
	if assignment.SendsReports() {
		reports = s.newReports(now, assignment)
	}
	tableStates, changed := s.currentTableStates(now)
	suspicions := s.toldSuspicions.take(now, &s.suspicions, e.isRelay.Load())
	leaving := s.leaving.take(now, e.indexed.Load(), e.isRelay.Load())
	announce := e.announcePending.Swap(false) || s.toldIsolated != e.contact.Isolated()
	if len(reports) == 0 && len(suspicions) == 0 && len(leaving) == 0 && !changed && !announce && now-s.sentAt < int64(heartbeatInterval) {
		return sendIntervalOf(assignment)
	}
	s.sentAt = now
	message := e.newMessage(now, heartbeatInterval)
	s.toldIsolated = message.Isolated
	message.Suspicions = suspicions
	message.Leaving = leaving
	if changed || announce || now-s.tableStatesSentAt >= int64(heartbeatInterval) {
		s.tableStatesSentAt = now
		message.TableStates = tableStates
	}
	if announce || now-s.describedAt >= int64(descriptionInterval) || s.describedAt == 0 {
		s.describeGateways(now, message)
	}
	e.peersMu.Lock()
	targets := e.peers.NextTargets(now)
	e.peersMu.Unlock()
	s.send(targets, message, reports)
	return sendIntervalOf(assignment)
}

func sendIntervalOf(assignment *gossip.Assignment) time.Duration {
	if assignment.GroupedByDomain() {
		return groupedSendInterval
	}
	return sendInterval
}

// sendPassive sends the heartbeats of a passive gateway: to the probers every
// passiveHeartbeatInterval, to all peers every passiveBroadcastInterval or at once if it
// suspects a request of crashing servers, learned that a server leaves, or lost or regained its
// links to the servers. Its table states can wait, because the others receive them from the reader.
func (s *sender) sendPassive(now int64, assignment *gossip.Assignment) {
	e := s.edge
	e.announcePending.Store(false)
	indexed, isRelay := e.indexed.Load(), e.isRelay.Load()
	broadcast := s.toldSuspicions.untold(&s.suspicions, isRelay) || s.leaving.untold(indexed, isRelay) ||
		s.toldIsolated != e.contact.Isolated() || now-s.broadcastAt >= int64(passiveBroadcastInterval)
	if !broadcast && now-s.sentAt < int64(passiveHeartbeatInterval) {
		return
	}
	s.sentAt = now
	interval := passiveHeartbeatInterval
	e.peersMu.Lock()
	targets := e.peers.NextProberTargets(now, assignment)
	if broadcast {
		s.broadcastAt = now
		interval = passiveBroadcastInterval
		targets = e.peers.NextTargets(now)
	}
	e.peersMu.Unlock()
	message := e.newMessage(now, interval)
	if broadcast {
		s.toldIsolated = message.Isolated
		message.Suspicions = s.toldSuspicions.take(now, &s.suspicions, isRelay)
		message.Leaving = s.leaving.take(now, indexed, isRelay)
	}
	message.TableStates = e.tableStates(now)
	s.describeGateways(now, message)
	s.send(targets, message, nil)
}

// describeGateways adds the descriptions of this gateway and of a few others.
func (s *sender) describeGateways(now int64, message *gossip.Message) {
	e := s.edge
	s.describedAt = now
	message.Sender = &e.self
	message.Demands = e.serverLimits.outgoingDemands()
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	message.KnownGateways = e.peers.SampleAlive(now, gatewaysPerMessage, s.random)
	if remote, ok := e.peers.SampleRemote(s.random); ok {
		message.KnownGateways = append(message.KnownGateways, remote)
	}
}

// newMessage returns a message with the fields that every message carries. now is the time
// at which the ages that the message will contain are right.
func (e *Edge) newMessage(now int64, interval time.Duration) *gossip.Message {
	return &gossip.Message{
		Key:            gossip.KeyOf(e.self.ID),
		Incarnation:    e.self.Incarnation,
		SentAt:         now,
		Stopping:       e.stopping.Load(),
		Isolated:       e.contact.Isolated(),
		StoreReachable: !e.storeState.Unreachable(),
		KeepsLimits:    true,
		Interval:       interval,
	}
}

// send sends a message with up to reportsPerMessage reports, and further messages with the
// remaining ones.
func (s *sender) send(targets []string, message *gossip.Message, reports []gossip.Report) {
	e := s.edge
	for first := true; first || len(reports) > 0; first = false {
		s.sequence++
		message.Sequence = s.sequence
		message.Reports = reports[:min(len(reports), reportsPerMessage)]
		reports = reports[len(message.Reports):]
		s.buffer = message.Marshal(s.buffer[:0])
		e.sendTo(targets, s.buffer)
		message.TableStates, message.Sender, message.KnownGateways, message.Suspicions = nil, nil, nil, nil
		message.Leaving, message.Demands = nil, nil
	}
}

// sendLimits sends the notices about limits of servers that are due to the group.
func (s *sender) sendLimits(now int64, assignment *gossip.Assignment) {
	e := s.edge
	notices := e.serverLimits.tick(now, assignment)
	if len(notices) == 0 {
		return
	}
	e.peersMu.Lock()
	targets := e.peers.NextTargets(now)
	e.peersMu.Unlock()
	interval := heartbeatInterval
	if !assignment.SendsReports() {
		interval = passiveBroadcastInterval
	}
	s.sendNotices(now, targets, interval, notices)
}

// sendNotices sends notices in as many messages as they need.
func (s *sender) sendNotices(now int64, targets []string, interval time.Duration, notices []serverlimit.Notice) {
	for len(notices) > 0 {
		count := noticesForMessage(notices)
		message := s.edge.newMessage(now, interval)
		message.Limits = notices[:count]
		s.send(targets, message, nil)
		notices = notices[count:]
	}
}

// noticesForMessage returns how many of the notices, at least one, fit into a message.
func noticesForMessage(notices []serverlimit.Notice) int {
	count, size := 0, 0
	for count < len(notices) && (count == 0 || size+1+len(notices[count].Leases) <= limitsPerMessage) {
		size += 1 + len(notices[count].Leases)
		count++
	}
	return count
}

// tableStates returns the states of this gateway's copies of the tables.
func (e *Edge) tableStates(now int64) []feed.TableState {
	states := make([]feed.TableState, len(e.watchers))
	for i, w := range e.watchers {
		states[i], _ = w.state(now)
	}
	return states
}

// currentTableStates returns the states of the tables, and whether a table has changed
// since the last call.
func (s *sender) currentTableStates(now int64) (states []feed.TableState, changed bool) {
	states = s.edge.tableStates(now)
	changed = !slices.EqualFunc(s.tableStates, states, func(a, b feed.TableState) bool {
		return a.Loaded() == b.Loaded() && a.Era == b.Era && a.LastChange == b.LastChange && a.Rank == b.Rank
	})
	s.tableStates = states
	return states, changed
}

// reportsPerMessage keeps messages below the usual maximum size of a packet.
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
