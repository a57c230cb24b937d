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

// scriptedServers ends each attempt as drawn and counts the runs, which is all
// the oracle needs.
type scriptedServers struct {
	mu     sync.Mutex
	script []string
	runs   int
	sent   int
	// body is what the caller sends; broken says that a server got another one.
	body   string
	broken bool
}

var scriptedEnds = []string{"no connection", "lost before run", "lost after run", "refused", "refused", "refused", "shed", "error", "answer", "truncated"}

// CloseIdle implements proxy.Servers; there are no connections.
func (*scriptedServers) CloseIdle(string) {}

func (s *scriptedServers) RoundTrip(_ string, _ bool, r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := "no connection"
	if s.sent < len(s.script) {
		end = s.script[s.sent]
	}
	s.sent++
	if end == "no connection" {
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
	s.broken = s.broken || string(body) != s.body
	if end == "lost before run" {
		return nil, io.ErrUnexpectedEOF
	}
	answer := &http.Response{StatusCode: 200, ProtoMajor: 2, Header: http.Header{}, Request: r,
		ContentLength: 2, Body: io.NopCloser(strings.NewReader("ok"))}
	switch end {
	case "refused":
		answer.StatusCode = 503
		answer.Header.Set("Balsamhill-Outcome", "not-run")
		return answer, nil
	case "shed":
		// A shed call may have run: nothing vouches for the opposite.
		answer.StatusCode = 503
	case "error":
		answer.StatusCode = 500
	case "truncated":
		answer.Body = io.NopCloser(io.MultiReader(strings.NewReader("o"), errReader{}))
	}
	s.runs++
	if end == "lost after run" {
		return nil, io.ErrUnexpectedEOF
	}
	return answer, nil
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Whatever servers do, a non-idempotent call runs at most once, and not-run is
// said only of a call that did not run.
func TestAtMostOnceWhateverServersDo(t *testing.T) {
	servers, claims := &scriptedServers{}, &fakeClaims{}
	b := newTestProxy(t, testConfig{limits: allowExtraAttempts, adjust: func(config *proxy.Config) {
		config.Transport = servers
		config.Claims = claims
	}}, "a:1", "b:1", "c:1")
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SampledFrom([]string{"", "small", strings.Repeat("large", 20_000)}).Draw(t, "body")
		*servers = scriptedServers{body: body, script: rapid.SliceOfN(rapid.SampledFrom(scriptedEnds), 1, 3).Draw(t, "script")}
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
			b.proxy.ServeHTTP(w, request)
			return false
		}()
		claimed := keyed && method != "GET"
		idempotent := path == "/fetch" && !claimed && (method == "GET" || method == "PUT" || method == "DELETE")
		if servers.broken {
			t.Fatal("a server got another body than the caller sent")
		}
		if !idempotent && servers.runs > 1 {
			t.Fatalf("%d runs", servers.runs)
		}
		if servers.runs > 0 && w.Header().Get("Balsamhill-Outcome") == "not-run" {
			t.Fatal("not-run was said of a call that ran")
		}
		if !aborted && w.Code < 300 && (servers.runs == 0 || w.Body.String() != "ok") {
			t.Fatalf("status %d, body %q, %d runs", w.Code, w.Body, servers.runs)
		}
		if w.Code >= 500 && w.Header().Get("Balsamhill-Outcome") == "" {
			t.Fatal("failed without an outcome")
		}
		if claimed && len(claims.results) != 1 {
			t.Fatalf("%d results of one claim", len(claims.results))
		}
		if claimed && servers.runs > 0 && claims.results[0].Kind == claim.ResultReleased {
			t.Fatal("the claim of a call that ran was released")
		}
	})
	assert.NilError(t, b.proxy.Wait(t.Context()))
}
