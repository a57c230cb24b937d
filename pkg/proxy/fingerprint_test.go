package proxy_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/proxy"
)

// framings are the ways in which one body may be framed.
var framings = []struct {
	desc  string
	apply func(*http.Request)
}{
	{"content length", func(*http.Request) {}},
	{"chunked", func(r *http.Request) { r.ContentLength = -1 }},
	{"expect", func(r *http.Request) { r.Header.Set("Expect", "100-continue") }},
	{"chunked and expect", func(r *http.Request) {
		r.ContentLength = -1
		r.Header.Set("Expect", "100-continue")
	}},
	{"trailer", func(r *http.Request) {
		r.ContentLength = -1
		r.Trailer = http.Header{"X-Sum": {"1"}}
	}},
}

// TestFingerprintDoesNotDependOnFraming guards against refusing a resend with 422
// because its body is framed differently, and against a fingerprint that does not
// distinguish different requests.
func TestFingerprintDoesNotDependOnFraming(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for _, http2 := range []bool{false, true} {
		for _, path := range []string{"/x", "/fetch", "/upload"} {
			for _, size := range []int{0, 10, 64 << 10, 64<<10 + 1, 200 << 10} {
				t.Run(fmt.Sprintf("http2=%v%s/%d", http2, path, size), func(t *testing.T) {
					claims := &fakeClaims{decision: claim.Decision{Kind: claim.Dispatch}, mayDispatch: true}
					p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) { config.Claims = claims }}, server)
					client := newClient(t, http2)
					// Wrapping the reader keeps net/http from deriving the length from its
					// type, so that only ContentLength counts.
					send := func(path string, body []byte, apply func(*http.Request)) uint64 {
						r := newRequest(t, "POST", p.url+path, struct{ io.Reader }{bytes.NewReader(body)}, "Idempotency-Key", "k")
						r.ContentLength = int64(len(body))
						if len(body) == 0 {
							r.Body = http.NoBody
						}
						apply(r)
						assert.Equal(t, do(t, client, r).status, 200)
						claims.mu.Lock()
						defer claims.mu.Unlock()
						return claims.calls[len(claims.calls)-1].Fingerprint
					}
					body := bytes.Repeat([]byte("a"), size)
					var fingerprints []uint64
					for _, framing := range framings {
						fingerprints = append(fingerprints, send(path, body, framing.apply))
					}
					for i, a := range fingerprints {
						for j, b := range fingerprints {
							assert.Assert(t, claim.SameRequest(a, b), "%s and %s", framings[i].desc, framings[j].desc)
						}
					}
					assert.Assert(t, !claim.SameRequest(fingerprints[0], send(path+"?other", body, framings[0].apply)))
					if size > 64<<10 {
						assert.Assert(t, !claim.SameRequest(fingerprints[0], send(path, []byte("small"), framings[0].apply)))
					} else {
						other := append(bytes.Clone(body[:max(0, size-1)]), 'b')
						assert.Assert(t, !claim.SameRequest(fingerprints[0], send(path, other, framings[0].apply)))
					}
					if path != "/upload" {
						assert.Equal(t, fingerprints[0], fingerprints[1], "chunked bodies are buffered")
					}
				})
			}
		}
	}
}
