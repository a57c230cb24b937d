package control

import (
	"time"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/withdrawal"
)

// Apply applies one event to the tables. now is in nanoseconds on the gateway's
// monotonic clock.
func (s *State) Apply(now int64, event Event) {
	switch e := event.(type) {
	case ServerListRead:
		s.applyServerList(now, e)
	case PresetOffered:
		s.applyPreset(now, e)
	case DrainNoticed:
		s.applyDrain(now, e)
	case PeerLoadReport:
		s.applyPeerLoadReport(e)
	case PeerLost:
		s.applyPeerLost(e)
	case PeerJoined:
		s.applyPeerJoined(now, e)
	case LinksRestored:
		s.applyLinksRestored(now, e)
	}
}

// applyLinksRestored discards the failures of the servers since the links were lost.
func (s *State) applyLinksRestored(now int64, e LinksRestored) {
	for _, row := range s.sortedServers() {
		row.stats.ConsecutiveFailures.Store(0)
		row.ejection.Discard(now, row.counters(), e.LostAt)
	}
}

// AddFixedServer adds a server that the settings define.
func (s *State) AddFixedServer(service string, vm platform.VM) {
	row := s.newServerRow(vm)
	row.service = service
	row.fixed = true
	s.putServer(row)
}

func (s *State) newServerRow(vm platform.VM) *serverRow {
	status := s.withdrawals.Status(withdrawal.Server{ID: vm.ID, Incarnation: vm.Incarnation})
	return &serverRow{
		id:            vm.ID,
		service:       vm.Service,
		address:       vm.Address,
		region:        vm.Region,
		failureDomain: vm.FailureDomain,
		incarnation:   vm.Incarnation,
		stats:         &routing.Stats{Withdrawal: status},
		pause:         status.Pause(),
	}
}

// applyServerList applies a list. A server that is missing from a list that lags is
// not removed here, because such a list may be empty temporarily; see
// updateUnlisted.
func (s *State) applyServerList(now int64, list ServerListRead) {
	s.unixAtZero = list.UnixAtZero
	listed := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		if vm.Role != platform.RoleServer {
			continue
		}
		listed[vm.ID] = true
		s.applyServer(now, vm, list.Exact)
	}
	if list.Exact {
		s.removeUnlisted(now, listed)
	}
	for id, row := range s.servers {
		if !listed[id] && !row.fixed && row.unlistedAt == 0 {
			row.unlistedAt = now
			row.failuresAtUnlisted = row.stats.Failures.Load()
			s.dirty = true
		}
	}
	s.listSeen = s.listSeen || len(listed) > 0
}

// removeUnlisted removes the servers that an exact list does not contain.
func (s *State) removeUnlisted(now int64, listed map[string]bool) {
	for _, row := range s.sortedServers() {
		if listed[row.id] || row.fixed {
			continue
		}
		s.reportChange(row, routingState{reason: "the platform's list no longer shows it"}, removedState)
		s.removeServer(now, row)
	}
}

func (s *State) applyServer(now int64, vm platform.VM, exact bool) {
	row, ok := s.servers[vm.ID]
	if ok && vm.Incarnation < row.incarnation {
		// The list lags; a newer incarnation is known already.
		return
	}
	switch {
	case !ok || vm.Incarnation > row.incarnation:
		row = s.replaceServer(now, row, vm)
	case vm.Address != row.address:
		// A new address of the same incarnation keeps its drain evidence.
		drain := row.drain
		row = s.replaceServer(now, row, vm)
		row.drain = drain
	}
	if row.unlistedAt != 0 {
		row.unlistedAt = 0
		s.dirty = true
	}
	if exact {
		// An exact list contains the remaining warm-up, so slow start does not
		// apply.
		row.slowStartAt = 0
		row.slots = vm.Slots
		s.applyWarmup(now, row, vm)
	}
	if vm.State == platform.VMLeaving {
		s.confirmDrain(now, row)
	}
}

// applyWarmup keeps the first warm-up that was read, because later reads of the
// same entry repeat it.
func (s *State) applyWarmup(now int64, row *serverRow, vm platform.VM) {
	if row.warmupUntil == 0 && vm.WarmupMillis > 0 {
		row.warmupUntil = now + vm.WarmupMillis*int64(time.Millisecond)
		s.dirty = true
	}
}

// replaceServer replaces an old row, which may be nil, by a new one.
func (s *State) replaceServer(now int64, old *serverRow, vm platform.VM) *serverRow {
	row := s.newServerRow(vm)
	row.pauseEnded = now >= row.pause.To
	if s.listSeen {
		row.slowStartAt = now
	}
	if old != nil {
		row.fixed = old.fixed
		row.published = old.published
		if old.incarnation != row.incarnation {
			s.reportLeft(now, old)
			s.linkWithdrawals(old, row)
		}
		if row.service == "" {
			row.service = old.service
		}
	}
	row.stats.SetPeersInFlight(s.peers.inFlight(row.id))
	s.putServer(row)
	s.applyPendingNotice(now, row)
	return row
}

func (s *State) applyPreset(now int64, offered PresetOffered) {
	previous := s.adopter.Current().Revision
	if !s.adopter.AdoptIfNewer(offered.Version) {
		return
	}
	s.adopted = adoption{at: now, source: offered.Source}
	s.dirty = true
	s.routes = nil
	if offered.Version.Routing != nil {
		s.routes = newRouteTable(offered.Version.Routing.Rules)
	}
	s.actions = append(s.actions, PresetAdopted{
		Version:  offered.Version,
		Source:   offered.Source,
		Previous: previous,
	})
}
