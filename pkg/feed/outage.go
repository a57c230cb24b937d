package feed

import "time"

// Backoff bound the pauses between calls of a store that does not answer.
type Backoff struct {
	// Min is the first pause; each one is twice as long as the last up to Max.
	Min, Max time.Duration
}

// leastOutage is the least time without the store that may make entries lapse.
const leastOutage = 300 * time.Millisecond

// Outage says whether the store answers and when it is asked again if it does not.
// All tables share it, so that one call finds out for all of them. It is not safe
// for concurrent use.
type Outage struct {
	since   int64
	backoff time.Duration
	retryAt int64
	endedAt int64
}

// Active reports whether the last call failed.
func (o *Outage) Active() bool {
	return o.since != 0
}

// EndedAt returns when the store last came back after an outage, 0 if never.
func (o *Outage) EndedAt() int64 {
	return o.endedAt
}

// RecordPeerRecovery takes in that another gateway saw the store come back.
func (o *Outage) RecordPeerRecovery(at int64) {
	o.endedAt = max(o.endedAt, at)
}

// RecordFailure takes a failed call in. Random is between 0 and 1 and spreads the calls of
// several gateways.
func (o *Outage) RecordFailure(now int64, pauses Backoff, random float64) {
	if o.Active() {
		return
	}
	o.since = now
	o.backoff = 0
	o.retryAt = now + o.pause(pauses, random)
}

// RecordSuccess takes in an answer of the store.
func (o *Outage) RecordSuccess(now int64) {
	if o.Active() && now-o.since >= int64(leastOutage) {
		o.endedAt = now
	}
	o.since = 0
}

// RetryDelay returns how long to wait before the store is called, 0 if it may be called
// now. During an outage that takes the turn: the next one comes after a pause.
func (o *Outage) RetryDelay(now int64, pauses Backoff, random float64) time.Duration {
	if !o.Active() {
		return 0
	}
	// A gateway that becomes the reader does not wait for the pauses of the others.
	longest := int64(1.5 * float64(pauses.Max))
	if left := min(o.retryAt-now, longest); left > 0 {
		o.retryAt = now + left
		return time.Duration(left)
	}
	o.retryAt = now + o.pause(pauses, random)
	return 0
}

// pause returns the next pause, between half and one and a half of the backoff.
func (o *Outage) pause(pauses Backoff, random float64) int64 {
	o.backoff = min(max(pauses.Min, 2*o.backoff), pauses.Max)
	return int64((0.5 + random) * float64(o.backoff))
}
