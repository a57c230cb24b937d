package peer

import (
	"google.golang.org/protobuf/proto"

	"balsamhill/pkg/peer/peerpb"
)

// Kind says to which share of the link budget a frame is charged. Presets are
// not charged: there are few of them, and they must arrive.
type Kind int

const (
	// KindFixed is for heartbeats: always sent, charged to the fixed share.
	KindFixed Kind = iota
	// KindNotice is for drain notices and suspicions: sent if a share has room.
	KindNotice
	// KindQuery is for key queries and replies: sent if a share has more room than
	// notices may need. In an outage of the store there may be any number of them.
	KindQuery
)

// Link decides on frames that cross the link between regions. It must be safe
// for concurrent use and return at once.
type Link interface {
	// Allow charges a frame of this many bytes and reports whether it may be sent.
	Allow(kind Kind, bytes int) bool
}

type unlimitedLink struct{}

func (unlimitedLink) Allow(Kind, int) bool { return true }

// linkOverhead is what a small frame costs on the link on top of its own bytes:
// 12 for yamux and 40 for the acknowledgement that comes back. Yamux writes its
// header and the frame apart, so there are two TLS records of 22 more bytes and
// two TCP segments of 40 more.
const linkOverhead = 12 + 40 + 2*(22+40)

// post sends a frame to a peer and charges it if it crosses the link.
func (e *Exchange) post(s *session, frame *peerpb.Frame, urgent bool) bool {
	if s.region == e.config.Self.Region {
		return s.send(frame, urgent)
	}
	kind := KindNotice
	switch frame.GetBody().(type) {
	case *peerpb.Frame_PresetDocument, *peerpb.Frame_PresetRequest:
		return s.send(frame, urgent)
	case *peerpb.Frame_Heartbeat:
		kind = KindFixed
	case *peerpb.Frame_KeyQuery, *peerpb.Frame_KeyReply:
		kind = KindQuery
	}
	if !e.config.Link.Allow(kind, proto.Size(frame)+lengthBytes+linkOverhead) {
		e.counters.LinkRefused.Add(1)
		return false
	}
	return s.send(frame, urgent)
}
