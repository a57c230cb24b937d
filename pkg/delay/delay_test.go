package delay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// interval is the time between two messages.
const interval = 100 * time.Millisecond

// TestDelaysAreRelativeToFastestMessages guards against ages that leave out how long a
// message waited, also if several messages in a row waited.
func TestDelaysAreRelativeToFastestMessages(t *testing.T) {
	const clockDifference, usual = int64(time.Hour), int64(30 * time.Millisecond)
	var e Estimate
	now := int64(10e9)
	for range 50 {
		assert.Equal(t, e.Record(now, now-usual+clockDifference), time.Duration(0))
		now += int64(interval)
	}
	for _, waited := range []time.Duration{400 * time.Millisecond, 10 * window, 5 * time.Second} {
		now += int64(waited)
		assert.Equal(t, e.Record(now, now-usual-int64(waited)+clockDifference), waited)
	}
}

// TestDelayEndsAfterSenderClockStoodStill guards against a sender whose messages count as
// delayed for good because its clock stood still while its VM was suspended.
func TestDelayEndsAfterSenderClockStoodStill(t *testing.T) {
	const stoodStill = int64(5 * time.Second)
	var e Estimate
	now := int64(10e9)
	e.Record(now, now)
	for end := now + int64(2*window+2*interval); now <= end; now += int64(interval) {
		e.Record(now, now-stoodStill)
	}
	assert.Equal(t, e.Record(now, now-stoodStill), time.Duration(0))
}
