package peer

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/peer/peerpb"
)

func sampleFrames() []*peerpb.Frame {
	beat := &peerpb.Heartbeat{Id: "gw-1", Incarnation: 3, Region: "khomas", Revision: 9, State: "ready",
		Known: []*peerpb.Gateway{{Id: "gw-2", Region: "erongo", Address: "10.0.0.2:8082"}}}
	query := &peerpb.KeyQuery{Id: 4, Keys: []*peerpb.Key{{Service: "booking-desk", Key: "k"}}}
	return []*peerpb.Frame{
		{Body: &peerpb.Frame_Heartbeat{Heartbeat: beat}},
		documentFrame(7, []byte("{}")),
		{Body: &peerpb.Frame_PresetRequest{PresetRequest: &peerpb.PresetRequest{Have: 6}}},
		summaryFrame([]*peerpb.ServerLoad{{ServerId: "s", InFlight: 2, Latency: 5, Ejected: true}}),
		{Body: &peerpb.Frame_DrainNotice{DrainNotice: &peerpb.DrainNotice{ServerId: "s"}}},
		{Body: &peerpb.Frame_Suspicion{Suspicion: &peerpb.Suspicion{ServerId: "s", Origin: "gw-1"}}},
		{Body: &peerpb.Frame_KeyQuery{KeyQuery: query}},
		{Body: &peerpb.Frame_KeyReply{KeyReply: &peerpb.KeyReply{Id: 4, MayHaveAttempt: []bool{true}}}},
	}
}

// FuzzReadFrame guards the decoder against arbitrary input: it must not panic, and a
// frame that it accepts must be encodable and readable again.
func FuzzReadFrame(f *testing.F) {
	for _, frame := range sampleFrames() {
		data, err := EncodeFrame(frame)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bytes.NewReader(data)
		frame, err := ReadFrame(reader)
		if err != nil {
			return
		}
		again, err := EncodeFrame(frame)
		assert.NilError(t, err)
		_, err = ReadFrame(bytes.NewReader(again))
		assert.NilError(t, err)
	})
}

// TestRefusedFrames guards the validation that protects a gateway from a faulty peer.
func TestRefusedFrames(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	for _, test := range []struct {
		desc  string
		frame *peerpb.Frame
	}{
		{"no body", &peerpb.Frame{}},
		{"document without revision", documentFrame(0, []byte("{}"))},
		{"document too large", documentFrame(1, make([]byte, 129<<10))},
		{"long ID", &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{Id: long, Region: "r", State: "ready"}}}},
		{"control character", &peerpb.Frame{Body: &peerpb.Frame_DrainNotice{DrainNotice: &peerpb.DrainNotice{ServerId: "a\n"}}}},
		{"negative load", summaryFrame([]*peerpb.ServerLoad{{ServerId: "s", InFlight: -1}})},
		{"empty query", &peerpb.Frame{Body: &peerpb.Frame_KeyQuery{KeyQuery: &peerpb.KeyQuery{}}}},
		{"long key", &peerpb.Frame{Body: &peerpb.Frame_KeyQuery{KeyQuery: &peerpb.KeyQuery{
			Keys: []*peerpb.Key{{Key: strings.Repeat("k", maxKeyBytes+1)}}}}}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			data, err := EncodeFrame(test.frame)
			assert.NilError(t, err)
			if len(data) == lengthBytes {
				data = append(data, 0)
				data[lengthBytes-1] = 1
			}
			_, err = ReadFrame(bytes.NewReader(data))
			assert.ErrorIs(t, err, ErrBadFrame)
		})
	}
	_, err := EncodeFrame(documentFrame(1, make([]byte, MaxFrameBytes)))
	assert.ErrorIs(t, err, ErrBadFrame)
	_, err = ReadFrame(bytes.NewReader([]byte{0, 4, 0, 1}))
	assert.ErrorIs(t, err, ErrBadFrame)
}
