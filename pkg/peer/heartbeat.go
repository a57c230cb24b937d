package peer

import (
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/membership"
	"balsamhill/pkg/peer/peerpb"
)

// minReplyInterval is the least time between the last heartbeat sent to a peer of
// another region and an immediate reply to a heartbeat of that peer. Regions may
// disagree about which gateways are relays; the reply makes both sides of a pair use
// the shorter interval.
const minReplyInterval = 900 * time.Millisecond

// heartbeatFrame returns a heartbeat of this gateway. The first one of a session also
// carries what does not change: ID, incarnation, region and address.
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

// sendHeartbeats sends the heartbeats that are due. The exchange must be locked.
func (e *Exchange) sendHeartbeats(now int64) {
	remoteRelays := e.view.RemoteRelays(now)
	for id, s := range e.sessions {
		if now-s.heartbeatSentAt >= int64(e.view.HeartbeatInterval(id, remoteRelays)) {
			e.sendHeartbeat(now, s)
		}
	}
	e.requestPreset(now)
}

func (e *Exchange) sendHeartbeat(now int64, s *session) {
	s.heartbeatSentAt = now
	e.post(s, e.heartbeatFrame(false, nil), true)
}

// onFirstHeartbeat registers a session. Frames on its bulk stream wait until
// Handler.Joined has returned.
func (e *Exchange) onFirstHeartbeat(s *session, beat *peerpb.Heartbeat, registered func()) error {
	if beat.GetId() == "" {
		return eris.Wrap(ErrBadFrame, "first heartbeat without ID")
	}
	e.eventOrder.Lock()
	defer e.eventOrder.Unlock()
	if s.isRegistered() {
		// The peer sent a first heartbeat on each stream.
		return nil
	}
	e.mu.Lock()
	s.lastHeartbeatAt.Store(e.now())
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

// onHeartbeat records a heartbeat of a registered session.
func (e *Exchange) onHeartbeat(s *session, beat *peerpb.Heartbeat) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	s.lastHeartbeatAt.Store(now)
	if e.sessions[s.id] != s {
		// A newer session with the peer has replaced this one.
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
		// A peer of the own region counts only after it has listed the gateways that it
		// knows, because mayAdopt depends on their number.
		e.revisionKnown[s.id] = true
	}
	if s.region != e.config.Self.Region && now-s.heartbeatSentAt >= int64(minReplyInterval) {
		e.sendHeartbeat(now, s)
	}
	e.requestPreset(now)
}

// register makes a session the current one of its peer. It returns false if the
// session must be closed instead.
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
		dialledByLower := s.dialled == (self.ID < beat.GetId())
		if now-existing.openedAt < int64(simultaneousWindow) && !dialledByLower {
			return false
		}
	}
	if existing != nil {
		existing.close()
	}
	s.id = beat.GetId()
	s.incarnation = beat.GetIncarnation()
	s.region = beat.GetRegion()
	s.heartbeatSentAt = now
	e.sessions[s.id] = s
	e.counters.Opened.Add(1)
	if s.region == self.Region {
		s.send(e.heartbeatFrame(false, e.knownGateways()), true)
	}
	return true
}

// knownGateways lists this gateway and all others that it knows.
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
