package routing

import (
	"math"
)

// LeastExpectedLatency chooses the server with the lowest expected time to the
// response. The estimate adds the network latency, the cost of the transferred
// bytes, and the service time at the slowdown that the server last reported, behind
// the requests in flight there. The policy looks at all candidates of all regions;
// control bounds their number by the subset of the gateway.
type LeastExpectedLatency struct{}

const (
	// defaultServiceTime is assumed for calls without a sample, in nanoseconds.
	defaultServiceTime = 100e6
	// slowdownHalfLife is the age in nanoseconds at which a reported slowdown counts
	// half against the mean of the service. Noisy neighbours of a server's VM come
	// and go within half a second.
	slowdownHalfLife = 250e6
	// nominalPermille is the slowdown of a server without noisy neighbours.
	nominalPermille = 1000
	// latencyJitter is the largest share by which an expected time is raised at
	// random, so that several gateways with the same reports do not all choose the
	// same server.
	latencyJitter = 0.15
	// warmupFactor multiplies the service time of servers that have just started.
	warmupFactor = 2.0
	// inFlightCost is the share of the service time that each request in flight adds
	// while slots are free. It spreads calls over idle servers.
	inFlightCost = 0.05
	// unresponsiveFactor ranks servers that do not respond to probes behind all others.
	unresponsiveFactor = 100
)

// Choose implements Policy. It returns nil if each candidate was tried, takes no request now or, with
// pick.MaxLatency set, fails withinLimits.
func (LeastExpectedLatency) Choose(candidates []*Server, pick Pick) *Server {
	means := meansOf(candidates, pick.Now)
	var best *Server
	bestCost := math.Inf(1)
	for _, server := range candidates {
		if pick.excludes(server) {
			continue
		}
		cost := expectedCost(server, pick, means)
		if pick.MaxLatency > 0 && !withinLimits(server, pick, means, cost) {
			continue
		}
		cost *= 1 + latencyJitter*pick.Rand.Float64()
		cost /= effectiveWeight(server)
		if best == nil || cost < bestCost {
			best, bestCost = server, cost
		}
	}
	return best
}

// expectedCost is the expected time to the response in nanoseconds plus the cost of
// the transferred bytes.
func expectedCost(server *Server, pick Pick, means serviceMeans) float64 {
	serviceTime := float64(pick.ServiceTime)
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	slots := float64(slotsOf(server, pick.Slots))
	inFlight := server.Stats.blendedInFlight(pick.Now, means.inFlight)
	serviceTime *= server.Stats.Slowdown(pick.Now, means.slowdown)
	if server.WarmupUntil > pick.Now {
		serviceTime *= warmupFactor
	}
	if server.Stats.Unresponsive() {
		serviceTime *= unresponsiveFactor
	}
	saturationFactor := pick.SaturationFactor
	if saturationFactor == 0 {
		saturationFactor = defaultSaturationFactor
	}
	switch {
	case inFlight+1 > slots:
		serviceTime *= saturationFactor + (inFlight+1-slots)/slots
	case inFlight+1 > slots-1:
		serviceTime *= max(saturationFactor, 1+inFlightCost*inFlight)
	default:
		serviceTime *= 1 + inFlightCost*inFlight
	}
	return serviceTime + float64(server.NetworkLatency) + server.ByteNanos*float64(pick.Bytes)
}

// ExpectedLatency returns the expected time to the response of a call on a server
// in nanoseconds, without the cost of the transferred bytes.
func (v *ServiceView) ExpectedLatency(server *Server, pick Pick) int64 {
	pick.Slots = v.Slots
	pick.Bytes = 0
	return int64(expectedCost(server, pick, meansOf(v.All, pick.Now)))
}

// MeanInFlight returns the mean of the requests in flight in the recent load
// reports of the available servers.
func (v *ServiceView) MeanInFlight(now int64) float64 {
	return meansOf(v.All, now).inFlight
}

// SlotsOf returns how many requests a server runs at once.
func (v *ServiceView) SlotsOf(server *Server) int {
	return slotsOf(server, v.Slots)
}

func slotsOf(server *Server, serviceSlots int) int {
	if server.Slots > 0 {
		return server.Slots
	}
	return max(1, serviceSlots)
}

// inFlightHalfLife is the age in nanoseconds at which the requests in flight of a
// report count half against the mean of the service. Reports of a server that is
// probed or in use arrive every few tens of milliseconds, so an older report says
// that no gateway in reach probes the server.
const inFlightHalfLife = 250e6

// blendedInFlight estimates the number of requests at the server for
// LeastExpectedLatency and for the headroom: those of the last report and those that
// this gateway sent since. As the report ages, the estimate moves towards the mean
// of the service: if gateways assumed that a server without a recent report is idle,
// all of them would send it their overflow and fill it. EstimatedInFlight, which
// HotCold uses, has no such mean.
func (s *Stats) blendedInFlight(now int64, mean float64) float64 {
	own := s.inFlight.Load()
	if s.Gate.Limited() {
		// A server that names a limit has less work than the others, whose mean would
		// make it look full between its rare reports.
		mean = 0
	}
	freshness := 0.0
	if reportedAt := s.reportedAt.Load(); reportedAt != 0 {
		freshness = math.Exp2(-float64(max(0, now-reportedAt)) / inFlightHalfLife)
	}
	reported := mean + (float64(s.reportedInFlight.Load())-mean)*freshness
	// Requests that ended without a report are no longer in flight.
	sent := min(own, max(0, s.sentSinceReport.Load()))
	return max(float64(own), reported+float64(sent)*freshness)
}

// InFlightWith returns the estimated number of requests at a server if it receives
// one more.
func (v *ServiceView) InFlightWith(server *Server, now int64) float64 {
	return server.Stats.blendedInFlight(now, meansOf(v.All, now).inFlight) + 1
}

// Slowdown returns the factor by which requests take longer than nominal on the
// server. As its last report ages, the factor moves towards the mean.
func (s *Stats) Slowdown(now int64, mean float64) float64 {
	permille := s.slowdownPermille.Load()
	if permille == 0 {
		return mean
	}
	age := max(0, now-s.reportedAt.Load())
	freshness := math.Exp2(-float64(age) / slowdownHalfLife)
	return mean + (float64(permille)/nominalPermille-mean)*freshness
}

// ReportedSlowdown returns the factor of the last report, 0 if there was none.
func (s *Stats) ReportedSlowdown() float64 {
	return float64(s.slowdownPermille.Load()) / nominalPermille
}

// serviceMeans are the values assumed for a server without load reports.
type serviceMeans struct {
	// slowdown is the mean of the reported slowdowns, 1 if there are none.
	slowdown float64
	// inFlight is the mean of the requests in flight in recent reports, 0 if there
	// are none.
	inFlight float64
}

// maxMeanReportAge is the age in nanoseconds up to which a report counts for the
// mean of the requests in flight.
const maxMeanReportAge = 500e6

func meansOf(servers []*Server, now int64) serviceMeans {
	slowdownSum, slowdownCount := 0.0, 0
	inFlightSum, inFlightCount := 0.0, 0
	for _, server := range servers {
		stats := server.Stats
		if permille := stats.slowdownPermille.Load(); permille != 0 {
			slowdownSum += float64(permille)
			slowdownCount++
		}
		// Servers with a limit are idler than the others.
		if at := stats.reportedAt.Load(); at != 0 && now-at <= maxMeanReportAge && !stats.Gate.Limited() {
			inFlightSum += float64(stats.reportedInFlight.Load())
			inFlightCount++
		}
	}
	means := serviceMeans{slowdown: 1}
	if slowdownCount > 0 {
		means.slowdown = slowdownSum / float64(slowdownCount) / nominalPermille
	}
	if inFlightCount > 0 {
		means.inFlight = inFlightSum / float64(inFlightCount)
	}
	return means
}
