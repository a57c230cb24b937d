package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
)

// TestHistoryKeepsKeysAcrossRotation guards against losing a dispatched key before
// the end of the retention, whenever the filters rotate and while the clock stands
// still.
func TestHistoryKeepsKeysAcrossRotation(t *testing.T) {
	const second = int64(time.Second)
	retention := int64(Retention)
	first, late, other := IDOf("s", "first"), IDOf("s", "late"), IDOf("s", "other")
	h := NewHistory(0, 64)
	h.Add(0, first)
	h.Add(0, first)
	assert.Assert(t, h.Has(first), "lost while the clock stood still")
	h.Add(retention-second, late)
	h.Add(retention, other)
	assert.Assert(t, h.Has(first) && h.Has(late) && h.Has(other))
	h.Add(2*retention-2*second, other)
	assert.Assert(t, h.Has(late), "lost within the retention")
	h.Add(2*retention, other)
	assert.Assert(t, !h.Has(first) && !h.Has(late))
	assert.Assert(t, h.Has(other))
	h.Add(20*retention, first)
	assert.Assert(t, h.Has(other), "lost within the retention after a jump of the clock")
}

// TestPauseDetector guards against missing a pause during which the monotonic clock
// stood still, and against ending a pause with a read that began before it.
func TestPauseDetector(t *testing.T) {
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
			var detector PauseDetector
			assert.Assert(t, !detector.Paused(second, at))
			detector.Tick(second, at)
			before := detector.PauseCount()
			assert.Equal(t, detector.Paused(c.now, c.wall), c.want)
			detector.Tick(c.now, c.wall)
			assert.Equal(t, detector.Paused(c.now, c.wall), c.want)
			detector.CaughtUp(before)
			assert.Equal(t, detector.Paused(c.now, c.wall), c.want)
			detector.CaughtUp(detector.PauseCount())
			assert.Assert(t, !detector.Paused(c.now, c.wall))
		})
	}
}

// TestDigestContainsClaimsOfFormerIncarnation guards against a restarted gateway
// that reports no attempt of a key that its former incarnation claimed, and against
// one that counts claims of others after its start as its own.
func TestDigestContainsClaimsOfFormerIncarnation(t *testing.T) {
	before, after, never := IDOf("s", "before"), IDOf("s", "after"), IDOf("s", "never")
	d := NewDigest(64)
	assert.Assert(t, d.MayBeInFirstRead(never))
	d.AddFeedPage([]ID{before}, 1, true)
	assert.Assert(t, d.MayBeInFirstRead(never), "the read has not ended")
	d.AddFeedPage(nil, 2, false)
	d.AddFeedPage([]ID{after}, 3, false)
	assert.Assert(t, d.MayBeInFirstRead(before))
	assert.Assert(t, !d.MayBeInFirstRead(after) && !d.MayBeInFirstRead(never))
	d.Rebuild()
	d.AddFeedPage([]ID{after}, 4, false)
	assert.Assert(t, d.MayBeInFirstRead(before) && !d.MayBeInFirstRead(after))
}

// TestRowIsClear guards against overruling a digest hit by a row that is claimed,
// resolved, damaged or of another key.
func TestRowIsClear(t *testing.T) {
	p := NewPending(call("k"), ownerWithClaim("mine"), 0)
	cases := []struct {
		desc string
		rows []platform.Row
		want bool
	}{
		{"absent", nil, true},
		{"released", []platform.Row{storedRow(p, 9, func(r *Row) { r.State = StateReleased })}, true},
		{"claimed", []platform.Row{storedRow(p, 9, func(*Row) {})}, false},
		{"done", []platform.Row{storedRow(p, 9, func(r *Row) { r.State = StateDone })}, false},
		{"unknown", []platform.Row{storedRow(p, 9, func(r *Row) { r.State = StateUnknown })}, false},
		{"damaged", []platform.Row{{Key: p.RowKey, Version: 9}}, false},
		{"colliding key", []platform.Row{storedRow(p, 9, func(r *Row) { r.State, r.KeyHash = StateReleased, "x" })}, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) { assert.Equal(t, RowIsClear(p.Call, c.rows), c.want) })
	}
}
