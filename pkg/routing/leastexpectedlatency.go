package routing

import (
	"math"
)

// LeastExpectedLatency chooses the server with the lowest expected time to the answer: the
// distance, the price of the bytes, and the work at the pace that the server
// last reported, behind the requests that it has. It looks at all candidates,
// of both regions; control bounds their number by the subset of the gateway.
type LeastExpectedLatency struct{}

const (
	// pacedDefaultWork is assumed for calls without a sample, in nanoseconds.
	pacedDefaultWork = 100e6
	// paceHalfLife is the age in nanoseconds at which a reported pace counts half
	// against the mean of the service, since neighbours on a server's machine come
	// and go within half a second.
	paceHalfLife = 250e6
	// usualPermille is the pace of a server without noisy neighbours.
	usualPermille = 1000
	// pacedSpread is the share by which expected times are varied, so that several
	// gateways with the same reports do not all choose the same server.
	pacedSpread = 0.15
	// coldFactor is the factor for servers that have just started.
	coldFactor = 2.0
	// loadStep is the share by which each request in flight counts while slots are
	// free. It spreads work over idle servers.
	loadStep = 0.05
	// silentFactor puts servers that do not answer probes behind all others.
	silentFactor = 100
)

// Choose implements Policy. It returns nil if all candidates were tried.
func (LeastExpectedLatency) Choose(candidates []*Server, pick Pick) *Server {
	mean := meanOf(candidates, pick.Now)
	var best *Server
	bestTime := math.Inf(1)
	for _, server := range candidates {
		if contains(pick.Tried, server) {
			continue
		}
		expected := pacedTime(server, pick, mean)
		if pick.MaxLatency > 0 && !fits(server, pick, mean, expected) {
			continue
		}
		expected *= 1 + pacedSpread*pick.Rand.Float64()
		expected /= hotColdShare(server)
		if best == nil || expected < bestTime {
			best, bestTime = server, expected
		}
	}
	return best
}

// pacedTime is the expected time to the answer in nanoseconds, with the price of
// the bytes added.
func pacedTime(server *Server, pick Pick, mean means) float64 {
	work := float64(pick.ServiceTime)
	if work <= 0 {
		work = pacedDefaultWork
	}
	slots := float64(slotsOf(server, pick.Slots))
	inFlight := server.Stats.loadNow(pick.Now, mean.load)
	work *= server.Stats.Slowdown(pick.Now, mean.pace)
	if server.ColdUntil > pick.Now {
		work *= coldFactor
	}
	if server.Stats.Unresponsive() {
		work *= silentFactor
	}
	crowding := pick.SaturationFactor
	if crowding == 0 {
		crowding = usualCrowding
	}
	switch {
	case inFlight+1 > slots:
		work *= crowding + (inFlight+1-slots)/slots
	case inFlight+1 > slots-1:
		work *= max(crowding, 1+loadStep*inFlight)
	default:
		work *= 1 + loadStep*inFlight
	}
	return work + float64(server.Penalty) + server.ByteNanos*float64(pick.Bytes)
}

// ExpectedLatency returns the expected time to the answer of a call on a server in
// nanoseconds, without the price of the bytes.
func (v *ServiceView) ExpectedLatency(server *Server, pick Pick) int64 {
	pick.Slots = v.Slots
	pick.Bytes = 0
	return int64(pacedTime(server, pick, meanOf(v.All, pick.Now)))
}

// MeanInFlight returns the mean of the fresh load reports of the servers in use.
func (v *ServiceView) MeanInFlight(now int64) float64 {
	return meanOf(v.All, now).load
}

// SlotsOf returns how many requests a server runs at once.
func (v *ServiceView) SlotsOf(server *Server) int {
	return slotsOf(server, v.Slots)
}

func slotsOf(server *Server, usual int) int {
	if server.Slots > 0 {
		return server.Slots
	}
	return max(1, usual)
}

// loadHalfLife is the age in nanoseconds at which the requests in flight of a
// report count half against the mean of the service. Reports come every few tens
// of milliseconds, so older ones are those of a server that nobody measures here.
const loadHalfLife = 250e6

// loadNow is the number of requests at the server: those of the last report and
// the own ones since. A server without a fresh report is taken to be as loaded as
// the others: gateways that believed it idle would all fill it unseen.
func (s *Stats) loadNow(now int64, mean float64) float64 {
	own := s.inFlight.Load()
	trust := 0.0
	if reportedAt := s.reportedAt.Load(); reportedAt != 0 {
		trust = math.Exp2(-float64(max(0, now-reportedAt)) / loadHalfLife)
	}
	reported := mean + (float64(s.reported.Load())-mean)*trust
	// Requests that ended without a report are no longer in flight.
	sent := min(own, max(0, s.sentSinceReport.Load()))
	return max(float64(own), reported+float64(sent)*trust)
}

// InFlightWith returns the requests at a server if it gets one more.
func (v *ServiceView) InFlightWith(server *Server, now int64) float64 {
	return server.Stats.loadNow(now, meanOf(v.All, now).load) + 1
}

// Slowdown returns the factor by which work takes longer than usual on the server.
// Old reports fade towards the mean.
func (s *Stats) Slowdown(now int64, mean float64) float64 {
	permille := s.pace.Load()
	if permille == 0 {
		return mean
	}
	age := max(0, now-s.reportedAt.Load())
	trust := math.Exp2(-float64(age) / paceHalfLife)
	return mean + (float64(permille)/usualPermille-mean)*trust
}

// ReportedSlowdown returns the factor of the last report, 0 if there was none.
func (s *Stats) ReportedSlowdown() float64 {
	return float64(s.pace.Load()) / usualPermille
}

// means are what is expected of a server that nobody has measured.
type means struct {
	// pace is the mean of the reported paces, 1 if there are none.
	pace float64
	// load is the mean of the fresh reports of requests in flight.
	load float64
}

// freshReport is the age in nanoseconds up to which a report counts for the mean
// load.
const freshReport = 500e6

func meanOf(servers []*Server, now int64) means {
	paces, paceCount := 0.0, 0
	loads, loadCount := 0.0, 0
	for _, server := range servers {
		stats := server.Stats
		if permille := stats.pace.Load(); permille != 0 {
			paces += float64(permille)
			paceCount++
		}
		if at := stats.reportedAt.Load(); at != 0 && now-at <= freshReport {
			loads += float64(stats.reported.Load())
			loadCount++
		}
	}
	mean := means{pace: 1}
	if paceCount > 0 {
		mean.pace = paces / float64(paceCount) / usualPermille
	}
	if loadCount > 0 {
		mean.load = loads / float64(loadCount)
	}
	return mean
}
