package control

import (
	"math"
	"time"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
)

// spillController controls the spill-over of one service.
type spillController struct {
	// load is the smoothed share of the local region's slots that are busy, 0 to 1.
	load float64
	// share is the share of calls that are sent to the other region, 0 to
	// maxSpillShare.
	share     float64
	updatedAt int64
	// published is the share in the last snapshot.
	published float64
}

const (
	// spillHalfLife smooths the load, which shifts within milliseconds.
	spillHalfLife = 300 * time.Millisecond
	// spillGain is the change of the share per second and unit of excess load.
	// All gateways of a region react to the same load, so the loop has to be
	// slower than the smoothing; otherwise the share would oscillate. With this
	// gain the damping ratio of loop and smoothing together is about 0.75.
	spillGain = 1.0
	// maxSpillShare is the maximum share of calls that are sent to the other region.
	maxSpillShare = 0.5
	// unknownLoadSpillShare limits the share while the remote region's load is
	// not known. The responses to these calls report it.
	unknownLoadSpillShare = 0.02
	// reportTTL is the age up to which a load report counts.
	reportTTL = 2 * time.Second
	// reportHalfLife is the age at which a report has half its weight.
	reportHalfLife = 50 * time.Millisecond
	// spillStep is the minimum change of the share that causes a new snapshot.
	spillStep = 0.01
)

// update moves the share towards the point where the local region's load is at
// the threshold. Spill-over must not push the remote region over the threshold.
func (s *spillController) update(now int64, localLoad, remoteLoad float64, remoteKnown bool, threshold float64) {
	if s.updatedAt == 0 {
		s.updatedAt = now
		s.load = localLoad
	}
	elapsed := float64(max(0, now-s.updatedAt))
	s.updatedAt = now
	s.load += (1 - math.Exp2(-elapsed/float64(spillHalfLife))) * (localLoad - s.load)
	excess := s.load - threshold
	limit := maxSpillShare
	switch {
	case remoteKnown:
		excess = min(excess, threshold-remoteLoad)
	default:
		limit = unknownLoadSpillShare
	}
	s.share += spillGain * excess * elapsed / float64(time.Second)
	s.share = min(limit, max(0, s.share))
}

// updateSpill updates the spill-over of all services.
func (s *State) updateSpill(now int64, preset *preset.Preset) {
	if !preset.SpillOver.Enabled {
		s.resetSpillOver()
		return
	}
	loads := make(map[string]*regionLoads, len(s.services()))
	slots := make(map[string]int, len(s.services()))
	for _, service := range s.services() {
		slots[service.Name] = service.Slots
	}
	for _, row := range s.sortedServers() {
		if s.evaluate(now, row).availability != routing.Available {
			continue
		}
		sums := loads[row.service]
		if sums == nil {
			sums = &regionLoads{}
			loads[row.service] = sums
		}
		sums.add(now, row, s.config.Region, slots[row.service])
	}
	for _, service := range s.services() {
		state := s.spillControllerOf(service.Name)
		sums := loads[service.Name]
		if sums == nil || sums.localServers == 0 {
			// Without a server in the local region, all calls go to the other region,
			// so that no share applies.
			*state = spillController{published: state.published}
			continue
		}
		local, _ := sums.local.share()
		remote, remoteKnown := sums.remote.share()
		state.update(now, local, remote, remoteKnown, preset.SpillOver.LoadPercent/100)
	}
}

// spillControllerOf returns the controller of a service.
func (s *State) spillControllerOf(service string) *spillController {
	state := s.spill[service]
	if state == nil {
		state = &spillController{}
		s.spill[service] = state
	}
	return state
}

// resetSpillOver makes the next snapshot send no calls to the other region.
func (s *State) resetSpillOver() {
	for _, service := range s.services() {
		state := s.spillControllerOf(service.Name)
		*state = spillController{published: state.published}
	}
}

// regionLoads holds the aggregated load reports of the servers of both regions.
type regionLoads struct {
	local, remote weightedLoad
	localServers  int
}

// weightedLoad aggregates the load reports of the servers of one region. It sums the
// share of busy slots and not the length of queues, because queues of a few
// requests are usual well below the threshold.
type weightedLoad struct {
	busy   float64
	weight float64
}

// add adds a report, weighted by its age. A server that gets no calls because it
// was busy keeps its last report; without the weights such reports would
// overstate the load of the region.
func (r *weightedLoad) add(inFlight float64, age int64, slots int) {
	weight := math.Exp2(-float64(age) / float64(reportHalfLife))
	r.busy += weight * min(1, inFlight/float64(max(1, slots)))
	r.weight += weight
}

func (r *weightedLoad) share() (share float64, known bool) {
	if r.weight == 0 {
		return 0, false
	}
	return r.busy / r.weight, true
}

func (l *regionLoads) add(now int64, row *serverRow, region string, slots int) {
	isLocal := row.region == region
	if isLocal {
		l.localServers++
	}
	reportedAt := row.stats.ReportedAt()
	age := max(0, now-reportedAt)
	if reportedAt == 0 || age > int64(reportTTL) {
		return
	}
	if isLocal {
		l.local.add(row.stats.ReportedInFlight(), age, slots)
		return
	}
	l.remote.add(row.stats.ReportedInFlight(), age, slots)
}
