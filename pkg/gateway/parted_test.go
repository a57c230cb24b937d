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

// storePreset stores an example preset, perhaps edited, and makes it the one in force.
func storePreset(t *testing.T, client *httpplatform.Client, name string, edit func(string) string) {
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

// link is the connection between the regions. While it is cut, whatever crosses
// it gets no answer, and open connections across it are closed.
type link struct {
	cut   atomic.Bool
	mu    sync.Mutex
	conns []net.Conn
}

func (l *link) setCut(cut bool) {
	l.cut.Store(cut)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

func (l *link) add(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	if l.cut.Load() {
		_ = conn.Close()
	}
}

// linkedNetwork is the network of a gateway that has all its peers across the link.
type linkedNetwork struct {
	peer.Network
	link *link
}

func (n linkedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
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

func (n linkedNetwork) Accept() (net.Conn, error) {
	conn, err := n.Network.Accept()
	if err == nil {
		n.link.add(conn)
	}
	return conn, err
}

// linkedTransport carries a far gateway's requests to the platform.
type linkedTransport struct {
	http.RoundTripper
	link *link
}

func (l linkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if l.link.cut.Load() {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return l.RoundTripper.RoundTrip(request)
}

// linkedPlatform is a relay in front of the platform that the link can cut.
func linkedPlatform(t *testing.T, target string, l *link) *httpplatform.Client {
	t.Helper()
	transport := linkedTransport{RoundTripper: http.DefaultTransport, link: l}
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.RequestURI(), r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if l.cut.Load() {
			// net/http only notices that the caller has gone once the body is read.
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
	t.Cleanup(relay.Close)
	client := httpplatform.New(relay.URL)
	t.Cleanup(client.Close)
	return client
}

// regionGateway returns a gateway in a region that does not run yet.
func regionGateway(t *testing.T, id, region string, p platform.Platform) *Gateway {
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

// connectThrough gives a gateway that does not run yet a peer network that the
// link can cut. The rest of the exchange is as newPeers makes it.
func connectThrough(t *testing.T, g *Gateway, l *link) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := g.peers
	p.address = listener.Addr().String()
	p.exchange = peer.New(peer.Config{
		Self: membership.Gateway{ID: g.settings.VM.ID, Incarnation: g.incarnation,
			Region: g.settings.VM.Region, Peer: p.address},
		Network:       linkedNetwork{Network: peer.NewTCP(listener), link: l},
		Handler:       p.handler(),
		CurrentPreset: p.current,
		State:         func() membership.State { return g.row().State },
		Link:          g.budgets.link,
		Log:           g.log,
		Seed:          1,
	})
}

// startStandinServer runs a stand-in server and enters it in the list.
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

// propagation is the time in which an accepted preset must be in force.
const propagation = 8 * time.Second

// Guards presets and bookings while the regions are parted: the far region keeps
// its preset and serves fetches, refuses bookings with a key without running them,
// and adopts the change within 8 s of the moment the link returns, without ever
// going back to an earlier revision.
func TestRegionsPartAndHeal(t *testing.T) {
	platformStandin := standin.New()
	store := httptest.NewServer(platformStandin)
	t.Cleanup(store.Close)
	client := httpplatform.New(store.URL)
	t.Cleanup(client.Close)
	putPresetInForce(t, client)
	storePreset(t, client, "peak", nil)
	storePreset(t, client, "ordinary", nil)
	for _, region := range []string{"khomas", "erongo"} {
		startStandinServer(t, client, "desk-"+region, "booking-desk", region, nil)
	}
	l := &link{}
	near := []*Gateway{regionGateway(t, "gw-1", "khomas", client), regionGateway(t, "gw-2", "khomas", client)}
	far := regionGateway(t, "gw-3", "erongo", linkedPlatform(t, store.URL, l))
	connectThrough(t, far, l)
	all := append([]*Gateway{far}, near...)
	for _, g := range all {
		startGateway(t, g)
	}
	for _, g := range all {
		waitUntil(t, "service served and peers connected", func() bool {
			status, _, _ := callGateway(t, g, http.MethodGet, "/booking-desk/ready", "")
			return status == http.StatusOK && g.connectedPeers() == len(all)-1 && g.notReady() == ""
		})
	}
	status, _, _ := callGateway(t, far, http.MethodPost, "/booking-desk/book", "before")
	assert.Equal(t, status, http.StatusOK)
	before := far.Status().Revision

	l.setCut(true)
	storePreset(t, client, "peak", nil)
	accepted := time.Now()
	for _, g := range near {
		waitUntil(t, "change in the near region", func() bool { return g.Status().Preset == "peak" })
	}
	assert.Assert(t, time.Since(accepted) <= propagation)
	changed := near[0].Status().Revision
	waitUntil(t, "far gateway notices the parting", func() bool { return far.connectedPeers() == 0 })
	for i := range 5 {
		status, _, _ = callGateway(t, far, http.MethodGet, "/booking-desk/free", "")
		assert.Equal(t, status, http.StatusOK)
		key := fmt.Sprintf("parted-%d", i)
		status, outcome, body := callGateway(t, far, http.MethodPost, "/booking-desk/book", key)
		assert.Equal(t, status, http.StatusServiceUnavailable, body)
		// Other gateways cannot be asked, so nothing may be promised.
		assert.Equal(t, outcome, "unknown", body)
		status, _, _ = callGateway(t, near[0], http.MethodPost, "/booking-desk/book", fmt.Sprintf("near-%d", i))
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, far.Status().Revision, before)
	assert.Equal(t, far.Status().Preset, "ordinary")

	l.setCut(false)
	healed := time.Now()
	last := before
	waitUntil(t, "far gateway adopts the change", func() bool {
		revision := far.Status().Revision
		assert.Assert(t, revision >= last, "revision %d after %d", revision, last)
		last = revision
		return revision == changed
	})
	assert.Assert(t, time.Since(healed) <= propagation, "adopted after %v", time.Since(healed))
	assert.Equal(t, far.Status().Preset, "peak")
	for i := range 5 {
		key := fmt.Sprintf("parted-%d", i)
		waitUntil(t, "booking after the parting", func() bool {
			status, _, _ := callGateway(t, far, http.MethodPost, "/booking-desk/book", key)
			return status == http.StatusOK
		})
		assert.Equal(t, platformStandin.Runs(key), int64(1))
	}
}
