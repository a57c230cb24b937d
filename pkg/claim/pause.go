package claim

import "time"

// pauseLimit is the gap between two ticks that counts as a pause. Ticks come about
// every second, and within 2 s while the store does not answer.
const pauseLimit = 5 * time.Second

// PauseDetector detects that the process was paused, so that what it knows of the
// other gateways may be hours old although its clock shows otherwise. The zero
// value has seen no tick. It is not safe for concurrent use.
type PauseDetector struct {
	now  int64
	wall time.Time
	// pauses counts the pauses seen, and caught those before the last complete read
	// of the feed began.
	pauses int
	caught int
}

// Tick notes that the process runs. Now is on the monotonic clock, which may stand
// still during a pause, and wall is the wall clock without a monotonic reading.
func (w *PauseDetector) Tick(now int64, wall time.Time) {
	if w.gap(now, wall) {
		w.pauses++
	}
	w.now, w.wall = now, wall
}

func (w *PauseDetector) gap(now int64, wall time.Time) bool {
	return !w.wall.IsZero() && (time.Duration(now-w.now) > pauseLimit || wall.Sub(w.wall) > pauseLimit)
}

// PauseCount returns what CaughtUp needs at the end of a read of the feed that begins now,
// right after a tick.
func (w *PauseDetector) PauseCount() int {
	return w.pauses
}

// CaughtUp ends the pauses before PauseCount after a complete read of the feed.
func (w *PauseDetector) CaughtUp(begin int) {
	w.caught = begin
}

// Paused reports whether the process was paused and has not caught up since.
func (w *PauseDetector) Paused(now int64, wall time.Time) bool {
	return w.pauses != w.caught || w.gap(now, wall)
}
