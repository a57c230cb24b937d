package prober

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestIntervalFollowsLoad guards against probes at a fixed rate: with 100 gateways and
// 1,000 servers there were more than 50 probes per call, and as many without any call.
func TestIntervalFollowsLoad(t *testing.T) {
	tests := []struct {
		desc              string
		inFlight, allowed float64
		want              time.Duration
	}{
		{"no calls", 0, 60, MaxInterval},
		{"rare calls", 0.01, 60, MaxInterval},
		{"a quarter of a busy server's calls", busyInFlight / 4, 60, 2 * MinInterval},
		{"busy", busyInFlight, 60, MinInterval},
		{"very busy", 10 * busyInFlight, 60, MinInterval},
		{"no limit", 10 * busyInFlight, 0, MinInterval},
		{"few probes are allowed", 10 * busyInFlight, 10, time.Second / 6},
		{"few probes are allowed and no calls", 0, 1, 1667 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			got := Interval(test.inFlight, test.allowed)
			assert.Assert(t, got-test.want < time.Millisecond && test.want-got < time.Millisecond, "%s, want %s", got, test.want)
		})
	}
}
