package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/examples"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/platform/standin"
	"balsamhill/pkg/settings"
)

// kindBytes counts the calls and bytes of one kind of platform call.
type kindBytes struct {
	calls, sent, received int
}

// callMeter is a platform that counts the bytes of its connections by kind of call, as
// sent and received by the gateway.
type callMeter struct {
	handler http.Handler
	mu      sync.Mutex
	kinds   map[string]*kindBytes
}

// meteredConn attributes the bytes that it reads to the next call and those that it
// writes to the last one, because a connection carries one call at a time.
type meteredConn struct {
	net.Conn
	meter *callMeter
	kind  *kindBytes
	read  int
}

type meteredListener struct {
	net.Listener
	meter *callMeter
}

func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: l.meter}, nil
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.mu.Lock()
	defer c.meter.mu.Unlock()
	c.read += n
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	c.meter.mu.Lock()
	c.kind.received += len(p)
	c.meter.mu.Unlock()
	return c.Conn.Write(p)
}

type connKey struct{}

func (m *callMeter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*meteredConn)
	name := r.URL.Path
	switch name {
	case "/table/get", "/table/commit":
		body := &bytes.Buffer{}
		_, _ = body.ReadFrom(r.Body)
		for _, prefix := range []string{"preset/", membership.RowPrefix, "budget/"} {
			if strings.Contains(body.String(), prefix) {
				name += " " + prefix
			}
		}
		r.Body = http.NoBody
		r = r.Clone(r.Context())
		r.Body = readCloser{body}
	case "/table/scan":
		name += " " + r.URL.Query().Get("prefix")
	}
	m.mu.Lock()
	if m.kinds[name] == nil {
		m.kinds[name] = &kindBytes{}
	}
	c.kind = m.kinds[name]
	c.kind.calls++
	c.kind.sent += c.read
	c.read = 0
	m.mu.Unlock()
	m.handler.ServeHTTP(w, r)
}

type readCloser struct{ *bytes.Buffer }

func (readCloser) Close() error { return nil }

func (m *callMeter) snapshot() map[string]kindBytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied := make(map[string]kindBytes, len(m.kinds))
	for name, kind := range m.kinds {
		copied[name] = *kind
	}
	return copied
}

// startRemoteGateway runs a gateway of the region without the store against a platform
// of design size: 910 servers and 24 gateway rows.
func startRemoteGateway(t testing.TB) (*Gateway, *callMeter) {
	t.Helper()
	platformServer := standin.New()
	meter := &callMeter{handler: platformServer, kinds: make(map[string]*kindBytes)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	store := httptest.NewUnstartedServer(meter)
	_ = store.Listener.Close()
	store.Listener = meteredListener{Listener: listener, meter: meter}
	store.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	store.Start()
	t.Cleanup(store.Close)
	for i := range 910 {
		platformServer.PutVM(platform.VM{ID: fmt.Sprintf("lesson-library-%d", i), Role: platform.RoleServer, Incarnation: 1,
			Service: "lesson-library", Region: "khomas", FailureDomain: "khomas-1", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			State: platform.VMLive})
	}
	client := httpplatform.New(store.URL)
	t.Cleanup(client.Close)
	useFirstPreset(t, client)
	for i := range 23 {
		row, err := json.Marshal(membership.Row{ID: fmt.Sprint("gw-", i), Incarnation: uint64(time.Now().UnixMicro()), Region: "khomas",
			FailureDomain: "khomas-1", Traffic: "10.1.1.1:8080", Admin: "10.1.1.1:8081", State: membership.StateReady,
			Preset: "ordinary", Revision: 2, InForceSince: time.Now(), WrittenAt: time.Now()})
		assert.NilError(t, err)
		result := client.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: fmt.Sprint(membership.RowPrefix, "gw-", i), Value: row}}})
		assert.Equal(t, result.Status, platform.CommitApplied)
	}
	s, err := settings.Parse("signline.jsonc", examples.SignlineSettings())
	assert.NilError(t, err)
	s.Traffic.Listen, s.Admin.Listen, s.Peers.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Shutdown.NoticeMillis = 0
	s.VM.ID, s.VM.Region, s.VM.FailureDomain = "gw-erongo-1", "erongo", "erongo-1"
	g, err := New(s, client, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return g, meter
}

// TestUnchangedListIsNotResent guards against an unchanged VM list of design size that
// crosses the link with each read, which takes 154 KB/s per gateway, and against
// platform bytes that are not counted.
func TestUnchangedListIsNotResent(t *testing.T) {
	g, meter := startRemoteGateway(t)
	waitFor(t, "the list was not read often enough", func() bool { return meter.snapshot()["/vms"].calls > 3 })
	list := meter.snapshot()["/vms"]
	assert.Assert(t, list.received < 40<<10, "%d bytes in %d reads", list.received, list.calls)
	waitFor(t, "servers are missing", func() bool {
		snapshot := g.snapshot.Load()
		return snapshot != nil && len(snapshot.Services["lesson-library"].Servers) == 910
	})
	var text bytes.Buffer
	g.writePlatformMetrics(&text)
	assert.Assert(t, strings.Contains(text.String(), `balsamhill_platform_bytes_total{direction="received"}`), text.String())
	local, _ := newTestGateway(t)
	text.Reset()
	local.writePlatformMetrics(&text)
	assert.Equal(t, text.String(), "", "bytes that do not cross the link")
}

// BenchmarkIdleRemoteGateway reports the bytes per second that the platform calls of an
// idle gateway send and receive across the link, by kind of call.
func BenchmarkIdleRemoteGateway(b *testing.B) {
	_, meter := startRemoteGateway(b)
	time.Sleep(3 * time.Second)
	before, began := meter.snapshot(), time.Now()
	time.Sleep(30 * time.Second)
	seconds := time.Since(began).Seconds()
	var sent, received float64
	for name, after := range meter.snapshot() {
		s, r := float64(after.sent-before[name].sent)/seconds, float64(after.received-before[name].received)/seconds
		b.Logf("%-28s %5.2f calls/s, sent %8.0f B/s, received %8.0f B/s", name, float64(after.calls-before[name].calls)/seconds, s, r)
		sent += s
		received += r
	}
	b.ReportMetric(sent, "sent-B/s")
	b.ReportMetric(received, "received-B/s")
}
