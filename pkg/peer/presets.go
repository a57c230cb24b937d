package peer

import (
	"time"

	"balsamhill/pkg/membership"
	"balsamhill/pkg/peer/peerpb"
)

const (
	// askTimeout is how long a peer has to send a document that it was asked for.
	askTimeout = time.Second
	// adoptTime is how long the control loop has to adopt a document before it is
	// asked for again.
	adoptTime = 300 * time.Millisecond
	// failedFor is how long a peer that did not send its document is passed over.
	failedFor = 5 * time.Second
	// farDelay is how long a gateway that is no speaker waits for its region
	// before it asks across the link, so that the link carries few copies.
	farDelay = 2 * time.Second
	// serveInterval bounds how often one peer gets a document that it asks for.
	serveInterval = 250 * time.Millisecond
)

// asks is the state of asking for a newer document.
type asks struct {
	peer        string
	until       int64
	behindSince int64
	// failed holds when a peer last did not send its document in time.
	failed map[string]int64
}

// mayAdopt applies the start rule to a gateway without a preset.
func (e *Exchange) mayAdopt(own uint64) bool {
	if own > 0 {
		return true
	}
	known := 1 + max(len(e.view.KnownGateways()), len(e.config.Seeds))
	return e.storeDown && membership.MayAdoptAtStart(len(e.answered), known)
}

// askForPreset asks one peer for its document if it has a higher revision. The
// caller holds the lock.
func (e *Exchange) askForPreset(now int64) {
	own, _ := e.config.CurrentPreset()
	if now < e.asks.until && (e.asks.peer == "" || e.sessions[e.asks.peer] != nil) {
		return
	}
	if e.asks.peer != "" {
		e.asks.failed[e.asks.peer] = now
		e.asks.peer = ""
	}
	best := e.newest(now, own)
	if best == nil {
		e.asks.behindSince = 0
		return
	}
	if e.asks.behindSince == 0 {
		e.asks.behindSince = now
	}
	if !e.mayAdopt(own) || !e.mayAskNow(now, best) {
		return
	}
	e.asks.peer = best.id
	e.asks.until = now + int64(askTimeout)
	request := &peerpb.PresetRequest{Have: own}
	e.post(best, &peerpb.Frame{Body: &peerpb.Frame_PresetRequest{PresetRequest: request}}, true)
}

func (e *Exchange) mayAskNow(now int64, s *session) bool {
	if s.region == e.config.Self.Region || e.view.IsRelay(now) {
		return true
	}
	return now-e.asks.behindSince >= int64(farDelay)
}

// newest returns the session with the highest revision above the own one, in the
// own region if there is a choice, nil if there is none.
func (e *Exchange) newest(now int64, own uint64) *session {
	var best *session
	for id, s := range e.sessions {
		failedAt, failed := e.asks.failed[id]
		if failed && now-failedAt < int64(failedFor) {
			continue
		}
		if s.revision.Load() > own && e.better(s, best) {
			best = s
		}
	}
	return best
}

// better orders by revision, then by region, then by ID.
func (e *Exchange) better(s, other *session) bool {
	if other == nil {
		return true
	}
	if s.revision.Load() != other.revision.Load() {
		return s.revision.Load() > other.revision.Load()
	}
	near := s.region == e.config.Self.Region
	if near != (other.region == e.config.Self.Region) {
		return near
	}
	return s.id < other.id
}

// onDocument passes a document on to the control loop, which decides.
func (e *Exchange) onDocument(s *session, document *peerpb.PresetDocument) {
	if e.take(s, document) && e.config.Handler.Preset != nil {
		e.config.Handler.Preset(s.id, document.GetRevision(), document.GetDocument())
	}
}

func (e *Exchange) take(s *session, document *peerpb.PresetDocument) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	own, _ := e.config.CurrentPreset()
	s.revision.Store(max(s.revision.Load(), document.GetRevision()))
	if document.GetRevision() <= own || !e.mayAdopt(own) {
		return false
	}
	if own == 0 {
		// The start rule takes the highest revision that a peer told.
		best := e.newest(now, own)
		if best != nil && best.revision.Load() > document.GetRevision() {
			return false
		}
	}
	if e.asks.peer == s.id {
		e.asks.peer = ""
	}
	if e.asks.peer == "" {
		e.asks.until = now + int64(adoptTime)
	}
	return true
}

// onRequest sends the document in force to a peer that is behind.
func (e *Exchange) onRequest(s *session, request *peerpb.PresetRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	revision, document := e.config.CurrentPreset()
	if revision <= request.GetHave() || (s.servedAt != 0 && now-s.servedAt < int64(serveInterval)) {
		return
	}
	s.servedAt = now
	e.post(s, documentFrame(revision, document), false)
}

func documentFrame(revision uint64, document []byte) *peerpb.Frame {
	body := &peerpb.PresetDocument{Revision: revision, Document: document}
	return &peerpb.Frame{Body: &peerpb.Frame_PresetDocument{PresetDocument: body}}
}

// AnnouncePreset tells the peers that the revision that Current returns was adopted
// here. Neighbours that are behind get the document at once. Across the link
// only a heartbeat is sent, and a peer that is behind asks, so that the link
// carries one copy for each gateway that asks and not one for each pair.
func (e *Exchange) AnnouncePreset() {
	revision, document := e.config.CurrentPreset()
	if revision == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	frame := documentFrame(revision, document)
	for _, id := range e.view.Neighbours(now) {
		if s := e.sessions[id]; s != nil && s.revision.Load() < revision {
			e.post(s, frame, false)
		}
	}
	for _, id := range e.view.RemoteRelays(now) {
		if s := e.sessions[id]; s != nil {
			e.sendHeartbeat(now, s)
		}
	}
}
