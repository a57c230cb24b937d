package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWaitWhileStalledOutlastsStalls guards against connections that are closed as idle
// although they carry an unread request. It happens if a CPU quota stalls the gateway while it
// closes idle connections; a stall lasts up to 100 ms.
func TestWaitWhileStalledOutlastsStalls(t *testing.T) {
	tests := []struct {
		desc   string
		stalls []time.Duration
		want   int
	}{
		{"no stall", nil, 1},
		{"one stall", []time.Duration{90 * time.Millisecond}, 2},
		{"two stalls", []time.Duration{90 * time.Millisecond, 40 * time.Millisecond}, 3},
		{"endless stalls", make([]time.Duration, 100), maxStallChecks},
	}
	for i := range tests[3].stalls {
		tests[3].stalls[i] = 90 * time.Millisecond
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			clock, slept := time.Unix(1, 0), 0
			waitWhileStalled(func() time.Time { return clock }, func(d time.Duration) {
				clock = clock.Add(d)
				if slept < len(test.stalls) {
					clock = clock.Add(test.stalls[slept])
				}
				slept++
			})
			assert.Equal(t, slept, test.want)
		})
	}
}
