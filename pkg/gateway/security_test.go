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

// putPresetInForce stores an example preset and makes it the one in force.
func putPresetInForce(t *testing.T, client *httpplatform.Client) {
	t.Helper()
	storePreset(t, client, "ordinary", nil)
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

// waitUntil polls; the bound only decides how long a broken gateway takes to fail.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(30 * time.Second); !condition(); {
		assert.Assert(t, time.Now().Before(limit), what)
		time.Sleep(10 * time.Millisecond)
	}
}

// registerServer enters a server of a service in the VM list.
func registerServer(t *testing.T, client *httpplatform.Client, service, id, region, address string) {
	t.Helper()
	err := client.RegisterVM(t.Context(), platform.VM{ID: id, Role: platform.RoleServer, Incarnation: 1,
		Service: service, Region: region, FailureDomain: region + "-1", Address: address, State: platform.VMLive})
	assert.NilError(t, err)
}

// rawAnswer sends bytes on a new connection and returns all that comes back.
func rawAnswer(t *testing.T, address, input string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	// The gateway may answer and close before it has read everything.
	_, _ = io.WriteString(conn, input)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

const testHeaderBytes = 8 << 10

// securedGateway is a running gateway with one server that counts what it gets.
func securedGateway(t *testing.T, changes ...func(*settings.Settings)) (*Gateway, *atomic.Int64, *atomic.Pointer[http.Header]) {
	t.Helper()
	g, client := newTestGateway(t, changes...)
	putPresetInForce(t, client)
	var got atomic.Int64
	var header atomic.Pointer[http.Header]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/standin/") {
			return
		}
		got.Add(1)
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
	got.Store(0)
	return g, &got, &header
}

// Guards the admin endpoints against callers: they answer on the admin address
// only, whatever the method and however the path is written.
func TestAdminPathsAreNotOnTrafficAddress(t *testing.T) {
	g, got, _ := securedGateway(t)
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
	// Ways to reach an admin path through the route of a service.
	for _, path := range []string{"/booking-desk/../metrics", "/booking-desk/%2e%2e/metrics", "//metrics"} {
		answer := rawAnswer(t, g.TrafficAddress(), "GET "+path+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 400"), "%s: %s", path, answer)
	}
	assert.Equal(t, got.Load(), int64(0))
	status, err := http.Get("http://" + g.AdminAddress() + "/status")
	assert.NilError(t, err)
	_ = status.Body.Close()
	assert.Equal(t, status.StatusCode, http.StatusOK)
}

// Guards the gateway's memory against headers without end: one long header, many
// short ones and a long request line are refused and reach no server.
func TestOversizedHeadersAreRefused(t *testing.T) {
	g, got, _ := securedGateway(t, func(s *settings.Settings) { s.Traffic.MaxHeaderBytes = testHeaderBytes })
	// net/http allows 4 KiB beyond the limit.
	const tooMuch = 2*testHeaderBytes + 4<<10
	cases := []struct{ desc, head string }{
		{"one long header", "GET /booking-desk/x HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", tooMuch)},
		{"many headers", "GET /booking-desk/x HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-Short: a\r\n", tooMuch/12)},
		{"long request line", "GET /booking-desk/" + strings.Repeat("a", tooMuch) + " HTTP/1.1\r\nHost: x"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			answer := rawAnswer(t, g.TrafficAddress(), c.head+"\r\n\r\n")
			assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 431"), answer)
		})
	}
	assert.Equal(t, got.Load(), int64(0))
	fits := "GET /booking-desk/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Long: " + strings.Repeat("a", testHeaderBytes/2)
	answer := rawAnswer(t, g.TrafficAddress(), fits+"\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 200"), answer)
	assert.Equal(t, got.Load(), int64(1))
}

// Guards connections against callers that send their headers byte by byte: each
// connection is closed after the header timeout, and other callers are served.
func TestSlowHeadersEndTheConnection(t *testing.T) {
	const timeout = 500 * time.Millisecond
	g, got, _ := securedGateway(t, func(s *settings.Settings) { s.Traffic.HeaderTimeoutMillis = timeout.Milliseconds() })
	const slow = 20
	ended := make(chan error, slow)
	for i := range slow {
		go func() { ended <- sendSlowly(g.TrafficAddress(), i) }()
	}
	for range slow {
		assert.NilError(t, <-ended)
	}
	assert.Equal(t, got.Load(), int64(0))
	response, err := http.Get("http://" + g.TrafficAddress() + "/booking-desk/x")
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// sendSlowly sends header bytes one by one until the gateway closes the
// connection. It fails if more arrive than a gateway without a timeout would need
// to be told apart.
func sendSlowly(address string, number int) error {
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
	const most = 1500
	for range most {
		select {
		case <-closed:
			return nil
		case <-time.After(20 * time.Millisecond):
		}
		_, _ = io.WriteString(conn, "a")
	}
	return fmt.Errorf("the connection is open after %d bytes", most)
}

// Guards servers and the retry rules against headers that pass for those of a
// gateway or a trusted proxy, on the listener of a real gateway; and against a
// header value that smuggles another header.
func TestSpoofedHeadersDoNotPass(t *testing.T) {
	g, got, header := securedGateway(t)
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
	got.Store(0)
	for _, line := range []string{"X-A: b\rBalsamhill-Attempt: 9", "X-A: b\x00c", "X A: b", "X-A : b", " X-A: b"} {
		answer := rawAnswer(t, g.TrafficAddress(),
			"GET /booking-desk/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+line+"\r\n\r\n")
		if line[0] != ' ' {
			assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 400"), "%q: %s", line, answer)
		}
		assert.Equal(t, header.Load().Get("Balsamhill-Attempt"), "1", "%q", line)
	}
}
