package peer

import (
	"time"

	"balsamhill/pkg/membership"
	"balsamhill/pkg/peer/peerpb"
)

const (
	// requestTimeout bounds the time from a request to the document.
	requestTimeout = time.Second
	// adoptionTimeout is how long the control loop has to adopt a document before the
	// document is requested again.
	adoptionTimeout = 300 * time.Millisecond
	// failedPeerBackoff is how long no document is requested from a peer that did not
	// send one in time.
	failedPeerBackoff = 5 * time.Second
	// remoteRequestDelay is how long a gateway that is not a relay waits for a peer of
	// its region to have the document before it requests it across the link, so that
	// few copies cross the link.
	remoteRequestDelay = 2 * time.Second
	// minDocumentInterval is the least time between two documents sent to one peer at
	// its request.
	minDocumentInterval = 250 * time.Millisecond
)

// presetFetch is the state of requests for newer documents.
type presetFetch struct {
	// peer is the one that a document was requested from, empty if none is pending.
	peer          string
	nextRequestAt int64
	// behindSince is when a peer was first known to have a higher revision, 0 if none
	// has.
	behindSince int64
	// failedAt holds when a request to a peer last timed out.
	failedAt map[string]int64
}

// mayAdopt reports whether a document from a peer may be adopted. A gateway without a
// preset may do so only while the store is unreachable and once enough peers have
// reported their revision; see membership.MayAdoptAtStart.
func (e *Exchange) mayAdopt(own uint64) bool {
	if own > 0 {
		return true
	}
	known := 1 + max(len(e.view.KnownGateways()), len(e.config.Seeds))
	return e.storeDown && membership.MayAdoptAtStart(len(e.revisionKnown), known)
}

// requestPreset requests the document of one peer that has a higher revision. The
// exchange must be locked.
func (e *Exchange) requestPreset(now int64) {
	own, _ := e.config.CurrentPreset()
	if now < e.fetch.nextRequestAt && (e.fetch.peer == "" || e.sessions[e.fetch.peer] != nil) {
		return
	}
	if e.fetch.peer != "" {
		e.fetch.failedAt[e.fetch.peer] = now
		e.fetch.peer = ""
	}
	best := e.newestPeer(now, own)
	if best == nil {
		e.fetch.behindSince = 0
		return
	}
	if e.fetch.behindSince == 0 {
		e.fetch.behindSince = now
	}
	if !e.mayAdopt(own) || !e.mayRequestNow(now, best) {
		return
	}
	e.fetch.peer = best.id
	e.fetch.nextRequestAt = now + int64(requestTimeout)
	request := &peerpb.PresetRequest{Have: own}
	e.post(best, &peerpb.Frame{Body: &peerpb.Frame_PresetRequest{PresetRequest: request}}, true)
}

func (e *Exchange) mayRequestNow(now int64, s *session) bool {
	if s.region == e.config.Self.Region || e.view.IsRelay(now) {
		return true
	}
	return now-e.fetch.behindSince >= int64(remoteRequestDelay)
}

// newestPeer returns the session with the highest revision above the own one, nil if
// there is none. Among equal revisions it prefers the own region.
func (e *Exchange) newestPeer(now int64, own uint64) *session {
	var best *session
	for id, s := range e.sessions {
		failedAt, failed := e.fetch.failedAt[id]
		if failed && now-failedAt < int64(failedPeerBackoff) {
			continue
		}
		if s.revision.Load() > own && e.isPreferred(s, best) {
			best = s
		}
	}
	return best
}

// isPreferred orders sessions by revision, then by region, then by ID.
func (e *Exchange) isPreferred(s, other *session) bool {
	if other == nil {
		return true
	}
	if s.revision.Load() != other.revision.Load() {
		return s.revision.Load() > other.revision.Load()
	}
	sameRegion := s.region == e.config.Self.Region
	if sameRegion != (other.region == e.config.Self.Region) {
		return sameRegion
	}
	return s.id < other.id
}

// onDocument passes a document to the control loop, which decides about adoption.
func (e *Exchange) onDocument(s *session, document *peerpb.PresetDocument) {
	if e.acceptDocument(s, document) && e.config.Handler.Preset != nil {
		e.config.Handler.Preset(s.id, document.GetRevision(), document.GetDocument())
	}
}

// acceptDocument records a received document and reports whether it may be adopted.
func (e *Exchange) acceptDocument(s *session, document *peerpb.PresetDocument) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	own, _ := e.config.CurrentPreset()
	s.revision.Store(max(s.revision.Load(), document.GetRevision()))
	if document.GetRevision() <= own || !e.mayAdopt(own) {
		return false
	}
	if own == 0 {
		// A gateway without a preset adopts only the highest revision among its peers.
		best := e.newestPeer(now, own)
		if best != nil && best.revision.Load() > document.GetRevision() {
			return false
		}
	}
	if e.fetch.peer == s.id {
		e.fetch.peer = ""
	}
	if e.fetch.peer == "" {
		e.fetch.nextRequestAt = now + int64(adoptionTimeout)
	}
	return true
}

// onPresetRequest sends the document in force to a peer that has an older one.
func (e *Exchange) onPresetRequest(s *session, request *peerpb.PresetRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	revision, document := e.config.CurrentPreset()
	if revision <= request.GetHave() || (s.documentSentAt != 0 && now-s.documentSentAt < int64(minDocumentInterval)) {
		return
	}
	s.documentSentAt = now
	e.post(s, documentFrame(revision, document), false)
}

func documentFrame(revision uint64, document []byte) *peerpb.Frame {
	body := &peerpb.PresetDocument{Revision: revision, Document: document}
	return &peerpb.Frame{Body: &peerpb.Frame_PresetDocument{PresetDocument: body}}
}

// AnnouncePreset announces that this gateway adopted the revision that CurrentPreset
// returns. Neighbours with an older revision get the document at once. Across the
// link only a heartbeat is sent, and a peer with an older revision requests the
// document, so that one copy crosses the link for each request and not one for each
// pair of relays.
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
