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
	}
}

// AddFixedServer adds a server that the settings name.
func (s *State) AddFixedServer(service string, vm platform.VM) {
	row := newServerRow(vm)
	row.service = service
	row.fixed = true
	s.servers[vm.ID] = row
	s.dirty = true
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
		if !listed[id] && !row.fixed {
			delete(s.servers, id)
			s.dirty = true
		}
	}
	s.seenList = true
}

func (s *State) applyServer(now int64, vm platform.VM) {
	row, ok := s.servers[vm.ID]
	if ok && vm.Incarnation < row.incarnation {
		// The list lags; a newer incarnation is known already.
		return
	}
	if !ok || vm.Incarnation > row.incarnation || vm.Address != row.address {
		row = newServerRow(vm)
		if s.seenList {
			row.joinedAt = now
		}
		s.servers[vm.ID] = row
		s.dirty = true
	}
	leaving := vm.State == platform.VMLeaving
	if leaving != row.drain.Listed() {
		row.drain.SetListed(leaving)
		s.dirty = true
	}
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

func (s *State) applyDrain(now int64, notice DrainNoticed) {
	row, ok := s.servers[notice.ServerID]
	if !ok {
		return
	}
	if notice.Incarnation != 0 && notice.Incarnation != row.incarnation {
		return
	}
	s.noticeDrain(now, row, notice.FromPeer == "")
}

func (s *State) noticeDrain(now int64, row *serverRow, tellPeers bool) {
	if !row.drain.Notice(now) {
		return
	}
	s.dirty = true
	if tellPeers {
		s.actions = append(s.actions, DrainLearned{ServerID: row.id, Incarnation: row.incarnation})
	}
}
