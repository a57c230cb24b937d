package peer

import (
	"slices"
	"time"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/peer/peerpb"
)

// noticeTTL is how long the key of a received notice is kept to detect duplicates. It
// exceeds the time that a notice takes to reach all gateways, and is below the
// interval at which control announces the same drain again.
const noticeTTL = 5 * time.Second

// noticeKey identifies a notice: a drain notice by server and incarnation, a
// suspicion by origin and sequence. sequence is the incarnation of a drain notice or the
// sequence of a suspicion.
type noticeKey struct {
	server, origin string
	sequence       uint64
}

// seenNotices holds when each notice was first received.
type seenNotices map[noticeKey]int64

// addIfNew adds a notice and reports whether it was new.
func (n seenNotices) addIfNew(now int64, key noticeKey) bool {
	if _, ok := n[key]; ok {
		return false
	}
	n[key] = now
	return true
}

func (n seenNotices) expire(now int64) {
	for key, at := range n {
		if now-at > int64(noticeTTL) {
			delete(n, key)
		}
	}
}

// Drain is the announcement of one incarnation of a server that it is leaving.
type Drain struct {
	ServerID    string
	Incarnation uint64
	// Age is the time since the announcement.
	Age time.Duration
}

func (d Drain) message() *peerpb.DrainNotice {
	return &peerpb.DrainNotice{
		ServerId:    d.ServerID,
		Incarnation: d.Incarnation,
		AgeMillis:   uint64((max(0, d.Age) + time.Millisecond - 1) / time.Millisecond),
	}
}

// maxDrainAge bounds the age in a received notice. Announcements expire long before.
const maxDrainAge = time.Hour

func parseDrain(notice *peerpb.DrainNotice) Drain {
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

// AnnounceDrain sends to the peers that a server is leaving. A notice received from
// another region within noticeTTL is not sent back across the link.
func (e *Exchange) AnnounceDrain(drain Drain) {
	frame := &peerpb.Frame{Body: &peerpb.Frame_DrainNotice{DrainNotice: drain.message()}}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	_, fromRemote := e.seen[drain.key()]
	e.broadcast(now, frame, "", !fromRemote)
}

// drainsPerFrame is chosen so that a frame with names of the maximum length fits into
// the smallest burst of the link budget, which is 2 KiB.
const drainsPerFrame = 20

// SendDrains sends the drains in force to a peer whose session has started. Across
// the link, only relays send them, and only to relays.
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

// AnnounceSuspicion sends to the peers that a connection to the server was lost while
// a request with the fingerprint was in flight.
func (e *Exchange) AnnounceSuspicion(fingerprint crashguard.Fingerprint, server crashguard.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspicionSequence++
	suspicion := &peerpb.Suspicion{
		Fingerprint: uint64(fingerprint),
		ServerId:    server.ID,
		Incarnation: server.Incarnation,
		Origin:      e.config.Self.ID,
		// The incarnation makes the sequence numbers of a restarted gateway differ from
		// those before the restart.
		Sequence: e.config.Self.Incarnation + e.suspicionSequence,
	}
	frame := &peerpb.Frame{Body: &peerpb.Frame_Suspicion{Suspicion: suspicion}}
	e.broadcast(e.now(), frame, "", true)
}

// forward sends a new notice to the other peers. It returns false if the notice was
// received before. Notices from the own region also cross the link; those from
// another region are not sent back.
func (e *Exchange) forward(s *session, frame *peerpb.Frame, key noticeKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.seen.addIfNew(now, key) {
		return false
	}
	e.broadcast(now, frame, s.id, s.region == e.config.Self.Region)
	return true
}

// broadcast sends a frame to the neighbours, except one, and if toRemote is set to
// the relays of other regions.
func (e *Exchange) broadcast(now int64, frame *peerpb.Frame, exclude string, toRemote bool) {
	targets := e.view.Neighbours(now)
	if toRemote {
		targets = append(targets, e.view.RemoteRelays(now)...)
	}
	for _, id := range targets {
		if s := e.sessions[id]; s != nil && id != exclude {
			e.post(s, frame, true)
		}
	}
}
