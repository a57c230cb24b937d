package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"balsamhill/pkg/feed"
)

const (
	// readerMinBackoff and readerMaxBackoff bound the delays of a reader after failed
	// calls. The other gateways rely on the reader to detect the recovery of the store.
	// Their minimum delay is nonReaderMinBackoff, or minBackoffPerGateway for each gateway
	// of the group if that is longer; their maximum is maxBackoff.
	readerMinBackoff     = 200 * time.Millisecond
	readerMaxBackoff     = 500 * time.Millisecond
	nonReaderMinBackoff  = time.Second
	minBackoffPerGateway = 100 * time.Millisecond
	maxBackoff           = 8 * time.Second
	// firstReadMinBackoff is the minimum delay of a gateway that has no copy of the table.
	firstReadMinBackoff = 300 * time.Millisecond
)

// storeState records whether the store is reachable. It is safe for concurrent use.
type storeState struct {
	mu     sync.Mutex
	outage feed.Outage
}

// unreachable reports whether the last call to the store failed.
func (v *storeState) unreachable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outage.Active()
}

// recordFailure records a failed call and reports whether it is the first one after a
// success.
func (v *storeState) recordFailure(now int64, backoff feed.Backoff) (first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	first = !v.outage.Active()
	v.outage.RecordFailure(now, backoff, rand.Float64())
	return first
}

// recordSuccess records a successful call and reports whether the call before failed.
func (v *storeState) recordSuccess(now int64) (recovered bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	recovered = v.outage.Active()
	v.outage.RecordSuccess(now)
	return recovered
}

// retryDelay returns how long to wait before the next call to the store; see feed.Outage.
func (v *storeState) retryDelay(now int64, backoff feed.Backoff) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outage.RetryDelay(now, backoff, rand.Float64())
}

// recordPeerRecovery records that another gateway reached the store again at a time.
func (v *storeState) recordPeerRecovery(at int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outage.RecordPeerRecovery(at)
}

// recoveredAt returns when the last outage of the store ended, 0 if there was none.
func (v *storeState) recoveredAt() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outage.EndedAt()
}

// storeBackoff returns the bounds on the delay between calls to an unreachable store.
func (e *Edge) storeBackoff(known, reader bool) feed.Backoff {
	switch {
	case reader:
		return feed.Backoff{Min: readerMinBackoff, Max: readerMaxBackoff}
	case !known:
		return feed.Backoff{Min: firstReadMinBackoff, Max: maxBackoff}
	default:
		minBackoff := max(nonReaderMinBackoff, time.Duration(e.groupSize.Load())*minBackoffPerGateway)
		return feed.Backoff{Min: min(minBackoff, maxBackoff), Max: maxBackoff}
	}
}
