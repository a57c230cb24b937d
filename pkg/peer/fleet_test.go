package peer

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/peer/peerpb"
)

// node is an exchange with a minimal replacement for the control loop: it adopts every
// preset with a higher revision.
type node struct {
	*Exchange
	id, region string
	stop       context.CancelFunc
	done       chan struct{}

	mu       sync.Mutex
	revision uint64
	document []byte
	source   string
	previous []uint64
	// ignorePresets makes the node ignore documents, like a gateway that cannot adopt
	// them.
	ignorePresets bool
	drains        []string
	// inForce holds the drains that are sent to gateways that join.
	inForce []Drain
	// knownDrains holds the servers whose drain was received.
	knownDrains map[string]bool
	suspicions  []string
	lost        []string
	hasAttempt  map[string]bool
	loads       []string
	link        countingLink
}

// countingLink allows all frames and counts their bytes.
type countingLink struct{ bytes atomic.Uint64 }

func (l *countingLink) Allow(_ FrameKind, bytes int) bool {
	l.bytes.Add(uint64(bytes))
	return true
}

// record appends a received message to one of the lists.
func (n *node) record(list *[]string, values ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*list = append(*list, fmt.Sprint(values...))
}

func (n *node) summary(_ string, loads []*peerpb.ServerLoad) {
	for _, load := range loads {
		n.record(&n.loads, load.GetServerId(), "=", load.GetInFlight())
	}
}

// drain forwards the first notice about a server, as control does.
func (n *node) drain(_ string, drain Drain) {
	n.record(&n.drains, drain.ServerID, "@", drain.Age)
	n.mu.Lock()
	first := !n.knownDrains[drain.ServerID]
	n.knownDrains[drain.ServerID] = true
	n.mu.Unlock()
	if first {
		n.AnnounceDrain(drain)
	}
}

func (n *node) sendDrains(peer string) {
	n.mu.Lock()
	drains := slices.Clone(n.inForce)
	n.mu.Unlock()
	n.SendDrains(peer, drains)
}

func (n *node) current() (uint64, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revision, n.document
}

// offer adopts a higher revision, as control does, and announces it to the peers.
func (n *node) offer(source string, revision uint64, document []byte) {
	n.mu.Lock()
	if n.ignorePresets || revision <= n.revision {
		n.mu.Unlock()
		return
	}
	n.previous = append(n.previous, n.revision)
	n.revision, n.document, n.source = revision, document, source
	n.mu.Unlock()
	n.AnnouncePreset()
}

func (n *node) addAttempt(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hasAttempt[key] = true
}

type testFleet struct {
	t     *testing.T
	net   *memoryNet
	nodes []*node
}

func address(id string) string { return id + ":1" }

// add starts a node. The seeds are IDs of nodes.
func (f *testFleet) add(id, region string, incarnation uint64, seeds ...string) *node {
	n := &node{id: id, region: region, done: make(chan struct{}), hasAttempt: make(map[string]bool), knownDrains: make(map[string]bool)}
	var addresses []string
	for _, seed := range seeds {
		addresses = append(addresses, address(seed))
	}
	n.Exchange = New(Config{
		Self:          membership.Gateway{ID: id, Incarnation: incarnation, Region: region, Peer: address(id)},
		Network:       f.net.listen(address(id), region),
		Seeds:         addresses,
		CurrentPreset: n.current,
		State:         func() membership.State { return membership.StateReady },
		Handler: Handler{
			Preset: n.offer,
			Drain:  n.drain,
			Joined: n.sendDrains,
			Suspicion: func(_ string, f crashguard.Fingerprint, server crashguard.Server) {
				n.record(&n.suspicions, uint64(f), " ", server.ID, " ", server.Incarnation)
			},
			Summary: n.summary,
			Lost:    func(peer string) { n.record(&n.lost, peer) },
			HasAttempt: func(service, key string) bool {
				n.mu.Lock()
				defer n.mu.Unlock()
				return n.hasAttempt[service+"/"+key]
			},
		},
		Link: &n.link,
		Seed: uint64(len(f.nodes)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		n.Run(ctx)
		close(n.done)
	}()
	f.nodes = append(f.nodes, n)
	return n
}

func (n *node) kill() {
	n.stop()
	<-n.done
}

// applyRows passes the rows of all nodes to each node.
func (f *testFleet) applyRows() {
	now := time.Now()
	var rows []membership.Row
	for _, n := range f.nodes {
		rows = append(rows, membership.Row{ID: n.id, Incarnation: 1, Region: n.region,
			Peer: address(n.id), State: membership.StateReady, WrittenAt: now})
	}
	for _, n := range f.nodes {
		n.ApplyRows(now, rows)
	}
}

// waitRevision waits until all nodes have the revision, at most for limit.
func (f *testFleet) waitRevision(revision uint64, limit time.Duration) {
	f.t.Helper()
	began := time.Now()
	for {
		behind := ""
		for _, n := range f.nodes {
			got, _ := n.current()
			if got != revision {
				behind += fmt.Sprintf(" %s:%d", n.id, got)
			}
		}
		if behind == "" {
			f.t.Logf("revision %d everywhere after %s", revision, time.Since(began))
			return
		}
		if time.Since(began) > limit {
			f.t.Fatalf("revision %d not everywhere after %s:%s", revision, limit, behind)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// runFleet runs a test with perRegion gateways in each of two regions.
func runFleet(t *testing.T, perRegion int, test func(f *testFleet)) {
	t.Helper()
	runRegions(t, perRegion, perRegion, test)
}

// runRegions runs a test with gateways of two regions that know each other from the
// gateway rows and hold revision 1.
func runRegions(t *testing.T, khomas, erongo int, test func(f *testFleet)) {
	t.Helper()
	// yamux keeps timers in a global sync.Pool. Timers of an earlier test belong to
	// its fake clock and must not be reused; two garbage collections empty the pool.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t: t, net: newMemoryNet()}
		defer func() {
			for _, n := range f.nodes {
				n.kill()
			}
		}()
		for i := range max(khomas, erongo) {
			if i < khomas {
				f.add(fmt.Sprintf("gw-a-%d", i), "khomas", 1)
			}
			if i < erongo {
				f.add(fmt.Sprintf("gw-b-%d", i), "erongo", 1)
			}
		}
		f.applyRows()
		for _, n := range f.nodes {
			n.offer("store", 1, []byte("first"))
		}
		time.Sleep(10 * time.Second)
		test(f)
	})
}

// propagationLimit is the time within which a revision must be in force everywhere.
const propagationLimit = 8 * time.Second

// TestRevisionReachesAll guards against gateways that miss a revision which only one
// gateway read before the store went down, and against pairs of gateways without a
// session.
func TestRevisionReachesAll(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		for _, n := range f.nodes {
			connected := 0
			for _, status := range n.Status() {
				assert.Assert(t, status.Alive, "%s sees %s dead", n.id, status.ID)
				if status.Connected {
					connected++
				}
			}
			assert.Equal(t, connected, len(f.nodes)-1, n.id)
		}
		f.nodes[0].offer("store", 2, []byte("second"))
		f.waitRevision(2, propagationLimit)
		for _, n := range f.nodes {
			_, document := n.current()
			assert.Equal(t, string(document), "second")
		}
	})
}

// TestSessionsLast guards against sessions that are closed without a fault: each pair
// keeps its first session, including pairs that exchange few heartbeats.
func TestSessionsLast(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		// Rows of replaced VMs whose addresses now belong to other gateways.
		for i, n := range f.nodes {
			n.ApplyRows(time.Now(), []membership.Row{
				{ID: "gone-1", Region: "khomas", Peer: address(n.id), WrittenAt: time.Now()},
				{ID: "gone-2", Region: "khomas", Peer: address(f.nodes[(i+1)%len(f.nodes)].id), WrittenAt: time.Now()},
			})
		}
		time.Sleep(5 * time.Minute)
		for _, n := range f.nodes {
			assert.Equal(t, n.Counters().Unresponsive.Load(), uint64(0), n.id)
			assert.Equal(t, n.Counters().Opened.Load(), uint64(len(f.nodes)-1), n.id)
		}
	})
}

// TestRevisionReachesLargeRegion guards the propagation of a revision in a region with
// so many gateways that each has only some of the others as neighbours.
func TestRevisionReachesLargeRegion(t *testing.T) {
	runRegions(t, 18, 3, func(f *testFleet) {
		f.nodes[7].offer("store", 2, []byte("second"))
		f.waitRevision(2, propagationLimit)
	})
}

// TestRevisionAfterPartition guards the recovery from a partition: the region that was
// cut off gets the revision within the limit after the link returns, and the other
// region is not delayed.
func TestRevisionAfterPartition(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		f.net.setCut(true)
		f.nodes[0].offer("store", 2, []byte("second"))
		time.Sleep(5 * time.Minute)
		for _, n := range f.nodes {
			want := uint64(1)
			if n.region == f.nodes[0].region {
				want = 2
			}
			got, _ := n.current()
			assert.Equal(t, got, want, n.id)
		}
		f.net.setCut(false)
		f.waitRevision(2, propagationLimit)
	})
}

// TestStalePeer guards against a gateway with an old revision that delays the adoption
// by others or makes them return to an earlier revision.
func TestStalePeer(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		stale := f.nodes[2]
		stale.mu.Lock()
		stale.ignorePresets = true
		stale.mu.Unlock()
		f.nodes[0].offer("store", 2, []byte("second"))
		f.nodes = append(f.nodes[:2], f.nodes[3:]...)
		f.waitRevision(2, propagationLimit)
		f.nodes[1].offer("store", 3, []byte("third"))
		f.waitRevision(3, propagationLimit)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		for _, n := range f.nodes {
			assert.Equal(t, fmt.Sprint(n.previous), "[0 1 2]", n.id)
		}
		stale.kill()
	})
}

// TestUnresponsiveConnections guards against connections that stay open but no longer
// transfer data: missing heartbeats must close them, and new connections must transfer
// the revision.
func TestUnresponsiveConnections(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		f.net.dropOpenConns()
		f.nodes[0].offer("store", 2, []byte("second"))
		// Relays detect the failure after 6 s and then need a backoff and a handshake.
		f.waitRevision(2, membership.RelayTimeout+propagationLimit)
		assert.Assert(t, f.nodes[0].Counters().Unresponsive.Load() > 0)
		synctest.Wait()
		assert.Assert(t, len(f.nodes[0].lost) > 0)
	})
}

// TestRelaysFail guards against a revision that does not reach a region because all its
// relays fail just before the change.
func TestRelaysFail(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		var remaining []*node
		for _, n := range f.nodes {
			if n.region == "erongo" && n.IsRelay() {
				n.kill()
			} else {
				remaining = append(remaining, n)
			}
		}
		assert.Equal(t, len(remaining), 10)
		f.nodes = remaining
		f.nodes[0].offer("store", 2, []byte("second"))
		f.waitRevision(2, propagationLimit)
	})
}

// TestStartDuringOutage guards the start during a store outage: a gateway without a
// preset adopts the highest revision of its peers, but only after it has found the
// store unreachable.
func TestStartDuringOutage(t *testing.T) {
	runFleet(t, 4, func(f *testFleet) {
		f.nodes[1].offer("store", 2, []byte("second"))
		f.waitRevision(2, propagationLimit)
		fresh := f.add("gw-a-new", "khomas", 1, "gw-a-0")
		time.Sleep(5 * time.Second)
		got, _ := fresh.current()
		assert.Equal(t, got, uint64(0))
		fresh.MarkStoreUnreachable()
		f.waitRevision(2, 2*time.Second)
		assert.Equal(t, fmt.Sprint(fresh.previous), "[0]")
	})
}

// TestStartWithoutAnyPreset guards the start of a fleet in which no gateway has a
// preset: none adopts a revision until the first one gets one, and then all do.
func TestStartWithoutAnyPreset(t *testing.T) {
	runFleet(t, 2, func(f *testFleet) {
		for _, n := range f.nodes {
			n.kill()
		}
		f.nodes = nil
		for i := range 3 {
			f.add(fmt.Sprintf("gw-c-%d", i), "khomas", 2, "gw-c-0", "gw-c-1").MarkStoreUnreachable()
		}
		time.Sleep(30 * time.Second)
		f.waitRevision(0, 0)
		f.nodes[2].offer("store", 5, []byte("fifth"))
		f.waitRevision(5, propagationLimit)
	})
}
