package control

import (
	"fmt"
	"math"
	"time"

	"balsamhill/pkg/health"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
)

// verdict is what a snapshot says of a server.
type verdict struct {
	availability routing.Availability
	// lastResort says that the server is used if the service has no other one.
	lastResort bool
	weight     float64
	reason     string
	// known is false until the first snapshot that holds the server.
	known bool
}

const (
	// weightStep is the change of a weight that is worth a new snapshot.
	weightStep = 0.05
	// weightFloor keeps weights above 0 where several reductions meet.
	weightFloor  = 0.05
	unknownState = "unknown"
	removedState = "removed"
)

// runPublishSystem builds a snapshot if anything changed.
func (s *State) runPublishSystem(now int64) {
	version := s.adopter.Current()
	if version.Preset == nil {
		return
	}
	s.runSpillSystem(now, version.Preset)
	if !s.dirty && !s.changed(now) {
		return
	}
	s.dirty = false
	s.actions = append(s.actions, Publish{Snapshot: s.snapshot(now, version)})
}

// changed reports whether the last snapshot is out of date.
func (s *State) changed(now int64) bool {
	for _, row := range s.sortedServers() {
		if row.published.differs(s.judge(now, row)) {
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

func (v verdict) differs(other verdict) bool {
	return v.availability != other.availability || v.lastResort != other.lastResort ||
		math.Abs(v.weight-other.weight) >= weightStep || (v.weight == 1) != (other.weight == 1)
}

func (s *State) snapshot(now int64, version preset.Version) *routing.Snapshot {
	byService := make(map[string][]*routing.Server)
	for _, row := range s.sortedServers() {
		byService[row.service] = append(byService[row.service], s.view(now, row, version.Preset))
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

// newRouteTable builds the routes that a version brings with it.
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
			LatencyTarget:        time.Duration(rule.TargetMillis) * time.Millisecond,
			MaxAttempts:          rule.MaxAttempts,
		})
	}
	return routing.NewRouteTable(routes)
}

// view returns a server as traffic sees it.
func (s *State) view(now int64, row *serverRow, preset *preset.Preset) *routing.Server {
	judged := s.judge(now, row)
	judged.reason = s.reason(now, row, judged)
	judged.known = true
	if !row.published.known || judged.availability != row.published.availability {
		s.reportChange(row, judged, judged.availability.String())
	}
	row.published = judged
	return &routing.Server{
		ID:            row.id,
		Service:       row.service,
		Address:       row.address,
		Region:        row.region,
		FailureDomain: row.failureDomain,
		Incarnation:   row.incarnation,
		Availability:  judged.availability,
		LastResort:    judged.lastResort,
		Reason:        judged.reason,
		Weight:        judged.weight,
		Penalty:       s.penalty(row),
		ByteNanos:     s.byteNanos(row, preset.Tuning(row.service)),
		Slots:         row.slots,
		ColdUntil:     row.coldUntil,
		Stats:         row.stats,
	}
}

func (s *State) reportChange(row *serverRow, judged verdict, to string) {
	from := unknownState
	if row.published.known {
		from = row.published.availability.String()
	}
	s.actions = append(s.actions, ServerChanged{
		ServerID: row.id, Service: row.service, From: from, To: to, Reason: judged.reason,
	})
}

// judge decides on a server, without the reason.
func (s *State) judge(now int64, row *serverRow) verdict {
	judged := verdict{weight: row.weight(now)}
	switch {
	case row.drain.Listed():
		judged.availability = routing.Draining
	case row.inMaintenance:
		judged.availability = routing.InMaintenance
	case row.drain.Noticed(now):
		judged.availability = routing.Draining
		judged.lastResort = true
	case row.outsideSubset:
		judged.availability = routing.OutsideSubset
	case row.ejection.Ejected() && !health.Panic(row.counts.ejected, row.counts.usable):
		judged.availability = routing.Ejected
	}
	return judged
}

// reason explains a verdict to operators.
func (s *State) reason(now int64, row *serverRow, judged verdict) string {
	switch {
	case row.drain.Listed():
		return "the platform's list shows it as leaving"
	case judged.availability == routing.InMaintenance:
		return "the preset in force lists it under maintenance"
	case judged.availability == routing.Draining:
		return "it announced that it is leaving; used only if the service has no other server"
	case judged.availability == routing.OutsideSubset:
		return fmt.Sprintf("this gateway uses %d other servers of the service", subsetSize)
	case judged.availability == routing.Ejected:
		left := time.Duration(row.ejection.Until() - now).Round(time.Second)
		return fmt.Sprintf("too many failures; ejected for %s more", left)
	case row.ejection.Ejected():
		return "too many failures, but more than half of the service is ejected, so all are used"
	case row.unlistedAt != 0:
		return "the platform's list no longer shows it; used until it fails"
	case row.shedding.Weight() < 1-weightStep:
		return fmt.Sprintf("sheds load; weight %.2f", judged.weight)
	case judged.weight < 1:
		return fmt.Sprintf("slow start at weight %.2f", judged.weight)
	default:
		return ""
	}
}

func (r *serverRow) weight(now int64) float64 {
	weight := health.SlowStartWeight(now, max(r.joinedAt, r.ejection.RecoveredAt()))
	weight *= r.shedding.Weight()
	return max(weightFloor, weight)
}

func (s *State) penalty(row *serverRow) int64 {
	switch s.distance(row) {
	case otherRegion:
		return s.config.RegionPenalty
	case sameRegion:
		return s.config.DomainPenalty
	default:
		return 0
	}
}

// byteNanos is the price of a byte to the server; see preset.Tuning.
func (s *State) byteNanos(row *serverRow, tuning preset.Tuning) float64 {
	switch s.distance(row) {
	case otherRegion:
		return tuning.RegionByteNanos
	case sameRegion:
		return tuning.DomainByteNanos
	default:
		return 0
	}
}
