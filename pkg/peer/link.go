package peer

import (
	"google.golang.org/protobuf/proto"

	"balsamhill/pkg/peer/peerpb"
)

// FrameKind selects the share of the link budget that a frame is charged to. Presets are
// not charged: they are few, and they must arrive.
type FrameKind int

const (
	// KindHeartbeat is for heartbeats. They are always sent and charged to the fixed
	// share.
	KindHeartbeat FrameKind = iota
	// KindNotice is for drain notices and suspicions. They are sent if a share has
	// enough budget left.
	KindNotice
	// KindQuery is for key queries and replies. They are sent if a share has more
	// budget left than the reserve for notices, because the number of queries is
	// unbounded during a store outage.
	KindQuery
)

// Link limits the frames that cross the link between regions. It must be safe for
// concurrent use and must not block.
type Link interface {
	// Allow charges a frame of this many bytes and reports whether it may be sent.
	Allow(kind FrameKind, bytes int) bool
}

type unlimitedLink struct{}

func (unlimitedLink) Allow(FrameKind, int) bool { return true }

// linkOverheadBytes is the number of bytes that a small frame adds to the link beyond its
// own: 12 for the yamux header and 40 for the TCP acknowledgement. Yamux writes its
// header and the frame separately, so there are two TLS records with 22 bytes of
// overhead each and two TCP segments with 40 each.
const linkOverheadBytes = 12 + 40 + 2*(22+40)

// post sends a frame to a peer. If it crosses the link, it is charged to the link
// budget. post returns false if the frame was not sent.
func (e *Exchange) post(s *session, frame *peerpb.Frame, urgent bool) bool {
	if s.region == e.config.Self.Region {
		return s.send(frame, urgent)
	}
	kind := KindNotice
	switch frame.GetBody().(type) {
	case *peerpb.Frame_PresetDocument, *peerpb.Frame_PresetRequest:
		return s.send(frame, urgent)
	case *peerpb.Frame_Heartbeat:
		kind = KindHeartbeat
	case *peerpb.Frame_KeyQuery, *peerpb.Frame_KeyReply:
		kind = KindQuery
	}
	if !e.config.Link.Allow(kind, proto.Size(frame)+lengthBytes+linkOverheadBytes) {
		e.counters.LinkRefused.Add(1)
		return false
	}
	return s.send(frame, urgent)
}
