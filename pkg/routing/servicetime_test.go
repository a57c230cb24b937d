package routing

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// estimatorWithSaturation returns an estimator that has observed calls on servers with
// spare slots and on full ones, where calls take longer by the given factor.
func estimatorWithSaturation(calls int, factor float64) *ServiceTimeEstimator {
	estimator := &ServiceTimeEstimator{}
	for range calls {
		sample := ServiceTimeSample{Nanos: 100 * millis, SlowdownBefore: 1, SlowdownAfter: 1, InFlightBefore: 1, Slots: 4}
		estimator.Observe(sample)
		sample.Nanos = int64(factor * float64(sample.Nanos))
		sample.InFlightBefore, sample.InFlightAfter = 4, 4
		estimator.Observe(sample)
	}
	return estimator
}

// TestHeadroomFollowsSaturationFactor guards against assuming that all services slow
// down when their last slot is taken, so that calls are refused to which servers
// would respond in time, and against overloading the services that do slow down.
func TestHeadroomFollowsSaturationFactor(t *testing.T) {
	tests := []struct {
		desc      string
		estimator *ServiceTimeEstimator
		inFlight  int64
		want      Headroom
	}{
		{"no samples, idle", &ServiceTimeEstimator{}, 0, HeadroomFree},
		{"no samples, two slots left", &ServiceTimeEstimator{}, 2, HeadroomFree},
		{"no samples, queue", &ServiceTimeEstimator{}, 6, HeadroomNone},
		{"no samples, last slot", &ServiceTimeEstimator{}, 3, HeadroomTight},
		{"no samples, full", &ServiceTimeEstimator{}, 4, HeadroomNone},
		{"does not slow down, last slot", estimatorWithSaturation(30, 1), 3, HeadroomFree},
		{"does not slow down, full", estimatorWithSaturation(30, 1), 4, HeadroomTight},
		{"does not slow down, short queue", estimatorWithSaturation(30, 1), 5, HeadroomTight},
		{"does not slow down, long queue", estimatorWithSaturation(30, 1), 6, HeadroomNone},
		{"slows down, last slot", estimatorWithSaturation(30, 1.7), 3, HeadroomTight},
		{"slows down, full", estimatorWithSaturation(30, 1.7), 4, HeadroomNone},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			servers := testServers(1)
			servers[0].Stats.Report(testNow, test.inFlight)
			got := newLatencyView(servers).HeadroomOf(servers[0], testNow, test.estimator.SaturationFactor())
			assert.Equal(t, got, test.want)
		})
	}
}

// TestSaturationFactorIgnoresOtherDelays guards against attributing the delay of
// calls that queued, or ran on a server whose slowdown changed, to the last slot.
func TestSaturationFactorIgnoresOtherDelays(t *testing.T) {
	estimator := estimatorWithSaturation(30, 1)
	before := estimator.SaturationFactor()
	for range 30 {
		estimator.Observe(ServiceTimeSample{Nanos: 900 * millis, SlowdownBefore: 1, SlowdownAfter: 1, InFlightBefore: 7, InFlightAfter: 6, Slots: 4})
		estimator.Observe(ServiceTimeSample{Nanos: 900 * millis, SlowdownBefore: 7, SlowdownAfter: 1, InFlightBefore: 4, InFlightAfter: 4, Slots: 4})
		estimator.Observe(ServiceTimeSample{Nanos: 900 * millis, InFlightBefore: 4, InFlightAfter: 4, Slots: 4})
	}
	assert.Equal(t, estimator.SaturationFactor(), before)
}

// TestServiceTimeExcludesSlowdown guards against attributing the late responses of a
// slow server to a longer service time.
func TestServiceTimeExcludesSlowdown(t *testing.T) {
	estimator := &ServiceTimeEstimator{}
	for range 10 {
		estimator.Observe(ServiceTimeSample{Nanos: 700 * millis, SlowdownBefore: 7, SlowdownAfter: 7, InFlightBefore: 1, Slots: 4})
	}
	assert.Equal(t, estimator.EstimateNanos(), 100*millis)
}

// TestChoiceWithMaxLatency guards against calls that are refused although a remote
// server could respond in time, against calls sent to a slow local server only
// because it has headroom, and against large bodies on a billed link.
func TestChoiceWithMaxLatency(t *testing.T) {
	const maxLatency = 400 * millis
	tests := []struct {
		desc    string
		prepare func(local, remote *Server)
		bytes   int64
		// want is the index of the chosen server, -1 for none.
		want int
	}{
		{"local full", func(local, _ *Server) { local.Stats.Report(testNow, 6) }, 0, 1},
		{"local slow with headroom", func(local, remote *Server) { local.Stats.ReportSlowdown(7000); remote.NetworkLatency = 700 * millis }, 0, -1},
		{"both full", func(local, remote *Server) { local.Stats.Report(testNow, 6); remote.Stats.Report(testNow, 6) }, 0, -1},
		{"local full, upload", func(local, _ *Server) { local.Stats.Report(testNow, 6) }, 60_000, -1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			servers := testServers(2)
			for _, server := range servers {
				server.Stats.Report(testNow, 0)
				server.Stats.ReportSlowdown(1000)
			}
			servers[1].NetworkLatency, servers[1].ByteNanos = 60*millis, 40_000
			test.prepare(servers[0], servers[1])
			chosen := newLatencyView(servers).Choose(Pick{
				Rand: rand.New(rand.NewPCG(1, 2)), Now: testNow, ServiceTime: 100 * millis, SaturationFactor: defaultSaturationFactor,
				Bytes: test.bytes, MaxLatency: maxLatency,
			})
			assert.Equal(t, slices.Index(servers, chosen), test.want)
		})
	}
}
