package transfer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const window = 100 * time.Millisecond

// get reads a response of a handler.
func get(t *testing.T, maxBytes int, handler http.HandlerFunc) ([]byte, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return getFrom(t, http.DefaultClient, server.URL, maxBytes)
}

// getFrom reads the response to a request.
func getFrom(t *testing.T, client *http.Client, url string, maxBytes int) ([]byte, error) {
	t.Helper()
	ctx, watchdog := Watch(context.Background(), window)
	defer watchdog.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	assert.NilError(t, err)
	response, err := client.Do(request)
	if err != nil {
		return nil, watchdog.Err(err)
	}
	defer response.Body.Close()
	return watchdog.ReadAll(response.Body, nil, window, maxBytes)
}

// send writes a chunk of a response at once.
func send(w http.ResponseWriter, bytes int) {
	_, _ = io.WriteString(w, strings.Repeat("x", bytes))
	_ = http.NewResponseController(w).Flush()
}

// TestSlowTransferIsNotCutOff guards against a large response over a slow link that is cut
// off although it makes progress.
func TestSlowTransferIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for range 8 {
				send(w, 2*minWindowBytes)
				time.Sleep(window / 2)
			}
		})}
		listener := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		listener.conns <- far
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return near, nil }}
		defer transport.CloseIdleConnections()
		body, err := getFrom(t, &http.Client{Transport: transport}, "http://server", 1<<20)
		assert.NilError(t, err)
		assert.Equal(t, len(body), 16*minWindowBytes)
	})
}

// pipeListener accepts the connections of a channel.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestStalledTransferEnds guards against a read that waits forever for a source that went
// silent, and against the loss of what it has received.
func TestStalledTransferEnds(t *testing.T) {
	tests := []struct {
		desc    string
		handler http.HandlerFunc
		want    int
	}{
		{"no response", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 0},
		{"silent in the middle", func(w http.ResponseWriter, r *http.Request) {
			send(w, 3*minWindowBytes)
			<-r.Context().Done()
		}, 3 * minWindowBytes},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			began := time.Now()
			body, err := get(t, 1<<20, test.handler)
			assert.ErrorIs(t, err, ErrStalled)
			assert.Equal(t, len(body), test.want)
			assert.Assert(t, time.Since(began) < 10*window)
		})
	}
}

// TestTrickleEnds guards against a source that keeps a reader with a few bytes at a time.
func TestTrickleEnds(t *testing.T) {
	_, err := get(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			send(w, 1)
			time.Sleep(window / 10)
		}
	})
	assert.ErrorIs(t, err, ErrStalled)
}

// TestEndlessResponseEnds guards against a response that fills the memory.
func TestEndlessResponseEnds(t *testing.T) {
	body, err := get(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			send(w, readBytes)
		}
	})
	assert.ErrorIs(t, err, ErrTooLarge)
	assert.Assert(t, len(body) <= 1<<20)
}

// TestOtherErrorsAreKept guards against a refused connection that is reported as stalled.
func TestOtherErrorsAreKept(t *testing.T) {
	_, watchdog := Watch(context.Background(), time.Minute)
	defer watchdog.Stop()
	assert.ErrorIs(t, watchdog.Err(net.ErrClosed), net.ErrClosed)
}
