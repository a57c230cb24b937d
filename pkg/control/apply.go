package control

import (
	"balsamhill/pkg/platform"
	"balsamhill/pkg/routing"
)

// Apply takes one event into the tables. now is in nanoseconds on the gateway's
// monotonic clock.
func (s *State) Apply(now int64, event Event) {
	switch e := event.(type) {
	case VMListRead:
		s.applyVMList(now, e.VMs)
	case PresetOffered:
		s.applyPreset(now, e)
	case DrainNoticed:
		s.applyDrain(now, e)
	case PeerSummary:
		s.applySummary(e)
	case PeerLost:
		s.applyPeerLost(e)
	case PeerJoined:
		s.applyPeerJoined(now, e)
	}
}

// AddFixedServer adds a server that the settings name.
func (s *State) AddFixedServer(service string, vm platform.VM) {
	row := newServerRow(vm)
	row.service = service
	row.fixed = true
	s.putServer(row)
}

func newServerRow(vm platform.VM) *serverRow {
	return &serverRow{
		id:            vm.ID,
		service:       vm.Service,
		address:       vm.Address,
		region:        vm.Region,
		failureDomain: vm.FailureDomain,
		incarnation:   vm.Incarnation,
		stats:         &routing.Stats{},
	}
}

// applyVMList takes a list in. A server that is missing from it is not removed
// here, because the list lags and may be empty for a moment; see
// runUnlistedSystem.
func (s *State) applyVMList(now int64, vms []platform.VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Role != platform.RoleServer {
			continue
		}
		listed[vm.ID] = true
		s.applyServer(now, vm)
	}
	for id, row := range s.servers {
		if !listed[id] && !row.fixed && row.unlistedAt == 0 {
			row.unlistedAt = now
			row.failuresAtUnlisted = row.stats.Failures.Load()
			s.dirty = true
		}
	}
	s.seenList = s.seenList || len(listed) > 0
}

func (s *State) applyServer(now int64, vm platform.VM) {
	row, ok := s.servers[vm.ID]
	if ok && vm.Incarnation < row.incarnation {
		// The list lags; a newer incarnation is known already.
		return
	}
	switch {
	case !ok || vm.Incarnation > row.incarnation:
		row = s.replaceServer(now, row, vm)
	case vm.Address != row.address:
		// The same incarnation at another address keeps its drain evidence.
		drain := row.drain
		row = s.replaceServer(now, row, vm)
		row.drain = drain
	}
	if row.unlistedAt != 0 {
		row.unlistedAt = 0
		s.dirty = true
	}
	if vm.State == platform.VMLeaving {
		s.confirmDrain(now, row)
	}
}

// replaceServer puts a new row in the place of an old one, which may be nil.
func (s *State) replaceServer(now int64, old *serverRow, vm platform.VM) *serverRow {
	row := newServerRow(vm)
	if s.seenList {
		row.joinedAt = now
	}
	if old != nil {
		row.fixed = old.fixed
		row.published = old.published
		if row.service == "" {
			row.service = old.service
		}
	}
	row.stats.SetPeersInFlight(s.peers.inFlight(row.id))
	s.putServer(row)
	s.applyEarlyNotice(now, row)
	return row
}

func (s *State) applyPreset(now int64, offered PresetOffered) {
	previous := s.adopter.Current().Revision
	if !s.adopter.Offer(offered.Version) {
		return
	}
	s.adopted = adoption{at: now, source: offered.Source}
	s.dirty = true
	s.actions = append(s.actions, PresetAdopted{
		Version:  offered.Version,
		Source:   offered.Source,
		Previous: previous,
	})
}
