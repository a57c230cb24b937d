package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"balsamhill/pkg/feed"
)

const (
	// readerMinBackoff and readerMaxBackoff bound the pauses of a reader after a failed
	// call. The others leave it to the reader to find the store again. Their first
	// pause is followerBackoff, or perGatewayBackoff for each gateway of the group if
	// that is longer, and their longest one maxBackoff.
	readerMinBackoff     = 200 * time.Millisecond
	readerMaxBackoff     = 500 * time.Millisecond
	nonReaderMinBackoff  = time.Second
	minBackoffPerGateway = 100 * time.Millisecond
	maxBackoff           = 8 * time.Second
	// firstReadMinBackoff is the first pause of a gateway that knows nothing yet.
	firstReadMinBackoff = 300 * time.Millisecond
)

// storeState is what the last calls to the store showed. It is safe for
// concurrent use.
type storeState struct {
	mu     sync.Mutex
	outage feed.Outage
}

// unreachable reports whether the last call failed.
func (v *storeState) unreachable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outage.Active()
}

// recordFailure takes a recordFailure call in and reports whether the one before succeeded.
func (v *storeState) recordFailure(now int64, backoff feed.Backoff) (first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	first = !v.outage.Active()
	v.outage.RecordFailure(now, backoff, rand.Float64())
	return first
}

// recordSuccess takes an answer in and reports whether the call before failed.
func (v *storeState) recordSuccess(now int64) (recovered bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	recovered = v.outage.Active()
	v.outage.RecordSuccess(now)
	return recovered
}

// retryDelay returns how long to retryDelay before the store is called; see feed.Outage.
func (v *storeState) retryDelay(now int64, backoff feed.Backoff) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outage.RetryDelay(now, backoff, rand.Float64())
}

// recordPeerRecovery takes in that another gateway saw the store come back.
func (v *storeState) recordPeerRecovery(at int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outage.RecordPeerRecovery(at)
}

func (v *storeState) recoveredAt() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outage.EndedAt()
}

// storeBackoff returns the storeBackoff of this gateway between calls of a store that does not
// answer.
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
