package peer

import (
	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/peer/peerpb"
)

// handle takes one frame of a session. Frames on the bulk stream may be read
// before the first heartbeat on the urgent one, so they wait for it.
func (e *Exchange) handle(s *session, frame *peerpb.Frame, registered func()) error {
	if beat := frame.GetHeartbeat(); beat != nil {
		return e.onHeartbeat(s, beat, registered)
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
		e.onRequest(s, body.PresetRequest)
	case *peerpb.Frame_ServerSummary:
		if h.Summary != nil {
			h.Summary(s.id, body.ServerSummary.GetLoads())
		}
	case *peerpb.Frame_DrainNotice:
		e.onDrain(s, frame, body.DrainNotice)
	case *peerpb.Frame_Suspicion:
		e.onSuspicion(s, frame, body.Suspicion)
	case *peerpb.Frame_KeyQuery:
		e.onQuery(s, body.KeyQuery)
	case *peerpb.Frame_KeyReply:
		e.queries.reply(s.id, body.KeyReply)
	}
	return nil
}

func (e *Exchange) onDrain(s *session, frame *peerpb.Frame, notice *peerpb.DrainNotice) {
	key := noticeKey{server: notice.GetServerId(), sequence: notice.GetIncarnation()}
	if !e.passOn(s, frame, key) {
		return
	}
	if e.config.Handler.Drain != nil {
		e.config.Handler.Drain(s.id, notice.GetServerId(), notice.GetIncarnation())
	}
}

func (e *Exchange) onSuspicion(s *session, frame *peerpb.Frame, suspicion *peerpb.Suspicion) {
	key := noticeKey{origin: suspicion.GetOrigin(), sequence: suspicion.GetSequence()}
	if suspicion.GetOrigin() == e.config.Self.ID || !e.passOn(s, frame, key) {
		return
	}
	if e.config.Handler.Suspicion != nil {
		fingerprint := crashguard.Fingerprint(suspicion.GetFingerprint())
		e.config.Handler.Suspicion(s.id, fingerprint, suspicion.GetServerId())
	}
}
