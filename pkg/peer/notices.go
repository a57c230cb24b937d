package peer

import (
	"slices"
	"time"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/peer/peerpb"
)

// noticeLife is how long a notice is remembered. It exceeds the time that a
// notice travels and stays below the interval at which control tells of the same
// drain again.
const noticeLife = 5 * time.Second

// noticeKey identifies a notice: a drain notice by server and incarnation, a
// suspicion by origin and sequence.
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

// Drain says that one incarnation of a server announced that it is leaving.
type Drain struct {
	ServerID    string
	Incarnation uint64
	// Age is how long ago it announced.
	Age time.Duration
}

func (d Drain) message() *peerpb.DrainNotice {
	return &peerpb.DrainNotice{
		ServerId:    d.ServerID,
		Incarnation: d.Incarnation,
		AgeMillis:   uint64((max(0, d.Age) + time.Millisecond - 1) / time.Millisecond),
	}
}

// maxDrainAge bounds the ages that are believed. Evidence expires long before.
const maxDrainAge = time.Hour

func drainOf(notice *peerpb.DrainNotice) Drain {
	millis := min(notice.GetAgeMillis(), uint64(maxDrainAge/time.Millisecond))
	return Drain{
		ServerID:    notice.GetServerId(),
		Incarnation: notice.GetIncarnation(),
		Age:         time.Duration(millis) * time.Millisecond,
	}
}

func (d Drain) key() noticeKey {
	return noticeKey{server: d.ServerID, sequence: d.Incarnation}
}

// AnnounceDrain tells the peers that a server is leaving. What came from the far
// region a moment ago is not sent back across the link.
func (e *Exchange) AnnounceDrain(drain Drain) {
	frame := &peerpb.Frame{Body: &peerpb.Frame_DrainNotice{DrainNotice: drain.message()}}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	_, fromFar := e.seen[drain.key()]
	e.spread(now, frame, "", !fromFar)
}

// drainsPerFrame lets one frame of the longest names fit into the smallest share
// of the link budget that a gateway may save, which is 2 KiB.
const drainsPerFrame = 20

// SendDrains sends evidence in force to a peer whose session started. Gateways
// across the link get it only between speakers.
func (e *Exchange) SendDrains(peer string, drains []Drain) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sessions[peer]
	now := e.now()
	if s == nil || (!slices.Contains(e.view.Neighbours(now), peer) && !slices.Contains(e.view.RemoteRelays(now), peer)) {
		return
	}
	for chunk := range slices.Chunk(drains, drainsPerFrame) {
		list := &peerpb.DrainList{}
		for _, drain := range chunk {
			list.Notices = append(list.Notices, drain.message())
		}
		e.post(s, &peerpb.Frame{Body: &peerpb.Frame_DrainList{DrainList: list}}, false)
	}
}

// AnnounceSuspicion tells the peers that a connection to the server broke while a
// request with the fingerprint was in flight.
func (e *Exchange) AnnounceSuspicion(fingerprint crashguard.Fingerprint, serverID string) {
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
		targets = append(targets, e.view.RemoteRelays(now)...)
	}
	for _, id := range targets {
		if s := e.sessions[id]; s != nil && id != except {
			e.post(s, frame, true)
		}
	}
}
