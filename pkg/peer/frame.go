package peer

import (
	"encoding/binary"
	"io"
	"unicode"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"balsamhill/pkg/peer/peerpb"
	"balsamhill/pkg/preset"
)

const (
	// MaxFrameBytes bounds the size of a frame, not counting its length prefix.
	MaxFrameBytes = 256 << 10
	lengthBytes   = 4
	// maxNameBytes bounds IDs, regions and states. Names in settings have the same
	// limit.
	maxNameBytes = 63
	// maxAddressBytes is enough for any host:port with an IPv6 zone.
	maxAddressBytes = 100
	// maxKeyBytes bounds an idempotency key in a query. Longer keys are not queried.
	maxKeyBytes = 1 << 10
	// maxQueryKeys bounds the keys in one query, so that it fits in a frame.
	maxQueryKeys = 64
	// maxListed bounds the gateways or servers in one message.
	maxListed = 2000
)

// ErrBadFrame is wrapped by errors about frames that violate the protocol.
var ErrBadFrame = eris.New("bad frame")

// EncodeFrame returns the frame with a length prefix.
func EncodeFrame(frame *peerpb.Frame) ([]byte, error) {
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthBytes), frame)
	if err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	size := len(data) - lengthBytes
	if size > MaxFrameBytes {
		return nil, eris.Wrapf(ErrBadFrame, "frame of %d bytes exceeds the limit", size)
	}
	binary.BigEndian.PutUint32(data, uint32(size))
	return data, nil
}

// ReadFrame reads and validates one frame, and nothing beyond it. Memory is allocated
// for the bytes that arrive, not for the length in the prefix.
func ReadFrame(r io.Reader) (*peerpb.Frame, error) {
	var header [lengthBytes]byte
	_, err := io.ReadFull(r, header[:])
	if err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > MaxFrameBytes {
		return nil, eris.Wrapf(ErrBadFrame, "length %d", size)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, err
	}
	if len(data) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	return DecodeFrame(data)
}

// DecodeFrame decodes and validates a frame without its length prefix.
func DecodeFrame(data []byte) (*peerpb.Frame, error) {
	frame := &peerpb.Frame{}
	err := proto.Unmarshal(data, frame)
	if err != nil {
		return nil, eris.Wrapf(ErrBadFrame, "%v", err)
	}
	problem := checkBody(frame)
	if problem != "" {
		return nil, eris.Wrap(ErrBadFrame, problem)
	}
	return frame, nil
}

// checkBody returns the reason why the frame is invalid, empty if it is valid.
func checkBody(frame *peerpb.Frame) string {
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Heartbeat:
		return checkHeartbeat(body.Heartbeat)
	case *peerpb.Frame_PresetDocument:
		size := len(body.PresetDocument.GetDocument())
		if size == 0 || size > preset.MaxDocumentBytes || body.PresetDocument.GetRevision() == 0 {
			return "preset document without a revision or of invalid size"
		}
	case *peerpb.Frame_PresetRequest, *peerpb.Frame_KeyReply:
	case *peerpb.Frame_ServerSummary:
		return checkSummary(body.ServerSummary)
	case *peerpb.Frame_DrainNotice:
		return checkDrains(body.DrainNotice)
	case *peerpb.Frame_DrainList:
		return checkDrains(body.DrainList.GetNotices()...)
	case *peerpb.Frame_Suspicion:
		if !validName(body.Suspicion.GetServerId()) || !validName(body.Suspicion.GetOrigin()) {
			return "suspicion with an invalid name"
		}
	case *peerpb.Frame_KeyQuery:
		return checkQuery(body.KeyQuery)
	default:
		return "unknown type"
	}
	return ""
}

// checkHeartbeat accepts a heartbeat without ID and region, because only the first
// heartbeat of a session must have them.
func checkHeartbeat(h *peerpb.Heartbeat) string {
	first := h.GetId() != "" || h.GetRegion() != ""
	if first && (!validName(h.GetId()) || !validName(h.GetRegion())) || !validName(h.GetState()) {
		return "heartbeat with an invalid name"
	}
	if len(h.GetAddress()) > maxAddressBytes || len(h.GetKnown()) > maxListed {
		return "heartbeat with an invalid address or list"
	}
	for _, g := range h.GetKnown() {
		if !validName(g.GetId()) || !validName(g.GetRegion()) || len(g.GetAddress()) > maxAddressBytes {
			return "heartbeat that lists an invalid gateway"
		}
	}
	return ""
}

func checkSummary(summary *peerpb.ServerSummary) string {
	if len(summary.GetLoads()) > maxListed {
		return "summary that lists too many servers"
	}
	for _, load := range summary.GetLoads() {
		if !validName(load.GetServerId()) || load.GetInFlight() < 0 || load.GetLatency() < 0 {
			return "summary with an invalid value"
		}
	}
	return ""
}

func checkDrains(notices ...*peerpb.DrainNotice) string {
	if len(notices) > maxListed {
		return "drain list with too many notices"
	}
	for _, notice := range notices {
		if !validName(notice.GetServerId()) {
			return "drain notice with an invalid server ID"
		}
	}
	return ""
}

func checkQuery(query *peerpb.KeyQuery) string {
	if len(query.GetKeys()) == 0 || len(query.GetKeys()) > maxQueryKeys {
		return "key query with an invalid number of keys"
	}
	for _, key := range query.GetKeys() {
		if len(key.GetKey()) > maxKeyBytes || len(key.GetService()) > maxNameBytes {
			return "key query with a key that is too long"
		}
	}
	return ""
}

// validName accepts short names of printable ASCII characters, because names appear
// in logs, metrics and /status.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		if r > unicode.MaxASCII || !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}
