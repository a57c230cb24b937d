package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
)

// TestHistorySurvivesRotation guards against forgetting a dispatched key before
// the retention is over, whenever the rotation comes, and against a clock that
// stands still.
func TestHistorySurvivesRotation(t *testing.T) {
	const second = int64(time.Second)
	retention := int64(Retention)
	first, late, other := IDOf("s", "first"), IDOf("s", "late"), IDOf("s", "other")
	h := NewHistory(0, 64)
	h.Add(0, first)
	h.Add(0, first)
	assert.Assert(t, h.Has(first), "forgotten while the clock stood still")
	h.Add(retention-second, late)
	h.Add(retention, other)
	assert.Assert(t, h.Has(first) && h.Has(late) && h.Has(other))
	h.Add(2*retention-2*second, other)
	assert.Assert(t, h.Has(late), "forgotten within the retention")
	h.Add(2*retention, other)
	assert.Assert(t, !h.Has(first) && !h.Has(late))
	assert.Assert(t, h.Has(other))
	h.Add(20*retention, first)
	assert.Assert(t, h.Has(other), "forgotten within the retention after a jump of the clock")
}

// TestPauseWatch guards against a pause that goes unnoticed because the monotonic
// clock stood still, and against ending it with a read that began before it.
func TestPauseWatch(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const second = int64(time.Second)
	cases := []struct {
		desc string
		now  int64
		wall time.Time
		want bool
	}{
		{"ordinary tick", 2 * second, at.Add(time.Second), false},
		{"slow tick", 6 * second, at.Add(5 * time.Second), false},
		{"paused", 3601 * second, at.Add(time.Hour), true},
		{"monotonic clock stood still", second, at.Add(time.Hour), true},
		{"wall clock set back", 3601 * second, at, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			var w PauseDetector
			assert.Assert(t, !w.Paused(second, at))
			w.Tick(second, at)
			before := w.PauseCount()
			assert.Equal(t, w.Paused(c.now, c.wall), c.want)
			w.Tick(c.now, c.wall)
			assert.Equal(t, w.Paused(c.now, c.wall), c.want)
			w.CaughtUp(before)
			assert.Equal(t, w.Paused(c.now, c.wall), c.want)
			w.CaughtUp(w.PauseCount())
			assert.Assert(t, !w.Paused(c.now, c.wall))
		})
	}
}

// TestDigestInherits guards against a restarted gateway that denies what its
// former incarnation claimed, and against one that counts the claims of others
// after its start as its own.
func TestDigestInherits(t *testing.T) {
	before, after, never := IDOf("s", "before"), IDOf("s", "after"), IDOf("s", "never")
	d := NewDigest(64)
	assert.Assert(t, d.MayInherit(never))
	d.AddFeedPage([]ID{before}, 1, true)
	assert.Assert(t, d.MayInherit(never), "the read has not ended")
	d.AddFeedPage(nil, 2, false)
	d.AddFeedPage([]ID{after}, 3, false)
	assert.Assert(t, d.MayInherit(before))
	assert.Assert(t, !d.MayInherit(after) && !d.MayInherit(never))
	d.Rebuild()
	d.AddFeedPage([]ID{after}, 4, false)
	assert.Assert(t, d.MayInherit(before) && !d.MayInherit(after))
}

// TestRowIsClear guards against clearing a digest hit by a row that is claimed,
// resolved, damaged, or that of another key.
func TestRowIsClear(t *testing.T) {
	p := NewPending(call("k"), owned("mine"), 0)
	cases := []struct {
		desc string
		rows []platform.Row
		want bool
	}{
		{"absent", nil, true},
		{"released", []platform.Row{stored(p, 9, func(r *Row) { r.State = StateReleased })}, true},
		{"claimed", []platform.Row{stored(p, 9, func(*Row) {})}, false},
		{"done", []platform.Row{stored(p, 9, func(r *Row) { r.State = StateDone })}, false},
		{"unknown", []platform.Row{stored(p, 9, func(r *Row) { r.State = StateUnknown })}, false},
		{"damaged", []platform.Row{{Key: p.RowKey, Version: 9}}, false},
		{"colliding key", []platform.Row{stored(p, 9, func(r *Row) { r.State, r.KeyHash = StateReleased, "x" })}, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) { assert.Equal(t, RowIsClear(p.Call, c.rows), c.want) })
	}
}
