package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/loadreport"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/registry"
	"balsamhill/pkg/routing"
)

// fakeStore is an in-memory Store.
type fakeStore struct {
	mu      sync.Mutex
	down    bool
	version uint64
	era     uint64
	rows    map[feed.Table]map[string]feed.Row
	changed chan struct{}
	calls   int
}

var errDown = errors.New("the store is down")

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[feed.Table]map[string]feed.Row{}, changed: make(chan struct{})}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) countCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) write(table feed.Table, key string, value []byte, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows[table] == nil {
		s.rows[table] = map[string]feed.Row{}
	}
	s.version++
	s.rows[table][key] = feed.Row{Key: key, Value: value, Version: s.version, Deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) changesAfter(table feed.Table, version uint64) (batch feed.Batch, changed chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return feed.Batch{}, nil, errDown
	}
	if version > s.version {
		return feed.Batch{}, nil, ErrHistoryGone
	}
	for _, row := range s.rows[table] {
		if row.Version > version {
			batch.Rows = append(batch.Rows, row)
		}
	}
	batch.Era, batch.AsOf = s.era, s.version
	return batch, s.changed, nil
}

// copyRows returns a copy of the store's state.
func (s *fakeStore) copyRows() (rows map[feed.Table]map[string]feed.Row, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = make(map[feed.Table]map[string]feed.Row)
	for table, content := range s.rows {
		rows[table] = maps.Clone(content)
	}
	return rows, s.version
}

// returnFrom lets the store return from an earlier copy, in a new era.
func (s *fakeStore) returnFrom(rows map[feed.Table]map[string]feed.Row, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = rows, version
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) recordCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *fakeStore) Read(_ context.Context, table feed.Table) (feed.Batch, error) {
	s.recordCall()
	batch, _, err := s.changesAfter(table, 0)
	batch.Full = true
	return batch, err
}

func (s *fakeStore) Changes(ctx context.Context, table feed.Table, after uint64, wait time.Duration) (feed.Batch, error) {
	s.recordCall()
	deadline := time.After(wait)
	for {
		batch, changed, err := s.changesAfter(table, after)
		if err != nil || len(batch.Rows) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-deadline:
			return batch, nil
		case <-ctx.Done():
			return feed.Batch{}, ctx.Err()
		}
	}
}

func (s *fakeStore) Put(_ context.Context, table feed.Table, key string, value []byte) error {
	s.recordCall()
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		return errDown
	}
	s.write(table, key, value, false)
	return nil
}

// fakeCodec decodes configurations that consist of a revision and, after a space, any
// text, and entries in JSON.
type fakeCodec struct{}

func (fakeCodec) DecodeConfig(row feed.Row) (*Document, error) {
	number, _, _ := strings.Cut(string(row.Value), " ")
	revision, err := strconv.ParseUint(number, 10, 64)
	rule := preset.Rule{Host: "h", PathPrefix: "/", Class: preset.ClassFetch, Backends: []preset.Backend{{Service: "s", Weight: 1}}}
	return &Document{Revision: revision, Routing: &preset.Routing{
		Rules: []preset.Rule{rule}, Services: []preset.ServiceRule{{Name: "s"}},
	}}, err
}

func (fakeCodec) ConfigRevision(row feed.Row) uint64 {
	const maxNumberBytes = 20
	number, _, _ := strings.Cut(string(row.Value[:min(len(row.Value), maxNumberBytes)]), " ")
	revision, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0
	}
	return revision
}

func (fakeCodec) DecodeEntry(row feed.Row) (registry.Entry, error) {
	var entry registry.Entry
	err := json.Unmarshal(row.Value, &entry)
	return entry, err
}

func (fakeCodec) Protocol() proxy.Protocol { return nil }

func (fakeCodec) ParseProbeResponse(http.Header) (string, loadreport.Report, bool) {
	return "", loadreport.Report{}, false
}

func freePort() (int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// startEdge starts a gateway in the failure domain "d" of the region "r".
func startEdge(t *testing.T, id string, store Store, seeds ...string) *Edge {
	t.Helper()
	return startEdgeIn(t, id, "r", "d", store, seeds...)
}

// newEdge creates a gateway with free ports. It returns an error if another process has
// taken one of them since.
func newEdge(id, region, domain string, store Store, seeds ...string) (*Edge, error) {
	internal, err := freePort()
	if err != nil {
		return nil, err
	}
	bootstrap, err := freePort()
	if err != nil {
		return nil, err
	}
	return New(&Settings{
		ID: id, IP: "127.0.0.1", Region: region, FailureDomain: domain, Regions: map[string]string{"d": "r", "far": "other"},
		TrafficAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", ReadyPath: "/ready", InternalPort: internal,
		BootstrapAddress: fmt.Sprintf("127.0.0.1:%d", bootstrap), Seeds: seeds, CPUShare: 1,
		Limits: Limits{ShutdownGracePeriod: 4 * time.Second, RetryPercent: 20, RetryBurst: 60},
	}, store, fakeCodec{}, slog.New(slog.DiscardHandler))
}

// openEdge creates a gateway and opens its listeners. It retries with other ports if
// another process has taken one since it was chosen.
func openEdge(t *testing.T, id, region, domain string, store Store, seeds ...string) *Edge {
	t.Helper()
	e, err := newEdge(id, region, domain, store, seeds...)
	for tries := 1; errors.Is(err, syscall.EADDRINUSE) && tries < 5; tries++ {
		e, err = newEdge(id, region, domain, store, seeds...)
	}
	assert.NilError(t, err)
	return e
}

// idleEdge returns a gateway that does not run. Its listeners are closed when the test ends.
func idleEdge(t *testing.T, id string) *Edge {
	t.Helper()
	e := openEdge(t, id, "r", "d", newFakeStore())
	t.Cleanup(func() {
		for _, c := range []io.Closer{e.trafficListener, e.readyListener, e.peerListener, e.bootstrapListener, e.datagrams} {
			assert.Check(t, c.Close())
		}
	})
	return e
}

// startEdgeIn starts a gateway and stops it when the test ends.
func startEdgeIn(t *testing.T, id, region, domain string, store Store, seeds ...string) *Edge {
	t.Helper()
	e := openEdge(t, id, region, domain, store, seeds...)
	runUntilCleanup(t, e)
	return e
}

// runUntilCleanup runs a gateway until the test ends.
func runUntilCleanup(t *testing.T, e *Edge) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, e.Run(ctx))
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// eventually fails the test if a condition is not met within the limit.
func eventually(t *testing.T, what string, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: not met within %s", what, limit)
}

func (e *Edge) revision() uint64 {
	if snapshot := e.snapshot.Load(); snapshot != nil {
		return snapshot.Version.Revision
	}
	return 0
}

func (e *Edge) hasServer(server string) bool {
	snapshot := e.snapshot.Load()
	return snapshot != nil && snapshot.ServersByID[server] != nil
}

// server returns a server of the current snapshot.
func (e *Edge) server(id string) *routing.Server {
	return e.snapshot.Load().ServersByID[id]
}

func entry(id string, started uint64) []byte {
	value, _ := json.Marshal(registry.Entry{
		ID: id, Service: "s", Address: "127.0.0.1:1", FailureDomain: "d", Slots: 4, Started: started,
	})
	return value
}

// storeWith returns a store that holds a configuration and servers.
func storeWith(servers ...string) *fakeStore {
	store := newFakeStore()
	store.write(feed.Config, "config", []byte("1"), false)
	for _, id := range servers {
		store.write(feed.Servers, id, entry(id, 1), false)
	}
	return store
}

// TestStartWithoutStore guards against a gateway that never becomes ready because the
// store is unreachable at its start, although a peer holds all tables.
func TestStartWithoutStore(t *testing.T) {
	store := storeWith("a")
	first := startEdge(t, "first", store)
	eventually(t, "first is ready", 5*time.Second, first.ready)
	store.setDown(true)
	second := startEdge(t, "second", store, first.settings.BootstrapAddress)
	eventually(t, "second is ready", 5*time.Second, second.ready)
	assert.Equal(t, second.revision(), uint64(1))
	assert.Assert(t, second.hasServer("a"))
}

// TestStartLongAfterStoreLost guards against a gateway that never becomes ready because the
// store was lost long before its start: the copies of its peers, which all serve with them, are
// older than the limit up to which a gateway reads from a peer in place of the store.
func TestStartLongAfterStoreLost(t *testing.T) {
	store := storeWith("a")
	first := startEdge(t, "first", store)
	eventually(t, "first is ready", 5*time.Second, first.ready)
	store.setDown(true)
	time.Sleep(first.maxTableAge + 500*time.Millisecond)
	second := startEdge(t, "second", store, first.settings.BootstrapAddress)
	eventually(t, "second is ready", 5*time.Second, second.ready)
	assert.Equal(t, second.revision(), uint64(1))
	assert.Assert(t, second.hasServer("a"))
}

// TestChangesTakeEffectWithinBound guards against a gateway that misses a changed
// configuration or a removed server, also while it receives no messages from the gateway
// that reads the store.
func TestChangesTakeEffectWithinBound(t *testing.T) {
	store := storeWith("a")
	first := startEdge(t, "first", store)
	second := startEdge(t, "second", store, first.settings.BootstrapAddress)
	all := func(done func(e *Edge) bool) func() bool {
		return func() bool { return done(first) && done(second) }
	}
	eventually(t, "both are ready", 5*time.Second, all((*Edge).ready))
	eventually(t, "they receive messages from each other", 5*time.Second, all(func(e *Edge) bool {
		e.peersMu.Lock()
		defer e.peersMu.Unlock()
		return e.peers.AliveInGroup(e.now()) == 1
	}))
	store.write(feed.Config, "config", []byte("5"), false)
	store.write(feed.Servers, "a", nil, true)
	eventually(t, "the change is in force", 2500*time.Millisecond, all(func(e *Edge) bool { return e.revision() == 5 && !e.hasServer("a") }))
	reader, other := first, second
	if second.longPollsStore(second.now()) {
		reader, other = second, first
	}
	assert.NilError(t, reader.datagrams.Close())
	store.write(feed.Config, "config", []byte("6"), false)
	eventually(t, "the change is in force without the reader", 2500*time.Millisecond, func() bool { return other.revision() == 6 })
}

// TestOlderVersionIsIgnored guards against a configuration that is replaced by an older
// one that a peer or the store returns.
func TestOlderVersionIsIgnored(t *testing.T) {
	store := newFakeStore()
	store.write(feed.Config, "config", []byte("7"), false)
	e := startEdge(t, "only", store)
	eventually(t, "version 7", 5*time.Second, func() bool { return e.revision() == 7 })
	store.write(feed.Config, "config", []byte("3"), false)
	store.write(feed.Servers, "b", entry("b", 1), false)
	eventually(t, "the next change", 5*time.Second, func() bool { return e.hasServer("b") })
	assert.Equal(t, e.revision(), uint64(7))
}

// TestStoreOutageCausesFewCalls guards against a fleet that floods an unreachable store
// with calls.
func TestStoreOutageCausesFewCalls(t *testing.T) {
	store := newFakeStore()
	store.write(feed.Config, "config", []byte("1"), false)
	e := startEdge(t, "only", store)
	eventually(t, "a configuration", 5*time.Second, func() bool { return e.revision() == 1 })
	store.setDown(true)
	before := store.countCalls()
	time.Sleep(2 * time.Second)
	// The minimum backoff allows five calls a second for each of two tables.
	assert.Assert(t, store.countCalls()-before <= 30, "%d calls", store.countCalls()-before)
	store.setDown(false)
	store.write(feed.Config, "config", []byte("2"), false)
	eventually(t, "the change after the outage", 2*time.Second, func() bool { return e.revision() == 2 })
}

// TestReadiness guards against callers that are routed to a gateway that has no tables
// yet or is shutting down.
func TestReadiness(t *testing.T) {
	store := newFakeStore()
	store.setDown(true)
	e := startEdge(t, "only", store)
	status := func() int {
		w := httptest.NewRecorder()
		e.readyHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		return w.Code
	}
	assert.Equal(t, status(), http.StatusServiceUnavailable)
	store.setDown(false)
	store.write(feed.Config, "config", []byte("1"), false)
	eventually(t, "ready", 5*time.Second, func() bool { return status() == http.StatusOK })
	e.stopping.Store(true)
	assert.Equal(t, status(), http.StatusServiceUnavailable)
	e.stopping.Store(false)
}

// TestPeerReadOfInitiallyEmptyTable guards against a gateway that cannot read a table from
// a peer that first read it while it was empty: it would request the table from its peers in
// a loop and not become ready.
func TestPeerReadOfInitiallyEmptyTable(t *testing.T) {
	store := newFakeStore()
	first := startEdge(t, "first", store)
	awaitTables(t, first)
	store.write(feed.Config, "config", []byte("1"), false)
	store.write(feed.Servers, "a", entry("a", 1), false)
	eventually(t, "first is ready", 5*time.Second, first.ready)
	store.setDown(true)
	second := startEdge(t, "second", store, first.settings.BootstrapAddress)
	eventually(t, "second is ready", 5*time.Second, second.ready)
}

// awaitTables waits until a gateway has read both tables.
func awaitTables(t *testing.T, e *Edge) {
	t.Helper()
	eventually(t, e.settings.ID+" has read the tables", 5*time.Second, func() bool {
		_, configRead := e.watchers[0].state(e.now())
		_, serversRead := e.watchers[1].state(e.now())
		return configRead && serversRead
	})
}

// readOnlyStore is a store that refuses the rows of the gateways, so that its version stays 0
// until the test writes.
type readOnlyStore struct{ *fakeStore }

func (readOnlyStore) Put(context.Context, feed.Table, string, []byte) error { return errDown }

// TestPeerReadOfTableAtVersionZero guards against a gateway that never becomes ready because
// the store was lost before it wrote its first entry: a peer that has read the empty table
// describes it like one that has not read it.
func TestPeerReadOfTableAtVersionZero(t *testing.T) {
	store := readOnlyStore{newFakeStore()}
	first := startEdge(t, "first", store)
	awaitTables(t, first)
	store.write(feed.Config, "config", []byte("1"), false)
	eventually(t, "first is ready", 5*time.Second, first.ready)
	store.setDown(true)
	store.write(feed.Servers, "a", entry("a", 1), false)
	second := startEdge(t, "second", store, first.settings.BootstrapAddress)
	eventually(t, "second is ready", 5*time.Second, second.ready)
}

// TestLoadReportsReachOtherRegions guards against gateways without the load of servers in
// other regions, which neither use the free slots of these servers nor avoid the loaded
// ones.
func TestLoadReportsReachOtherRegions(t *testing.T) {
	store := storeWith("a")
	first := startEdge(t, "first", store)
	gateways := []*Edge{
		first,
		startEdge(t, "second", store, first.settings.BootstrapAddress),
		startEdgeIn(t, "third", "other", "far", store, first.settings.BootstrapAddress),
		startEdgeIn(t, "fourth", "other", "far", store, first.settings.BootstrapAddress),
	}
	for _, e := range gateways {
		eventually(t, e.settings.ID+" has the server", 5*time.Second, func() bool { return e.hasServer("a") })
	}
	first.server("a").Stats.ReportLoad(first.now(), 3, 7000)
	for _, e := range gateways[1:] {
		eventually(t, e.settings.ID+" has the load", 5*time.Second, func() bool {
			return e.server("a").Stats.ReportedInFlight() == 3 && e.server("a").Stats.ReportedSlowdown() == 7
		})
	}
}

// TestJoiningGatewayReceivesLoadReports guards against a gateway that never receives the
// reports that others sent before it joined, which happens if a report is sent only when
// it changes.
func TestJoiningGatewayReceivesLoadReports(t *testing.T) {
	store := storeWith("a")
	first := startEdge(t, "first", store)
	eventually(t, "first has the server", 5*time.Second, func() bool { return first.hasServer("a") })
	first.server("a").Stats.ReportLoad(first.now(), 3, 7000)
	eventually(t, "first has sent the report", time.Second, func() bool {
		return first.now()-first.server("a").Stats.ReportedAt() > int64(2*sendInterval)
	})
	second := startEdge(t, "second", store, first.settings.BootstrapAddress)
	eventually(t, "second has the server", 5*time.Second, func() bool { return second.hasServer("a") })
	eventually(t, "second has the load", 5*time.Second, func() bool {
		return second.server("a").Stats.ReportedInFlight() == 3 && second.server("a").Stats.ReportedSlowdown() == 7
	})
}

// TestJoiningGatewayReceivesUnresponsiveServers guards against a gateway that sends calls
// to an unresponsive server because the only message that reported it was lost.
func TestJoiningGatewayReceivesUnresponsiveServers(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	store := storeWith(ids...)
	first := startEdge(t, "first", store)
	hasAll := func(e *Edge) func() bool {
		return func() bool { return !slices.ContainsFunc(ids, func(id string) bool { return !e.hasServer(id) }) }
	}
	eventually(t, "first has the servers", 5*time.Second, hasAll(first))
	for _, id := range ids {
		first.server(id).Stats.SetUnresponsive(true)
	}
	before := first.now()
	eventually(t, "first has sent the reports", time.Second, func() bool {
		return first.now()-before > int64(2*sendInterval)
	})
	second := startEdge(t, "second", store, first.settings.BootstrapAddress)
	eventually(t, "second has the servers", 5*time.Second, hasAll(second))
	eventually(t, "second has the unresponsive servers that first probes", 5*time.Second, func() bool {
		assignment := first.assignment.Load()
		probed := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !first.shouldProbe(assignment, first.server(id)) })
		return len(probed) > 0 && len(probed) < len(ids) &&
			!slices.ContainsFunc(probed, func(id string) bool { return !second.server(id).Stats.Unresponsive() })
	})
}

// TestOneRegionReadsStoreForAll guards against regions that all read the store although
// one reads it for all, and against a region that misses a change when the one that reads
// no longer sends messages.
func TestOneRegionReadsStoreForAll(t *testing.T) {
	store := storeWith("a")
	first := startEdgeIn(t, "first", "other", "far", store)
	second := startEdge(t, "second", store, first.settings.BootstrapAddress)
	all := func(done func(e *Edge) bool) func() bool {
		return func() bool { return done(first) && done(second) }
	}
	eventually(t, "both are ready", 5*time.Second, all((*Edge).ready))
	eventually(t, "the first region reads for both", 10*time.Second, func() bool {
		return first.longPollsStore(first.now()) && !second.longPollsStore(second.now())
	})
	// Two long polls of the second gateway may still be open.
	time.Sleep(second.longPollWait)
	before := store.countCalls()
	time.Sleep(3 * first.longPollWait)
	// For each of two tables three long polls and one more that is open at either end of
	// the interval, and two calls to synchronize the known gateways.
	assert.Assert(t, store.countCalls()-before <= 2*4+2, "%d calls", store.countCalls()-before)

	store.write(feed.Config, "config", []byte("5"), false)
	eventually(t, "the change is in force", 2500*time.Millisecond, all(func(e *Edge) bool { return e.revision() == 5 }))
	assert.NilError(t, first.datagrams.Close())
	store.write(feed.Config, "config", []byte("6"), false)
	eventually(t, "the change is in force without the region that reads", 2500*time.Millisecond, func() bool {
		return second.revision() == 6
	})
}
