package gateway

import (
	"context"
	"sync"
	"time"

	"balsamhill/pkg/claimstore"
)

const (
	// introductionLimit is how long a gateway waits for the others to know it.
	// One that does not answer for so long may be dead; if it lives and reaches
	// the store, it sees the row of this gateway before it says not-run.
	introductionLimit = 10 * time.Second
	introductionPoll  = 20 * time.Millisecond
	// freshRowsLimit bounds the read of the gateway rows before a key query.
	freshRowsLimit = 100 * time.Millisecond
)

// introduction delays the first claim of a gateway until the others know it.
// Otherwise one of them could say not-run of a call that the new gateway holds.
type introduction struct {
	rowWritten chan struct{}
	once       sync.Once
	done       chan struct{}
}

func newIntroduction() *introduction {
	return &introduction{rowWritten: make(chan struct{}), done: make(chan struct{})}
}

// wroteRow records that the gateway's row is in the table service.
func (i *introduction) wroteRow() {
	i.once.Do(func() { close(i.rowWritten) })
}

// isDone reports whether the gateway may claim.
func (i *introduction) isDone() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

// runIntroduction ends when the gateway may claim.
func (g *Gateway) runIntroduction(ctx context.Context) {
	defer func() { <-ctx.Done() }()
	if g.peers == nil {
		close(g.introduction.done)
		return
	}
	select {
	case <-g.introduction.rowWritten:
	case <-ctx.Done():
		return
	}
	limit := time.Now().Add(introductionLimit)
	for {
		// Rows that were read before the own row was written may lack a gateway
		// that started at the same time.
		read := g.peers.readRows(ctx)
		if read && g.waitUntilKnown(ctx, limit) {
			close(g.introduction.done)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// waitUntilKnown waits until all gateways with rows know this one, or the limit.
func (g *Gateway) waitUntilKnown(ctx context.Context, limit time.Time) bool {
	ticker := time.NewTicker(introductionPoll)
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

// freshPeerQuery reads the gateway rows before each key query, so that it goes
// to gateways that started a moment ago too. If the store cannot be read, the
// last rows and the gateways that were heard or named since must do.
type freshPeerQuery struct {
	peers *peers
	mu    sync.Mutex
	// next is closed at the end of the next read, nil if none is planned.
	next chan struct{}
}

// QueryKey implements claimstore.PeerQuery.
func (q *freshPeerQuery) QueryKey(ctx context.Context, service, key string) bool {
	q.readRows(ctx)
	return q.peers.exchange.QueryKey(ctx, service, key)
}

// readRows waits for a read that began after the call. Calls that come while a
// read is under way share the next one.
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

// batchQueries is the time for queries to join a read before it begins.
const batchQueries = time.Millisecond

func (q *freshPeerQuery) run(done chan struct{}) {
	defer close(done)
	time.Sleep(batchQueries)
	q.mu.Lock()
	q.next = nil
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), freshRowsLimit)
	defer cancel()
	q.peers.readRows(ctx)
}

var _ claimstore.PeerQuery = (*freshPeerQuery)(nil)
