package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWaitWhileStalledOutlastsStalls guards against requests that are closed unread: the
// time to close idle connections came while a processor quota held the gateway
// up, and a request that had waited 100 ms for it got no answer.
func TestWaitWhileStalledOutlastsStalls(t *testing.T) {
	tests := []struct {
		desc   string
		stalls []time.Duration
		want   int
	}{
		{"not held up", nil, 1},
		{"held up once", []time.Duration{90 * time.Millisecond}, 2},
		{"held up twice", []time.Duration{90 * time.Millisecond, 40 * time.Millisecond}, 3},
		{"held up for ever", make([]time.Duration, 100), maxStallChecks},
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
