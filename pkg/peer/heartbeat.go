package peer

import (
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/membership"
	"balsamhill/pkg/peer/peerpb"
)

// echoAfter is the time since the own last heartbeat after which one from the
// far region is answered at once. Regions may disagree about who speaks; the
// answer makes both sides of a pair use the shorter interval.
const echoAfter = 900 * time.Millisecond

// heartbeatFrame describes this gateway; first adds what the peer must learn
// once.
func (e *Exchange) heartbeatFrame(first bool, known []*peerpb.Gateway) *peerpb.Frame {
	revision, _ := e.config.CurrentPreset()
	beat := &peerpb.Heartbeat{
		Incarnation: e.config.Self.Incarnation,
		Revision:    revision,
		State:       string(e.config.State()),
		Known:       known,
	}
	if first {
		beat.Id = e.config.Self.ID
		beat.Region = e.config.Self.Region
		beat.Address = e.config.Self.Peer
	} else {
		beat.Incarnation = 0
	}
	return &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: beat}}
}

// sendHeartbeats sends those that are due. The caller holds the lock.
func (e *Exchange) sendHeartbeats(now int64) {
	farSpeakers := e.view.RemoteRelays(now)
	for id, s := range e.sessions {
		if now-s.sentHeartbeat >= int64(e.view.HeartbeatInterval(id, farSpeakers)) {
			e.sendHeartbeat(now, s)
		}
	}
	e.askForPreset(now)
}

func (e *Exchange) sendHeartbeat(now int64, s *session) {
	s.sentHeartbeat = now
	e.post(s, e.heartbeatFrame(false, nil), true)
}

// onFirstHeartbeat registers a session. Frames on its bulk stream wait until the
// handler knows of it.
func (e *Exchange) onFirstHeartbeat(s *session, beat *peerpb.Heartbeat, registered func()) error {
	if beat.GetId() == "" {
		return eris.Wrap(ErrBadFrame, "first heartbeat without ID")
	}
	e.order.Lock()
	defer e.order.Unlock()
	if s.isRegistered() {
		// The peer sent first heartbeats on both streams.
		return nil
	}
	e.mu.Lock()
	s.heardAt.Store(e.now())
	replaced := e.sessions[beat.GetId()] != nil
	accepted := e.register(e.now(), s, beat)
	e.mu.Unlock()
	if !accepted {
		s.close()
		return nil
	}
	registered()
	e.onHeartbeat(s, beat)
	h := e.config.Handler
	if replaced && h.Lost != nil {
		h.Lost(s.id)
	}
	if h.Joined != nil {
		h.Joined(s.id)
	}
	close(s.registered)
	return nil
}

// onHeartbeat takes a heartbeat of a registered session.
func (e *Exchange) onHeartbeat(s *session, beat *peerpb.Heartbeat) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	s.heardAt.Store(now)
	if e.sessions[s.id] != s {
		// A newer session of the pair replaced this one.
		s.close()
		return
	}
	current := e.view.RecordHeartbeat(now, membership.Gateway{
		ID:          s.id,
		Incarnation: s.incarnation,
		Region:      s.region,
		Peer:        beat.GetAddress(),
		State:       membership.State(beat.GetState()),
		Revision:    beat.GetRevision(),
	})
	if !current {
		s.close()
		return
	}
	s.heartbeats++
	s.revision.Store(max(s.revision.Load(), beat.GetRevision()))
	for _, g := range beat.GetKnown() {
		e.view.AddGateway(now, membership.Gateway{ID: g.GetId(), Region: g.GetRegion(), Peer: g.GetAddress()})
	}
	if s.region != e.config.Self.Region || len(beat.GetKnown()) > 0 {
		// A peer of the region counts once it has named the gateways it knows,
		// because their number decides how many answers are enough.
		e.answered[s.id] = true
	}
	if s.region != e.config.Self.Region && now-s.sentHeartbeat >= int64(echoAfter) {
		e.sendHeartbeat(now, s)
	}
	e.askForPreset(now)
}

// register makes a session the one of its peer. It reports false if the session
// must not be used.
func (e *Exchange) register(now int64, s *session, beat *peerpb.Heartbeat) bool {
	if s.dialled {
		e.seedIDs[s.address] = beat.GetId()
	}
	self := e.config.Self
	if beat.GetId() == self.ID {
		return false
	}
	existing := e.sessions[beat.GetId()]
	if existing != nil && existing.incarnation > beat.GetIncarnation() {
		return false
	}
	s.openedAt = now
	if existing != nil && existing.incarnation == beat.GetIncarnation() {
		fromLower := s.dialled == (self.ID < beat.GetId())
		if now-existing.openedAt < int64(raceWindow) && !fromLower {
			return false
		}
	}
	if existing != nil {
		existing.close()
	}
	s.id = beat.GetId()
	s.incarnation = beat.GetIncarnation()
	s.region = beat.GetRegion()
	s.sentHeartbeat = now
	e.sessions[s.id] = s
	e.counters.Opened.Add(1)
	if s.region == self.Region {
		s.send(e.heartbeatFrame(false, e.knownGateways()), true)
	}
	return true
}

// knownGateways lists this gateway and all it knows.
func (e *Exchange) knownGateways() []*peerpb.Gateway {
	self := e.config.Self
	known := []*peerpb.Gateway{{Id: self.ID, Region: self.Region, Address: self.Peer}}
	for _, g := range e.view.KnownGateways() {
		if len(known) < maxListed {
			known = append(known, &peerpb.Gateway{Id: g.ID, Region: g.Region, Address: g.Peer})
		}
	}
	return known
}
