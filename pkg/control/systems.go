package control

import (
	"fmt"
	"time"

	"balsamhill/pkg/health"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
)

// RunSystems runs all systems over the tables in a fixed order and returns the
// actions that follow from this tick and from the events since the last one.
func (s *State) RunSystems(now int64) []Action {
	s.runWireDrainSystem(now)
	s.runEjectionSystem(now)
	s.runPublishSystem(now)
	actions := s.actions
	s.actions = nil
	return actions
}

// runWireDrainSystem takes drain notices that traffic left in the statistics.
func (s *State) runWireDrainSystem(now int64) {
	for _, row := range s.sortedServers() {
		noticedAt := row.stats.DrainNoticedAt.Load()
		if noticedAt > row.lastNotice {
			row.lastNotice = noticedAt
			s.noticeDrain(now, row, true)
		}
	}
}

// runEjectionSystem updates the ejection state of all servers, at most half of
// a service being ejected.
func (s *State) runEjectionSystem(now int64) {
	total := make(map[string]int)
	ejected := make(map[string]int)
	for _, row := range s.servers {
		total[row.service]++
		if row.ejection.Ejected() {
			ejected[row.service]++
		}
	}
	for _, row := range s.sortedServers() {
		wasEjected := row.ejection.Ejected()
		if !wasEjected && !health.MayEject(ejected[row.service], total[row.service]) {
			continue
		}
		changed := row.ejection.Update(now, health.Counts{
			Successes:           row.stats.Successes.Load(),
			Failures:            row.stats.Failures.Load(),
			Sheds:               row.stats.Sheds.Load(),
			ConsecutiveFailures: row.stats.ConsecutiveFailures.Load(),
		})
		if !changed {
			continue
		}
		s.dirty = true
		if wasEjected {
			ejected[row.service]--
		} else {
			ejected[row.service]++
		}
	}
}

// publishInterval bounds how old the weights in a snapshot get during slow starts.
const publishInterval = time.Second

// runPublishSystem builds a snapshot if anything changed.
func (s *State) runPublishSystem(now int64) {
	version := s.adopter.Current()
	if version.Preset == nil {
		return
	}
	if !s.dirty && !s.weightsChange(now) {
		return
	}
	s.dirty = false
	s.actions = append(s.actions, Publish{Snapshot: s.snapshot(now, version)})
}

// weightsChange reports whether a slow start is in progress, once per interval.
func (s *State) weightsChange(now int64) bool {
	if now%int64(publishInterval) >= int64(Tick) {
		return false
	}
	for _, row := range s.servers {
		if row.weight(now) < 1 || row.drain.Noticed(now) {
			return true
		}
	}
	return false
}

func (s *State) snapshot(now int64, version preset.Version) *routing.Snapshot {
	byService := make(map[string][]*routing.Server)
	maintenance := make(map[string]bool)
	for _, id := range version.Preset.Maintenance {
		maintenance[id] = true
	}
	for _, row := range s.sortedServers() {
		server := s.view(now, row, maintenance[row.id])
		byService[row.service] = append(byService[row.service], server)
	}
	services := make(map[string]*routing.ServiceView, len(s.config.Services))
	for _, service := range s.config.Services {
		tuning := version.Preset.Tuning(service.Name)
		services[service.Name] = routing.NewServiceView(
			service.Name, service.Slots, s.config.Region, tuning, byService[service.Name])
	}
	return &routing.Snapshot{Version: version, Services: services}
}

// view returns a server as traffic sees it.
func (s *State) view(now int64, row *serverRow, inMaintenance bool) *routing.Server {
	server := &routing.Server{
		ID:            row.id,
		Service:       row.service,
		Address:       row.address,
		Region:        row.region,
		FailureDomain: row.failureDomain,
		Incarnation:   row.incarnation,
		Weight:        row.weight(now),
		Penalty:       s.penalty(row),
		Stats:         row.stats,
	}
	switch {
	case inMaintenance:
		server.Availability = routing.InMaintenance
		server.Reason = "the preset in force lists it under maintenance"
	case row.drain.Listed():
		server.Availability = routing.Draining
		server.Reason = "the platform's list shows it as leaving"
	case row.drain.Noticed(now):
		server.Availability = routing.Draining
		server.Reason = "it announced that it is leaving"
	case row.ejection.Ejected():
		server.Availability = routing.Ejected
		left := time.Duration(row.ejection.Until() - now).Round(time.Second)
		server.Reason = fmt.Sprintf("too many failures; ejected for %s more", left)
	case server.Weight < 1:
		server.Reason = fmt.Sprintf("slow start at weight %.2f", server.Weight)
	}
	return server
}

func (r *serverRow) weight(now int64) float64 {
	return health.SlowStartWeight(now, max(r.joinedAt, r.ejection.RecoveredAt()))
}

func (s *State) penalty(row *serverRow) int64 {
	switch {
	case row.region != s.config.Region:
		return s.config.RegionPenalty
	case row.failureDomain != s.config.FailureDomain:
		return s.config.DomainPenalty
	default:
		return 0
	}
}
