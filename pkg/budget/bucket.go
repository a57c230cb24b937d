package budget

import "time"

// FixedShare returns the part of a total that each gateway may use without any
// agreement. Half of the total is shared like this and half is granted.
func FixedShare(total float64, maxGateways int) float64 {
	return total / 2 / float64(maxGateways)
}

// GrantedTotal returns the half of a total that is granted.
func GrantedTotal(total float64) float64 {
	return total / 2
}

// Bucket turns a rate into permissions. It starts empty, and over any time t it
// gives at most rate × t + capacity, where the capacity is rate × burst and at
// least the given minimum. It is not safe for concurrent use.
type Bucket struct {
	burst  time.Duration
	least  float64
	tokens float64
	at     int64
}

// NewBucket returns an empty bucket at the time now.
func NewBucket(now int64, burst time.Duration, least float64) *Bucket {
	return &Bucket{burst: burst, least: least, at: now}
}

// Take takes tokens if there are enough. rate is in tokens per second and is the
// rate since the last call. Without a rate nothing is left, so that tokens do
// not outlive the grant that filled the bucket.
func (b *Bucket) Take(now int64, rate, cost float64) bool {
	return b.TakeWithReserve(now, rate, cost, 0)
}

// TakeWithReserve is Take, but leaves a reserve in the bucket.
func (b *Bucket) TakeWithReserve(now int64, rate, cost, reserve float64) bool {
	b.fill(now, rate)
	if rate <= 0 || b.tokens < cost+reserve {
		return false
	}
	b.tokens -= cost
	return true
}

// Charge takes tokens that are spent in any case; the bucket may owe some.
func (b *Bucket) Charge(now int64, rate, cost float64) {
	b.fill(now, rate)
	b.tokens -= cost
}

func (b *Bucket) fill(now int64, rate float64) {
	elapsed := time.Duration(max(0, now-b.at)).Seconds()
	b.at = now
	if rate <= 0 {
		b.tokens = min(b.tokens, 0)
		return
	}
	b.tokens = min(b.tokens+rate*elapsed, max(b.least, rate*b.burst.Seconds()))
}
