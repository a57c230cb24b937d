// Package health decides which servers are fit for new work: ejection after
// failures, slow start, the panic threshold and drain evidence. The package does
// no I/O and reads no clock; times are nanoseconds on one monotonic clock.
package health

import "time"

// Counts are the cumulative counters of one server.
type Counts struct {
	Successes           uint64
	Failures            uint64
	Sheds               uint64
	ConsecutiveFailures int64
}

// Ejection is the ejection state of one server. The zero value is healthy.
type Ejection struct {
	last Counts
	// until is the end of the current ejection, 0 if not ejected.
	until int64
	// times counts ejections in a row; it sets the length of the next one.
	times int
	// recoveredAt is the end of the last ejection; it starts a slow start.
	recoveredAt int64
}

const (
	// consecutiveFailuresToEject ejects a server that answers nothing.
	consecutiveFailuresToEject = 5
	// minSamplesForRatio is the number of outcomes in a window from which the
	// failure ratio is judged.
	minSamplesForRatio = 10
	// failureRatioToEject ejects a server that fails often although some calls succeed.
	failureRatioToEject = 0.5
	firstEjection       = 5 * time.Second
	longestEjection     = 60 * time.Second
)

// Update judges the outcomes since the last call and returns whether the server
// was ejected or recovered by it.
func (e *Ejection) Update(now int64, counts Counts) (changed bool) {
	successes := counts.Successes - e.last.Successes
	failures := counts.Failures - e.last.Failures
	if e.until != 0 {
		e.last = counts
		if now < e.until {
			return false
		}
		e.until = 0
		e.recoveredAt = now
		return true
	}
	total := successes + failures
	ratioTooHigh := total >= minSamplesForRatio && float64(failures) > failureRatioToEject*float64(total)
	if ratioTooHigh || (failures > 0 && counts.ConsecutiveFailures >= consecutiveFailuresToEject) {
		e.eject(now)
		e.last = counts
		return true
	}
	if total >= minSamplesForRatio {
		e.last = counts
		if failures == 0 {
			e.times = 0
		}
	}
	return false
}

func (e *Ejection) eject(now int64) {
	length := firstEjection << min(e.times, 10)
	e.until = now + int64(min(length, longestEjection))
	e.times++
}

// Ejected reports whether the server is ejected.
func (e *Ejection) Ejected() bool {
	return e.until != 0
}

// Until returns the end of the ejection, 0 if the server is not ejected.
func (e *Ejection) Until() int64 {
	return e.until
}

// RecoveredAt returns when the last ejection ended, 0 if there was none.
func (e *Ejection) RecoveredAt() int64 {
	return e.recoveredAt
}

// MayEject reports whether another server of a service may be ejected without
// passing the panic threshold: at most half of the servers are ejected, because
// the rest could not carry the load of a larger part.
func MayEject(ejected, total int) bool {
	return 2*(ejected+1) <= total
}
