package responsecheck_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/responsecheck"
)

// receive sends the request and passes the text to the stream in parts of a size.
func receive(stream *responsecheck.Stream, request responsecheck.Request, text string, size int) (string, *responsecheck.Error) {
	stream.Expect(request)
	stream.Sending()
	var accepted strings.Builder
	for len(text) > 0 {
		part := text[:min(size, len(text))]
		n, refusal := stream.Receive([]byte(part))
		accepted.WriteString(part[:n])
		if refusal != nil {
			return accepted.String(), refusal
		}
		text = text[len(part):]
	}
	return accepted.String(), nil
}

// TestReasonsDoNotDependOnReads guards against a check that misses what is divided between two reads.
func TestReasonsDoNotDependOnReads(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		request responsecheck.Request
		text    string
		want    responsecheck.Reason
	}{
		{text: "HTTP/1.1 099 X\r\n", want: responsecheck.ReasonStatus},
		{text: "HTTP/1.1 600 X\r\n", want: responsecheck.ReasonStatus},
		{text: "HTTP/2.0 200 OK\r\n", want: responsecheck.ReasonStatusLine},
		{text: ok + "Bad : x\r\n", want: responsecheck.ReasonField},
		{text: ok + "A: b\r\n c\r\n", want: responsecheck.ReasonField},
		{text: ok + "\r\n", want: responsecheck.ReasonUnframed},
		{text: ok + "Content-Length: 1\r\nContent-Length: 2\r\n", want: responsecheck.ReasonFraming},
		{text: ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", want: responsecheck.ReasonFraming},
		{text: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", want: responsecheck.ReasonFraming},
		{text: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 1\r\n", want: responsecheck.ReasonField},
		{text: "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n", want: responsecheck.ReasonUpgrade},
		{request: responsecheck.Request{Upgrade: true}, text: "HTTP/1.1 101 X\r\n\r\n", want: responsecheck.ReasonUpgrade},
		{text: ok + "Content-Length: 2\r\n\r\nabc", want: responsecheck.ReasonUnrequested},
		{text: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nH", want: responsecheck.ReasonUnrequested},
		{request: responsecheck.Request{Method: http.MethodHead}, text: ok + "Content-Length: 2\r\n\r\nab", want: responsecheck.ReasonUnrequested},
		{text: "HTTP/1.1 204 X\r\n\r\nab", want: responsecheck.ReasonUnrequested},
		{text: ok + strings.Repeat("a", 300<<10), want: responsecheck.ReasonFraming},
	}
	for _, test := range tests {
		for _, size := range []int{1, 2, 3, 7, 1 << 20} {
			_, refusal := receive(&responsecheck.Stream{}, test.request, test.text, size)
			assert.Assert(t, refusal != nil, "%.80q", test.text)
			assert.Equal(t, refusal.Reason, test.want, "%.80q in parts of %d", test.text, size)
		}
	}
}

// TestBytesBeforeRequestAreRefused guards against bytes that arrive while no request is waiting and
// that are taken for the beginning of the next response.
func TestBytesBeforeRequestAreRefused(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	var stream responsecheck.Stream
	_, refusal := receive(&stream, responsecheck.Request{}, whole, len(whole))
	assert.Assert(t, refusal == nil)
	stream.Expect(responsecheck.Request{})
	n, refusal := stream.Receive([]byte(whole))
	assert.Equal(t, n, 0)
	assert.Equal(t, refusal.Reason, responsecheck.ReasonUnrequested)
	stream.Sending()
	assert.Assert(t, stream.Refusal() != nil, "it stays refused")
}

// TestEarlyResponseLeavesUploadGoingOn guards against an upload whose rest is taken for a new request
// because the server has answered it before its end.
func TestEarlyResponseLeavesUploadGoingOn(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	var stream responsecheck.Stream
	for range 2 {
		_, refusal := receive(&stream, responsecheck.Request{}, whole, len(whole))
		assert.Assert(t, refusal == nil)
		stream.Sending()
		assert.Assert(t, stream.Refusal() == nil)
	}
}

// TestTunnelIsNotChecked guards against bytes of another protocol that are refused.
func TestTunnelIsNotChecked(t *testing.T) {
	const text = "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n\x00\x01\r\nany"
	accepted, refusal := receive(&responsecheck.Stream{}, responsecheck.Request{Upgrade: true}, text, 3)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, accepted, text)
}

// TestLineThatCompletesRefusedHeadIsHeldBack guards against a head that is refused and that a parser
// behind the stream gets all the same.
func TestLineThatCompletesRefusedHeadIsHeldBack(t *testing.T) {
	for _, size := range []int{1, 5, 1 << 10} {
		accepted, refusal := receive(&responsecheck.Stream{}, responsecheck.Request{}, "HTTP/1.1 200 OK\r\nA: b\r\n\r\nok", size)
		assert.Assert(t, refusal != nil)
		_, err := http.ReadResponse(bufio.NewReader(strings.NewReader(accepted)), nil)
		assert.Assert(t, err != nil)
	}
}

// drawResponse draws a valid response.
func drawResponse(t *rapid.T) string {
	body := rapid.StringN(0, 40, 200).Draw(t, "body")
	text := "HTTP/1.1 200 OK\r\nA: " + rapid.StringMatching(`[ -~]{0,20}`).Draw(t, "value") + "\r\n"
	if rapid.Bool().Draw(t, "interim") {
		text = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + text
	}
	if rapid.Bool().Draw(t, "with length") {
		return text + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	text += "Transfer-Encoding: chunked\r\n\r\n"
	for rest := body; rest != ""; {
		n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
		text += strconv.FormatInt(int64(n), 16) + "\r\n" + rest[:n] + "\r\n"
		rest = rest[n:]
	}
	return text + "0\r\n\r\n"
}

// TestStreamEndsWhereResponseEnds checks on a series of responses on one connection, divided into any
// reads, that all of their bytes are accepted, and none that follows.
func TestStreamEndsWhereResponseEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream responsecheck.Stream
		size := rapid.IntRange(1, 300).Draw(t, "size")
		for range rapid.IntRange(1, 4).Draw(t, "responses") {
			text := drawResponse(t)
			accepted, refusal := receive(&stream, responsecheck.Request{}, text, size)
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, accepted, text)
		}
		text := drawResponse(t)
		accepted, refusal := receive(&stream, responsecheck.Request{}, text+"x", size)
		assert.Equal(t, accepted, text)
		assert.Equal(t, refusal.Reason, responsecheck.ReasonUnrequested)
	})
}

// FuzzStreamAgreesWithParser checks that net/http, which parses what the stream accepts, finds the
// same end of each response.
func FuzzStreamAgreesWithParser(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokx", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2;a\r\nok\r\n0\r\nA: b\r\n\r\nx",
		"HTTP/1.0 200\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\nx", "HTTP/1.1 204 X\r\n\r\nx", "HTTP/1.1 304 X\r\nContent-Length: 3\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 1\r\n\r\nax", "HTTP/1.1 205 X\r\nContent-Length: 1\r\n\r\nax",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var stream responsecheck.Stream
		stream.Expect(responsecheck.Request{Method: http.MethodGet})
		stream.Sending()
		accepted, refusal := stream.Receive(data)
		if refusal == nil || refusal.Reason != responsecheck.ReasonUnrequested {
			return
		}
		source := bytes.NewReader(data)
		reader := bufio.NewReader(source)
		response, err := http.ReadResponse(reader, nil)
		for err == nil && response.StatusCode < http.StatusOK {
			response, err = http.ReadResponse(reader, nil)
		}
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil {
			return
		}
		assert.Equal(t, len(data)-source.Len()-reader.Buffered(), accepted, "%q", data)
	})
}
