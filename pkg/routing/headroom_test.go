package routing

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWaitingCallsShareSlots guards against all calls that wait at all gateways
// taking the one slot that becomes free: on a large site full servers reset the
// connections of those that came too many.
func TestWaitingCallsShareSlots(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	tests := []struct {
		desc          string
		spare, rivals float64
	}{
		{"one slot", 1, 99}, {"a few slots", 5, 99}, {"few rivals", 2, 9},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			const rounds = 200
			taken := 0
			for range rounds {
				for range int(test.rivals) + 1 {
					for range slotVisible {
						if random.Float64() < SlotProbability(test.spare, test.rivals, true) {
							taken++
							break
						}
					}
				}
			}
			perRound := float64(taken) / rounds
			assert.Assert(t, perRound > test.spare/2 && perRound < 2*test.spare, "%.1f calls for %v slots", perRound, test.spare)
		})
	}
	assert.Equal(t, SlotProbability(3, 0, false), 1.0, "without rivals a slot is taken at once")
}

// TestSpareCountsSimilarServers guards against slow servers' free slots being
// counted as spare: nobody wants them while faster ones have a queue.
func TestSpareCountsSimilarServers(t *testing.T) {
	servers := testServers(3)
	for i, inFlight := range []int64{1, 3, 0} {
		servers[i].Stats.Report(testNow, inFlight)
		servers[i].Stats.ReportSlowdown(1000)
	}
	servers[2].Stats.ReportSlowdown(7000)
	pick := Pick{Rand: rand.New(rand.NewPCG(1, 2)), Now: testNow, ServiceTime: 100 * millis, SaturationFactor: usualCrowding}
	assert.Equal(t, pacedView(servers).SpareSlots(servers[0], pick), 2.0)
}
