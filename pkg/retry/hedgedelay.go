package retry

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// subBuckets is the number of linear buckets per power of two, which bounds the
	// relative error to 1/8; subBits is its logarithm.
	subBuckets = 8
	subBits    = 3
	// latencyBuckets cover latencies from 1 µs to about 70 min.
	latencyBuckets = 32 * subBuckets
	// hedgeDelayWindowNanos is the length of a window of samples. The previous window
	// counts as well as the current one, so that a new window does not start without
	// samples.
	hedgeDelayWindowNanos = 10e9
	// refreshNanos is the interval at which the quantile is computed.
	refreshNanos = 250e6
	// minSamples is the number of samples below which the 95th percentile is too
	// uncertain to use.
	minSamples = 100
	// minHedgeDelay prevents hedges from doubling the calls to servers that respond in
	// microseconds, where scheduling noise determines the quantile.
	minHedgeDelay = time.Millisecond
	hedgeQuantile = 0.95
)

// HedgeDelay estimates the 95th percentile of latencies, after which a hedge is sent.
// It is safe for concurrent use and takes no lock.
type HedgeDelay struct {
	windows [2]latencyCounts
	// cached is the last quantile computed, in nanoseconds, 0 for none.
	cached     atomic.Int64
	computedAt atomic.Int64
}

type latencyCounts struct {
	epoch  atomic.Int64
	counts [latencyBuckets]atomic.Uint32
}

// Observe records a latency.
func (d *HedgeDelay) Observe(now int64, latency time.Duration) {
	epoch := now/hedgeDelayWindowNanos + 1
	window := &d.windows[epoch%2]
	old := window.epoch.Load()
	if old != epoch && window.epoch.CompareAndSwap(old, epoch) {
		// Samples that other goroutines add during this loop may be lost, which only
		// makes the estimate slightly less recent.
		for i := range window.counts {
			window.counts[i].Store(0)
		}
	}
	window.counts[bucketOf(latency)].Add(1)
}

// HedgeAfter returns how long to wait before a hedge is sent, and false while there
// are too few samples.
func (d *HedgeDelay) HedgeAfter(now int64) (time.Duration, bool) {
	computed := d.computedAt.Load()
	if (computed == 0 || now-computed >= refreshNanos) && d.computedAt.CompareAndSwap(computed, now) {
		d.cached.Store(int64(d.quantile(now)))
	}
	cached := time.Duration(d.cached.Load())
	return max(cached, minHedgeDelay), cached > 0
}

func (d *HedgeDelay) quantile(now int64) time.Duration {
	epoch := now/hedgeDelayWindowNanos + 1
	var counts [latencyBuckets]uint64
	var total uint64
	for w := range d.windows {
		window := &d.windows[w]
		if window.epoch.Load() < epoch-1 {
			continue
		}
		for i := range counts {
			n := uint64(window.counts[i].Load())
			counts[i] += n
			total += n
		}
	}
	if total < minSamples {
		return 0
	}
	rank := uint64(float64(total) * hedgeQuantile)
	var cumulative uint64
	for i, n := range counts {
		cumulative += n
		if cumulative > rank {
			return upperBound(i)
		}
	}
	return upperBound(latencyBuckets - 1)
}

// bucketOf maps microseconds to a logarithmic scale with linear sub-buckets.
func bucketOf(latency time.Duration) int {
	micros := uint64(max(0, latency.Microseconds()))
	if micros < subBuckets {
		return int(micros)
	}
	shift := bits.Len64(micros) - subBits - 1
	index := (shift+1)*subBuckets + int(micros>>shift) - subBuckets
	return min(index, latencyBuckets-1)
}

// upperBound returns the upper bound of a bucket's latencies.
func upperBound(index int) time.Duration {
	if index < subBuckets {
		return time.Duration(index+1) * time.Microsecond
	}
	shift := index/subBuckets - 1
	return time.Duration((index%subBuckets+subBuckets+1)<<shift) * time.Microsecond
}
