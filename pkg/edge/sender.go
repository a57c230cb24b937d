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
)

const (
	// sendInterval is how often new load reports go to the peers, and
	// wideSendInterval the same in a large region, where each message has many
	// receivers.
	sendInterval     = 20 * time.Millisecond
	wideSendInterval = 40 * time.Millisecond
	// heartbeatInterval is how often a message goes out without new reports.
	heartbeatInterval = 100 * time.Millisecond
	// followerHeartbeat is how often a gateway of a large region that neither
	// measures nor reads for others tells those that do that it is alive, and
	// followerMeeting how often it tells all.
	followerHeartbeat = 500 * time.Millisecond
	followerMeeting   = 2 * time.Second
	// introduceInterval is how often a message describes its sender.
	introduceInterval = 500 * time.Millisecond
)

// runSending sends messages to the peers until ctx ends.
func (e *Edge) runSending(ctx context.Context) {
	sender := &sender{
		edge: e, told: make(map[string]telling),
		near: relayLink{told: make(map[string]telling)}, far: relayLink{told: make(map[string]telling)},
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

// sender builds and sends messages. It belongs to one goroutine.
type sender struct {
	edge         *Edge
	sequence     uint64
	sentAt       int64
	introducedAt int64
	// metAt is when a follower last told all of itself.
	metAt    int64
	markedAt int64
	marks    []feed.TableState
	told     map[string]telling
	// relayedAt is when the relay last looked, near and far are its links to other
	// failure domains of a large region and to other regions.
	relayedAt int64
	near, far relayLink
	buffer    []byte
	random    *rand.Rand
}

// othersPerMessage is how many other gateways an introduction describes.
const othersPerMessage = 2

// tick sends what is due and returns the time to the next look.
func (s *sender) tick() time.Duration {
	e := s.edge
	now := e.now()
	assignment := e.refreshAssignment(now)
	s.relay(now)
	if e.ready() && !assignment.SharesReports() && !e.readsForGroup(now) {
		s.follow(now, assignment)
		return heartbeatInterval
	}
	var reports []gossip.Report
	if assignment.SharesReports() {
		reports = s.newReports(now, assignment)
	}
	marks, changed := s.newMarks(now)
	suspicions := e.guard.Outgoing()
	greet := e.greet.Swap(false)
	if len(reports) == 0 && len(suspicions) == 0 && !changed && !greet && now-s.sentAt < int64(heartbeatInterval) {
		return sendIntervalOf(assignment)
	}
	s.sentAt = now
	message := e.newMessage(heartbeatInterval)
	message.Suspicions = wireSuspicions(suspicions)
	if changed || greet || now-s.markedAt >= int64(heartbeatInterval) {
		s.markedAt = now
		message.TableStates = marks
	}
	if greet || now-s.introducedAt >= int64(introduceInterval) || s.introducedAt == 0 {
		s.introduce(now, message)
	}
	e.peersMu.Lock()
	targets := e.peers.Targets(now)
	e.peersMu.Unlock()
	s.send(targets, message, reports)
	return sendIntervalOf(assignment)
}

func sendIntervalOf(assignment *gossip.Assignment) time.Duration {
	if assignment.GroupedByDomain() {
		return wideSendInterval
	}
	return sendInterval
}

// follow tells the peers that this gateway is alive, which holds the tables and
// neither measures nor reads for others: those that do every followerHeartbeat, all of them every
// followerMeeting or if it suspects a request. Its news of the tables can wait,
// because the others have them from the reader.
func (s *sender) follow(now int64, assignment *gossip.Assignment) {
	e := s.edge
	e.greet.Store(false)
	suspicions := e.guard.Outgoing()
	meet := len(suspicions) > 0 || now-s.metAt >= int64(followerMeeting)
	if !meet && now-s.sentAt < int64(followerHeartbeat) {
		return
	}
	s.sentAt = now
	interval := followerHeartbeat
	e.peersMu.Lock()
	targets := e.peers.ProberTargets(now, assignment)
	if meet {
		s.metAt = now
		interval = followerMeeting
		targets = e.peers.Targets(now)
	}
	e.peersMu.Unlock()
	message := e.newMessage(interval)
	message.Suspicions = wireSuspicions(suspicions)
	message.TableStates = e.marks(now)
	s.introduce(now, message)
	s.send(targets, message, nil)
}

// introduce adds a description of this gateway and of a few others.
func (s *sender) introduce(now int64, message *gossip.Message) {
	e := s.edge
	s.introducedAt = now
	message.Sender = &e.self
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	message.KnownGateways = e.peers.SampleAlive(now, othersPerMessage, s.random)
	if remote, ok := e.peers.SampleRemote(s.random); ok {
		message.KnownGateways = append(message.KnownGateways, remote)
	}
}

// newMessage returns a message with what each one says of its sender.
func (e *Edge) newMessage(interval time.Duration) *gossip.Message {
	return &gossip.Message{
		Key:            gossip.KeyOf(e.self.ID),
		Incarnation:    e.self.Incarnation,
		Stopping:       e.stopping.Load(),
		StoreReachable: !e.storeView.unreachable(),
		Interval:       interval,
	}
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
		message.TableStates, message.Sender, message.KnownGateways, message.Suspicions = nil, nil, nil, nil
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

// marks returns what this gateway holds of the tables.
func (e *Edge) marks(now int64) []feed.TableState {
	marks := make([]feed.TableState, len(e.watchers))
	for i, w := range e.watchers {
		marks[i], _ = w.mark(now)
	}
	return marks
}

// newMarks returns what this gateway holds of the tables, and whether it holds more
// than the peers were told.
func (s *sender) newMarks(now int64) (marks []feed.TableState, changed bool) {
	marks = s.edge.marks(now)
	changed = !slices.EqualFunc(s.marks, marks, func(a, b feed.TableState) bool { return a.LastChange == b.LastChange })
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
