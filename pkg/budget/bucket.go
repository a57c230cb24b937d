package budget

import "time"

// FixedShare returns the part of a total that each gateway may use without a grant. One
// half of the total is divided equally like this, the other half is granted.
func FixedShare(total float64, maxGateways int) float64 {
	return total / 2 / float64(maxGateways)
}

// GrantedTotal returns the half of a total that is granted.
func GrantedTotal(total float64) float64 {
	return total / 2
}

// Bucket is a token bucket. It starts empty, and over any time t it yields at most
// rate × t + capacity tokens, where the capacity is rate × burst, but at least
// minCapacity. It is not safe for concurrent use.
type Bucket struct {
	// burst is the capacity as the time in which the bucket fills at the current rate.
	burst       time.Duration
	minCapacity float64
	tokens      float64
	filledAt    int64
}

// NewBucket returns an empty bucket at the time now.
func NewBucket(now int64, burst time.Duration, minCapacity float64) *Bucket {
	return &Bucket{burst: burst, minCapacity: minCapacity, filledAt: now}
}

// Take takes tokens if there are enough. rate is the rate since the previous call, in
// tokens per second. A rate of 0 empties the bucket, so that tokens do not outlive the
// grant that they come from.
func (b *Bucket) Take(now int64, rate, cost float64) bool {
	return b.TakeWithReserve(now, rate, cost, 0)
}

// TakeWithReserve is like Take, but leaves at least the reserve in the bucket.
func (b *Bucket) TakeWithReserve(now int64, rate, cost, reserve float64) bool {
	b.fill(now, rate)
	if rate <= 0 || b.tokens < cost+reserve {
		return false
	}
	b.tokens -= cost
	return true
}

// Charge takes tokens for a cost that cannot be refused. The balance of the bucket may
// become negative.
func (b *Bucket) Charge(now int64, rate, cost float64) {
	b.fill(now, rate)
	b.tokens -= cost
}

func (b *Bucket) fill(now int64, rate float64) {
	elapsed := time.Duration(max(0, now-b.filledAt)).Seconds()
	b.filledAt = now
	if rate <= 0 {
		b.tokens = min(b.tokens, 0)
		return
	}
	b.tokens = min(b.tokens+rate*elapsed, max(b.minCapacity, rate*b.burst.Seconds()))
}
