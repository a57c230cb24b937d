package proxy

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
)

// FuzzOutgoingRequest checks that the path and query sent to a server are those that
// were routed, that an untrusted caller cannot set headers of gateways, and that
// http.Transport has no reason to resend the request.
func FuzzOutgoingRequest(f *testing.F) {
	for _, seed := range []string{
		"GET /fetch/a HTTP/1.1\r\nHost: x\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTe: trailers\r\n\r\n",
		"POST /%2e%2e/x?q HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nBalsamhill_Attempt: 9\r\nContent-Length: 1\r\n\r\na",
		"GET http://other//a\\b HTTP/1.1\r\nHost: x\r\nX-Forwarded-For: 1\r\nForwarded: for=1\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\nX-Request-Timeout-Ms: 5\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nX-Idempotency-Key: k\r\n\r\n",
	} {
		f.Add(seed, false)
		f.Add(seed, true)
	}
	p := New(Config{Now: func() int64 { return 1e9 }, Metrics: NewMetrics(metrics.NewSet())})
	server := &routing.Server{Address: "127.0.0.1:1"}
	f.Fuzz(func(t *testing.T, text string, trusted bool) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		r.RemoteAddr = "127.0.0.1:9"
		if status, _ := inspect(r); status != 0 {
			return
		}
		w := httptest.NewRecorder()
		c := &call{proxy: p, w: w, r: r, control: http.NewResponseController(w), trusted: trusted, deadline: 2e9,
			requestID: p.requestID(r), route: &routing.Route{Class: preset.ClassFetch}, service: p.service("desk")}
		c.classifySafety()
		c.body.init(c)
		out := c.outgoingRequest(server, c.newDispatch(server, 1))
		if out.URL.Host != server.Address || out.URL.EscapedPath() != r.URL.EscapedPath() || out.URL.RawQuery != r.URL.RawQuery {
			t.Fatalf("request for %v was sent as %v", r.URL, out.URL)
		}
		if strings.Contains(out.URL.Path, "/../") || strings.Contains(out.URL.Path, "//") {
			t.Fatalf("ambiguous path %q", out.URL.Path)
		}
		if out.Header.Get("Idempotency-Key") != "" || out.Header.Get("X-Idempotency-Key") != "" {
			t.Fatal("http.Transport would resend this request")
		}
		for name := range out.Header {
			allowed := name == attemptHeader || name == "X-Forwarded-For" || name == "X-Forwarded-Host" || name == "X-Forwarded-Proto"
			if isGatewayHeader(name) && !allowed && !trusted {
				t.Fatalf("header %q of an untrusted caller was forwarded", name)
			}
		}
		if c.upgrade == "" && out.Header.Get("Connection") != "" {
			t.Fatal("Connection header was forwarded")
		}
	})
}
