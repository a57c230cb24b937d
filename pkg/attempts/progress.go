package attempts

const (
	// minHedgeSpeedup is how many times faster than the remaining time another server's expected
	// response must be.
	minHedgeSpeedup = 2
	// overdueProgress is the progress, in multiples of the estimated service time, above which a
	// call takes much longer than the slowdown that the server reports explains.
	overdueProgress = 2.5
	// minRemaining is the fraction of the service time that is always assumed to remain, since the
	// service time of a single call is not known.
	minRemaining = 0.15
	// minSlowdown avoids a division by zero if a server reports a slowdown of 0.
	minSlowdown = 0.01
)

// Progress estimates how much of a call a server has completed, from the slowdown that the server
// reports meanwhile. Times are nanoseconds on the gateway's monotonic clock.
type Progress struct {
	// serviceTime is the expected time on an idle server without slowdown.
	serviceTime int64
	// done is the completed part of the call in multiples of serviceTime, updatedAt the time of
	// the last update and remaining the expected time from then until the response.
	done      float64
	updatedAt int64
	remaining int64
}

// NewProgress returns the progress of a call that a server starts at startedAt.
func NewProgress(startedAt, serviceTime int64) *Progress {
	return &Progress{serviceTime: serviceTime, updatedAt: startedAt, remaining: serviceTime}
}

// Update advances the progress to now. slowdown is the factor by which the server is slower than
// usual.
func (p *Progress) Update(now int64, slowdown float64) {
	perCall := float64(p.serviceTime) * max(minSlowdown, slowdown)
	p.done += float64(now-p.updatedAt) / perCall
	p.updatedAt = now
	p.remaining = int64(max(minRemaining, 1-p.done) * perCall)
}

// overdue reports whether the call takes much longer than expected.
func (p *Progress) overdue() bool {
	return p.done > overdueProgress
}

// Late reports whether the response is expected after the latency target, or is overdue.
func (p *Progress) Late(target int64) bool {
	return p.overdue() || p.updatedAt+p.remaining > target
}

// HedgeHelps reports whether another server, whose response is expected after the given time,
// would respond early enough, and much earlier than this one. An overdue call may miss the
// latency target, but not its deadline; a deadline of 0 means none.
func (p *Progress) HedgeHelps(expected, target, deadline int64) bool {
	if p.overdue() {
		return deadline == 0 || p.updatedAt+expected <= deadline
	}
	return p.updatedAt+expected <= target && p.remaining >= minHedgeSpeedup*expected
}
