package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/peer"
	"balsamhill/pkg/peer/peerpb"
)

// message is a frame of one kind with typical values.
type message struct {
	desc  string
	frame *peerpb.Frame
}

func gatewayList(n int) []*peerpb.Gateway {
	list := make([]*peerpb.Gateway, 0, n)
	for i := range n {
		list = append(list, &peerpb.Gateway{Id: gatewayID(i), Region: regionOf(i), Address: "10.30.0.100:8082"})
	}
	return list
}

func gatewayID(i int) string {
	return fmt.Sprintf("gw-%s-%03d", regionOf(i), i)
}

func serverLoads(n int) []*peerpb.ServerLoad {
	loads := make([]*peerpb.ServerLoad, 0, n)
	for _, vm := range serverList(size{servers: n, services: min(n, 47)}) {
		loads = append(loads, &peerpb.ServerLoad{ServerId: vm.ID, InFlight: 2, Latency: 5_000_000})
	}
	return loads
}

func keyQuery(keys int) *peerpb.Frame {
	query := &peerpb.KeyQuery{Id: 1 << 20}
	for i := range keys {
		query.Keys = append(query.Keys, &peerpb.Key{Service: serviceName(1), Key: sampleKey(i)})
	}
	return &peerpb.Frame{Body: &peerpb.Frame_KeyQuery{KeyQuery: query}}
}

func sampleKey(i int) string {
	return fmt.Sprintf("6f1c2b3a-0000-4000-8000-%012d", i)
}

func messages() []message {
	heartbeat := func(h *peerpb.Heartbeat) *peerpb.Frame {
		return &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: h}}
	}
	summary := func(n int) *peerpb.Frame {
		return &peerpb.Frame{Body: &peerpb.Frame_ServerSummary{
			ServerSummary: &peerpb.ServerSummary{Loads: serverLoads(n)}}}
	}
	return []message{
		{"heartbeat", heartbeat(&peerpb.Heartbeat{Revision: 1000, State: "ready"})},
		{"hello/gateways=48", heartbeat(&peerpb.Heartbeat{Revision: 1000, State: "ready", Known: gatewayList(48)})},
		{"hello/gateways=150", heartbeat(&peerpb.Heartbeat{Revision: 1000, State: "ready", Known: gatewayList(150)})},
		{"preset/bytes=4096", &peerpb.Frame{Body: &peerpb.Frame_PresetDocument{
			PresetDocument: &peerpb.PresetDocument{Revision: 1000, Document: make([]byte, 4096)}}}},
		{"summary/servers=1", summary(1)},
		{"summary/servers=100", summary(100)},
		{"summary/servers=910", summary(910)},
		{"drain", &peerpb.Frame{Body: &peerpb.Frame_DrainNotice{DrainNotice: &peerpb.DrainNotice{
			ServerId: "service-01-khomas-0001", Incarnation: 1_780_000_000_000_000}}}},
		{"suspicion", &peerpb.Frame{Body: &peerpb.Frame_Suspicion{Suspicion: &peerpb.Suspicion{
			Fingerprint: 1 << 63, ServerId: "service-01-khomas-0001", Origin: gatewayID(1),
			Sequence: 1_780_000_000_000_000}}}},
		{"query/keys=1", keyQuery(1)},
		{"query/keys=64", keyQuery(64)},
		{"reply/keys=1", &peerpb.Frame{Body: &peerpb.Frame_KeyReply{
			KeyReply: &peerpb.KeyReply{Id: 1 << 20, MayHaveAttempt: make([]bool, 1)}}}},
	}
}

// codecRounds is the number of times that each message is encoded and decoded.
const codecRounds = 500

// BenchmarkCapacityMessages reports the size of each message, including its length
// prefix, and the time to encode and decode it.
func BenchmarkCapacityMessages(b *testing.B) {
	for _, m := range messages() {
		start := time.Now()
		var data []byte
		for range codecRounds {
			var err error
			data, err = peer.EncodeFrame(m.frame)
			if err != nil {
				b.Fatal(err)
			}
		}
		encode := time.Since(start)
		start = time.Now()
		for range codecRounds {
			_, err := peer.DecodeFrame(data[lengthPrefixBytes:])
			if err != nil {
				b.Fatal(err)
			}
		}
		decode := time.Since(start)
		b.Run(m.desc, func(b *testing.B) {
			report(b, map[string]float64{
				"B/message":       float64(len(data)),
				"encode-ns":       float64(encode.Nanoseconds()) / codecRounds,
				"decode-ns":       float64(decode.Nanoseconds()) / codecRounds,
				"B/message+yamux": float64(len(data) + streamHeaderBytes),
			})
		})
	}
}

const (
	// lengthPrefixBytes is the size of the length that precedes each frame.
	lengthPrefixBytes = 4
	// streamHeaderBytes is the size of the header that yamux adds to each frame.
	streamHeaderBytes = 12
)

// Guards against messages of the design size that exceed the limits of a frame: each
// would end the session.
func TestMessagesFitAtDesignSize(t *testing.T) {
	for _, m := range messages() {
		data, err := peer.EncodeFrame(m.frame)
		assert.NilError(t, err, m.desc)
		_, err = peer.DecodeFrame(data[lengthPrefixBytes:])
		assert.NilError(t, err, m.desc)
	}
}

// BenchmarkCapacityDigest reports the memory of a key digest for several numbers of
// expected keys.
func BenchmarkCapacityDigest(b *testing.B) {
	for _, keys := range []uint{1 << 16, 1 << 20, 1 << 22} {
		before := heapBytes()
		digest := claim.NewDigest(keys)
		bytes := float64(heapBytes() - before)
		digest.Add(claim.IDOf(serviceName(1), sampleKey(1)))
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			report(b, map[string]float64{"B/key": bytes / float64(keys), "MiB": bytes / (1 << 20)})
		})
	}
}
