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

// node is an exchange with the adoption rule of a gateway in place of its
// control loop.
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
	// frozen ignores documents, as a gateway that cannot adopt them would.
	frozen bool
	drains []string
	// inForce is what gateways that join are told.
	inForce []Drain
	// knownDrains holds the servers that are known to be leaving.
	knownDrains map[string]bool
	suspicions  []string
	lost        []string
	hasAttempt  map[string]bool
	loads       []string
	link        countingLink
}

// countingLink allows everything and counts it.
type countingLink struct{ bytes atomic.Uint64 }

func (l *countingLink) Allow(_ Kind, bytes int) bool {
	l.bytes.Add(uint64(bytes))
	return true
}

// record appends what a peer sent to one of the lists.
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

// drain passes a notice on once, as control does.
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

// offer adopts a higher revision, as control does, and tells the peers.
func (n *node) offer(source string, revision uint64, document []byte) {
	n.mu.Lock()
	if n.frozen || revision <= n.revision {
		n.mu.Unlock()
		return
	}
	n.previous = append(n.previous, n.revision)
	n.revision, n.document, n.source = revision, document, source
	n.mu.Unlock()
	n.AnnouncePreset()
}

func (n *node) hold(key string) {
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

// add starts a node; seeds are IDs.
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
			Suspicion: func(_ string, f crashguard.Fingerprint, server string) {
				n.record(&n.suspicions, uint64(f), " ", server)
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

// rows gives all nodes a read of the rows of all nodes.
func (f *testFleet) rows() {
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

// runFleet runs a test over perRegion gateways in each of two regions.
func runFleet(t *testing.T, perRegion int, test func(f *testFleet)) {
	t.Helper()
	runRegions(t, perRegion, perRegion, test)
}

// runRegions runs a test over gateways of two regions that know each other from
// the gateway rows and hold revision 1.
func runRegions(t *testing.T, khomas, erongo int, test func(f *testFleet)) {
	t.Helper()
	// yamux pools timers in a global; timers of an earlier test belong to its fake
	// clock and must not be reused. Two collections empty the pool.
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
		f.rows()
		for _, n := range f.nodes {
			n.offer("store", 1, []byte("first"))
		}
		time.Sleep(10 * time.Second)
		test(f)
	})
}

// adoptionLimit is the time in which a revision must be in force everywhere.
const adoptionLimit = 8 * time.Second

// Guards that a revision that one gateway read right before the store went down
// reaches the whole fleet, and that no session is opened twice for long.
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
		f.waitRevision(2, adoptionLimit)
		for _, n := range f.nodes {
			_, document := n.current()
			assert.Equal(t, string(document), "second")
		}
	})
}

// Guards against churn: without a fault each pair keeps its first session, also
// the pairs that exchange few heartbeats.
func TestSessionsLast(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		// Rows of replaced VMs whose addresses have passed to other gateways.
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

// Guards the propagation beyond the number of gateways with complete gossip.
func TestRevisionReachesLargeRegion(t *testing.T) {
	runRegions(t, 18, 3, func(f *testFleet) {
		f.nodes[7].offer("store", 2, []byte("second"))
		f.waitRevision(2, adoptionLimit)
	})
}

// Guards that a region that was cut off gets the revision within the limit from
// the return of the link, and that the other one is not held up.
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
		f.waitRevision(2, adoptionLimit)
	})
}

// Guards that a gateway that stays behind neither keeps others from adopting nor
// makes any of them return to an earlier revision.
func TestStalePeer(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		stale := f.nodes[2]
		stale.mu.Lock()
		stale.frozen = true
		stale.mu.Unlock()
		f.nodes[0].offer("store", 2, []byte("second"))
		f.nodes = append(f.nodes[:2], f.nodes[3:]...)
		f.waitRevision(2, adoptionLimit)
		f.nodes[1].offer("store", 3, []byte("third"))
		f.waitRevision(3, adoptionLimit)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		for _, n := range f.nodes {
			assert.Equal(t, fmt.Sprint(n.previous), "[0 1 2]", n.id)
		}
		stale.kill()
	})
}

// Guards against open connections that go silent for ever: they are noticed by
// the missing heartbeats, and new ones carry the revision.
func TestSilentConnections(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		f.net.silence()
		f.nodes[0].offer("store", 2, []byte("second"))
		// Speakers notice after 6 s and need a backoff and a handshake on top.
		f.waitRevision(2, membership.RelayTimeout+adoptionLimit)
		assert.Assert(t, f.nodes[0].Counters().Unresponsive.Load() > 0)
		synctest.Wait()
		assert.Assert(t, len(f.nodes[0].lost) > 0)
	})
}

// Guards the loss of all speakers of a region at the moment of a change.
func TestSpeakersDie(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		var left []*node
		for _, n := range f.nodes {
			if n.region == "erongo" && n.IsRelay() {
				n.kill()
			} else {
				left = append(left, n)
			}
		}
		assert.Equal(t, len(left), 10)
		f.nodes = left
		f.nodes[0].offer("store", 2, []byte("second"))
		f.waitRevision(2, adoptionLimit)
	})
}

// Guards the start rule: a gateway that starts while the store is down adopts
// the highest revision from its peers, and none from peers while it has not
// found the store unreachable.
func TestStartDuringOutage(t *testing.T) {
	runFleet(t, 4, func(f *testFleet) {
		f.nodes[1].offer("store", 2, []byte("second"))
		f.waitRevision(2, adoptionLimit)
		started := f.add("gw-a-new", "khomas", 1, "gw-a-0")
		time.Sleep(5 * time.Second)
		got, _ := started.current()
		assert.Equal(t, got, uint64(0))
		started.MarkStoreUnreachable()
		f.waitRevision(2, 2*time.Second)
		assert.Equal(t, fmt.Sprint(started.previous), "[0]")
	})
}

// Guards that no gateway becomes ready from peers that know no preset either.
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
		f.waitRevision(5, adoptionLimit)
	})
}
