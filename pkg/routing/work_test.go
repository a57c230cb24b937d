package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

// observeCrowding feeds calls on servers with room and on full ones, where calls
// take longer by a factor.
func observeCrowding(calls int, factor float64) *Work {
	work := &Work{}
	for range calls {
		sample := WorkSample{Nanos: 100 * millis, PaceBefore: 1, PaceAfter: 1, LoadBefore: 1, Slots: 4}
		work.Observe(sample)
		sample.Nanos = int64(factor * float64(sample.Nanos))
		sample.LoadBefore, sample.LoadAfter = 4, 4
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
		work     *Work
		inFlight int64
		want     Room
	}{
		{"nothing known, idle", &Work{}, 0, RoomFree},
		{"nothing known, two slots left", &Work{}, 2, RoomFree},
		{"nothing known, queue", &Work{}, 6, RoomNone},
		{"nothing known, last slot", &Work{}, 3, RoomTight},
		{"nothing known, full", &Work{}, 4, RoomNone},
		{"does not slow down, last slot", observeCrowding(30, 1), 3, RoomFree},
		{"does not slow down, full", observeCrowding(30, 1), 4, RoomTight},
		{"does not slow down, short queue", observeCrowding(30, 1), 5, RoomTight},
		{"does not slow down, long queue", observeCrowding(30, 1), 6, RoomNone},
		{"slows down, last slot", observeCrowding(30, 1.7), 3, RoomTight},
		{"slows down, full", observeCrowding(30, 1.7), 4, RoomNone},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			servers := testServers(1)
			servers[0].Stats.Report(testNow, test.inFlight)
			got := pacedView(servers).RoomOf(servers[0], testNow, test.work.Crowding())
			assert.Equal(t, got, test.want)
		})
	}
}

// TestCrowdingNeedsComparableCalls guards against calls that queued, or met a
// server whose speed changed, being taken for the cost of the last slot.
func TestCrowdingNeedsComparableCalls(t *testing.T) {
	work := observeCrowding(30, 1)
	before := work.Crowding()
	for range 30 {
		work.Observe(WorkSample{Nanos: 900 * millis, PaceBefore: 1, PaceAfter: 1, LoadBefore: 7, LoadAfter: 6, Slots: 4})
		work.Observe(WorkSample{Nanos: 900 * millis, PaceBefore: 7, PaceAfter: 1, LoadBefore: 4, LoadAfter: 4, Slots: 4})
		work.Observe(WorkSample{Nanos: 900 * millis, LoadBefore: 4, LoadAfter: 4, Slots: 4})
	}
	assert.Equal(t, work.Crowding(), before)
}

// TestWorkFollowsPace guards against a slow machine's answers being taken for
// longer work.
func TestWorkFollowsPace(t *testing.T) {
	work := &Work{}
	for range 10 {
		work.Observe(WorkSample{Nanos: 700 * millis, PaceBefore: 7, PaceAfter: 7, LoadBefore: 1, Slots: 4})
	}
	assert.Equal(t, work.Nanos(), 100*millis)
}
