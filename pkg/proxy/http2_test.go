package proxy_test

import (
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/proxy"
)

// Frame types and error codes of RFC 9113.
const (
	frameHeaders    = 1
	frameRST        = 3
	frameSettings   = 4
	frameGoAway     = 7
	flagAck         = 1
	protocolError   = 1
	refusedStream   = 7
	enhanceYourCalm = 11
	prefaceBytes    = 24
	frameHeadBytes  = 9
)

func frame(kind, flags byte, stream uint32, payload ...byte) []byte {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	head = append(head, flags)
	head = binary.BigEndian.AppendUint32(head, stream)
	return append(head, payload...)
}

// startHTTP2FrameServer starts a server that implements just enough HTTP/2 to respond
// to each request with the given frames.
func startHTTP2FrameServer(t testing.TB, requests *atomic.Int64, respond func(stream uint32) []byte) string {
	return startRawServer(t, func(conn net.Conn) {
		if _, err := io.ReadFull(conn, make([]byte, prefaceBytes)); err != nil {
			return
		}
		_, _ = conn.Write(frame(frameSettings, 0, 0))
		head := make([]byte, frameHeadBytes)
		for {
			if _, err := io.ReadFull(conn, head); err != nil {
				return
			}
			length := int64(binary.BigEndian.Uint32(head) >> 8)
			if _, err := io.CopyN(io.Discard, conn, length); err != nil {
				return
			}
			switch {
			case head[3] == frameSettings && head[4]&flagAck == 0:
				_, _ = conn.Write(frame(frameSettings, flagAck, 0))
			case head[3] == frameHeaders:
				requests.Add(1)
				_, _ = conn.Write(respond(binary.BigEndian.Uint32(head[5:])))
			}
		}
	})
}

func resetStream(code byte) func(uint32) []byte {
	return func(stream uint32) []byte { return frame(frameRST, 0, stream, 0, 0, 0, code) }
}

// goAway announces that streams up to last may have been processed, and then resets
// the stream with PROTOCOL_ERROR. The debug data of the GOAWAY frame contains the name
// of another error code, which must not be taken for the code of the reset.
func goAway(last func(stream uint32) uint32) func(uint32) []byte {
	return func(stream uint32) []byte {
		payload := binary.BigEndian.AppendUint32(nil, last(stream))
		payload = append(payload, 0, 0, 0, enhanceYourCalm)
		payload = append(payload, "; REFUSED_STREAM"...)
		return append(frame(frameGoAway, 0, 0, payload...), frame(frameRST, 0, stream, 0, 0, 0, protocolError)...)
	}
}

// TestRetryAfterHTTP2StreamReset checks that a keyed call is retried after
// REFUSED_STREAM, which proves that it did not run, and that neither the gateway nor
// http.Transport sends it again after other resets.
func TestRetryAfterHTTP2StreamReset(t *testing.T) {
	tests := []struct {
		desc      string
		respond   func(uint32) []byte
		wantRetry bool
	}{
		{"refused stream", resetStream(refusedStream), true},
		{"protocol error", resetStream(protocolError), false},
		{"go away after the stream", goAway(func(stream uint32) uint32 { return stream }), false},
	}
	for _, test := range tests {
		for _, body := range []string{"", "body"} {
			t.Run(test.desc+" "+body, func(t *testing.T) {
				var requests, runs atomic.Int64
				healthy := startServer(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
				claims := &fakeClaims{decision: claim.Decision{Kind: claim.Dispatch}, mayDispatch: true}
				p := newTestProxy(t, testConfig{http2: true, configure: func(config *proxy.Config) { config.Claims = claims }},
					startHTTP2FrameServer(t, &requests, test.respond), healthy)
				got := do(t, newClient(t, false), newRequest(t, "POST", p.url+"/x", strings.NewReader(body), "Idempotency-Key", "k"))
				assert.Equal(t, requests.Load(), int64(1))
				if test.wantRetry {
					assert.Equal(t, got.status, 200)
					assert.Equal(t, runs.Load(), int64(1))
					return
				}
				assert.Equal(t, got.status, 502)
				assert.Equal(t, got.header.Get("Balsamhill-Outcome"), "unknown")
				assert.Equal(t, runs.Load(), int64(0))
			})
		}
	}
}

const (
	frameData      = 0
	flagEndStream  = 1
	flagEndHeaders = 4
)

// statusField and lengthField are header fields as HPACK literals with an indexed name.
func statusField(value string) []byte {
	return append([]byte{0x08, byte(len(value))}, value...)
}

func lengthField(value string) []byte {
	return append([]byte{0x0f, 0x0d, byte(len(value))}, value...)
}

// TestInvalidResponseOverHTTP2IsRefused guards against a response of an HTTP/2 server that is none,
// or whose lengths differ, and that a caller gets as a response or as a closed connection.
func TestInvalidResponseOverHTTP2IsRefused(t *testing.T) {
	tests := map[string]struct {
		header []byte
		want   int
	}{
		"status 000":  {statusField("000"), http.StatusBadGateway},
		"status 099":  {statusField("099"), http.StatusBadGateway},
		"status +20":  {statusField("+20"), http.StatusBadGateway},
		"status -20":  {statusField("-20"), http.StatusBadGateway},
		"status 600":  {statusField("600"), http.StatusBadGateway},
		"status 999":  {statusField("999"), http.StatusBadGateway},
		"status 1000": {statusField("1000"), http.StatusBadGateway},
		"no status":   {lengthField("2"), http.StatusBadGateway},
		"status 200":  {statusField("200"), http.StatusOK},
		"a length":    {append(statusField("200"), lengthField("2")...), http.StatusOK},
		"two lengths": {slices.Concat(statusField("200"), lengthField("2"), lengthField("1")), http.StatusBadGateway},
		"signed":      {append(statusField("200"), lengthField("+2")...), http.StatusBadGateway},
	}
	for desc, test := range tests {
		t.Run(desc, func(t *testing.T) {
			var requests atomic.Int64
			p := newTestProxy(t, testConfig{http2: true}, startHTTP2FrameServer(t, &requests, func(stream uint32) []byte {
				return append(frame(frameHeaders, flagEndHeaders, stream, test.header...), frame(frameData, flagEndStream, stream, []byte("ok")...)...)
			}))
			got := do(t, newClient(t, false), newRequest(t, "POST", p.url+"/x", nil))
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, test.want)
			if test.want == http.StatusBadGateway {
				assert.Equal(t, got.header.Get("Balsamhill-Outcome"), string(proxy.Unknown))
			}
			assert.Equal(t, requests.Load(), int64(1))
		})
	}
}
