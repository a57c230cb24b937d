package callerconn_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"balsamhill/pkg/callerconn"
	"balsamhill/pkg/connlimit"
)

// guardedServer is a server on a loopback address that counts the requests that reach its handler.
type guardedServer struct {
	address  string
	requests atomic.Int64
	metrics  *metrics.Set
}

func startServer(t *testing.T, rules connlimit.Rules, handler http.HandlerFunc) *guardedServer {
	t.Helper()
	s := &guardedServer{metrics: metrics.NewSet()}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := callerconn.NewServer(callerconn.Config{
		Name: "test", Log: slog.New(slog.DiscardHandler), Metrics: s.metrics,
		Rules:  func() connlimit.Rules { return rules },
		Refuse: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	}, &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		handler(w, r)
	})})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = listener.Addr().String()
	go func() { _ = server.Serve(listener, nil) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

func rulesFor(connections int) connlimit.Rules {
	return connlimit.Rules{
		MaxConnections: connections, HeadMemory: 1 << 20, MaxHeadBytes: 8 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute,
	}
}

func dial(t *testing.T, s *guardedServer) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn, bufio.NewReader(conn)
}

func statusOf(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response.StatusCode
}

func (s *guardedServer) closedFor(reason connlimit.Reason) uint64 {
	return s.metrics.GetOrCreateCounter(fmt.Sprintf(`balsamhill_connections_closed_total{listener="test",reason=%q}`, reason)).Get()
}

const head = "POST / HTTP/1.1\r\nHost: h\r\n"

// TestKeptConnectionsServeManyRequests guards against a limit of a head that counts the bodies, or the
// heads of earlier requests on the same connection.
func TestKeptConnectionsServeManyRequests(t *testing.T) {
	s := startServer(t, rulesFor(1), echo)
	conn, reader := dial(t, s)
	body := strings.Repeat("x", 100_000)
	for range 20 {
		_, err := fmt.Fprintf(conn, "%sA: %s\r\nContent-Length: %d\r\n\r\n%s", head, strings.Repeat("a", 4000), len(body), body)
		assert.NilError(t, err)
		assert.Equal(t, statusOf(t, reader), http.StatusOK)
	}
	_, err := io.WriteString(conn, strings.Repeat(head+"Content-Length: 2\r\n\r\nok", 3))
	assert.NilError(t, err)
	for range 3 {
		assert.Equal(t, statusOf(t, reader), http.StatusOK)
	}
	assert.Equal(t, s.requests.Load(), int64(23))
}

// TestHeadBeyondLimitsIsRefused guards against a head over the limit, or large heads that together take
// more memory than allowed, that reach the handler or get no answer.
func TestHeadBeyondLimitsIsRefused(t *testing.T) {
	t.Run("too large", func(t *testing.T) {
		s := startServer(t, rulesFor(10), echo)
		conn, reader := dial(t, s)
		_, err := io.WriteString(conn, head+"A: "+strings.Repeat("x", 60_000)+"\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, statusOf(t, reader), http.StatusRequestHeaderFieldsTooLarge)
		assert.Equal(t, s.closedFor(connlimit.HeadTooLarge), uint64(1))
		assert.Equal(t, s.requests.Load(), int64(0))
	})
	t.Run("all together", func(t *testing.T) {
		rules := rulesFor(10)
		rules.HeadMemory = 1 << 10
		s := startServer(t, rules, echo)
		conn, reader := dial(t, s)
		_, err := io.WriteString(conn, head+strings.Repeat("a:\r\n", 500)+"\r\n")
		assert.NilError(t, err)
		assert.Equal(t, statusOf(t, reader), http.StatusServiceUnavailable)
		conn, reader = dial(t, s)
		_, err = io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, statusOf(t, reader), http.StatusOK)
	})
}

// TestSlowHeadIsRefused guards against a connection that is held by a head without end.
func TestSlowHeadIsRefused(t *testing.T) {
	rules := rulesFor(10)
	rules.HeaderTimeout = time.Millisecond
	s := startServer(t, rules, echo)
	conn, reader := dial(t, s)
	_, err := io.WriteString(conn, head)
	assert.NilError(t, err)
	assert.Equal(t, statusOf(t, reader), http.StatusRequestTimeout)
	assert.Equal(t, s.closedFor(connlimit.HeadTimeout), uint64(1))
}

// TestSilentConnectionsMakePlace guards against connections that send nothing and keep others from
// being accepted, and against the end of one whose request is in work.
func TestSilentConnectionsMakePlace(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, rulesFor(4), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		echo(w, r)
	})
	working, workingReader := dial(t, s)
	_, err := io.WriteString(working, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	for s.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 50 {
		dial(t, s)
	}
	conn, reader := dial(t, s)
	_, err = io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, statusOf(t, reader), http.StatusOK)
	close(release)
	assert.Equal(t, statusOf(t, workingReader), http.StatusOK)
	assert.Assert(t, s.closedFor(connlimit.Crowded) >= 47)
}

// TestManyStreamsOfOneConnectionAreRefused guards against an HTTP/2 client that has more requests in
// flight than the process can hold, and against an ordinary one that is refused for it.
func TestManyStreamsOfOneConnectionAreRefused(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, rulesFor(5), func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	})
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	greedy := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	// One connection carries all requests that follow.
	response, err := greedy.Get("http://" + s.address)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	var refused atomic.Int64
	var requests sync.WaitGroup
	for range 20 {
		requests.Go(func() {
			response, err := greedy.Get("http://" + s.address + "/wait")
			if assert.Check(t, err) {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusServiceUnavailable {
					refused.Add(1)
				}
			}
		})
	}
	for refused.Load() < 15 {
		time.Sleep(time.Millisecond)
	}
	conn, reader := dial(t, s)
	_, err = io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, statusOf(t, reader), http.StatusOK)
	close(release)
	requests.Wait()
	assert.Equal(t, refused.Load(), int64(15))
}

// TestClosedConnectionsDoNotCount guards against connections that clients have closed and that still
// hold a place.
func TestClosedConnectionsDoNotCount(t *testing.T) {
	s := startServer(t, rulesFor(1), echo)
	for range 5 {
		conn, reader := dial(t, s)
		_, err := io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, statusOf(t, reader), http.StatusOK)
		assert.NilError(t, conn.Close())
		deadline := time.Now().Add(5 * time.Second)
		for s.metrics.GetOrCreateGauge(`balsamhill_connections{listener="test"}`, nil).Get() > 0 {
			assert.Assert(t, time.Now().Before(deadline), "the connection still counts")
			time.Sleep(time.Millisecond)
		}
	}
	assert.Equal(t, s.closedFor(connlimit.Crowded), uint64(0))
}

// TestHTTP2FramesAreNoHead guards against an HTTP/2 connection that is closed because its frames count
// as a head.
func TestHTTP2FramesAreNoHead(t *testing.T) {
	s := startServer(t, rulesFor(1), echo)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address, strings.NewReader(strings.Repeat("x", 100_000)))
	assert.NilError(t, err)
	request.Header.Set("Large", strings.Repeat("x", 30_000))
	response, err := client.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.ProtoMajor, 2)
}

// TestGreedyClientsMakePlace guards against an ordinary caller that is turned away because clients that
// send one request after the other hold all places.
func TestGreedyClientsMakePlace(t *testing.T) {
	s := startServer(t, rulesFor(4), func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		echo(w, r)
	})
	ctx, cancel := context.WithCancel(t.Context())
	var greedy sync.WaitGroup
	defer greedy.Wait()
	defer cancel()
	for range 4 {
		greedy.Go(func() {
			for ctx.Err() == nil {
				conn, err := net.Dial("tcp", s.address)
				if err != nil {
					return
				}
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				for err == nil {
					_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				}
				stop()
				_ = conn.Close()
			}
		})
	}
	for s.requests.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		conn, reader := dial(t, s)
		_, err := io.WriteString(conn, head+"Content-Length: 2\r\n\r\nok")
		assert.NilError(t, err)
		assert.Equal(t, statusOf(t, reader), http.StatusOK)
		assert.NilError(t, conn.Close())
	}
}

// TestResponseBesideUploadArrives guards against a connection that is reset as soon as a request has been
// answered whose body was not read, so that the caller, which still writes, gets no response.
func TestResponseBesideUploadArrives(t *testing.T) {
	const uploads, uploadBytes = 200, 4 << 20
	s := startServer(t, rulesFor(10), func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, http.NewResponseController(w).EnableFullDuplex())
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadGateway)
	})
	for range uploads {
		response, err := http.Post("http://"+s.address, "", bytes.NewReader(make([]byte, uploadBytes)))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	}
}
