package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
)

// cuttableStore is the path of one gateway to a store; while it is cut, calls get no answer.
type cuttableStore struct {
	*fakeStore
	cut atomic.Bool
}

// cutCallTimeout is how long a call without an answer takes.
const cutCallTimeout = 500 * time.Millisecond

func (c *cuttableStore) hang(ctx context.Context) error {
	select {
	case <-time.After(cutCallTimeout):
		return errDown
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *cuttableStore) Read(ctx context.Context, table feed.Table) (feed.Batch, error) {
	if c.cut.Load() {
		return feed.Batch{}, c.hang(ctx)
	}
	return c.fakeStore.Read(ctx, table)
}

func (c *cuttableStore) Changes(ctx context.Context, table feed.Table, after uint64, wait time.Duration) (feed.Batch, error) {
	batch, err := feed.Batch{}, errDown
	if !c.cut.Load() {
		batch, err = c.fakeStore.Changes(ctx, table, after, wait)
	}
	if c.cut.Load() {
		return feed.Batch{}, c.hang(ctx)
	}
	return batch, err
}

// startPairAfterOutage starts two gateways that have been through an outage of the store: one
// reads the store again, the other has learned from it that the store is back, and has made
// no call since.
func startPairAfterOutage(t *testing.T) (store *fakeStore, readerPath *cuttableStore, other *Edge) {
	t.Helper()
	store = storeWith("a")
	paths := []*cuttableStore{{fakeStore: store}, {fakeStore: store}}
	first := startEdge(t, "first", paths[0])
	gateways := []*Edge{first, startEdge(t, "second", paths[1], first.settings.BootstrapAddress)}
	eventuallyAll(t, "ready beside the other", 5*time.Second, gateways, func(e *Edge) bool {
		e.peersMu.Lock()
		defer e.peersMu.Unlock()
		return e.ready() && e.peers.AliveInGroup(e.now()) == 1
	})
	eventually(t, "one of them reads the store", 5*time.Second, func() bool {
		return first.longPollsStore(first.now()) != gateways[1].longPollsStore(gateways[1].now())
	})
	reader := 0
	if gateways[1].longPollsStore(gateways[1].now()) {
		reader = 1
	}
	other = gateways[1-reader]
	// The delay is that of a gateway which has made several calls during the outage.
	other.storeState.RecordFailure(other.now(), feed.Backoff{Min: maxBackoff, Max: maxBackoff})
	time.Sleep(2 * longPollPeriod)
	assert.Assert(t, !other.longPollsStore(other.now()))
	return store, paths[reader], other
}

// longPollPeriod exceeds the time between two confirmations of a table.
const longPollPeriod = defaultMaxDelay * longPollWaitPercent / 100

// TestConfigurationInForceAfterOutageAndCut guards against a configuration that is late
// because the gateway that reads the store is cut off, and the other one waits out a delay
// that it drew in an earlier outage.
func TestConfigurationInForceAfterOutageAndCut(t *testing.T) {
	store, readerPath, other := startPairAfterOutage(t)
	readerPath.cut.Store(true)
	store.write(feed.Config, "config", []byte("5"), false)
	eventually(t, "the change is in force", defaultMaxDelay, func() bool { return other.revision() == 5 })
}

// TestDepartureInForceAfterOutageAndCut guards against a server that is used after it has left,
// because a gateway takes its first call since an outage for the end of that outage.
func TestDepartureInForceAfterOutageAndCut(t *testing.T) {
	store, readerPath, other := startPairAfterOutage(t)
	time.Sleep(2 * time.Second)
	readerPath.cut.Store(true)
	store.write(feed.Servers, "a", nil, true)
	eventually(t, "the server is removed", defaultMaxDelay, func() bool { return !other.hasServer("a") })
}
