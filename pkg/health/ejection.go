// Package health decides which servers are fit for new work: ejection after
// failures, slow start, the panic threshold, load shedding and drain evidence.
// The package does no I/O and reads no clock; times are nanoseconds on one
// monotonic clock.
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
	// window holds the counters at the start of the window being judged.
	windowCounts Counts
	// last holds the counters of the last update.
	last Counts
	// windowStartedAt is when the window started.
	windowStartedAt int64
	// until is the end of the current ejection, 0 if not ejected.
	until int64
	// consecutiveEjections counts ejections in a row; it sets the length of the next one.
	consecutiveEjections int
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
	// ratioWindow bounds the age of the outcomes that a ratio is made of, so that
	// failures of long ago don't count on servers with few calls.
	ratioWindow  = 30 * time.Second
	baseEjection = 5 * time.Second
	maxEjection  = 60 * time.Second
	// doublings is the number of doublings from baseEjection to maxEjection.
	doublings = 4
)

// Update judges the outcomes since the last call and returns whether the server
// was ejected or recovered by it. If mayEject is false, the server is not
// ejected and its outcomes are forgotten.
func (e *Ejection) Update(now int64, counts Counts, mayEject bool) (changed bool) {
	failedSince := counts.Failures > e.last.Failures
	e.last = counts
	if e.until != 0 {
		e.startWindow(now, counts)
		if now < e.until {
			return false
		}
		e.until = 0
		e.recoveredAt = now
		return true
	}
	if !mayEject || now-e.windowStartedAt > int64(ratioWindow) {
		e.startWindow(now, counts)
	}
	if mayEject && failedSince && counts.ConsecutiveFailures >= consecutiveFailuresToEject {
		e.eject(now, counts)
		return true
	}
	return mayEject && e.judgeRatio(now, counts)
}

// judgeRatio judges the window once it holds enough outcomes.
func (e *Ejection) judgeRatio(now int64, counts Counts) (ejected bool) {
	successes := counts.Successes - e.windowCounts.Successes
	failures := counts.Failures - e.windowCounts.Failures
	total := successes + failures
	if total < minSamplesForRatio {
		return false
	}
	if float64(failures) > failureRatioToEject*float64(total) {
		e.eject(now, counts)
		return true
	}
	e.startWindow(now, counts)
	if now-e.recoveredAt > int64(maxEjection) {
		e.consecutiveEjections = 0
	}
	return false
}

func (e *Ejection) startWindow(now int64, counts Counts) {
	e.windowCounts = counts
	e.windowStartedAt = now
}

func (e *Ejection) eject(now int64, counts Counts) {
	duration := min(baseEjection<<min(e.consecutiveEjections, doublings), maxEjection)
	e.until = now + int64(duration)
	e.consecutiveEjections++
	e.startWindow(now, counts)
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

// MayEject reports whether another server of a service may be ejected. total
// counts the servers that could be used but for ejections: those that drain or
// are in maintenance are left out, because they carry no load.
func MayEject(ejected, total int) bool {
	return !Panic(ejected+1, total)
}

// Panic reports whether more than half of the servers are ejected. The other
// servers could not carry the load, so all are used again.
func Panic(ejected, total int) bool {
	return 2*ejected > total
}
