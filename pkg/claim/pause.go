package claim

import "time"

// minPause is the gap between two ticks above which the process counts as paused.
// Ticks come about every second, and within 2 s while the store does not respond.
const minPause = 5 * time.Second

// PauseDetector detects that the process was paused. After a pause, the data that
// it holds about other gateways may be hours old, even if its monotonic clock
// shows no gap. The zero value is ready to use. It is not safe for concurrent use.
type PauseDetector struct {
	lastTick int64
	lastWall time.Time
	// pauses counts the detected pauses, and caughtUp those before the start of the
	// last complete read of the feed.
	pauses   int
	caughtUp int
}

// Tick records that the process is running. now is in nanoseconds on the monotonic
// clock, which may stand still during a pause; wall is the wall clock without a
// monotonic reading.
func (d *PauseDetector) Tick(now int64, wall time.Time) {
	if d.exceedsMinPause(now, wall) {
		d.pauses++
	}
	d.lastTick, d.lastWall = now, wall
}

func (d *PauseDetector) exceedsMinPause(now int64, wall time.Time) bool {
	return !d.lastWall.IsZero() && (time.Duration(now-d.lastTick) > minPause || wall.Sub(d.lastWall) > minPause)
}

// PauseCount returns the number of pauses detected so far. A reader of the feed
// takes it right after a tick, before it starts, and passes it to CaughtUp at the
// end.
func (d *PauseDetector) PauseCount() int {
	return d.pauses
}

// CaughtUp records that the feed was read completely since the first pauseCount
// pauses.
func (d *PauseDetector) CaughtUp(pauseCount int) {
	d.caughtUp = pauseCount
}

// Paused reports whether the process was paused and has not read the feed
// completely since.
func (d *PauseDetector) Paused(now int64, wall time.Time) bool {
	return d.pauses != d.caughtUp || d.exceedsMinPause(now, wall)
}
