package control

import (
	"fmt"
	"math"
	"time"

	"balsamhill/pkg/health"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
)

// routingState is the routing state of a server in a snapshot.
type routingState struct {
	availability routing.Availability
	// lastResort says that the server is used if the service has no other one.
	lastResort bool
	weight     float64
	reason     string
	// valid is true once a snapshot has contained the server.
	valid bool
}

const (
	// weightStep is the minimum change of a weight that causes a new snapshot.
	weightStep = 0.05
	// weightFloor keeps weights above 0 when several reductions apply at once.
	weightFloor = 0.05
	// unknownState and removedState are availabilities in ServerChanged only.
	unknownState = "unknown"
	removedState = "removed"
)

// publish builds a snapshot if anything changed.
func (s *State) publish(now int64) {
	version := s.adopter.Current()
	if version.Preset == nil {
		return
	}
	s.updateSpill(now, version.Preset)
	if !s.dirty && !s.snapshotOutdated(now) {
		return
	}
	s.dirty = false
	s.actions = append(s.actions, Publish{Snapshot: s.buildSnapshot(now, version)})
}

// snapshotOutdated reports whether the last snapshot differs from the current
// state.
func (s *State) snapshotOutdated(now int64) bool {
	for _, row := range s.sortedServers() {
		if row.published.differs(s.evaluate(now, row)) {
			return true
		}
	}
	for _, state := range s.spill {
		if math.Abs(state.share-state.published) >= spillStep || (state.share == 0) != (state.published == 0) {
			return true
		}
	}
	return false
}

func (e routingState) differs(other routingState) bool {
	return e.availability != other.availability || e.lastResort != other.lastResort ||
		math.Abs(e.weight-other.weight) >= weightStep || (e.weight == 1) != (other.weight == 1)
}

func (s *State) buildSnapshot(now int64, version preset.Version) *routing.Snapshot {
	byService := make(map[string][]*routing.Server)
	for _, row := range s.sortedServers() {
		byService[row.service] = append(byService[row.service], s.buildServer(now, row, version.Preset))
	}
	services := make(map[string]*routing.ServiceView, len(s.services()))
	for _, service := range s.services() {
		tuning := version.Preset.Tuning(service.Name)
		view := routing.NewServiceView(
			service.Name, service.Slots, s.config.Region, tuning, byService[service.Name])
		state := s.spill[service.Name]
		state.published = state.share
		view.SpillShare = state.share
		services[service.Name] = view
	}
	return &routing.Snapshot{Version: version, Routes: s.routes, Services: services, ServersByID: byID(byService)}
}

func byID(byService map[string][]*routing.Server) map[string]*routing.Server {
	servers := make(map[string]*routing.Server)
	for _, list := range byService {
		for _, server := range list {
			servers[server.ID] = server
		}
	}
	return servers
}

// newRouteTable builds the routes that a preset version contains.
func newRouteTable(rules []preset.Rule) *routing.RouteTable {
	routes := make([]routing.Route, 0, len(rules))
	for _, rule := range rules {
		routes = append(routes, routing.Route{
			Name:                 rule.Name,
			Host:                 rule.Host,
			PathPrefix:           rule.PathPrefix,
			Service:              rule.Backends[0].Service,
			Backends:             rule.Backends,
			Class:                rule.Class,
			IdempotencyFromClass: true,
			Timeout:              time.Duration(rule.TimeoutMillis) * time.Millisecond,
			LatencyTarget:        time.Duration(rule.LatencyTargetMillis) * time.Millisecond,
			MaxAttempts:          rule.MaxAttempts,
		})
	}
	return routing.NewRouteTable(routes)
}

// buildServer evaluates a server and returns its entry for the snapshot.
func (s *State) buildServer(now int64, row *serverRow, preset *preset.Preset) *routing.Server {
	result := s.evaluate(now, row)
	result.reason = s.reason(now, row, result)
	result.valid = true
	if !row.published.valid || result.availability != row.published.availability {
		s.reportChange(row, result, result.availability.String())
	}
	row.published = result
	return &routing.Server{
		ID:             row.id,
		Service:        row.service,
		Address:        row.address,
		Region:         row.region,
		FailureDomain:  row.failureDomain,
		Incarnation:    row.incarnation,
		Availability:   result.availability,
		LastResort:     result.lastResort,
		Reason:         result.reason,
		Weight:         result.weight,
		NetworkLatency: s.networkLatency(row),
		ByteNanos:      s.byteNanos(row, preset.Tuning(row.service)),
		Slots:          row.slots,
		WarmupUntil:    row.warmupUntil,
		Stats:          row.stats,
	}
}

func (s *State) reportChange(row *serverRow, result routingState, to string) {
	from := unknownState
	if row.published.valid {
		from = row.published.availability.String()
	}
	s.actions = append(s.actions, ServerChanged{
		ServerID: row.id, Service: row.service, From: from, To: to, Reason: result.reason,
	})
}

// evaluate returns the routing state of a server without the reason.
func (s *State) evaluate(now int64, row *serverRow) routingState {
	result := routingState{weight: row.weight(now)}
	switch {
	case row.drain.Listed(), row.leaving:
		result.availability = routing.Draining
	case row.inMaintenance:
		result.availability = routing.InMaintenance
	case row.drain.NoticeValid(now):
		result.availability = routing.Draining
		result.lastResort = true
	case row.outsideSubset && !row.stats.Gate.Leased(now):
		result.availability = routing.OutsideSubset
	case row.ejection.Ejected() && !health.PanicThresholdReached(row.counts.ejected, row.counts.eligible):
		result.availability = routing.Ejected
	}
	return result
}

// reason explains the routing state of a server to operators.
func (s *State) reason(now int64, row *serverRow, result routingState) string {
	switch {
	case row.drain.Listed():
		return "the platform's list shows it as leaving"
	case row.leaving:
		return "it said in a response that it is leaving"
	case result.availability == routing.InMaintenance:
		return "the preset in force lists it under maintenance"
	case result.availability == routing.Draining:
		return "it announced that it is leaving; used only if the service has no other server"
	case result.availability == routing.OutsideSubset:
		return fmt.Sprintf("this gateway uses %d other servers of the service", subsetSize)
	case result.availability == routing.Ejected:
		remaining := time.Duration(row.ejection.EjectedUntil() - now).Round(time.Second)
		return fmt.Sprintf("too many failures; ejected for %s more", remaining)
	case row.ejection.Ejected():
		return "too many failures, but more than half of the service is ejected, so all are used"
	case row.unlistedAt != 0:
		return "the platform's list no longer shows it; used until it fails"
	case row.shedding.Weight() < 1-weightStep:
		return fmt.Sprintf("sheds load; weight %.2f", result.weight)
	case result.weight < 1:
		return fmt.Sprintf("slow start at weight %.2f", result.weight)
	default:
		return ""
	}
}

func (r *serverRow) weight(now int64) float64 {
	weight := health.SlowStartWeight(now, max(r.slowStartAt, r.ejection.EjectionEndedAt()))
	weight *= r.shedding.Weight()
	return max(weightFloor, weight)
}

func (s *State) networkLatency(row *serverRow) int64 {
	switch s.distance(row) {
	case otherRegion:
		return s.config.RegionLatency
	case otherDomain:
		return s.config.DomainLatency
	default:
		return 0
	}
}

// byteNanos is the cost of sending one byte to the server; see preset.Tuning.
func (s *State) byteNanos(row *serverRow, tuning preset.Tuning) float64 {
	switch s.distance(row) {
	case otherRegion:
		return tuning.CrossRegionNanosPerByte
	case otherDomain:
		return tuning.CrossDomainNanosPerByte
	default:
		return 0
	}
}
