package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"balsamhill/pkg/feed"
)

const (
	// readerBackoff and readerMaxBackoff bound the pauses of a reader after a failed
	// call. The others leave it to the reader to find the store again. Their first
	// pause is followerBackoff, or perGatewayBackoff for each gateway of the group if
	// that is longer, and their longest one maxBackoff.
	readerBackoff     = 200 * time.Millisecond
	readerMaxBackoff  = 500 * time.Millisecond
	followerBackoff   = time.Second
	perGatewayBackoff = 100 * time.Millisecond
	maxBackoff        = 8 * time.Second
	// firstReadBackoff is the first pause of a gateway that knows nothing yet.
	firstReadBackoff = 300 * time.Millisecond
)

// storeView is what the last calls to the store showed. It is safe for
// concurrent use.
type storeView struct {
	mu     sync.Mutex
	outage feed.Outage
}

// unreachable reports whether the last call failed.
func (v *storeView) unreachable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outage.Active()
}

// failed takes a failed call in and reports whether the one before succeeded.
func (v *storeView) failed(now int64, pauses feed.Backoff) (first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	first = !v.outage.Active()
	v.outage.RecordFailure(now, pauses, rand.Float64())
	return first
}

// succeeded takes an answer in and reports whether the call before failed.
func (v *storeView) succeeded(now int64) (again bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	again = v.outage.Active()
	v.outage.RecordSuccess(now)
	return again
}

// wait returns how long to wait before the store is called; see feed.Outage.
func (v *storeView) wait(now int64, pauses feed.Backoff) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outage.RetryDelay(now, pauses, rand.Float64())
}

// heardOutage takes in that another gateway saw the store come back.
func (v *storeView) heardOutage(at int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outage.RecordPeerRecovery(at)
}

func (v *storeView) lastOutage() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outage.EndedAt()
}

// pauses returns the pauses of this gateway between calls of a store that does not
// answer.
func (e *Edge) pauses(known, reader bool) feed.Backoff {
	switch {
	case reader:
		return feed.Backoff{Min: readerBackoff, Max: readerMaxBackoff}
	case !known:
		return feed.Backoff{Min: firstReadBackoff, Max: maxBackoff}
	default:
		least := max(followerBackoff, time.Duration(e.groupSize.Load())*perGatewayBackoff)
		return feed.Backoff{Min: min(least, maxBackoff), Max: maxBackoff}
	}
}
