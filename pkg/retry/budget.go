package retry

import (
	"sync"
	"sync/atomic"
)

const (
	// WindowNanos is the length of the sliding window of a budget in nanoseconds.
	WindowNanos = 10e9
	// bucketNanos is the resolution of the window in nanoseconds.
	bucketNanos = 1e9
	// callBuckets covers at most WindowNanos including the current bucket, so that
	// the number of calls is never overestimated.
	callBuckets = WindowNanos / bucketNanos
	// takenBuckets covers at least WindowNanos, so that the number of extra attempts
	// is never underestimated.
	takenBuckets = callBuckets + 1
	// ringSize is the number of buckets; it must be at least takenBuckets.
	ringSize = 16
)

// Budget bounds extra attempts (retries or hedges) to a ratio of the calls of the
// last 10 s. The ratio refers to the calls of this gateway, so that it holds for any
// number of gateways. It is safe for concurrent use. RecordCall is one atomic
// operation; Take is called for extra attempts only and takes a lock.
type Budget struct {
	// MinAllowed is how many extra attempts are allowed in 10 s, however few calls
	// there are.
	MinAllowed int64

	calls [ringSize]bucket
	mu    sync.Mutex
	taken [ringSize]bucket
}

// bucket holds its epoch in the upper 32 bits and a count in the lower 32 bits, so
// that both change in one atomic operation.
type bucket struct {
	packed atomic.Uint64
}

const countBits = 32

func (b *bucket) add(epoch uint32) {
	for {
		old := b.packed.Load()
		if uint32(old>>countBits) == epoch {
			if b.packed.CompareAndSwap(old, old+1) {
				return
			}
			continue
		}
		if b.packed.CompareAndSwap(old, uint64(epoch)<<countBits|1) {
			return
		}
	}
}

func (b *bucket) count(epoch uint32) int64 {
	packed := b.packed.Load()
	if uint32(packed>>countBits) != epoch {
		return 0
	}
	return int64(uint32(packed))
}

func epochOf(now int64) uint32 {
	// Epoch 0 marks unused buckets.
	return uint32(now/bucketNanos) + 1
}

// RecordCall counts a call.
func (b *Budget) RecordCall(now int64) {
	epoch := epochOf(now)
	b.calls[epoch%ringSize].add(epoch)
}

// Take reports whether an extra attempt may be sent now, and counts it if so. extra is
// the number of extra attempts that are allowed in 10 s in addition to the percentage of
// the calls.
func (b *Budget) Take(now int64, percent, extra float64) bool {
	if percent <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining(now, percent, extra) < 1 {
		return false
	}
	epoch := epochOf(now)
	b.taken[epoch%ringSize].add(epoch)
	return true
}

// Remaining returns how many extra attempts Take would allow now.
func (b *Budget) Remaining(now int64, percent, extra float64) int64 {
	if percent <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.remaining(now, percent, extra))
}

// remaining must be called with the lock held. The result is negative if calls have
// left the window earlier than the extra attempts that they allowed.
func (b *Budget) remaining(now int64, percent, extra float64) int64 {
	epoch := epochOf(now)
	allowed := max(b.MinAllowed, int64(extra+float64(sum(&b.calls, epoch, callBuckets))*percent/100))
	return allowed - sum(&b.taken, epoch, takenBuckets)
}

func sum(buckets *[ringSize]bucket, epoch uint32, n uint32) int64 {
	var total int64
	for age := range min(n, epoch) {
		total += buckets[(epoch-age)%ringSize].count(epoch - age)
	}
	return total
}
