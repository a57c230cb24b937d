package feed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const outageStart = int64(10e9)

// countCalls returns how many calls two tables make during an outage of the given
// length if each of them checks a hundred times a second.
func countCalls(o *Outage, length time.Duration, backoff Backoff) int {
	calls := 0
	for now := outageStart; now < outageStart+int64(length); now += 10e6 {
		for range 2 {
			if o.RetryDelay(now, backoff, 0.5) == 0 {
				calls++
				o.RecordFailure(now, backoff, 0.5)
			}
		}
	}
	return calls
}

// TestTablesShareOutageBackoff guards against a fleet in which each table of each
// gateway calls the store during an outage, which costs more than 1,000 calls in 8 s
// with 132 gateways.
func TestTablesShareOutageBackoff(t *testing.T) {
	o := &Outage{}
	backoff := Backoff{Min: time.Second, Max: 8 * time.Second}
	// The first call detects the outage; retries follow after 1, 3 and 7 s.
	assert.Equal(t, countCalls(o, 8*time.Second, backoff), 4)
	assert.Assert(t, o.Active())
}

// TestStoreReaderUsesItsOwnBackoff guards against a gateway that becomes the
// store reader but keeps the long delays of the other gateways, so that the whole
// group notices the store's recovery late.
func TestStoreReaderUsesItsOwnBackoff(t *testing.T) {
	o := &Outage{}
	countCalls(o, 8*time.Second, Backoff{Min: time.Second, Max: 8 * time.Second})
	now := outageStart + int64(8*time.Second)
	wait := o.RetryDelay(now, Backoff{Min: 200 * time.Millisecond, Max: 500 * time.Millisecond}, 0.5)
	assert.Assert(t, wait <= 750*time.Millisecond, "%s", wait)
	assert.Equal(t, o.RetryDelay(now+int64(wait), Backoff{Min: 200 * time.Millisecond, Max: 500 * time.Millisecond}, 0.5), time.Duration(0))
}

// TestOutageRecovery guards against short failures that count as an outage after
// which entries may have expired, and against an outage that is not recorded.
func TestOutageRecovery(t *testing.T) {
	o := &Outage{}
	backoff := Backoff{Min: time.Second, Max: time.Second}
	o.RecordFailure(outageStart, backoff, 0)
	o.RecordSuccess(outageStart + int64(minOutage) - 1)
	assert.Equal(t, o.EndedAt(), int64(0))
	assert.Equal(t, o.RetryDelay(outageStart, backoff, 0), time.Duration(0))
	o.RecordFailure(outageStart, backoff, 0)
	end := outageStart + int64(minOutage)
	o.RecordSuccess(end)
	assert.Equal(t, o.EndedAt(), end)
	o.RecordPeerRecovery(end - 1)
	assert.Equal(t, o.EndedAt(), end)
}

// TestDelayEndsWhenPeerReachesStore guards against a gateway that does not call the store for
// seconds because of a delay that it drew during an outage, although another gateway has
// reached the store since.
func TestDelayEndsWhenPeerReachesStore(t *testing.T) {
	o := &Outage{}
	backoff := Backoff{Min: 8 * time.Second, Max: 8 * time.Second}
	o.RecordFailure(outageStart, backoff, 0.5)
	o.RecordPeerResponse(outageStart)
	assert.Assert(t, o.RetryDelay(outageStart, backoff, 0.5) > 0, "the response precedes the failure")
	recovered := outageStart + int64(time.Second)
	o.RecordPeerResponse(recovered)
	assert.Equal(t, o.RetryDelay(recovered, backoff, 0.5), time.Duration(0))
	assert.Assert(t, o.Active(), "this gateway has not reached the store itself")
	assert.Equal(t, o.EndedAt(), recovered)
}

// TestPeerEndsOutage guards against entries that count as expired in an outage long after the
// outage, because the first call of this gateway since then counts as its end.
func TestPeerEndsOutage(t *testing.T) {
	o := &Outage{}
	backoff := Backoff{Min: time.Second, Max: time.Second}
	o.RecordFailure(outageStart, backoff, 0)
	recovered := outageStart + int64(2*time.Second)
	o.RecordPeerResponse(recovered)
	o.RecordSuccess(recovered + int64(6*time.Second))
	assert.Equal(t, o.EndedAt(), recovered)
	assert.Assert(t, !o.Active())
}

// TestNextOutageStartsNewDelays guards against an outage whose first delay continues those of
// the outage before, if this gateway made no call in between.
func TestNextOutageStartsNewDelays(t *testing.T) {
	o := &Outage{}
	backoff := Backoff{Min: time.Second, Max: 8 * time.Second}
	countCalls(o, 8*time.Second, backoff)
	o.RecordPeerResponse(outageStart + int64(9*time.Second))
	next := outageStart + int64(11*time.Second)
	o.RecordFailure(next, backoff, 0.5)
	assert.Equal(t, o.RetryDelay(next, backoff, 0.5), time.Second)
	end := next + int64(time.Second)
	o.RecordSuccess(end)
	assert.Equal(t, o.EndedAt(), end)
}
