// Package routing matches requests to routes and chooses the server for a call. The
// control loop publishes an immutable Snapshot; the goroutines that serve calls load
// it once per call and choose from it without locks. The package does no I/O, starts
// no goroutine and reads no clock: times are nanoseconds on the monotonic clock of
// the code that calls it.
package routing

import (
	"math"
	"sync/atomic"
	"time"

	"balsamhill/pkg/serverlimit"
	"balsamhill/pkg/withdrawal"
)

// Availability says whether a server may receive new calls.
type Availability int

const (
	// Available servers receive new calls.
	Available Availability = iota
	// Draining servers are about to stop and receive no new calls.
	Draining
	// Ejected servers failed recently.
	Ejected
	// InMaintenance servers are excluded by the preset in force.
	InMaintenance
	// OutsideSubset servers are not in the subset of this gateway; other gateways
	// use them.
	OutsideSubset
)

// String returns the name that /status shows.
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

// Server is one server of a snapshot. Its fields do not change after the snapshot is
// published, except for Stats.
type Server struct {
	ID            string
	Service       string
	Address       string
	Region        string
	FailureDomain string
	Incarnation   uint64
	Availability  Availability
	// LastResort says that the server is used if the service has no other one: it
	// is draining according to notices, but not according to the platform's list.
	LastResort bool
	// Reason explains the availability; operators see it.
	Reason string
	// Weight is the share of calls that the server receives compared to a healthy one
	// after slow start, greater than 0 and at most 1.
	Weight float64
	// NetworkLatency is the network latency between this gateway and the server in
	// nanoseconds. It is added to the expected latency.
	NetworkLatency int64
	// ByteNanos is the cost of a byte between this gateway and the server in
	// nanoseconds; see preset.Tuning.
	ByteNanos float64
	// Slots is the server's concurrency limit, that is, how many requests it runs at
	// once; 0 for the service's value.
	Slots int
	// WarmupUntil is the end of the warm-up that the server registered, 0 for none.
	// Slow start, in contrast, lowers Weight.
	WarmupUntil int64
	// Gateway says that the entry is another gateway, to which calls are handed off. It is in
	// no snapshot.
	Gateway bool
	Stats   *Stats
}

// Stats are a gateway's observations of one server. The goroutines that serve calls
// and the control loop share them through atomics only.
type Stats struct {
	inFlight atomic.Int64
	// reportedInFlight is the requests in flight in the last load report.
	reportedInFlight atomic.Int64
	reportedAt       atomic.Int64
	// slowdownPermille is the reported slowdown in permille of the nominal service
	// time, 0 if the server does not report it.
	slowdownPermille atomic.Int64
	// ownReportedAt is the time of the last report that this gateway received from the
	// server itself.
	ownReportedAt atomic.Int64
	// unresponsive says that the server does not respond to probes.
	unresponsive atomic.Bool
	// sentSinceReport counts this gateway's requests that the last report does not
	// include.
	sentSinceReport atomic.Int64
	// peersInFlight is the sum of the requests that other gateways have in flight.
	peersInFlight  atomic.Int64
	latency        atomic.Int64
	lastResponseAt atomic.Int64
	// busySince is the start of the current busy period: when this gateway chose the
	// server with none of its requests in flight there, or after no response had
	// arrived for unansweredLimit.
	busySince atomic.Int64
	Successes atomic.Uint64
	Failures  atomic.Uint64
	Sheds     atomic.Uint64
	// ConsecutiveFailures counts failures since the last success.
	ConsecutiveFailures atomic.Int64
	// DrainNoticedAt is the time of the last drain notice in a response, 0 for none.
	DrainNoticedAt atomic.Int64
	// Gate bounds the requests of this gateway while the server names a limit.
	Gate serverlimit.Gate
	// Withdrawal is what the server said of the work that it wants. It is not replaced, and
	// nil if nothing is kept of that.
	Withdrawal *withdrawal.Status
}

// latencyWeight is the weight of one sample in the moving average of latencies.
const latencyWeight = 0.1

// MaySend reports whether the server takes a request of this gateway now: it is not
// withdrawn, and the limit that it named permits the request.
func (s *Stats) MaySend(now int64) bool {
	return s.Withdrawal.MaySend(now) && s.Gate.MaySend(now)
}

// Take is MaySend, and counts the request if it may be sent.
func (s *Stats) Take(now int64) bool {
	return s.Withdrawal.Take(now) && s.Gate.Take(now)
}

// wait returns the shortest time until MaySend can be true, false if this gateway does not
// know it.
func (s *Stats) wait(now int64) (time.Duration, bool) {
	paused, returns := s.Withdrawal.Wait(now)
	limited, held := s.Gate.Wait(now)
	return max(paused, limited), returns && held
}

// Start records that a request is sent.
func (s *Stats) Start() {
	s.inFlight.Add(1)
	s.sentSinceReport.Add(1)
}

// End records the end of a request, whatever its result.
func (s *Stats) End() {
	s.inFlight.Add(-1)
}

// Success records a response and its latency in nanoseconds.
func (s *Stats) Success(now, latency int64) {
	s.Successes.Add(1)
	s.ConsecutiveFailures.Store(0)
	s.lastResponseAt.Store(now)
	old := s.latency.Load()
	if old == 0 {
		s.latency.Store(latency)
		return
	}
	// A lost update of the average is harmless, so no compare-and-swap loop.
	s.latency.Store(old + int64(latencyWeight*float64(latency-old)))
}

// Failure records a connection failure, a timeout or a 5xx response other than 503.
func (s *Stats) Failure() {
	s.Failures.Add(1)
	s.ConsecutiveFailures.Add(1)
}

// Shed records a 503 response, or a response of any status which says that the
// request was not run.
func (s *Stats) Shed() {
	s.Sheds.Add(1)
}

// Report records a load report without a slowdown that this gateway received from
// the server: the requests in flight there from all gateways.
func (s *Stats) Report(now, inFlight int64) {
	s.ownReportedAt.Store(now)
	s.setReport(now, inFlight)
}

// ReportFromPeer records a load report that another gateway received, unless this
// gateway holds a newer one.
func (s *Stats) ReportFromPeer(at, inFlight, permille int64) {
	if at <= s.reportedAt.Load() {
		return
	}
	s.setReport(at, inFlight)
	if permille > 0 {
		s.ReportSlowdown(permille)
	}
}

// ReportLoad records a load report that this gateway received from the server,
// with the slowdown in permille, 0 for none.
func (s *Stats) ReportLoad(now, inFlight, permille int64) {
	s.Report(now, inFlight)
	if permille > 0 {
		s.ReportSlowdown(permille)
	}
}

func (s *Stats) setReport(at, inFlight int64) {
	s.reportedInFlight.Store(inFlight)
	s.reportedAt.Store(at)
	s.sentSinceReport.Store(0)
}

// OwnReportedAt returns the time of the last report that this gateway received from
// the server itself, 0 if none.
func (s *Stats) OwnReportedAt() int64 {
	return s.ownReportedAt.Load()
}

// SetUnresponsive records whether the server does not respond to probes, and reports whether
// that is new.
func (s *Stats) SetUnresponsive(unresponsive bool) (changed bool) {
	return s.unresponsive.Swap(unresponsive) != unresponsive
}

// Unresponsive reports whether the server does not respond to probes.
func (s *Stats) Unresponsive() bool {
	return s.unresponsive.Load()
}

// SlowdownPermille returns the slowdown of the last report in permille of the nominal
// service time, 0 if there was none.
func (s *Stats) SlowdownPermille() int64 {
	return s.slowdownPermille.Load()
}

// ReportSlowdown records the current slowdown of the server in permille of the
// nominal service time. It belongs to the last Report.
func (s *Stats) ReportSlowdown(permille int64) {
	s.slowdownPermille.Store(permille)
}

// InFlight returns the requests that this gateway has in flight at the server.
func (s *Stats) InFlight() int64 {
	return s.inFlight.Load()
}

// Latency returns the moving average of latencies in nanoseconds, 0 before the first
// response.
func (s *Stats) Latency() int64 {
	return s.latency.Load()
}

// SetPeersInFlight records the sum of the requests that other gateways have in
// flight at the server.
func (s *Stats) SetPeersInFlight(inFlight int64) {
	s.peersInFlight.Store(inFlight)
}

// PeersInFlight returns the sum that SetPeersInFlight recorded.
func (s *Stats) PeersInFlight() int64 {
	return s.peersInFlight.Load()
}

// ReportedInFlight returns the requests in flight in the last load report.
func (s *Stats) ReportedInFlight() float64 {
	return float64(s.reportedInFlight.Load())
}

// recordChoice records that the server was chosen; Start follows when the request is
// sent.
func (s *Stats) recordChoice(now int64) {
	if s.inFlight.Load() == 0 || now-s.unansweredSince() > unansweredLimit {
		s.busySince.Store(now)
	}
}

// unansweredSince is the time since which this gateway received no response while it
// had requests at the server.
func (s *Stats) unansweredSince() int64 {
	return max(s.busySince.Load(), s.lastResponseAt.Load())
}

// UnansweredFor returns how long this gateway's requests at the server have been
// waiting without any response. It is 0 if there are none, and after
// unansweredLimit, when the server is tried again.
func (s *Stats) UnansweredFor(now int64) int64 {
	unanswered := now - s.unansweredSince()
	if unanswered > unansweredLimit || s.inFlight.Load() == 0 {
		return 0
	}
	return max(0, unanswered)
}

// LastResponseAt returns the time of the last response, 0 if none.
func (s *Stats) LastResponseAt() int64 {
	return s.lastResponseAt.Load()
}

// ReportedAt returns the time of the last load report, 0 if none.
func (s *Stats) ReportedAt() int64 {
	return s.reportedAt.Load()
}

// unansweredLimit bounds in nanoseconds how long missing responses count against a
// server. A single long upload produces no response either, and a server that is
// avoided for that reason receives no calls that could show that it is healthy.
const unansweredLimit = 1e9

// reportHalfLife is the age in nanoseconds at which a load report counts half.
const reportHalfLife = 50e6

// EstimatedInFlight estimates the number of requests at the server for HotCold and
// for operators; see also blendedInFlight. It adds the requests that this gateway
// sent since the last load report to those of the report; without any report it adds
// up the requests of this gateway and of its peers. The report decays with age.
// While this gateway has requests at the server, the decay starts only after
// unansweredLimit: a server that slows down reports rarely, so a report that decays
// at once would show it as idle when its queue is longest.
func (s *Stats) EstimatedInFlight(now int64) float64 {
	own := s.inFlight.Load()
	reportedAt := s.reportedAt.Load()
	if reportedAt == 0 {
		return float64(own + s.peersInFlight.Load())
	}
	age := max(0, now-reportedAt)
	if own > 0 {
		age = max(0, age-unansweredLimit)
	}
	decayed := float64(s.reportedInFlight.Load()) * math.Exp2(-float64(age)/reportHalfLife)
	// Requests that ended without a report are no longer in flight.
	sent := min(own, max(0, s.sentSinceReport.Load()))
	return max(float64(own), decayed+float64(sent))
}
