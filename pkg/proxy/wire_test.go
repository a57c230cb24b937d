package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
)

// sendRaw sends bytes on a new connection and returns everything that it receives.
func sendRaw(t testing.TB, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	response, _ := io.ReadAll(conn)
	return string(response)
}

// TestAmbiguousRequestsAreRefused checks that requests that a server could interpret
// differently from the gateway do not reach a server.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	const tail = "Host: x\r\nConnection: close\r\n"
	tests := []struct {
		desc, input string
		wantStatus  string
		wantSent    int64
	}{
		{"plain", "GET /fetch/a HTTP/1.1\r\n" + tail + "\r\n", "200", 1},
		{"encoded space", "GET /fetch/a%20b HTTP/1.1\r\n" + tail + "\r\n", "200", 1},
		{"trailing slash", "GET /fetch/ HTTP/1.1\r\n" + tail + "\r\n", "200", 1},
		{"differing lengths", "POST /x HTTP/1.1\r\n" + tail + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400", 0},
		{"list of lengths", "POST /x HTTP/1.1\r\n" + tail + "Content-Length: 3, 4\r\n\r\nabcd", "400", 0},
		{"signed length", "POST /x HTTP/1.1\r\n" + tail + "Content-Length: +3\r\n\r\nabc", "400", 0},
		{"unknown coding", "POST /x HTTP/1.1\r\n" + tail + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501", 0},
		{"padded coding", "POST /x HTTP/1.1\r\n" + tail + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "501", 0},
		{"two codings", "POST /x HTTP/1.1\r\n" + tail + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "501", 0},
		{"space before colon", "GET /x HTTP/1.1\r\n" + tail + "Bad : 1\r\n\r\n", "400", 0},
		{"bad header name", "GET /x HTTP/1.1\r\n" + tail + "B@d: 1\r\n\r\n", "400", 0},
		{"folded first header", "GET /x HTTP/1.1\r\n X: 1\r\n" + tail + "\r\n", "400", 0},
		{"encoded dot in a name", "GET /fetch/a%2Eb HTTP/1.1\r\n" + tail + "\r\n", "200", 1},
		{"doubly encoded dot segments", "GET /fetch/%252e%252E/x HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"nul in value", "GET /x HTTP/1.1\r\n" + tail + "X: a\x00b\r\n\r\n", "400", 0},
		{"two hosts", "GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400", 0},
		{"no host", "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n", "400", 0},
		{"http/1.0", "GET /x HTTP/1.0\r\n" + tail + "\r\n", "505", 0},
		{"connect", "CONNECT x:1 HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"dot segments", "GET /fetch/../x HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"encoded dot segments", "GET /fetch/%2e%2E/x HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"dot segment with parameter", "GET /fetch/..;a=1/x HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"single dot", "GET /fetch/. HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"encoded slash", "GET /fetch%2Fx HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"doubly encoded slash", "GET /fetch/%252fx HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"empty segment", "GET /fetch//x HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"leading empty segment", "GET //fetch HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"backslash", "GET /fetch\\x HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"encoded backslash", "GET /fetch%5cx HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"control character", "GET /fetch/%0a HTTP/1.1\r\n" + tail + "\r\n", "400", 0},
		{"two keys", "POST /x HTTP/1.1\r\n" + tail + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", "400", 0},
		{"empty key", "POST /x HTTP/1.1\r\n" + tail + "Idempotency-Key:\r\n\r\n", "400", 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var sent atomic.Int64
			server := startServer(t, func(http.ResponseWriter, *http.Request) { sent.Add(1) })
			p := newTestProxy(t, testConfig{}, server)
			response := sendRaw(t, p.address, test.input)
			assert.Assert(t, strings.HasPrefix(response[min(len(response), len("HTTP/1.x ")):], test.wantStatus), response)
			assert.Equal(t, sent.Load(), test.wantSent)
		})
	}
}

// TestContentLengthWithChunksClosesConnection guards against request smuggling:
// net/http accepts Transfer-Encoding together with Content-Length and hides the latter.
// Bytes that a proxy in front framed by Content-Length must not be read as the next
// request, and the server must receive only one framing.
func TestContentLengthWithChunksClosesConnection(t *testing.T) {
	var sent atomic.Int64
	var seen atomic.Pointer[http.Request]
	server := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		sent.Add(1)
		seen.Store(r)
	})
	p := newTestProxy(t, testConfig{}, server)
	response := sendRaw(t, p.address, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"0\r\n\r\nGET /fetch HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.Equal(t, strings.Count(response, "HTTP/1.1 "), 1, response)
	assert.Equal(t, sent.Load(), int64(1))
	assert.DeepEqual(t, seen.Load().TransferEncoding, []string{"chunked"})
	assert.Equal(t, seen.Load().Header.Get("Content-Length"), "")
}

// TestPathIsSentAsReceived checks that the server receives the path of the request
// byte for byte.
func TestPathIsSentAsReceived(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RequestURI) })
	p := newTestProxy(t, testConfig{}, server)
	for _, path := range []string{"/fetch/a%20b", "/%66etch/%C3%A4;p=1?q=%2F..%2F&z", "/fetch?", "/fetch/a+b:c@d"} {
		response := sendRaw(t, p.address, "GET "+path+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		assert.Assert(t, strings.HasSuffix(response, "\r\n"+path), response)
	}
}

// TestHeaderForwarding checks which headers reach servers and callers. Headers of
// gateways and proxies are accepted only from trusted peers, and hop-by-hop headers and
// headers meant for gateways are not forwarded.
func TestHeaderForwarding(t *testing.T) {
	var seen atomic.Pointer[http.Header]
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		seen.Store(&r.Header)
		w.Header().Set("Balsamhill-Draining", "1")
		w.Header().Set("Endpoint-Load-Metrics", "TEXT named_metrics.in_flight=7")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Kept", "yes")
		w.Header()["Content-Type"] = nil
		_, _ = io.WriteString(w, "<html>")
	})
	headers := []string{
		"Balsamhill-Attempt", "2", "Balsamhill_Attempt", "3", "X-Forwarded-For", "9.9.9.9", "X_forwarded_for", "8.8.8.8",
		"Forwarded", "for=9.9.9.9", "Connection", "X-Hop", "X-Hop", "1", "Te", "trailers, deflate", "X-Request-Id", "abc",
		"X-Request-Timeout-Ms", "700",
	}
	for _, trusted := range []bool{false, true} {
		p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) {
			if trusted {
				config.TrustedProxies = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}
			}
		}}, server)
		got := do(t, newClient(t, false), newRequest(t, "GET", p.url+"/fetch", nil, headers...))
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.header.Get("X-Kept"), "yes")
		assert.Equal(t, got.header.Get("X-Request-Id"), "abc")
		for _, internal := range []string{"Content-Type", "Balsamhill-Draining", "Endpoint-Load-Metrics", "Keep-Alive"} {
			assert.Equal(t, got.header.Get(internal), "", internal)
		}
		header := *seen.Load()
		want := map[bool][]string{false: {"1", "127.0.0.1", ""}, true: {"2", "9.9.9.9, 127.0.0.1",
			"for=9.9.9.9, for=127.0.0.1;proto=http"}}[trusted]
		assert.Equal(t, header.Get("Balsamhill-Attempt"), want[0])
		assert.Equal(t, header.Get("X-Forwarded-For"), want[1])
		assert.Equal(t, header.Get("Forwarded"), want[2])
		assert.Equal(t, header.Get("X-Hop"), "")
		assert.Equal(t, header.Get("Te"), "trailers")
		assert.Equal(t, header.Get("X-Request-Id"), "abc")
		remaining := header.Get("X-Request-Timeout-Ms")
		assert.Assert(t, len(remaining) <= 3 && remaining != "" && remaining <= "700", remaining)
		if !trusted {
			assert.Equal(t, len(header["Balsamhill_attempt"])+len(header["X_forwarded_for"]), 0)
		}
		assert.Assert(t, p.servers[0].Stats.DrainNoticedAt.Load() != 0)
		assert.Assert(t, p.servers[0].Stats.ReportedAt() != 0)
	}
}

// TestTrailersHintsAndLargeBodiesAreForwarded checks trailers, HEAD, Early Hints and
// large bodies for all combinations of HTTP/1.1 and HTTP/2.
func TestTrailersHintsAndLargeBodiesAreForwarded(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fetch/head" {
			w.Header().Set("Content-Length", "12345")
			return
		}
		if r.URL.Path == "/fetch/hint" {
			w.Header().Set("Link", "</a>; rel=preload")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del("Link")
			return
		}
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Trailer", "X-Declared")
		_, _ = w.Write(body)
		w.Header().Set("X-Declared", r.Trailer.Get("X-Sum"))
		w.Header().Set(http.TrailerPrefix+"X-Undeclared", "u")
	}
	for _, http2Servers := range []bool{false, true} {
		for _, http2Caller := range []bool{false, true} {
			t.Run(fmt.Sprintf("caller http2 %v, server http2 %v", http2Caller, http2Servers), func(t *testing.T) {
				p := newTestProxy(t, testConfig{http2: http2Servers}, startServer(t, handler))
				client := newClient(t, http2Caller)
				for _, size := range []int{0, 1, 40_000, 3_000_000} {
					data := strings.Repeat("d", size)
					request := newRequest(t, "POST", p.url+"/upload", io.NopCloser(strings.NewReader(data)))
					request.Trailer = http.Header{"X-Sum": {"sum"}}
					got := do(t, client, request)
					assert.NilError(t, got.err)
					assert.Assert(t, got.body == data)
					assert.Equal(t, got.trailer.Get("X-Declared"), "sum", "size %d", size)
					assert.Equal(t, got.trailer.Get("X-Undeclared"), "u")
				}
				head := do(t, client, newRequest(t, "HEAD", p.url+"/fetch/head", nil))
				assert.Equal(t, head.header.Get("Content-Length"), "12345")
				hints := 0
				ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
					Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
						if code == http.StatusEarlyHints && header.Get("Link") != "" {
							hints++
						}
						return nil
					},
				})
				hint := do(t, client, newRequest(t, "GET", p.url+"/fetch/hint", nil).WithContext(ctx))
				assert.Equal(t, hint.status, 200)
				assert.Equal(t, hint.header.Get("Link"), "")
				assert.Equal(t, hints, 1)
			})
		}
	}
}

// TestExpectContinueReachesTheServer checks that the server receives Expect:
// 100-continue and can reject the request before the caller sends the body.
func TestExpectContinueReachesTheServer(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expect") != "100-continue" || r.URL.Query().Has("refuse") {
			w.WriteHeader(http.StatusExpectationFailed)
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	p := newTestProxy(t, testConfig{}, server)
	const head = "POST /upload%s HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n"
	refused := sendRaw(t, p.address, fmt.Sprintf(head, "?refuse"))
	assert.Assert(t, strings.HasPrefix(refused, "HTTP/1.1 417"), refused)
	accepted := sendRaw(t, p.address, fmt.Sprintf(head, "")+"body")
	assert.Assert(t, strings.HasPrefix(accepted, "HTTP/1.1 100") && strings.HasSuffix(accepted, "body"), accepted)
}

// TestUpgrade checks both directions of an upgraded connection until one side closes
// it, and that h2c is not forwarded.
func TestUpgrade(t *testing.T) {
	server := startRawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil || request.Header.Get("Upgrade") != "echo" || request.Header.Get("Connection") != "Upgrade" {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\nhello\n")
		_, _ = io.CopyN(conn, reader, 5)
	})
	p := newTestProxy(t, testConfig{}, server)
	response := sendRaw(t, p.address, "GET /fetch HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, Upgrade\r\nUpgrade: echo\r\n\r\nearly")
	assert.Assert(t, strings.HasPrefix(response, "HTTP/1.1 101"), response)
	assert.Assert(t, strings.HasSuffix(response, "\r\n\r\nhello\nearly"), response)
	assert.NilError(t, p.proxy.Wait(t.Context()))
	refused := sendRaw(t, p.address, "GET /fetch HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, close\r\nUpgrade: h2c\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(refused, "HTTP/1.1 502"), refused)
}

// TestTruncationIsDetectedAtEveryByte checks that a truncated response never looks
// complete to the caller, with any framing.
func TestTruncationIsDetectedAtEveryByte(t *testing.T) {
	responses := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello world",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n",
		"close":   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello world",
	}
	for desc, response := range responses {
		for _, http2Caller := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, caller http2 %v", desc, http2Caller), func(t *testing.T) {
				var cut atomic.Int64
				server := startRawServer(t, func(conn net.Conn) {
					request, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, response[:cut.Load()])
				})
				p := newTestProxy(t, testConfig{}, server)
				client := newClient(t, http2Caller)
				for n := range len(response) + 1 {
					cut.Store(int64(n))
					got := do(t, client, newRequest(t, "POST", p.url+"/x", nil))
					complete := got.err == nil && got.status == 200
					assert.Equal(t, complete, n == len(response) && desc != "close", "cut at %d: %+v", n, got)
				}
			})
		}
	}
}

// TestTruncatedHTTP2ResponseIsDetected guards against a truncated response that the
// caller takes for complete, from an HTTP/2 server that resets the stream after n
// bytes.
func TestTruncatedHTTP2ResponseIsDetected(t *testing.T) {
	const size = 11
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.Atoi(r.URL.Query().Get("n"))
		if r.URL.Query().Has("length") {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		_, _ = w.Write(make([]byte, n))
		_ = http.NewResponseController(w).Flush()
		if n < size {
			panic(http.ErrAbortHandler)
		}
	})
	p := newTestProxy(t, testConfig{http2: true}, server)
	for _, http2Caller := range []bool{false, true} {
		client := newClient(t, http2Caller)
		for _, query := range []string{"length&n=", "n="} {
			for n := range size + 1 {
				got := do(t, client, newRequest(t, "POST", p.url+"/x?"+query+strconv.Itoa(n), nil))
				assert.Equal(t, got.err == nil && got.status == 200, n == size, "cut at %d: %+v", n, got)
			}
		}
	}
}

// TestBodyLimit checks the size limit for bodies with and without a declared length.
func TestBodyLimit(t *testing.T) {
	var sent atomic.Int64
	server := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			sent.Add(1)
		}
	})
	p := newTestProxy(t, testConfig{limits: func(classes map[preset.Class]preset.Limits) {
		for class, limits := range classes {
			limits.MaxBodyBytes = 1000
			classes[class] = limits
		}
	}}, server)
	client := newClient(t, false)
	for _, path := range []string{"/fetch", "/x", "/upload"} {
		for _, size := range []int{1000, 1001, 100_000} {
			for _, declared := range []bool{true, false} {
				sent.Store(0)
				var body io.Reader = bytes.NewReader(make([]byte, size))
				if !declared {
					body = io.NopCloser(body)
				}
				got := do(t, client, newRequest(t, "PUT", p.url+path, body))
				assert.NilError(t, got.err)
				assert.Equal(t, got.status == 413, size > 1000, "%s %d %v: %d", path, size, declared, got.status)
				assert.Equal(t, sent.Load() == 1, size <= 1000)
			}
		}
	}
}
