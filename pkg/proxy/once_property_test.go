package proxy_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/proxy"
)

// scriptedTransport ends each attempt with the scripted result and counts the attempts
// that ran on a server.
type scriptedTransport struct {
	mu       sync.Mutex
	script   []string
	runs     int
	attempts int
	// body is the body that the caller sends; bodyMismatch is set if a server received
	// another one.
	body         string
	bodyMismatch bool
}

var scriptedResults = []string{"no connection", "lost before run", "lost after run", "refused", "refused", "refused", "shed", "error", "response", "truncated"}

// CloseIdle implements proxy.ServerTransport; there are no connections.
func (*scriptedTransport) CloseIdle(string) {}

func (s *scriptedTransport) RoundTrip(_ string, _ bool, r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := "no connection"
	if s.attempts < len(s.script) {
		result = s.script[s.attempts]
	}
	s.attempts++
	if result == "no connection" {
		return nil, errors.New("connection refused")
	}
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	body := []byte{}
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	s.bodyMismatch = s.bodyMismatch || string(body) != s.body
	if result == "lost before run" {
		return nil, io.ErrUnexpectedEOF
	}
	response := &http.Response{StatusCode: 200, ProtoMajor: 2, Header: http.Header{}, Request: r,
		ContentLength: 2, Body: io.NopCloser(strings.NewReader("ok"))}
	switch result {
	case "refused":
		response.StatusCode = 503
		response.Header.Set("Balsamhill-Outcome", "not-run")
		return response, nil
	case "shed":
		// A shed call may have run, because the response has no not-run guarantee.
		response.StatusCode = 503
	case "error":
		response.StatusCode = 500
	case "truncated":
		response.Body = io.NopCloser(io.MultiReader(strings.NewReader("o"), truncatedReader{}))
	}
	s.runs++
	if result == "lost after run" {
		return nil, io.ErrUnexpectedEOF
	}
	return response, nil
}

type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestNonIdempotentCallsRunAtMostOnce checks, for every sequence of server failures,
// that a non-idempotent call runs at most once, that the outcome not-run is returned
// only for calls that did not run, and that a claim is released only then.
func TestNonIdempotentCallsRunAtMostOnce(t *testing.T) {
	transport, claims := &scriptedTransport{}, &fakeClaims{}
	p := newTestProxy(t, testConfig{limits: allowExtraAttempts, configure: func(config *proxy.Config) {
		config.Transport = transport
		config.Claims = claims
	}}, "a:1", "b:1", "c:1")
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SampledFrom([]string{"", "small", strings.Repeat("large", 20_000)}).Draw(t, "body")
		*transport = scriptedTransport{body: body, script: rapid.SliceOfN(rapid.SampledFrom(scriptedResults), 1, 3).Draw(t, "script")}
		*claims = fakeClaims{decision: claim.Decision{Kind: claim.Dispatch}, mayDispatch: rapid.Bool().Draw(t, "mayDispatch")}
		method := rapid.SampledFrom([]string{"GET", "POST", "PUT", "DELETE", "PATCH"}).Draw(t, "method")
		path := rapid.SampledFrom([]string{"/fetch", "/x", "/upload"}).Draw(t, "path")
		keyed := rapid.Bool().Draw(t, "keyed")
		request := httptest.NewRequest(method, path, strings.NewReader(body))
		if keyed {
			request.Header.Set("Idempotency-Key", "k")
		}
		w := httptest.NewRecorder()
		aborted := func() (aborted bool) {
			defer func() { aborted = recover() != nil }()
			p.proxy.ServeHTTP(w, request)
			return false
		}()
		claimed := keyed && method != "GET"
		idempotent := path == "/fetch" && !claimed && (method == "GET" || method == "PUT" || method == "DELETE")
		if transport.bodyMismatch {
			t.Fatal("a server received another body than the caller sent")
		}
		if !idempotent && transport.runs > 1 {
			t.Fatalf("%d runs", transport.runs)
		}
		if transport.runs > 0 && w.Header().Get("Balsamhill-Outcome") == "not-run" {
			t.Fatal("outcome not-run for a call that ran")
		}
		if !aborted && w.Code < 300 && (transport.runs == 0 || w.Body.String() != "ok") {
			t.Fatalf("status %d, body %q, %d runs", w.Code, w.Body, transport.runs)
		}
		if w.Code >= 500 && w.Header().Get("Balsamhill-Outcome") == "" {
			t.Fatal("failed call without an outcome")
		}
		if claimed && len(claims.results) != 1 {
			t.Fatalf("%d results for one claim", len(claims.results))
		}
		if claimed && transport.runs > 0 && claims.results[0].Kind == claim.ResultReleased {
			t.Fatal("the claim of a call that ran was released")
		}
	})
	assert.NilError(t, p.proxy.Wait(t.Context()))
}
