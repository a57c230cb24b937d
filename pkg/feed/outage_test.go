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
