package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/gossip"
)

// slowLink limits the rate of everything that is sent through it.
type slowLink struct {
	bytesPerSecond atomic.Int64
	mu             sync.Mutex
	freeAt         time.Time
}

// delay waits until the link has sent the bytes, or until ctx is done.
func (l *slowLink) delay(ctx context.Context, bytes int) error {
	rate := l.bytesPerSecond.Load()
	if rate == 0 {
		return nil
	}
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(rate))
	wait := time.Until(l.freeAt)
	l.mu.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// slowListener accepts connections that send through a link.
type slowListener struct {
	net.Listener
	link *slowLink
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{conn, l.link}, nil
}

type slowConn struct {
	net.Conn
	link *slowLink
}

func (c slowConn) Write(p []byte) (int, error) {
	written := 0
	for chunk := range slices.Chunk(p, 4<<10) {
		_ = c.link.delay(context.Background(), len(chunk))
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// slowStore is the store at the end of a link.
type slowStore struct {
	*fakeStore
	link *slowLink
}

func (s slowStore) Changes(ctx context.Context, table feed.Table, after uint64, wait time.Duration) (feed.Batch, error) {
	batch, err := s.fakeStore.Changes(ctx, table, after, wait)
	if err != nil {
		return batch, err
	}
	for _, row := range batch.Rows {
		err = s.link.delay(ctx, len(row.Value))
		if err != nil {
			return feed.Batch{}, err
		}
	}
	return batch, nil
}

// startSlowFleet starts gateways that hold a configuration of revision 1 with the given
// text. From then on the links between the gateways, and those of all but the reader to
// the store, send bytesPerSecond each.
func startSlowFleet(t *testing.T, store *fakeStore, text string, bytesPerSecond int64) []*Edge {
	t.Helper()
	store.write(feed.Config, "config", []byte("1 "+text), false)
	store.write(feed.Servers, "a", entry("a", 1), false)
	var fleet []*Edge
	var peerLinks, storeLinks []*slowLink
	var seeds []string
	for i := range 3 {
		peerLink, storeLink := &slowLink{}, &slowLink{}
		e := openEdge(t, fmt.Sprint("g", i), "r", "d", slowStore{store, storeLink}, seeds...)
		e.peerListener = slowListener{e.peerListener, peerLink}
		runUntilCleanup(t, e)
		fleet, peerLinks, storeLinks = append(fleet, e), append(peerLinks, peerLink), append(storeLinks, storeLink)
		seeds = []string{fleet[0].settings.BootstrapAddress}
		eventually(t, "the gateway is ready", 10*time.Second, e.ready)
	}
	eventually(t, "all gateways receive messages from all others", 10*time.Second, func() bool {
		return !slices.ContainsFunc(fleet, func(e *Edge) bool {
			e.peersMu.Lock()
			defer e.peersMu.Unlock()
			return e.peers.AliveInGroup(e.now()) < len(fleet)-1
		})
	})
	for i, e := range fleet {
		peerLinks[i].bytesPerSecond.Store(bytesPerSecond)
		if !e.isGroupReader(e.now()) {
			storeLinks[i].bytesPerSecond.Store(bytesPerSecond)
		}
	}
	return fleet
}

// randomText returns text that cannot be compressed to less than half of its length.
func randomText(length int) string {
	random := rand.New(rand.NewPCG(uint64(length), 1))
	text := make([]byte, length)
	for i := range text {
		text[i] = byte('A' + random.IntN(32))
	}
	return string(text)
}

func assertInForce(t *testing.T, fleet []*Edge, revision uint64) {
	t.Helper()
	began := time.Now()
	eventually(t, fmt.Sprint("revision ", revision, " is in force"), defaultMaxDelay, func() bool {
		return !slices.ContainsFunc(fleet, func(e *Edge) bool { return e.revision() < revision })
	})
	t.Logf("revision %d is in force after %s", revision, time.Since(began))
}

// TestSmallChangesOfLargeConfigurationAreInTime guards against small changes that are late
// because each of them moves the whole configuration over slow links.
func TestSmallChangesOfLargeConfigurationAreInTime(t *testing.T) {
	store := newFakeStore()
	text := randomText(500_000)
	fleet := startSlowFleet(t, store, text, 250_000)
	for revision := uint64(2); revision < 5; revision++ {
		store.write(feed.Config, "config", fmt.Appendf(nil, "%d %s", revision, text), false)
		assertInForce(t, fleet, revision)
	}
}

// TestLargeChangeOverSlowLinksIsInTime guards against a large change that never arrives
// because reads of it are cut off after a fixed time and start again from nothing.
func TestLargeChangeOverSlowLinksIsInTime(t *testing.T) {
	store := newFakeStore()
	fleet := startSlowFleet(t, store, "", 300_000)
	text := randomText(200_000)
	store.write(feed.Config, "config", []byte("2 "+text), false)
	assertInForce(t, fleet, 2)
	assert.Equal(t, fleet[0].revision(), uint64(2))
}

// linksTo returns the links of a fleet's gateways to the store.
func linksTo(fleet []*Edge) []*slowLink {
	var links []*slowLink
	for _, e := range fleet {
		links = append(links, e.store.(slowStore).link)
	}
	return links
}

// TestSlowStoreReadGivesWayToPeer guards against a change that is late because a gateway goes
// on with a slow read of the store although another one has the change by then.
func TestSlowStoreReadGivesWayToPeer(t *testing.T) {
	const changeBytes, readerBytesPerSecond, otherBytesPerSecond = 200_000, 100_000, 20_000
	store := newFakeStore()
	fleet := startSlowFleet(t, store, "", 0)
	for i, link := range linksTo(fleet) {
		link.bytesPerSecond.Store(otherBytesPerSecond)
		if fleet[i].isGroupReader(fleet[i].now()) {
			link.bytesPerSecond.Store(readerBytesPerSecond)
		}
	}
	store.write(feed.Config, "config", []byte("2 "+randomText(changeBytes)), false)
	eventually(t, "the reader has the change", 5*time.Second, func() bool {
		return slices.ContainsFunc(fleet, func(e *Edge) bool { return e.revision() == 2 })
	})
	eventually(t, "all gateways have the change", time.Second, func() bool {
		return !slices.ContainsFunc(fleet, func(e *Edge) bool { return e.revision() < 2 })
	})
	for _, e := range fleet {
		assert.Equal(t, e.storeState.Unreachable(), false, "%s", e.self.ID)
	}
}

// TestFallbackReadsOfLargeConfigurationDoNotOverlap guards against a link to the store that is
// saturated because all gateways of a group read the same large configuration at once.
func TestFallbackReadsOfLargeConfigurationDoNotOverlap(t *testing.T) {
	const gateways = 6
	// Gateways count as live for a short time after their message, so that the text must exist
	// before.
	text := "2 " + randomText(fallbackBytesPerSecond/2)
	var delays []time.Duration
	for i := range gateways {
		e := idleEdge(t, fmt.Sprint("g", i))
		for j := range gateways {
			peer := gossip.Gateway{ID: fmt.Sprint("g", j), Region: "r", FailureDomain: "d", HighCapacity: true, Incarnation: 1}
			e.receive(&gossip.Message{
				Key: gossip.KeyOf(peer.ID), Incarnation: 1, Sequence: 1, Sender: &peer, StoreReachable: true,
			})
		}
		small := configTable(e, "1 small")
		assert.Equal(t, small.fallbackDelay(e.now()), time.Duration(0))
		large := configTable(e, "1 small", text)
		delays = append(delays, large.fallbackDelay(e.now()).Round(100*time.Millisecond))
	}
	slices.Sort(delays)
	for i, delay := range delays {
		assert.Equal(t, delay, time.Duration(i)*time.Second/2)
	}
}

// TestFallbackDelayOfLargeGroupIsBounded guards against a product of group and configuration
// that overflows, after which all gateways of the group read the store at once.
func TestFallbackDelayOfLargeGroupIsBounded(t *testing.T) {
	const others, configBytes = 200, 60_000_000
	e := idleEdge(t, "last")
	w := configTable(e, string(make([]byte, configBytes)))
	e.self.HighCapacity = false
	e.peers = gossip.NewPeers(e.self)
	for i := range others {
		peer := gossip.Gateway{ID: fmt.Sprint("g", i), Region: "r", FailureDomain: "d", HighCapacity: true, Incarnation: 1}
		e.receive(&gossip.Message{
			Key: gossip.KeyOf(peer.ID), Incarnation: 1, Sequence: 1, Sender: &peer, StoreReachable: true,
		})
	}
	assert.Equal(t, w.fallbackDelay(e.now()), maxFallbackDelay)
}
