package routing

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// observeCrowding feeds calls on servers with room and on full ones, where calls
// take longer by a factor.
func observeCrowding(calls int, factor float64) *ServiceTimeEstimator {
	work := &ServiceTimeEstimator{}
	for range calls {
		sample := ServiceTimeSample{Nanos: 100 * millis, SlowdownBefore: 1, SlowdownAfter: 1, InFlightBefore: 1, Slots: 4}
		work.Observe(sample)
		sample.Nanos = int64(factor * float64(sample.Nanos))
		sample.InFlightBefore, sample.InFlightAfter = 4, 4
		work.Observe(sample)
	}
	return work
}

// TestCrowding guards against taking all services for ones that slow down in
// their last slot, which refused calls that servers could have answered in time,
// and against overfilling those that do slow down.
func TestCrowding(t *testing.T) {
	tests := []struct {
		desc     string
		work     *ServiceTimeEstimator
		inFlight int64
		want     Headroom
	}{
		{"nothing known, idle", &ServiceTimeEstimator{}, 0, HeadroomFree},
		{"nothing known, two slots left", &ServiceTimeEstimator{}, 2, HeadroomFree},
		{"nothing known, queue", &ServiceTimeEstimator{}, 6, HeadroomNone},
		{"nothing known, last slot", &ServiceTimeEstimator{}, 3, HeadroomTight},
		{"nothing known, full", &ServiceTimeEstimator{}, 4, HeadroomNone},
		{"does not slow down, last slot", observeCrowding(30, 1), 3, HeadroomFree},
		{"does not slow down, full", observeCrowding(30, 1), 4, HeadroomTight},
		{"does not slow down, short queue", observeCrowding(30, 1), 5, HeadroomTight},
		{"does not slow down, long queue", observeCrowding(30, 1), 6, HeadroomNone},
		{"slows down, last slot", observeCrowding(30, 1.7), 3, HeadroomTight},
		{"slows down, full", observeCrowding(30, 1.7), 4, HeadroomNone},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			servers := testServers(1)
			servers[0].Stats.Report(testNow, test.inFlight)
			got := pacedView(servers).HeadroomOf(servers[0], testNow, test.work.SaturationFactor())
			assert.Equal(t, got, test.want)
		})
	}
}

// TestCrowdingNeedsComparableCalls guards against calls that queued, or met a
// server whose speed changed, being taken for the cost of the last slot.
func TestCrowdingNeedsComparableCalls(t *testing.T) {
	work := observeCrowding(30, 1)
	before := work.SaturationFactor()
	for range 30 {
		work.Observe(ServiceTimeSample{Nanos: 900 * millis, SlowdownBefore: 1, SlowdownAfter: 1, InFlightBefore: 7, InFlightAfter: 6, Slots: 4})
		work.Observe(ServiceTimeSample{Nanos: 900 * millis, SlowdownBefore: 7, SlowdownAfter: 1, InFlightBefore: 4, InFlightAfter: 4, Slots: 4})
		work.Observe(ServiceTimeSample{Nanos: 900 * millis, InFlightBefore: 4, InFlightAfter: 4, Slots: 4})
	}
	assert.Equal(t, work.SaturationFactor(), before)
}

// TestWorkFollowsPace guards against a slow machine's answers being taken for
// longer work.
func TestWorkFollowsPace(t *testing.T) {
	work := &ServiceTimeEstimator{}
	for range 10 {
		work.Observe(ServiceTimeSample{Nanos: 700 * millis, SlowdownBefore: 7, SlowdownAfter: 7, InFlightBefore: 1, Slots: 4})
	}
	assert.Equal(t, work.EstimateNanos(), 100*millis)
}

// TestChoiceWithin guards against calls that are refused although a distant
// server could answer in time, against ones sent to a slow near server only
// because it has room, and against large bodies on a billed link.
func TestChoiceWithin(t *testing.T) {
	const within = 400 * millis
	tests := []struct {
		desc    string
		prepare func(near, far *Server)
		bytes   int64
		// want is the index of the chosen server, -1 for none.
		want int
	}{
		{"near full", func(near, _ *Server) { near.Stats.Report(testNow, 6) }, 0, 1},
		{"near slow with room", func(near, far *Server) { near.Stats.ReportSlowdown(7000); far.Penalty = 700 * millis }, 0, -1},
		{"both full", func(near, far *Server) { near.Stats.Report(testNow, 6); far.Stats.Report(testNow, 6) }, 0, -1},
		{"near full, upload", func(near, _ *Server) { near.Stats.Report(testNow, 6) }, 60_000, -1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			servers := testServers(2)
			for _, server := range servers {
				server.Stats.Report(testNow, 0)
				server.Stats.ReportSlowdown(1000)
			}
			servers[1].Penalty, servers[1].ByteNanos = 60*millis, 40_000
			test.prepare(servers[0], servers[1])
			chosen := pacedView(servers).Choose(Pick{
				Rand: rand.New(rand.NewPCG(1, 2)), Now: testNow, ServiceTime: 100 * millis, SaturationFactor: usualCrowding,
				Bytes: test.bytes, MaxLatency: within,
			})
			assert.Equal(t, slices.Index(servers, chosen), test.want)
		})
	}
}
