package retry

import (
	"sync"
	"sync/atomic"
)

const (
	// WindowNanos is the length of the sliding window of a budget.
	WindowNanos = 10e9
	// bucketNanos is the resolution of the window.
	bucketNanos = 1e9
	// callBuckets covers at most WindowNanos including the running bucket, so
	// that the count of calls is never too high.
	callBuckets = WindowNanos / bucketNanos
	// spentBuckets covers at least WindowNanos, so that the count of spent
	// attempts is never too low.
	spentBuckets = callBuckets + 1
	ringSize     = 16
)

// Budget bounds extra attempts (retries or hedges) to a ratio of the calls of
// the last 10 s. It depends on the gateway's own traffic only and is therefore
// safe for any number of gateways. It is safe for concurrent use: Call is one
// atomic operation, Take is called for extra attempts only and takes a lock.
type Budget struct {
	// Floor is how many extra attempts are allowed in 10 s whatever the traffic.
	Floor int64

	calls [ringSize]bucket
	mu    sync.Mutex
	spent [ringSize]bucket
}

// bucket holds the low 32 bits of its epoch in the upper half and a count in
// the lower half, so that both change in one atomic operation.
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

// Take reports whether an extra attempt may be sent now, and counts it if so.
// base is allowed in 10 s on top of the percentage of the calls.
func (b *Budget) Take(now int64, percent, base float64) bool {
	if percent <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining(now, percent, base) < 1 {
		return false
	}
	epoch := epochOf(now)
	b.spent[epoch%ringSize].add(epoch)
	return true
}

// Remaining returns how many extra attempts Take would allow now.
func (b *Budget) Remaining(now int64, percent, base float64) int64 {
	if percent <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.remaining(now, percent, base))
}

// remaining is called with the lock held. It is negative if calls left the window
// before the attempts that they allowed.
func (b *Budget) remaining(now int64, percent, base float64) int64 {
	epoch := epochOf(now)
	allowed := max(b.Floor, int64(base+float64(sum(&b.calls, epoch, callBuckets))*percent/100))
	return allowed - sum(&b.spent, epoch, spentBuckets)
}

func sum(buckets *[ringSize]bucket, epoch uint32, n uint32) int64 {
	var total int64
	for age := range min(n, epoch) {
		total += buckets[(epoch-age)%ringSize].count(epoch - age)
	}
	return total
}
