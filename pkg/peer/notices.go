package peer

import (
	"time"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/peer/peerpb"
)

// noticeLife is how long a notice is remembered. It exceeds the time that a
// notice travels and stays below the interval at which evidence is repeated.
const noticeLife = 5 * time.Second

// noticeKey identifies a notice that is passed on from gateway to gateway: a
// drain notice by server and incarnation, a suspicion by origin and sequence.
type noticeKey struct {
	server, origin string
	sequence       uint64
}

// seenNotices holds when each notice was first seen.
type seenNotices map[noticeKey]int64

// first reports whether the notice is new.
func (n seenNotices) first(now int64, key noticeKey) bool {
	if _, ok := n[key]; ok {
		return false
	}
	n[key] = now
	return true
}

func (n seenNotices) expire(now int64) {
	for key, at := range n {
		if now-at > int64(noticeLife) {
			delete(n, key)
		}
	}
}

// TellDrain tells the peers that a server is leaving.
func (e *Exchange) TellDrain(serverID string, incarnation uint64) {
	notice := &peerpb.DrainNotice{ServerId: serverID, Incarnation: incarnation}
	frame := &peerpb.Frame{Body: &peerpb.Frame_DrainNotice{DrainNotice: notice}}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if e.seen.first(now, noticeKey{server: serverID, sequence: incarnation}) {
		e.spread(now, frame, "", true)
	}
}

// TellSuspicion tells the peers that a connection to the server broke while a
// request with the fingerprint was in flight.
func (e *Exchange) TellSuspicion(fingerprint crashguard.Fingerprint, serverID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	suspicion := &peerpb.Suspicion{
		Fingerprint: uint64(fingerprint),
		ServerId:    serverID,
		Origin:      e.config.Self.ID,
		// The incarnation keeps numbers of a restarted gateway apart from earlier ones.
		Sequence: e.config.Self.Incarnation + e.sequence,
	}
	frame := &peerpb.Frame{Body: &peerpb.Frame_Suspicion{Suspicion: suspicion}}
	e.spread(e.now(), frame, "", true)
}

// passOn sends a new notice to the other peers. It reports false if the notice
// was seen before. Speakers bring notices across the link, but not back.
func (e *Exchange) passOn(s *session, frame *peerpb.Frame, key noticeKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.seen.first(now, key) {
		return false
	}
	e.spread(now, frame, s.id, s.region == e.config.Self.Region)
	return true
}

// spread sends a frame to the neighbours and, if asked, across the link.
func (e *Exchange) spread(now int64, frame *peerpb.Frame, except string, far bool) {
	targets := e.view.Neighbours(now)
	if far {
		targets = append(targets, e.view.FarSpeakers(now)...)
	}
	for _, id := range targets {
		if s := e.sessions[id]; s != nil && id != except {
			e.post(s, frame, true)
		}
	}
}
