package routing

import (
	"math"
)

// Paced chooses the server with the lowest expected time to the answer: the
// distance, the price of the bytes, and the work at the pace that the server
// last reported, behind the requests that it has. It looks at all candidates,
// of both regions; control bounds their number by the subset of the gateway.
type Paced struct{}

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
	// nearlyFull is the factor for a request that takes the last free slot, since
	// some servers slow down there.
	nearlyFull = 1.4
	// coldFactor is the factor for servers that have just started.
	coldFactor = 2.0
	// loadStep is the share by which each request in flight counts while slots are
	// free. It spreads work over idle servers.
	loadStep = 0.05
	// silentFactor puts servers that do not answer probes behind all others.
	silentFactor = 100
)

// Choose implements Policy. It returns nil if all candidates were tried.
func (Paced) Choose(candidates []*Server, pick Pick) *Server {
	mean := meanPace(candidates)
	var best *Server
	bestTime := math.Inf(1)
	for _, server := range candidates {
		if contains(pick.Tried, server) {
			continue
		}
		expected := pacedTime(server, pick, mean)
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
func pacedTime(server *Server, pick Pick, mean float64) float64 {
	work := float64(pick.Work)
	if work <= 0 {
		work = pacedDefaultWork
	}
	slots := float64(slotsOf(server, pick.Slots))
	inFlight := server.Stats.loadNow(pick.Now)
	work *= server.Stats.Pace(pick.Now, mean)
	if server.ColdUntil > pick.Now {
		work *= coldFactor
	}
	if server.Stats.IsSilent() {
		work *= silentFactor
	}
	switch {
	case inFlight+1 > slots:
		work *= nearlyFull + (inFlight+1-slots)/slots
	case inFlight+1 > slots-1:
		work *= nearlyFull
	default:
		work *= 1 + loadStep*inFlight
	}
	return work + float64(server.Penalty) + server.ByteNanos*float64(pick.Bytes)
}

// Expected returns the expected time to the answer of a call on a server in
// nanoseconds, without the price of the bytes.
func (v *ServiceView) Expected(server *Server, pick Pick) int64 {
	pick.Slots = v.Slots
	pick.Bytes = 0
	return int64(pacedTime(server, pick, meanPace(v.All)))
}

func slotsOf(server *Server, usual int) int {
	if server.Slots > 0 {
		return server.Slots
	}
	return max(1, usual)
}

// loadHalfLife is the age in nanoseconds at which the requests in flight of a
// report count half. Reports come every few tens of milliseconds, so older ones
// are those of a server that nobody measures.
const loadHalfLife = 250e6

// loadNow is the number of requests at the server: those of the last report and
// the own ones since.
func (s *Stats) loadNow(now int64) float64 {
	own := s.inFlight.Load()
	reportedAt := s.reportedAt.Load()
	if reportedAt == 0 {
		return float64(own)
	}
	faded := float64(s.reported.Load()) * math.Exp2(-float64(max(0, now-reportedAt))/loadHalfLife)
	// Requests that ended without a report are no longer in flight.
	sent := min(own, max(0, s.sentSinceReport.Load()))
	return max(float64(own), faded+float64(sent))
}

// Room says how a server can take one more call.
type Room int

const (
	// RoomFree means that a slot other than the last one is free.
	RoomFree Room = iota
	// RoomLast means that only the last slot is free. Servers slow down there.
	RoomLast
	// RoomQueue means that the call would wait at the server.
	RoomQueue
	// RoomNone means that as many calls wait at the server as it has slots.
	RoomNone
)

// RoomOf returns the room on a server.
func (v *ServiceView) RoomOf(server *Server, now int64) Room {
	slots := float64(slotsOf(server, v.Slots))
	after := server.Stats.loadNow(now) + 1
	switch {
	case after <= max(1, slots-1):
		return RoomFree
	case after <= slots:
		return RoomLast
	case after <= queuedPerSlot*slots:
		return RoomQueue
	default:
		return RoomNone
	}
}

// queuedPerSlot is how many calls per slot a server may have before it counts as
// full.
const queuedPerSlot = 1.0

// Pace returns the factor by which work takes longer than usual on the server.
// Old reports fade towards the mean.
func (s *Stats) Pace(now int64, mean float64) float64 {
	permille := s.pace.Load()
	if permille == 0 {
		return mean
	}
	age := max(0, now-s.reportedAt.Load())
	trust := math.Exp2(-float64(age) / paceHalfLife)
	return mean + (float64(permille)/usualPermille-mean)*trust
}

// ReportedPace returns the factor of the last report, 0 if there was none.
func (s *Stats) ReportedPace() float64 {
	return float64(s.pace.Load()) / usualPermille
}

// meanPace is the mean of the reported paces, 1 if there are none.
func meanPace(servers []*Server) float64 {
	sum, count := 0.0, 0
	for _, server := range servers {
		permille := server.Stats.pace.Load()
		if permille != 0 {
			sum += float64(permille)
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count) / usualPermille
}
