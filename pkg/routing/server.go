// Package routing chooses the server for a call. The control loop publishes an
// immutable Snapshot; traffic goroutines load it once per call and pick from it
// without locks. The package does no I/O, starts no goroutine and reads no
// clock: times are nanoseconds on the caller's monotonic clock.
package routing

import (
	"math"
	"sync/atomic"
)

// Availability says whether a server may receive new calls.
type Availability int

const (
	// Available servers receive new calls.
	Available Availability = iota
	// Draining servers are leaving and receive no new calls.
	Draining
	// Ejected servers failed recently.
	Ejected
	// InMaintenance servers are taken out by the preset in force.
	InMaintenance
	// OutsideSubset servers are left to other gateways.
	OutsideSubset
)

// String returns the name shown by /status.
func (a Availability) String() string {
	switch a {
	case Available:
		return "available"
	case Draining:
		return "draining"
	case Ejected:
		return "ejected"
	case InMaintenance:
		return "maintenance"
	case OutsideSubset:
		return "outside-subset"
	default:
		return "unknown"
	}
}

// Server is one server as seen by traffic. Its fields do not change after the
// snapshot is published, except for Stats.
type Server struct {
	ID            string
	Service       string
	Address       string
	Region        string
	FailureDomain string
	Incarnation   uint64
	Availability  Availability
	// LastResort says that the server is only noticed as leaving, so that it is
	// used if the service has no other usable server.
	LastResort bool
	// Reason explains the availability to operators.
	Reason string
	// Weight is the share of work that the server gets compared to a warm,
	// healthy one, greater than 0 and at most 1.
	Weight float64
	// Penalty is added to the expected latency, in nanoseconds, for the distance
	// between this gateway and the server.
	Penalty int64
	// ByteNanos is the price of a byte between this gateway and the server; see
	// preset.Tuning.
	ByteNanos float64
	// Slots is how many requests the server runs at once, 0 for the service's value.
	Slots int
	// ColdUntil is the time at which the server has warmed up, 0 if it is warm.
	ColdUntil int64
	Stats     *Stats
}

// Stats are a gateway's observations of one server. Traffic goroutines and the
// control loop share them through atomics only.
type Stats struct {
	inFlight atomic.Int64
	// reported is the requests in flight of the last load report.
	reported   atomic.Int64
	reportedAt atomic.Int64
	// pace is the reported time that work takes in permille of the usual, 0 if
	// the server does not report it.
	pace atomic.Int64
	// ownReportedAt is the time of the last report that this gateway read itself.
	ownReportedAt atomic.Int64
	// silent says that the server does not answer probes.
	silent atomic.Bool
	// sentSinceReport counts own dispatches that the last report does not hold.
	sentSinceReport atomic.Int64
	// peersInFlight is the sum of other gateways' own requests in flight.
	peersInFlight atomic.Int64
	latency       atomic.Int64
	answeredAt    atomic.Int64
	// busySince is when the server was last chosen while it had no own request.
	busySince atomic.Int64
	Successes atomic.Uint64
	Failures  atomic.Uint64
	Sheds     atomic.Uint64
	// ConsecutiveFailures counts failures since the last success.
	ConsecutiveFailures atomic.Int64
	// DrainNoticedAt is the time of the last drain notice on the wire, 0 for none.
	DrainNoticedAt atomic.Int64
}

// latencyWeight is the weight of one sample in the moving average of latencies.
const latencyWeight = 0.1

// Start records the dispatch of a request.
func (s *Stats) Start() {
	s.inFlight.Add(1)
	s.sentSinceReport.Add(1)
}

// End records the end of a request of any outcome.
func (s *Stats) End() {
	s.inFlight.Add(-1)
}

// Success records an answer and its latency in nanoseconds.
func (s *Stats) Success(now, latency int64) {
	s.Successes.Add(1)
	s.ConsecutiveFailures.Store(0)
	s.answeredAt.Store(now)
	old := s.latency.Load()
	if old == 0 {
		s.latency.Store(latency)
		return
	}
	// A lost update of the average is harmless, so no compare-and-swap loop.
	s.latency.Store(old + int64(latencyWeight*float64(latency-old)))
}

// Failure records a connection failure, a timeout or a 5xx answer other than 503.
func (s *Stats) Failure() {
	s.Failures.Add(1)
	s.ConsecutiveFailures.Add(1)
}

// Shed records a 503 answer.
func (s *Stats) Shed() {
	s.Sheds.Add(1)
}

// Report records a load report of an answer to this gateway: the requests in
// flight at the server from all gateways.
func (s *Stats) Report(now, inFlight int64) {
	s.ownReportedAt.Store(now)
	s.setReport(now, inFlight)
}

// ReportFromPeer records a load report that another gateway read, unless a newer
// one is known.
func (s *Stats) ReportFromPeer(at, inFlight, permille int64) {
	if at <= s.reportedAt.Load() {
		return
	}
	s.setReport(at, inFlight)
	if permille > 0 {
		s.ReportSlowdown(permille)
	}
}

// ReportLoad records a load report with the pace that it brings, 0 for none.
func (s *Stats) ReportLoad(now, inFlight, permille int64) {
	s.Report(now, inFlight)
	if permille > 0 {
		s.ReportSlowdown(permille)
	}
}

func (s *Stats) setReport(at, inFlight int64) {
	s.reported.Store(inFlight)
	s.reportedAt.Store(at)
	s.sentSinceReport.Store(0)
}

// OwnReportedAt returns the time of the last report that this gateway read
// itself, 0 if none.
func (s *Stats) OwnReportedAt() int64 {
	return s.ownReportedAt.Load()
}

// SetUnresponsive records whether the server leaves probes unanswered.
func (s *Stats) SetUnresponsive(silent bool) {
	s.silent.Store(silent)
}

// Unresponsive reports whether the server leaves probes unanswered.
func (s *Stats) Unresponsive() bool {
	return s.silent.Load()
}

// SlowdownPermille returns the pace of the last report in permille of the usual, 0
// if there was none.
func (s *Stats) SlowdownPermille() int64 {
	return s.pace.Load()
}

// ReportSlowdown records how long work takes on the server at this moment, in
// permille of the usual. It belongs to the last Report.
func (s *Stats) ReportSlowdown(permille int64) {
	s.pace.Store(permille)
}

// InFlight returns this gateway's own requests in flight.
func (s *Stats) InFlight() int64 {
	return s.inFlight.Load()
}

// Latency returns the moving average in nanoseconds, 0 if none is known.
func (s *Stats) Latency() int64 {
	return s.latency.Load()
}

// SetPeersInFlight records the sum of other gateways' own requests in flight.
func (s *Stats) SetPeersInFlight(inFlight int64) {
	s.peersInFlight.Store(inFlight)
}

// PeersInFlight returns the sum that SetPeersInFlight recorded.
func (s *Stats) PeersInFlight() int64 {
	return s.peersInFlight.Load()
}

// ReportedInFlight returns the requests in flight of the last load report.
func (s *Stats) ReportedInFlight() float64 {
	return float64(s.reported.Load())
}

// markChosen records a choice that Start will follow.
func (s *Stats) markChosen(now int64) {
	if s.inFlight.Load() == 0 || now-s.quietSince() > patience {
		s.busySince.Store(now)
	}
}

// quietSince is the time since which nothing was heard of own requests.
func (s *Stats) quietSince() int64 {
	return max(s.busySince.Load(), s.answeredAt.Load())
}

// UnansweredFor returns how long own requests have been waiting without any answer.
// It is 0 if there are none, and after patience, when the server is tried again.
func (s *Stats) UnansweredFor(now int64) int64 {
	silence := now - s.quietSince()
	if silence > patience || s.inFlight.Load() == 0 {
		return 0
	}
	return max(0, silence)
}

// LastResponseAt returns the time of the last answer, 0 if none.
func (s *Stats) LastResponseAt() int64 {
	return s.answeredAt.Load()
}

// ReportedAt returns the time of the last load report, 0 if none.
func (s *Stats) ReportedAt() int64 {
	return s.reportedAt.Load()
}

// patience bounds in nanoseconds how long the lack of answers speaks against a
// server. A long upload alone produces no answer either, and a server that is
// avoided for that reason could never show that it is well.
const patience = 1e9

// reportHalfLife is the age in nanoseconds at which a load report counts half.
const reportHalfLife = 50e6

// EstimatedInFlight combines the last report with own dispatches since; without
// any report it is the sum of own and peers' requests. The report fades with
// age; while this gateway has requests at the server, fading starts only after
// patience: a server that slows down reports rarely, so a report that fades at
// once would show it as idle when its queue is longest.
func (s *Stats) EstimatedInFlight(now int64) float64 {
	own := s.inFlight.Load()
	reportedAt := s.reportedAt.Load()
	if reportedAt == 0 {
		return float64(own + s.peersInFlight.Load())
	}
	age := max(0, now-reportedAt)
	if own > 0 {
		age = max(0, age-patience)
	}
	faded := float64(s.reported.Load()) * math.Exp2(-float64(age)/reportHalfLife)
	// Requests that ended without a report are no longer in flight.
	sent := min(own, max(0, s.sentSinceReport.Load()))
	return max(float64(own), faded+float64(sent))
}
