package routing

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFreeSlotIsTakenByAboutOneCall guards against all waiting calls of all gateways
// taking the same free slot: the server would exceed its limit and reset connections.
func TestFreeSlotIsTakenByAboutOneCall(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	tests := []struct {
		desc             string
		spare, competing float64
	}{
		{"one slot", 1, 99}, {"a few slots", 5, 99}, {"few competing calls", 2, 9},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			const rounds = 200
			taken := 0
			for range rounds {
				for range int(test.competing) + 1 {
					for range checksPerFreeSlot {
						if random.Float64() < SlotProbability(test.spare, test.competing, true) {
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
	assert.Equal(t, SlotProbability(3, 0, false), 1.0, "without competing calls a slot is taken at once")
}

// TestSpareSlotsExcludeSlowServers guards against counting the free slots of slow
// servers as spare: calls wait for the faster servers instead.
func TestSpareSlotsExcludeSlowServers(t *testing.T) {
	servers := testServers(3)
	for i, inFlight := range []int64{1, 3, 0} {
		servers[i].Stats.Report(testNow, inFlight)
		servers[i].Stats.ReportSlowdown(1000)
	}
	servers[2].Stats.ReportSlowdown(7000)
	pick := Pick{Rand: rand.New(rand.NewPCG(1, 2)), Now: testNow, ServiceTime: 100 * millis, SaturationFactor: defaultSaturationFactor}
	assert.Equal(t, newLatencyView(servers).SpareSlots(servers[0], pick), 2.0)
}
