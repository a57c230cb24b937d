package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/settings"
)

// useOrdinaryPreset stores the example preset "ordinary" and puts it in force.
func useOrdinaryPreset(t *testing.T, client *httpplatform.Client) {
	t.Helper()
	useNamedPreset(t, client, "ordinary", nil)
}

// startGateway runs a gateway until the test ends.
func startGateway(t *testing.T, g *Gateway) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
}

// waitUntil polls a condition. The limit of 30 s only decides how long a failing test
// takes.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(30 * time.Second); !condition(); {
		assert.Assert(t, time.Now().Before(limit), what)
		time.Sleep(10 * time.Millisecond)
	}
}

// registerServer adds a server of a service to the VM list.
func registerServer(t *testing.T, client *httpplatform.Client, service, id, region, address string) {
	t.Helper()
	err := client.RegisterVM(t.Context(), platform.VM{ID: id, Role: platform.RoleServer, Incarnation: 1,
		Service: service, Region: region, FailureDomain: region + "-1", Address: address, State: platform.VMLive})
	assert.NilError(t, err)
}

// rawResponse sends bytes on a new connection and returns all bytes received.
func rawResponse(t *testing.T, address, input string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	// The gateway may respond and close the connection before it has read everything.
	_, _ = io.WriteString(conn, input)
	response, _ := io.ReadAll(conn)
	return string(response)
}

const maxTestHeaderBytes = 8 << 10

// startGatewayWithServer runs a gateway with one server. It returns the gateway, the
// number of requests that the server received and the header of the last one.
func startGatewayWithServer(t *testing.T, changes ...func(*settings.Settings)) (*Gateway, *atomic.Int64, *atomic.Pointer[http.Header]) {
	t.Helper()
	g, client := newTestGateway(t, changes...)
	useOrdinaryPreset(t, client)
	var received atomic.Int64
	var header atomic.Pointer[http.Header]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/standin/") {
			return
		}
		received.Add(1)
		header.Store(&r.Header)
	}))
	t.Cleanup(server.Close)
	registerServer(t, client, "booking-desk", "desk-1", "khomas", server.Listener.Addr().String())
	startGateway(t, g)
	waitUntil(t, "service served", func() bool {
		response, err := http.Get("http://" + g.TrafficAddress() + "/booking-desk/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	received.Store(0)
	return g, &received, &header
}

// TestAdminPathsAreNotOnTrafficAddress guards against callers that reach the admin
// endpoints: these exist on the admin address only, for every method and every spelling
// of the path.
func TestAdminPathsAreNotOnTrafficAddress(t *testing.T) {
	g, received, _ := startGatewayWithServer(t)
	paths := []string{"/metrics", "/healthz", "/readyz", "/status", "/notify", "/preset", "/debug/pprof/",
		"/debug/pprof/profile", "/debug/pprof/trace", "/debug/pprof/symbol", "/debug/pprof/heap"}
	for _, path := range paths {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
			request, err := http.NewRequest(method, "http://"+g.TrafficAddress()+path, strings.NewReader("{}"))
			assert.NilError(t, err)
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, response.StatusCode, http.StatusNotFound, "%s %s", method, path)
		}
	}
	// Attempts to reach an admin path through the route of a service.
	for _, path := range []string{"/booking-desk/../metrics", "/booking-desk/%2e%2e/metrics", "//metrics"} {
		raw := rawResponse(t, g.TrafficAddress(), "GET "+path+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		assert.Assert(t, strings.HasPrefix(raw, "HTTP/1.1 400"), "%s: %s", path, raw)
	}
	assert.Equal(t, received.Load(), int64(0))
	status, err := http.Get("http://" + g.AdminAddress() + "/status")
	assert.NilError(t, err)
	_ = status.Body.Close()
	assert.Equal(t, status.StatusCode, http.StatusOK)
}

// TestOversizedHeadersAreRefused guards the gateway's memory against unbounded headers:
// one long header, many short ones and a long request line are refused and reach no
// server.
func TestOversizedHeadersAreRefused(t *testing.T) {
	g, received, _ := startGatewayWithServer(t, func(s *settings.Settings) { s.Traffic.MaxHeaderBytes = maxTestHeaderBytes })
	// net/http allows 4 KiB beyond the limit.
	const tooMuch = 2*maxTestHeaderBytes + 4<<10
	cases := []struct{ desc, head string }{
		{"one long header", "GET /booking-desk/x HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", tooMuch)},
		{"many headers", "GET /booking-desk/x HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-Short: a\r\n", tooMuch/12)},
		{"long request line", "GET /booking-desk/" + strings.Repeat("a", tooMuch) + " HTTP/1.1\r\nHost: x"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			raw := rawResponse(t, g.TrafficAddress(), c.head+"\r\n\r\n")
			assert.Assert(t, strings.HasPrefix(raw, "HTTP/1.1 431"), raw)
		})
	}
	assert.Equal(t, received.Load(), int64(0))
	fits := "GET /booking-desk/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Long: " + strings.Repeat("a", maxTestHeaderBytes/2)
	raw := rawResponse(t, g.TrafficAddress(), fits+"\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(raw, "HTTP/1.1 200"), raw)
	assert.Equal(t, received.Load(), int64(1))
}

// TestSlowHeadersCloseConnection guards against callers that hold connections by
// sending their headers byte by byte: each connection is closed after the header
// timeout, and other callers are served.
func TestSlowHeadersCloseConnection(t *testing.T) {
	const timeout = 500 * time.Millisecond
	g, received, _ := startGatewayWithServer(t, func(s *settings.Settings) { s.Traffic.HeaderTimeoutMillis = timeout.Milliseconds() })
	const slow = 20
	results := make(chan error, slow)
	for i := range slow {
		go func() { results <- sendHeaderSlowly(g.TrafficAddress(), i) }()
	}
	for range slow {
		assert.NilError(t, <-results)
	}
	assert.Equal(t, received.Load(), int64(0))
	response, err := http.Get("http://" + g.TrafficAddress() + "/booking-desk/x")
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// sendHeaderSlowly sends header bytes one by one until the gateway closes the connection.
// It returns an error if the connection is still open after so many bytes that the
// header timeout has certainly passed.
func sendHeaderSlowly(address string, number int) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, bufio.NewReader(conn))
		close(closed)
	}()
	_, err = fmt.Fprintf(conn, "GET /booking-desk/slow-%d HTTP/1.1\r\nHost: x\r\nX-Slow: ", number)
	if err != nil {
		return err
	}
	const maxBytes = 1500
	for range maxBytes {
		select {
		case <-closed:
			return nil
		case <-time.After(20 * time.Millisecond):
		}
		_, _ = io.WriteString(conn, "a")
	}
	return fmt.Errorf("the connection is open after %d bytes", maxBytes)
}

// TestSpoofedHeadersDoNotPass guards servers and the retry rules against callers that
// spoof the headers of a gateway or a trusted proxy, on the listener of a running
// gateway, and against header values that smuggle another header.
func TestSpoofedHeadersDoNotPass(t *testing.T) {
	g, received, header := startGatewayWithServer(t)
	request, err := http.NewRequest(http.MethodGet, "http://"+g.TrafficAddress()+"/booking-desk/x", nil)
	assert.NilError(t, err)
	spoofed := []string{"Balsamhill-Attempt", "Balsamhill-Outcome", "Balsamhill-Draining", "Balsamhill-Replay",
		"Balsamhill-Future", "Balsamhill_Attempt", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto",
		"X_Forwarded_For", "Forwarded"}
	for _, name := range spoofed {
		request.Header[name] = []string{"spoofed"}
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	for name, values := range *header.Load() {
		for _, value := range values {
			assert.Assert(t, !strings.Contains(value, "spoofed"), "%s: %s", name, value)
		}
	}
	received.Store(0)
	for _, line := range []string{"X-A: b\rBalsamhill-Attempt: 9", "X-A: b\x00c", "X A: b", "X-A : b", " X-A: b"} {
		raw := rawResponse(t, g.TrafficAddress(),
			"GET /booking-desk/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+line+"\r\n\r\n")
		if line[0] != ' ' {
			assert.Assert(t, strings.HasPrefix(raw, "HTTP/1.1 400"), "%q: %s", line, raw)
		}
		assert.Equal(t, header.Load().Get("Balsamhill-Attempt"), "1", "%q", line)
	}
}
