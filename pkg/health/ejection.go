// Package health derives from observations of a server whether it may receive calls and
// which share: ejection after failures, the panic threshold, slow start, load shedding
// and drain evidence. The control loop uses it. The package does no I/O and reads no
// clock; times are nanoseconds on one monotonic clock.
package health

import "time"

// Counts are the cumulative counters of one server.
type Counts struct {
	Successes           uint64
	Failures            uint64
	Sheds               uint64
	ConsecutiveFailures int64
}

// Ejection is the ejection state of one server. The zero value is that of a server that
// was never ejected.
type Ejection struct {
	// windowCounts holds the counters at the start of the current window.
	windowCounts Counts
	// lastCounts holds the counters of the last update.
	lastCounts Counts
	// windowStartedAt is when the current window started.
	windowStartedAt int64
	// ejectedAt is the start of the last ejection.
	ejectedAt int64
	// ejectedUntil is the end of the current ejection, 0 if not ejected.
	ejectedUntil int64
	// consecutiveEjections is the number of ejections, each less than maxEjectionDuration
	// of healthy operation after the one before. It determines the duration of the next
	// one.
	consecutiveEjections int
	// ejectionEndedAt is the end of the last ejection, after which slow start begins.
	ejectionEndedAt int64
}

const (
	// consecutiveFailuresToEject is the number of consecutive failures from which a
	// server is ejected.
	consecutiveFailuresToEject = 5
	// minSamplesForRatio is the number of outcomes in a window from which the failure
	// ratio is evaluated.
	minSamplesForRatio = 10
	// failureRatioToEject is the failure ratio above which a server is ejected although
	// some calls succeed.
	failureRatioToEject = 0.5
	// ratioWindow bounds the age of the outcomes in a failure ratio, so that old
	// failures do not count on servers with few calls.
	ratioWindow = 30 * time.Second
	// baseEjectionDuration is the duration of the first ejection. Each consecutive one
	// lasts twice as long, up to maxEjectionDuration.
	baseEjectionDuration = 5 * time.Second
	maxEjectionDuration  = 60 * time.Second
	// maxDoublings bounds the shift in eject; four doublings already exceed
	// maxEjectionDuration.
	maxDoublings = 4
)

// Update evaluates the outcomes since the previous update and reports whether the
// server was ejected or its ejection ended. If mayEject is false, the server is not
// ejected and its outcomes are discarded.
func (e *Ejection) Update(now int64, counts Counts, mayEject bool) (changed bool) {
	failedSince := counts.Failures > e.lastCounts.Failures
	e.lastCounts = counts
	if e.ejectedUntil != 0 {
		e.startWindow(now, counts)
		if now < e.ejectedUntil {
			return false
		}
		e.ejectedUntil = 0
		e.ejectionEndedAt = now
		return true
	}
	if !mayEject || now-e.windowStartedAt > int64(ratioWindow) {
		e.startWindow(now, counts)
	}
	if mayEject && failedSince && counts.ConsecutiveFailures >= consecutiveFailuresToEject {
		e.eject(now, counts)
		return true
	}
	return mayEject && e.evaluateRatio(now, counts)
}

// evaluateRatio evaluates the failure ratio of the window once it holds enough outcomes.
func (e *Ejection) evaluateRatio(now int64, counts Counts) (ejected bool) {
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
	if now-e.ejectionEndedAt > int64(maxEjectionDuration) {
		e.consecutiveEjections = 0
	}
	return false
}

func (e *Ejection) startWindow(now int64, counts Counts) {
	e.windowCounts = counts
	e.windowStartedAt = now
}

func (e *Ejection) eject(now int64, counts Counts) {
	duration := min(baseEjectionDuration<<min(e.consecutiveEjections, maxDoublings), maxEjectionDuration)
	e.ejectedAt = now
	e.ejectedUntil = now + int64(duration)
	e.consecutiveEjections++
	e.startWindow(now, counts)
}

// Discard discards the outcomes since a moment at which the links to the server were lost. An
// ejection that they caused ends without slow start.
func (e *Ejection) Discard(now int64, counts Counts, since int64) {
	e.lastCounts = counts
	e.startWindow(now, counts)
	if e.ejectedUntil != 0 && e.ejectedAt >= since {
		e.ejectedUntil = 0
		e.consecutiveEjections--
	}
}

// Ejected reports whether the server is ejected.
func (e *Ejection) Ejected() bool {
	return e.ejectedUntil != 0
}

// EjectedUntil returns the end of the ejection, 0 if the server is not ejected.
func (e *Ejection) EjectedUntil() int64 {
	return e.ejectedUntil
}

// EjectionEndedAt returns when the last ejection ended, 0 if there was none.
func (e *Ejection) EjectionEndedAt() int64 {
	return e.ejectionEndedAt
}

// MayEject reports whether another server of a service may be ejected. total counts the
// servers that are usable or ejected. Servers that are draining or in maintenance are
// excluded, because they carry no load.
func MayEject(ejected, total int) bool {
	return !PanicThresholdReached(ejected+1, total)
}

// PanicThresholdReached reports whether more than half of the servers are ejected. The
// remaining servers could not carry the load, so that all servers are used (panic
// threshold).
func PanicThresholdReached(ejected, total int) bool {
	return 2*ejected > total
}
