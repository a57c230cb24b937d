package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/preset"
)

// allowExtraAttempts lets nearly every call retry and hedge.
func allowExtraAttempts(classes map[preset.Class]preset.Limits) {
	for class, limits := range classes {
		limits.RetryPercent, limits.HedgePercent = 100, 100
		classes[class] = limits
	}
}

func counter(p *testProxy, name string) uint64 {
	return p.set.GetOrCreateCounter(name).Get()
}

// TestEachCallerGetsItsOwnResponse guards against a caller that receives an incomplete
// response or that of another call. Responses of hedged and canceled attempts arrive
// late and out of order.
func TestEachCallerGetsItsOwnResponse(t *testing.T) {
	var calls atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		switch {
		case n%30 == 13:
			// Above the 95th percentile, so that some calls are certain to be hedged.
			time.Sleep(150 * time.Millisecond)
		case n%10 == 3:
			time.Sleep(30 * time.Millisecond)
		case n%17 == 5:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case n%23 == 7:
			panic(http.ErrAbortHandler)
		}
		id := r.URL.Query().Get("id")
		size, _ := strconv.Atoi(r.URL.Query().Get("size"))
		_, _ = io.WriteString(w, strings.Repeat(id+";", size))
	}
	for _, http2 := range []bool{false, true} {
		t.Run(fmt.Sprintf("http2 %v", http2), func(t *testing.T) {
			p := newTestProxy(t, testConfig{http2: http2, limits: allowExtraAttempts, slots: 64},
				startServer(t, handler), startServer(t, handler), startServer(t, handler))
			var group sync.WaitGroup
			var complete atomic.Int64
			client := newClient(t, http2)
			for caller := range 24 {
				group.Go(func() {
					for i := range 60 {
						id := fmt.Sprintf("%d-%d", caller, i)
						size := 1 + (caller*60+i)%3000
						got := do(t, client, newRequest(t, "GET", fmt.Sprintf("%s/fetch?id=%s&size=%d", p.url, id, size), nil))
						if got.err != nil || got.status != 200 {
							continue
						}
						complete.Add(1)
						if got.body != strings.Repeat(id+";", size) {
							t.Errorf("caller %s got the response of another call: %.80q", id, got.body)
						}
					}
				})
			}
			group.Wait()
			assert.Assert(t, complete.Load() > 24*60*9/10, complete.Load())
			assert.Assert(t, counter(p, `balsamhill_hedges_total{service="desk"}`) > 0)
			assert.Assert(t, counter(p, `balsamhill_retries_total{service="desk"}`) > 0)
			assert.NilError(t, p.proxy.Wait(t.Context()))
			waitFor(t, "no request left at a server", func() bool {
				total := int64(0)
				for _, server := range p.servers {
					total += server.Stats.InFlight()
				}
				return total == 0
			})
		})
	}
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	waitForWithin(t, 20*time.Second, what, condition)
}

func waitForWithin(t testing.TB, wait time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(wait)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// unresponsiveAfterFirst responds to one request on each connection and to no later
// one on it, while new connections work.
func unresponsiveAfterFirst(t testing.TB, unanswered *atomic.Int64) string {
	return startRawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		_, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_, err = http.ReadRequest(reader)
		if err != nil {
			return
		}
		unanswered.Add(1)
		_, _ = io.Copy(io.Discard, reader)
	})
}

// TestUnresponsiveConnectionsAreReplaced guards against pooled connections that became
// unresponsive and delay a caller without bound or are used again.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	var unanswered atomic.Int64
	p := newTestProxy(t, testConfig{limits: func(classes map[preset.Class]preset.Limits) {
		allowExtraAttempts(classes)
		limits := classes[preset.ClassFetch]
		limits.TimeoutMillis = 400
		classes[preset.ClassFetch] = limits
	}}, unresponsiveAfterFirst(t, &unanswered), unresponsiveAfterFirst(t, &unanswered))
	client := newClient(t, false)
	for range 2 {
		got := do(t, client, newRequest(t, "GET", p.url+"/fetch", nil))
		assert.Equal(t, got.status, 200)
	}
	// Both pooled connections are unresponsive now. The call uses one of them and
	// then gets its response on a new connection; the other one is closed unused.
	got := do(t, client, newRequest(t, "GET", p.url+"/fetch", nil))
	assert.Equal(t, got.status, 200)
	assert.Equal(t, unanswered.Load(), int64(1))
	got = do(t, client, newRequest(t, "GET", p.url+"/fetch", nil))
	assert.Equal(t, got.status, 200)
	assert.Equal(t, unanswered.Load(), int64(1))
}

// TestUnresponsiveConnectionCountsAsFailure guards against an unresponsive connection
// that does not count as a failure of its server, or whose caller does not get the
// response of another server.
func TestUnresponsiveConnectionCountsAsFailure(t *testing.T) {
	var unanswered atomic.Int64
	healthy := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	p := newTestProxy(t, testConfig{limits: func(classes map[preset.Class]preset.Limits) {
		allowExtraAttempts(classes)
		limits := classes[preset.ClassFetch]
		limits.TimeoutMillis = 600
		classes[preset.ClassFetch] = limits
	}}, unresponsiveAfterFirst(t, &unanswered), healthy)
	client := newClient(t, false)
	for range 3 {
		got := do(t, client, newRequest(t, "GET", p.url+"/fetch", nil))
		assert.Equal(t, got.status, 200)
	}
	assert.Equal(t, unanswered.Load(), int64(1))
	waitFor(t, "failure counted", func() bool { return p.servers[0].Stats.Failures.Load() == 1 })
}

// TestFastFailureDoesNotReplaceSlowResponse guards against a hedge that reaches a server
// that fails fast and replaces a good response that takes longer.
func TestFastFailureDoesNotReplaceSlowResponse(t *testing.T) {
	var slow atomic.Bool
	var firstAtGood sync.Map
	var warmUp atomic.Int64
	good := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		// Above the 95th percentile, so that a call is certain to be hedged.
		if warmUp.Add(1)%30 == 0 {
			time.Sleep(20 * time.Millisecond)
		}
		if slow.Load() {
			if r.Header.Get("Balsamhill-Attempt") == "1" {
				firstAtGood.Store(r.URL.RawQuery, true)
			}
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "good")
	})
	failing := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if slow.Load() {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	p := newTestProxy(t, testConfig{limits: allowExtraAttempts}, good, failing)
	client := newClient(t, false)
	for range 150 {
		assert.Equal(t, do(t, client, newRequest(t, "GET", p.url+"/fetch", nil)).status, 200)
	}
	// Samples count for up to 20 s, so slow ones at the start delay the first hedge
	// by as much.
	waitForWithin(t, time.Minute, "hedge delay known", func() bool {
		do(t, client, newRequest(t, "GET", p.url+"/fetch", nil))
		return counter(p, `balsamhill_hedges_total{service="desk"}`) > 0
	})
	hedged := counter(p, `balsamhill_hedges_total{service="desk"}`)
	slow.Store(true)
	for id := range 20 {
		got := do(t, client, newRequest(t, "GET", fmt.Sprintf("%s/fetch?%d", p.url, id), nil))
		if _, ok := firstAtGood.Load(strconv.Itoa(id)); ok {
			assert.Equal(t, got.body, "good", "%+v", got)
		}
	}
	assert.Assert(t, counter(p, `balsamhill_hedges_total{service="desk"}`) > hedged)
}

// TestCallerDisconnectCancelsServerRequest guards against a request that stays open at
// its server after the caller disconnected.
func TestCallerDisconnectCancelsServerRequest(t *testing.T) {
	for _, path := range []string{"/fetch", "/x", "/upload"} {
		started, ended := make(chan struct{}), make(chan struct{})
		server := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(ended)
		})
		p := newTestProxy(t, testConfig{}, server)
		ctx, cancel := context.WithCancel(t.Context())
		request := newRequest(t, "DELETE", p.url+path, nil).WithContext(ctx)
		go func() {
			<-started
			cancel()
		}()
		got := do(t, newClient(t, false), request)
		assert.ErrorIs(t, got.err, context.Canceled)
		<-ended
	}
}

// TestRetriesStayWithinBudget guards against more retries than the budget allows.
func TestRetriesStayWithinBudget(t *testing.T) {
	var requests atomic.Int64
	overloaded := func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	noHedges := func(classes map[preset.Class]preset.Limits) {
		limits := classes[preset.ClassFetch]
		limits.HedgePercent = 0
		classes[preset.ClassFetch] = limits
	}
	p := newTestProxy(t, testConfig{limits: noHedges}, startServer(t, overloaded), startServer(t, overloaded), startServer(t, overloaded))
	client := newClient(t, false)
	const calls = 200
	for range calls {
		got := do(t, client, newRequest(t, "GET", p.url+"/fetch", nil))
		assert.Equal(t, got.status, 503)
	}
	retries := requests.Load() - calls
	assert.Assert(t, retries >= 1 && retries <= calls/10, retries)
	assert.Equal(t, counter(p, `balsamhill_retries_total{service="desk"}`), uint64(retries))
}

// TestFullDuplexStreaming guards against responses that start only after the request
// body has ended.
func TestFullDuplexStreaming(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			control := http.NewResponseController(w)
			_ = control.EnableFullDuplex()
			buffer := make([]byte, 100)
			for {
				n, err := r.Body.Read(buffer)
				_, _ = w.Write(buffer[:n])
				_ = control.Flush()
				if err != nil {
					return
				}
			}
		})
		p := newTestProxy(t, testConfig{http2: http2}, server)
		read, write := io.Pipe()
		response, err := newClient(t, http2).Do(newRequest(t, "POST", p.url+"/upload", firstLine(read, write)))
		assert.NilError(t, err)
		lines := bufio.NewReader(response.Body)
		for i := range 5 {
			line, err := lines.ReadString('\n')
			assert.NilError(t, err)
			assert.Equal(t, line, fmt.Sprintf("line %d\n", i))
			_, err = fmt.Fprintf(write, "line %d\n", i+1)
			assert.NilError(t, err)
		}
		assert.NilError(t, write.Close())
		_, err = io.ReadAll(lines)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
}

// firstLine writes the first line to the pipe and returns its read end.
func firstLine(read *io.PipeReader, write *io.PipeWriter) io.Reader {
	go func() { _, _ = io.WriteString(write, "line 0\n") }()
	return read
}
