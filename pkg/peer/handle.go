package peer

import (
	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/peer/peerpb"
)

// handle processes one frame of a session. A frame on the bulk stream may be read
// before the first heartbeat on the urgent stream; handle waits until that heartbeat
// has registered the session.
func (e *Exchange) handle(s *session, frame *peerpb.Frame, registered func()) error {
	if beat := frame.GetHeartbeat(); beat != nil {
		if !s.isRegistered() {
			return e.onFirstHeartbeat(s, beat, registered)
		}
		e.onHeartbeat(s, beat)
		return nil
	}
	select {
	case <-s.registered:
	case <-s.closed:
		return nil
	}
	h := e.config.Handler
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_PresetDocument:
		e.onDocument(s, body.PresetDocument)
	case *peerpb.Frame_PresetRequest:
		e.onPresetRequest(s, body.PresetRequest)
	case *peerpb.Frame_ServerSummary:
		if h.Summary != nil {
			e.onSummary(s, body.ServerSummary)
		}
	case *peerpb.Frame_DrainNotice:
		e.onDrain(s, body.DrainNotice)
	case *peerpb.Frame_DrainList:
		for _, notice := range body.DrainList.GetNotices() {
			e.onDrain(s, notice)
		}
	case *peerpb.Frame_Suspicion:
		e.onSuspicion(s, frame, body.Suspicion)
	case *peerpb.Frame_KeyQuery:
		e.onQuery(s, body.KeyQuery)
	case *peerpb.Frame_KeyReply:
		e.queries.reply(s.id, body.KeyReply)
	}
	return nil
}

// onSummary passes a summary to the handler unless a newer session has replaced this
// one, because older values must not overwrite those of the newer session.
func (e *Exchange) onSummary(s *session, summary *peerpb.ServerSummary) {
	e.eventOrder.Lock()
	defer e.eventOrder.Unlock()
	if e.isCurrent(s) {
		e.config.Handler.Summary(s.id, summary.GetLoads())
	}
}

func (e *Exchange) isCurrent(s *session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sessions[s.id] == s
}

// onDrain passes a notice to the handler. It does not forward it: package control
// detects which notices are new and forwards them with AnnounceDrain.
func (e *Exchange) onDrain(s *session, notice *peerpb.DrainNotice) {
	drain := parseDrain(notice)
	if s.region != e.config.Self.Region {
		e.mu.Lock()
		e.seen[drain.key()] = e.now()
		e.mu.Unlock()
	}
	if e.config.Handler.Drain != nil {
		e.config.Handler.Drain(s.id, drain)
	}
}

func (e *Exchange) onSuspicion(s *session, frame *peerpb.Frame, suspicion *peerpb.Suspicion) {
	key := noticeKey{origin: suspicion.GetOrigin(), sequence: suspicion.GetSequence()}
	if suspicion.GetOrigin() == e.config.Self.ID || !e.forward(s, frame, key) {
		return
	}
	if e.config.Handler.Suspicion != nil {
		fingerprint := crashguard.Fingerprint(suspicion.GetFingerprint())
		server := crashguard.Server{ID: suspicion.GetServerId(), Incarnation: suspicion.GetIncarnation()}
		e.config.Handler.Suspicion(s.id, fingerprint, server)
	}
}
