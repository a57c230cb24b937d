package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/examples"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/peer"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/platform/standin"
	"balsamhill/pkg/presetstore"
	"balsamhill/pkg/serverstandin"
	"balsamhill/pkg/settings"
)

// useNamedPreset stores an example preset, optionally edited, and puts it in force.
func useNamedPreset(t *testing.T, client *httpplatform.Client, name string, edit func(string) string) {
	t.Helper()
	store := presetstore.New(client)
	author := func(step string) presetstore.Author {
		id := fmt.Sprintf("%s-%s-%d", step, name, time.Now().UnixNano())
		return presetstore.Author{Operator: "test", WriteID: id, Now: time.Now()}
	}
	for _, document := range examples.Presets() {
		if document.Name != name {
			continue
		}
		text := string(document.Text)
		if edit != nil {
			text = edit(text)
		}
		assert.Equal(t, store.Apply(t.Context(), author("apply"), []byte(text), nil).Status, presetstore.Accepted)
	}
	assert.Equal(t, store.Use(t.Context(), author("use"), name, nil).Status, presetstore.Accepted)
}

// regionLink is the link between the regions. Cutting it closes the open connections
// across it; while it is cut, requests across it get no response.
type regionLink struct {
	cut   atomic.Bool
	mu    sync.Mutex
	conns []net.Conn
}

func (l *regionLink) setCut(cut bool) {
	l.cut.Store(cut)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

func (l *regionLink) add(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	if l.cut.Load() {
		_ = conn.Close()
	}
}

// cuttableNetwork is the network of a gateway whose peers are all across the link.
type cuttableNetwork struct {
	peer.Network
	link *regionLink
}

func (n cuttableNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.link.cut.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := n.Network.Dial(ctx, address)
	if err == nil {
		n.link.add(conn)
	}
	return conn, err
}

func (n cuttableNetwork) Accept() (net.Conn, error) {
	conn, err := n.Network.Accept()
	if err == nil {
		n.link.add(conn)
	}
	return conn, err
}

// cuttableTransport sends a remote gateway's requests to the platform.
type cuttableTransport struct {
	http.RoundTripper
	link *regionLink
}

func (l cuttableTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if l.link.cut.Load() {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return l.RoundTripper.RoundTrip(request)
}

// newCuttablePlatform returns a client of a reverse proxy in front of the platform that
// the link can cut.
func newCuttablePlatform(t *testing.T, target string, l *regionLink) *httpplatform.Client {
	t.Helper()
	transport := cuttableTransport{RoundTripper: http.DefaultTransport, link: l}
	reverseProxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.RequestURI(), r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if l.cut.Load() {
			// net/http detects that the client has disconnected only after the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}))
	t.Cleanup(reverseProxy.Close)
	client := httpplatform.New(reverseProxy.URL)
	t.Cleanup(client.Close)
	return client
}

// newRegionGateway returns a gateway of a region without starting it.
func newRegionGateway(t *testing.T, id, region string, p platform.Platform) *Gateway {
	t.Helper()
	s, err := settings.Parse("signline.jsonc", examples.SignlineSettings())
	assert.NilError(t, err)
	s.VM = settings.VM{ID: id, Region: region, FailureDomain: region + "-1"}
	s.Traffic.Listen, s.Admin.Listen, s.Peers.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Shutdown.NoticeMillis = 0
	g, err := New(s, p, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	return g
}

// setCuttableNetwork replaces the exchange of a gateway that is not running by one whose
// network the link can cut. Otherwise the exchange is as newPeers creates it.
func setCuttableNetwork(t *testing.T, g *Gateway, l *regionLink) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := g.peers
	p.address = listener.Addr().String()
	p.exchange = peer.New(peer.Config{
		Self: membership.Gateway{ID: g.settings.VM.ID, Incarnation: g.incarnation,
			Region: g.settings.VM.Region, Peer: p.address},
		Network:       cuttableNetwork{Network: peer.NewTCP(listener), link: l},
		Handler:       p.handler(),
		CurrentPreset: p.current,
		State:         func() membership.State { return g.row().State },
		Link:          g.budgets.link,
		Log:           g.log,
		Seed:          1,
	})
}

// startStandinServer runs a stand-in server and registers it in the VM list.
func startStandinServer(t *testing.T, client *httpplatform.Client, id, service, region string,
	change func(*serverstandin.Config)) {
	t.Helper()
	config := serverstandin.Config{ID: id, Service: service, Region: region, Slots: 4, Runs: client}
	if change != nil {
		change(&config)
	}
	server := httptest.NewServer(serverstandin.New(config))
	t.Cleanup(server.Close)
	registerServer(t, client, service, id, region, server.Listener.Addr().String())
}

// callGateway sends a call through a gateway and returns status, outcome and body.
func callGateway(t *testing.T, g *Gateway, method, path, key string) (int, string, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+g.TrafficAddress()+path, strings.NewReader(""))
	assert.NilError(t, err)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, response.Header.Get("Balsamhill-Outcome"), string(body)
}

func (g *Gateway) connectedPeers() int {
	count := 0
	for _, status := range g.peers.status() {
		if status.Connected {
			count++
		}
	}
	return count
}

// propagationLimit is the time within which an accepted preset must be in force.
const propagationLimit = 8 * time.Second

// TestRegionPartition guards presets and bookings during a partition of the regions:
// the remote region keeps its preset and serves fetches, refuses bookings with a key
// without running them, and adopts the change within 8 s after the link returns. It
// never returns to an earlier revision.
func TestRegionPartition(t *testing.T) {
	platformStandin := standin.New()
	store := httptest.NewServer(platformStandin)
	t.Cleanup(store.Close)
	client := httpplatform.New(store.URL)
	t.Cleanup(client.Close)
	useOrdinaryPreset(t, client)
	useNamedPreset(t, client, "peak", nil)
	useNamedPreset(t, client, "ordinary", nil)
	for _, region := range []string{"khomas", "erongo"} {
		startStandinServer(t, client, "desk-"+region, "booking-desk", region, nil)
	}
	l := &regionLink{}
	local := []*Gateway{newRegionGateway(t, "gw-1", "khomas", client), newRegionGateway(t, "gw-2", "khomas", client)}
	remote := newRegionGateway(t, "gw-3", "erongo", newCuttablePlatform(t, store.URL, l))
	setCuttableNetwork(t, remote, l)
	all := append([]*Gateway{remote}, local...)
	for _, g := range all {
		startGateway(t, g)
	}
	for _, g := range all {
		waitUntil(t, "service served and peers connected", func() bool {
			status, _, _ := callGateway(t, g, http.MethodGet, "/booking-desk/ready", "")
			return status == http.StatusOK && g.connectedPeers() == len(all)-1 && g.notReadyReason() == ""
		})
	}
	status, _, _ := callGateway(t, remote, http.MethodPost, "/booking-desk/book", "before")
	assert.Equal(t, status, http.StatusOK)
	before := remote.Status().Revision

	l.setCut(true)
	useNamedPreset(t, client, "peak", nil)
	accepted := time.Now()
	for _, g := range local {
		waitUntil(t, "change in the local region", func() bool { return g.Status().Preset == "peak" })
	}
	assert.Assert(t, time.Since(accepted) <= propagationLimit)
	changed := local[0].Status().Revision
	waitUntil(t, "remote gateway detects the partition", func() bool { return remote.connectedPeers() == 0 })
	for i := range 5 {
		status, _, _ = callGateway(t, remote, http.MethodGet, "/booking-desk/free", "")
		assert.Equal(t, status, http.StatusOK)
		key := fmt.Sprintf("parted-%d", i)
		status, outcome, body := callGateway(t, remote, http.MethodPost, "/booking-desk/book", key)
		assert.Equal(t, status, http.StatusServiceUnavailable, body)
		// Other gateways cannot be queried, so the gateway cannot exclude that the call ran.
		assert.Equal(t, outcome, "unknown", body)
		status, _, _ = callGateway(t, local[0], http.MethodPost, "/booking-desk/book", fmt.Sprintf("near-%d", i))
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, remote.Status().Revision, before)
	assert.Equal(t, remote.Status().Preset, "ordinary")

	l.setCut(false)
	healed := time.Now()
	last := before
	waitUntil(t, "remote gateway adopts the change", func() bool {
		revision := remote.Status().Revision
		assert.Assert(t, revision >= last, "revision %d after %d", revision, last)
		last = revision
		return revision == changed
	})
	assert.Assert(t, time.Since(healed) <= propagationLimit, "adopted after %v", time.Since(healed))
	assert.Equal(t, remote.Status().Preset, "peak")
	for i := range 5 {
		key := fmt.Sprintf("parted-%d", i)
		waitUntil(t, "booking after the partition", func() bool {
			status, _, _ := callGateway(t, remote, http.MethodPost, "/booking-desk/book", key)
			return status == http.StatusOK
		})
		assert.Equal(t, platformStandin.Runs(key), int64(1))
	}
}
