package proxy_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
)

// pipeListener accepts in-memory connections, which follow fake time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	clientSide, serverSide := net.Pipe()
	select {
	case l.conns <- serverSide:
		return clientSide, nil
	case <-l.closed:
		return nil, errors.New("listener closed")
	}
}

// pipeTransport sends requests over in-memory connections.
type pipeTransport struct{ transport *http.Transport }

// CloseIdle implements proxy.ServerTransport; there are no idle connections to
// close in these tests.
func (pipeTransport) CloseIdle(string) {}

func (p pipeTransport) RoundTrip(_ string, _ bool, r *http.Request) (*http.Response, error) {
	return p.transport.RoundTrip(r)
}

// runWithFakeTime runs a gateway and a server over in-memory connections.
func runWithFakeTime(t *testing.T, server http.HandlerFunc, run func(dial func() net.Conn)) {
	serverListener, gatewayListener := newPipeListener(), newPipeListener()
	httpServer := &http.Server{Handler: server}
	go func() { _ = httpServer.Serve(serverListener) }()
	transport := &http.Transport{DialContext: serverListener.dial}
	view := routing.NewServiceView(serviceName, 4, "khomas", preset.DefaultTuning(), []*routing.Server{{
		ID: "a", Address: "server:1", Region: "khomas", Weight: 1, Stats: &routing.Stats{},
	}})
	snapshot := &routing.Snapshot{
		Version:  preset.Version{Preset: preset.Default("ordinary", preset.KindOrdinary)},
		Services: map[string]*routing.ServiceView{serviceName: view},
	}
	started := time.Now()
	p := proxy.New(proxy.Config{
		Routes: routing.NewRouteTable([]routing.Route{
			{PathPrefix: "/fetch", Service: serviceName, Class: preset.ClassFetch},
			{PathPrefix: "/", Service: serviceName, Class: preset.ClassUpload},
		}),
		Snapshot:  func() *routing.Snapshot { return snapshot },
		Transport: pipeTransport{transport},
		Now:       func() int64 { return int64(time.Since(started) + time.Second) },
		Metrics:   proxy.NewMetrics(metrics.NewSet()),
	})
	gateway := &http.Server{Handler: p, Protocols: bothProtocols(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
	go func() { _ = gateway.Serve(gatewayListener) }()
	run(func() net.Conn {
		conn, err := gatewayListener.dial(t.Context(), "", "")
		assert.NilError(t, err)
		return conn
	})
	// net/http keeps connections with unread bodies for 500 ms.
	time.Sleep(time.Second)
	transport.CloseIdleConnections()
	assert.NilError(t, gateway.Close())
	assert.NilError(t, httpServer.Close())
	synctest.Wait()
}

// TestHourLongBodiesComplete guards against a timeout that ends uploads and downloads
// of an hour.
func TestHourLongBodiesComplete(t *testing.T) {
	const parts = 60
	synctest.Test(t, func(t *testing.T) {
		runWithFakeTime(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				for range parts {
					_, _ = io.WriteString(w, "part ")
					_ = http.NewResponseController(w).Flush()
					time.Sleep(25 * time.Second)
				}
				return
			}
			if r.URL.RawQuery == "early" {
				_ = http.NewResponseController(w).EnableFullDuplex()
				_ = http.NewResponseController(w).Flush()
			}
			body, err := io.ReadAll(r.Body)
			if r.URL.RawQuery == "" {
				// Longer than the idle timeout, which does not apply after the end of
				// the body.
				time.Sleep(10 * time.Minute)
			}
			if err == nil {
				_, _ = w.Write(body)
			}
		}, func(dial func() net.Conn) {
			for _, path := range []string{"/upload", "/upload?early"} {
				uploadForAnHour(t, dial(), path, parts)
				uploadOverHTTP2(t, dial, path, parts)
			}
			download := dial()
			defer download.Close()
			_, err := io.WriteString(download, "GET /fetch HTTP/1.1\r\nHost: x\r\n\r\n")
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(download), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), parts*len("part "))
		})
	})
}

func uploadForAnHour(t *testing.T, conn net.Conn, path string, parts int) {
	defer conn.Close()
	started := time.Now()
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range parts {
			time.Sleep(time.Minute)
			_, partErr := io.WriteString(conn, "5\r\npart \r\n")
			err = errors.Join(err, partErr)
		}
		_, endErr := io.WriteString(conn, "0\r\n\r\n")
		sent <- errors.Join(err, endErr)
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err, path)
	assert.NilError(t, <-sent)
	assert.Equal(t, string(body), strings.Repeat("part ", parts))
	assert.Assert(t, time.Since(started) >= time.Hour)
}

func uploadOverHTTP2(t *testing.T, dial func() net.Conn, path string, parts int) {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
		return dial(), nil
	}}
	defer transport.CloseIdleConnections()
	read, write := io.Pipe()
	go func() {
		for range parts {
			time.Sleep(time.Minute)
			_, _ = io.WriteString(write, "part ")
		}
		_ = write.Close()
	}()
	got := do(t, &http.Client{Transport: transport}, newRequest(t, "POST", "http://x"+path, read))
	assert.NilError(t, got.err, path)
	assert.Equal(t, got.body, strings.Repeat("part ", parts), path)
}

// TestStalledBodiesTimeOut guards against a caller or a server that stops in the middle
// of a body and holds the gateway's memory and connections forever.
func TestStalledBodiesTimeOut(t *testing.T) {
	tests := []struct {
		desc, request string
		serverStalls  bool
		wantStatus    string
		// wantWithin is the idle timeout of the class plus slack.
		wantWithin time.Duration
	}{
		{"caller stops sending", "POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", false, "408", 125 * time.Second},
		{"server stops responding", "GET /fetch HTTP/1.1\r\nHost: x\r\n\r\n", true, "200", 35 * time.Second},
		{"server does not read the body", "POST /upload?full HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n", true, "504", 125 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop := make(chan struct{})
				runWithFakeTime(t, func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodGet {
						_, _ = io.WriteString(w, "beginning")
						_ = http.NewResponseController(w).Flush()
					}
					if test.serverStalls {
						<-stop
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
				}, func(dial func() net.Conn) {
					defer close(stop)
					conn := dial()
					defer conn.Close()
					started := time.Now()
					_, err := io.WriteString(conn, test.request)
					assert.NilError(t, err)
					go func() {
						// Write the complete body for the case in which the server reads
						// none.
						if test.wantStatus == "504" {
							_, _ = conn.Write(make([]byte, 1000000))
						}
					}()
					response, _ := io.ReadAll(conn)
					assert.Assert(t, strings.HasPrefix(string(response), "HTTP/1.1 "+test.wantStatus), string(response))
					assert.Assert(t, !strings.HasSuffix(string(response), "0\r\n\r\n"))
					assert.Assert(t, time.Since(started) <= test.wantWithin, time.Since(started))
				})
			})
		})
	}
}

// TestSlowReaders guards against a caller that stops reading and keeps a server busy
// forever, and against one that reads slowly and does not get the complete response.
func TestSlowReaders(t *testing.T) {
	const size = 256 << 10
	for _, stops := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			var served time.Duration
			runWithFakeTime(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, size))
				served = time.Since(started)
			}, func(dial func() net.Conn) {
				conn := dial()
				defer conn.Close()
				_, err := io.WriteString(conn, "GET /fetch HTTP/1.1\r\nHost: x\r\n\r\n")
				assert.NilError(t, err)
				if stops {
					// The idle timeout of fetches is 30 s.
					time.Sleep(35 * time.Second)
				}
				response, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
				if stops {
					assert.Assert(t, err != nil)
					return
				}
				assert.NilError(t, err)
				for n := 0; n < size; n += 8 << 10 {
					time.Sleep(5 * time.Second)
					_, err = io.CopyN(io.Discard, response.Body, 8<<10)
					assert.NilError(t, err)
				}
			})
			assert.Assert(t, !stops || served <= 35*time.Second, served)
		})
	}
}
