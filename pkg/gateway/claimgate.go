package gateway

import (
	"context"
	"sync"
	"time"

	"balsamhill/pkg/claimstore"
)

const (
	// claimGateTimeout bounds how long a gateway waits until the others know it. After
	// that, a gateway that has not responded is ignored: it is down, or, if it runs and
	// reaches the store, it reads the row of this gateway there before it reports
	// not-run.
	claimGateTimeout      = 10 * time.Second
	claimGatePollInterval = 20 * time.Millisecond
	// freshRowsTimeout bounds the read of the gateway rows before a key query.
	freshRowsTimeout = 100 * time.Millisecond
)

// claimGate delays the first claim of a gateway until the others know it. Otherwise one
// of them could respond with not-run to a call that the new gateway is running.
type claimGate struct {
	// rowWritten is closed when the gateway's row is in the store.
	rowWritten chan struct{}
	once       sync.Once
	opened     chan struct{}
}

func newClaimGate() *claimGate {
	return &claimGate{rowWritten: make(chan struct{}), opened: make(chan struct{})}
}

// setRowWritten records that the gateway's row is in the store.
func (c *claimGate) setRowWritten() {
	c.once.Do(func() { close(c.rowWritten) })
}

// isOpen reports whether the gateway may claim calls.
func (c *claimGate) isOpen() bool {
	select {
	case <-c.opened:
		return true
	default:
		return false
	}
}

// runClaimGate opens the claim gate when the other gateways know this one. It returns
// when ctx ends.
func (g *Gateway) runClaimGate(ctx context.Context) {
	defer func() { <-ctx.Done() }()
	if g.peers == nil {
		close(g.claimGate.opened)
		return
	}
	select {
	case <-g.claimGate.rowWritten:
	case <-ctx.Done():
		return
	}
	limit := time.Now().Add(claimGateTimeout)
	for {
		// Rows that were read before this gateway's row was written may lack a gateway
		// that started at the same time.
		read := g.peers.readRows(ctx)
		if read && g.waitUntilKnownToPeers(ctx, limit) {
			close(g.claimGate.opened)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// waitUntilKnownToPeers waits until all gateways with rows know this one or the limit
// has passed. It returns false if ctx ends first.
func (g *Gateway) waitUntilKnownToPeers(ctx context.Context, limit time.Time) bool {
	ticker := time.NewTicker(claimGatePollInterval)
	defer ticker.Stop()
	for !g.peers.exchange.KnownToAll() && time.Now().Before(limit) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// freshPeerQuery reads the gateway rows before each key query, so that the query is also
// sent to gateways that have just started. If the store cannot be read, the query is
// sent to the gateways in the last rows and to those that sent a heartbeat or were
// listed by a peer since.
type freshPeerQuery struct {
	peers *peers
	mu    sync.Mutex
	// next is closed at the end of the next read, nil if no read is scheduled.
	next chan struct{}
}

// QueryKey implements claimstore.PeerQuery.
func (q *freshPeerQuery) QueryKey(ctx context.Context, service, key string) bool {
	q.readRows(ctx)
	return q.peers.exchange.QueryKey(ctx, service, key)
}

// readRows waits for a read that starts after the call. Calls during a read share the
// next one.
func (q *freshPeerQuery) readRows(ctx context.Context) {
	q.mu.Lock()
	done := q.next
	if done == nil {
		done = make(chan struct{})
		q.next = done
		go q.run(done)
	}
	q.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// queryBatchDelay is how long a read is delayed, so that several queries share it.
const queryBatchDelay = time.Millisecond

func (q *freshPeerQuery) run(done chan struct{}) {
	defer close(done)
	time.Sleep(queryBatchDelay)
	q.mu.Lock()
	q.next = nil
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), freshRowsTimeout)
	defer cancel()
	q.peers.readRows(ctx)
}

var _ claimstore.PeerQuery = (*freshPeerQuery)(nil)
