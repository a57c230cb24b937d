package feed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const outageStart = int64(10e9)

// callsIn returns how many calls two tables make to a store that is away for a
// time, looking a hundred times a second.
func callsIn(o *Outage, length time.Duration, pauses Backoff) int {
	calls := 0
	for now := outageStart; now < outageStart+int64(length); now += 10e6 {
		for range 2 {
			if o.RetryDelay(now, pauses, 0.5) == 0 {
				calls++
				o.RecordFailure(now, pauses, 0.5)
			}
		}
	}
	return calls
}

// TestOutageIsSharedByTables guards against a fleet in which each table of each
// gateway asks a store that is away: on a site of 132 gateways an outage of 8 s
// cost more than 1,000 calls.
func TestOutageIsSharedByTables(t *testing.T) {
	o := &Outage{}
	pauses := Backoff{Min: time.Second, Max: 8 * time.Second}
	// The first look finds out, then there is one call after 1, 3 and 7 s.
	assert.Equal(t, callsIn(o, 8*time.Second, pauses), 4)
	assert.Assert(t, o.Active())
}

// TestReaderDoesNotWaitForOthers guards against a gateway that becomes the reader
// and keeps the long pauses of the others, so that all learn late that the store is
// back.
func TestReaderDoesNotWaitForOthers(t *testing.T) {
	o := &Outage{}
	callsIn(o, 8*time.Second, Backoff{Min: time.Second, Max: 8 * time.Second})
	now := outageStart + int64(8*time.Second)
	wait := o.RetryDelay(now, Backoff{Min: 200 * time.Millisecond, Max: 500 * time.Millisecond}, 0.5)
	assert.Assert(t, wait <= 750*time.Millisecond, "%s", wait)
	assert.Equal(t, o.RetryDelay(now+int64(wait), Backoff{Min: 200 * time.Millisecond, Max: 500 * time.Millisecond}, 0.5), time.Duration(0))
}

// TestOutageEnds guards against short failures that are taken for an outage in
// which entries lapse, and against an outage that goes unnoticed.
func TestOutageEnds(t *testing.T) {
	o := &Outage{}
	pauses := Backoff{Min: time.Second, Max: time.Second}
	o.RecordFailure(outageStart, pauses, 0)
	o.RecordSuccess(outageStart + int64(leastOutage) - 1)
	assert.Equal(t, o.EndedAt(), int64(0))
	assert.Equal(t, o.RetryDelay(outageStart, pauses, 0), time.Duration(0))
	o.RecordFailure(outageStart, pauses, 0)
	end := outageStart + int64(leastOutage)
	o.RecordSuccess(end)
	assert.Equal(t, o.EndedAt(), end)
	o.RecordPeerRecovery(end - 1)
	assert.Equal(t, o.EndedAt(), end)
}
