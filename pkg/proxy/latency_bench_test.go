package proxy_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/proxy"
)

// BenchmarkAddedLatency sends calls alternately to the server and through the
// gateway, so that noise of the machine affects both alike. It reports quantiles of
// both and their differences in microseconds. Server, gateway and caller share one
// process; the server responds with 1 KiB at once.
func BenchmarkAddedLatency(b *testing.B) {
	payload := []byte(strings.Repeat("x", 1<<10))
	server := startServer(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(payload)
	})
	tests := []struct {
		desc, method, path string
		setup              testConfig
	}{
		{"fetch", "GET", "/fetch", testConfig{}},
		{"fetch over HTTP2 to the server", "GET", "/fetch", testConfig{http2: true}},
		{"booking", "POST", "/x", testConfig{}},
	}
	for _, test := range tests {
		b.Run(test.desc, func(b *testing.B) {
			p := newTestProxy(b, test.setup, server, server)
			client := newClient(b, false)
			measure := func(url string) time.Duration {
				var body io.Reader
				if test.method == "POST" {
					body = strings.NewReader("booking")
				}
				request := newRequest(b, test.method, url+test.path, body)
				started := time.Now()
				got := do(b, client, request)
				took := time.Since(started)
				assert.Equal(b, got.status, 200)
				return took
			}
			for range 200 {
				measure("http://" + server)
				measure(p.url)
			}
			var direct, viaGateway []time.Duration
			b.ResetTimer()
			for range b.N {
				direct = append(direct, measure("http://"+server))
				viaGateway = append(viaGateway, measure(p.url))
			}
			b.StopTimer()
			for _, q := range []struct {
				name  string
				share float64
			}{{"p50", 0.5}, {"p99", 0.99}} {
				d, g := quantile(direct, q.share), quantile(viaGateway, q.share)
				b.ReportMetric(d, "direct-"+q.name+"-µs")
				b.ReportMetric(g, "gateway-"+q.name+"-µs")
				b.ReportMetric(g-d, "added-"+q.name+"-µs")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func quantile(values []time.Duration, share float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return float64(sorted[int(share*float64(len(sorted)-1))]) / float64(time.Microsecond)
}

// fixedTransport returns a fixed response without a network.
type fixedTransport struct{ header http.Header }

// CloseIdle implements proxy.ServerTransport; there are no connections.
func (fixedTransport) CloseIdle(string) {}

func (f fixedTransport) RoundTrip(_ string, _ bool, r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: 200, ProtoMajor: 1, ProtoMinor: 1, Header: f.header, ContentLength: 2,
		Body: io.NopCloser(strings.NewReader("ok")), Request: r,
	}, nil
}

// discardWriter is a response writer without a network.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header              { return w.header }
func (w *discardWriter) WriteHeader(int)                  {}
func (w *discardWriter) Write(data []byte) (int, error)   { return len(data), nil }
func (w *discardWriter) SetReadDeadline(time.Time) error  { return nil }
func (w *discardWriter) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkHandlerAllocations counts the allocations of the traffic path for one
// call, without net/http on either side.
func BenchmarkHandlerAllocations(b *testing.B) {
	transport := fixedTransport{http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"2"},
		"Endpoint-Load-Metrics": {"TEXT named_metrics.in_flight=3, application_utilization=0.7"}}}
	p := newTestProxy(b, testConfig{configure: func(config *proxy.Config) { config.Transport = transport }}, "127.0.0.1:1")
	for _, path := range []string{"/fetch", "/x"} {
		b.Run(path[1:], func(b *testing.B) {
			request := newRequest(b, "GET", "http://x"+path, nil, "Accept", "*/*", "User-Agent", "bench", "Cookie", "a=b")
			request.RemoteAddr = "127.0.0.1:1234"
			b.ReportAllocs()
			for range b.N {
				p.proxy.ServeHTTP(&discardWriter{header: http.Header{}}, request)
			}
		})
	}
}
