package feed

import "time"

// Backoff bounds the delays between calls to a store that does not respond.
type Backoff struct {
	// Min is the first base delay; each further one is twice as long as the last,
	// up to Max. The delays vary at random around them.
	Min, Max time.Duration
}

// minOutage is the minimum time without the store that counts as an outage, after
// which entries of servers may have expired in the store.
const minOutage = 300 * time.Millisecond

// Outage tracks whether the store responds, and when it is called again if it
// does not; the zero value means that it responds. All tables of a gateway
// share it, so that one call checks the store for all of them. It is not safe
// for concurrent use.
type Outage struct {
	since int64
	// lastFailure is the time of the last failed call.
	lastFailure int64
	// over says that the store has responded to another gateway since lastFailure.
	over      bool
	baseDelay time.Duration
	retryAt   int64
	endedAt   int64
}

// Active reports whether the last call failed.
func (o *Outage) Active() bool {
	return o.since != 0
}

// EndedAt returns when the store last recovered from an outage, 0 if never.
func (o *Outage) EndedAt() int64 {
	return o.endedAt
}

// RecordPeerRecovery records that the store recovered, as reported by another
// gateway.
func (o *Outage) RecordPeerRecovery(at int64) {
	o.endedAt = max(o.endedAt, at)
}

// RecordPeerResponse records that the store responded to another gateway at a time. If
// that was after the last failed call of this gateway, the outage is over and its delay no
// longer applies. Active still reports true, because this gateway may be cut off.
func (o *Outage) RecordPeerResponse(at int64) (ended bool) {
	if !o.Active() || o.over || at <= o.lastFailure {
		return false
	}
	o.over = true
	if at-o.since >= int64(minOutage) {
		o.endedAt = max(o.endedAt, at)
	}
	return true
}

// RecordFailure records a failed call. random is between 0 and 1 and spreads the
// calls of several gateways.
func (o *Outage) RecordFailure(now int64, backoff Backoff, random float64) {
	o.lastFailure = now
	if o.Active() && !o.over {
		return
	}
	o.since = now
	o.over = false
	o.baseDelay = 0
	o.retryAt = now + o.nextDelay(backoff, random)
}

// RecordSuccess records a response of the store.
func (o *Outage) RecordSuccess(now int64) {
	if o.Active() && !o.over && now-o.since >= int64(minOutage) {
		o.endedAt = now
	}
	o.since = 0
	o.over = false
}

// RetryDelay returns how long to wait before the next call to the store, 0 for a
// call now. During an outage, the result 0 also starts the next delay, so that all
// tables together make one call per delay.
func (o *Outage) RetryDelay(now int64, backoff Backoff, random float64) time.Duration {
	if !o.Active() || o.over {
		return 0
	}
	// Limits a delay that was drawn with a longer backoff, for example before this
	// gateway became the store reader.
	maxDelay := int64(1.5 * float64(backoff.Max))
	if remaining := min(o.retryAt-now, maxDelay); remaining > 0 {
		o.retryAt = now + remaining
		return time.Duration(remaining)
	}
	o.retryAt = now + o.nextDelay(backoff, random)
	return 0
}

// nextDelay doubles the base delay and returns the next delay, between half and
// one and a half times the base delay.
func (o *Outage) nextDelay(backoff Backoff, random float64) int64 {
	o.baseDelay = min(max(backoff.Min, 2*o.baseDelay), backoff.Max)
	return int64((0.5 + random) * float64(o.baseDelay))
}
