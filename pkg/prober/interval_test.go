package prober

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestIntervalFollowsLoad guards against probes at a fixed rate: with 100 gateways and
// 1,000 servers these are more than 50 probes per call, and as many without any call.
func TestIntervalFollowsLoad(t *testing.T) {
	tests := []struct {
		desc              string
		inFlight, allowed float64
		want              time.Duration
	}{
		{"no calls", 0, 60, MaxReportAge},
		{"rare calls", 0.01, 60, MaxReportAge},
		{"a quarter of a busy server's calls", busyInFlight / 4, 60, 2 * MinReportAge},
		{"busy", busyInFlight, 60, MinReportAge},
		{"very busy", 10 * busyInFlight, 60, MinReportAge},
		{"no limit", 10 * busyInFlight, 0, MinReportAge},
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
