package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/loadreport"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/registry"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/serverconn"
)

// linkState is the state of the links between a gateway and all servers.
type linkState int

const (
	linkWhole linkState = iota
	// linkHangs swallows what is sent; new connections time out.
	linkHangs
	// linkResets has reset the connections, and resets new ones.
	linkResets
	// linkRefuses keeps open connections alive and refuses new ones.
	linkRefuses
)

// serverLinks are the links between a gateway and all servers.
type serverLinks struct {
	mu    sync.Mutex
	state linkState
	// changed is closed when the state changes.
	changed chan struct{}
	conns   map[*cutConn]bool
}

func newServerLinks() *serverLinks {
	return &serverLinks{changed: make(chan struct{}), conns: make(map[*cutConn]bool)}
}

func (l *serverLinks) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	if state == linkResets {
		for c := range l.conns {
			_ = c.Conn.Close()
		}
	}
}

func (l *serverLinks) current() (linkState, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// dial is a serverconn.DialFunc.
func (l *serverLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch state, _ := l.current(); state {
	case linkResets:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET}
	case linkRefuses:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case linkHangs:
		select {
		case <-time.After(serverconn.ConnectTimeout):
			return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	conn, err := serverconn.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &cutConn{Conn: conn, links: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// cutConn is a connection that carries nothing while its link hangs.
type cutConn struct {
	net.Conn
	links     *serverLinks
	closeOnce sync.Once
	closed    chan struct{}
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for {
		state, changed := c.links.current()
		if state != linkHangs {
			return n, err
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

func (c *cutConn) Write(p []byte) (int, error) {
	if state, _ := c.links.current(); state == linkHangs {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}

// serverIDHeader is the header in which the servers of these tests name themselves.
const serverIDHeader = "Server-Id"

// probingCodec is a fakeCodec with a route for calls that may be repeated, one for calls that
// may not, and probes.
type probingCodec struct{ fakeCodec }

func (c probingCodec) DecodeConfig(row feed.Row) (*Document, error) {
	document, err := c.fakeCodec.DecodeConfig(row)
	if err != nil {
		return nil, err
	}
	backends := []preset.Backend{{Service: "s", Weight: 1}}
	document.Routing = &preset.Routing{
		Rules: []preset.Rule{
			{Host: "h", PathPrefix: "/read/", Class: preset.ClassFetch, Backends: backends, MaxAttempts: 2, TimeoutMillis: 4000},
			{Host: "h", PathPrefix: "/book/", Class: preset.ClassBooking, Backends: backends, MaxAttempts: 2, TimeoutMillis: 4000},
		},
		Services: []preset.ServiceRule{{Name: "s", ProbePath: "/health"}},
	}
	return document, nil
}

func (probingCodec) ParseProbeResponse(header http.Header) (string, loadreport.Report, bool) {
	return header.Get(serverIDHeader), loadreport.Report{InFlight: 1, SlowdownPermille: 1000}, true
}

// runCounter counts how often each request ran on any server.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *runCounter) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

func (r *runCounter) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// startServers starts servers and writes their entries. A server repeats the body of the request.
func startServers(t *testing.T, store *fakeStore, count int) *runCounter {
	t.Helper()
	runs := &runCounter{runs: make(map[string]int)}
	for n := range count {
		id := fmt.Sprintf("server-%d", n)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(serverIDHeader, id)
			if r.URL.Path == "/health" {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			runs.add(r.Header.Get("X-Request-Id"))
			_, _ = w.Write(append([]byte("answer to "), body...))
		}))
		t.Cleanup(server.Close)
		value, err := json.Marshal(registry.Entry{
			ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), FailureDomain: "d", Slots: 4, Started: 1,
		})
		assert.NilError(t, err)
		store.write(feed.Servers, id, value, false)
	}
	return runs
}

// cutGateway is a gateway whose links to the servers a test can cut.
type cutGateway struct {
	*Edge
	links *serverLinks
}

// startCutGateways starts gateways that know each other and the servers of the store.
func startCutGateways(t *testing.T, store *fakeStore, servers int, ids ...string) []cutGateway {
	t.Helper()
	var gateways []cutGateway
	for _, id := range ids {
		var seeds []string
		if len(gateways) > 0 {
			seeds = []string{gateways[0].settings.BootstrapAddress}
		}
		g := cutGateway{Edge: openEdge(t, id, "r", "d", store, seeds...), links: newServerLinks()}
		g.codec = probingCodec{}
		g.dialServer = g.links.dial
		runUntilCleanup(t, g.Edge)
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		eventually(t, g.settings.ID+" has the servers", 5*time.Second, func() bool {
			snapshot := g.snapshot.Load()
			return snapshot != nil && len(snapshot.ServersByID) == servers
		})
		eventually(t, g.settings.ID+" knows the others", 5*time.Second, func() bool {
			g.peersMu.Lock()
			defer g.peersMu.Unlock()
			return g.peers.AliveInGroup(g.now()) == len(ids)-1
		})
	}
	return gateways
}

// answer is the answer to a call.
type answer struct {
	status int
	body   string
}

var cutClient = &http.Client{Timeout: 5 * time.Second}

// send sends a call with a body to the gateway and returns its answer; a failed one has the
// status 0.
func (g cutGateway) send(t *testing.T, path, id, body string) answer {
	t.Helper()
	method := http.MethodPost
	if strings.HasPrefix(path, "/read/") {
		method = http.MethodGet
	}
	request, err := http.NewRequest(method, "http://"+g.trafficListener.Addr().String()+path, bytes.NewBufferString(body))
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set("X-Request-Id", id)
	response, err := cutClient.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, body: string(text)}
}

// cutBound is the time after which a cut must no longer show to callers.
const cutBound = 4 * time.Second

// TestGatewayCutOffFromServersServesCallers guards against a gateway that refuses or fails its
// callers' calls while it reaches no server, although other gateways do.
func TestGatewayCutOffFromServersServesCallers(t *testing.T) {
	cuts := []struct {
		desc  string
		state linkState
	}{{"hang", linkHangs}, {"reset", linkResets}, {"refused", linkRefuses}}
	for _, cut := range cuts {
		t.Run(cut.desc, func(t *testing.T) {
			store := storeWith()
			runs := startServers(t, store, 6)
			gateways := startCutGateways(t, store, 6, "first", "second", "third")
			first := gateways[0]
			assert.Equal(t, first.send(t, "/read/x", "before", "").status, http.StatusOK)
			first.links.set(cut.state)
			end := time.Now().Add(cutBound)
			for n := 0; time.Now().Before(end); n++ {
				first.send(t, "/book/x", fmt.Sprintf("early-%d", n), "b")
				time.Sleep(50 * time.Millisecond)
			}
			for n := range 40 {
				id, path := fmt.Sprintf("late-%d", n), "/read/x"
				if n%2 == 0 {
					path = "/book/x"
				}
				assert.Check(t, first.send(t, path, id, id) == answer{http.StatusOK, "answer to " + id}, "call %s", id)
				assert.Check(t, runs.of(id) == 1, "call %s ran %d times", id, runs.of(id))
			}
		})
	}
}

// TestCutOffGatewaysDoNotMisleadOthers guards against a gateway that takes servers for
// unresponsive because gateways that reach no server say so.
func TestCutOffGatewaysDoNotMisleadOthers(t *testing.T) {
	store := storeWith()
	startServers(t, store, 8)
	gateways := startCutGateways(t, store, 8, "first", "second", "third", "fourth")
	for _, g := range gateways[1:] {
		g.links.set(linkHangs)
	}
	for end := time.Now().Add(cutBound / 2); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for id, server := range gateways[0].snapshot.Load().ServersByID {
			assert.Assert(t, !server.Stats.Unresponsive(), "server %s counts as unresponsive", id)
		}
	}
}

// TestGatewayServesItselfSoonAfterCut guards against a gateway that goes on handing off calls, or that
// sends none to servers that failed only because of the cut, after its links are back.
func TestGatewayServesItselfSoonAfterCut(t *testing.T) {
	store := storeWith()
	startServers(t, store, 6)
	gateways := startCutGateways(t, store, 6, "first", "second")
	first := gateways[0]
	first.links.set(linkRefuses)
	eventually(t, "first is isolated", cutBound, func() bool {
		first.send(t, "/book/x", "early", "b")
		return first.contact.Isolated()
	})
	first.links.set(linkWhole)
	eventually(t, "first reaches servers", time.Second, func() bool { return !first.contact.Isolated() })
	handoffs := first.metrics.GetOrCreateCounter(`balsamhill_handoffs_total{result="taken"}`)
	before := handoffs.Get()
	for n := range 20 {
		assert.Equal(t, first.send(t, "/book/x", fmt.Sprintf("late-%d", n), "b").status, http.StatusOK)
	}
	assert.Equal(t, handoffs.Get(), before)
	eventually(t, "all servers are available", time.Second, func() bool {
		for _, server := range first.snapshot.Load().ServersByID {
			if server.Availability != routing.Available || server.Stats.Unresponsive() {
				return false
			}
		}
		return true
	})
}
