package control

import (
	"slices"
	"time"

	"balsamhill/pkg/health"
)

// Tick updates the state in a fixed order of steps and returns the actions that
// result from this tick and from the events since the last one.
func (s *State) Tick(now int64) []Action {
	s.updateDrains(now)
	s.updateWithdrawals(now)
	s.updateUnlisted(now)
	if s.dirty {
		s.updateMaintenance()
		s.updateSubset(now)
	}
	s.updateEjection(now)
	s.updateShedding(now)
	s.publish(now)
	actions := s.actions
	s.actions = nil
	return actions
}

const (
	// unlistedTTL is how long a server that the list no longer contains stays in use
	// if it does not fail. The list lags and may temporarily lack entries.
	unlistedTTL = 60 * time.Second
	// unlistedFailures is the number of consecutive failures after which a server
	// that the list no longer contains is removed.
	unlistedFailures = 3
	// leavingTTL is how long a server that was listed as leaving is kept after it
	// disappeared from the list, so that an older list does not add it again.
	leavingTTL = 10 * time.Minute
)

// updateUnlisted removes servers that the list no longer contains, but not the
// last servers of a service: while the list contains no live server of a service,
// its unlisted servers stay, subject to ejection.
func (s *State) updateUnlisted(now int64) {
	unlisted := func(row *serverRow) bool { return row.unlistedAt != 0 }
	if !slices.ContainsFunc(s.sortedServers(), unlisted) {
		return
	}
	live := make(map[string]bool)
	for _, row := range s.sortedServers() {
		if !unlisted(row) && !row.drain.Listed() && !row.leaving {
			live[row.service] = true
		}
	}
	for _, row := range s.sortedServers() {
		if unlisted(row) && s.shouldRemove(now, row, live[row.service]) {
			s.reportChange(row, routingState{reason: "the platform's list no longer shows it"}, removedState)
			s.removeServer(now, row)
		}
	}
}

func (s *State) shouldRemove(now int64, row *serverRow, serviceLive bool) bool {
	age := now - row.unlistedAt
	if row.drain.Listed() {
		return age > int64(leavingTTL)
	}
	// Drain evidence is kept until it expires, in case the server is listed
	// again.
	if !serviceLive || row.drain.NoticeValid(now) {
		return false
	}
	counts := row.counters()
	failing := counts.Failures > row.failuresAtUnlisted && counts.ConsecutiveFailures >= unlistedFailures
	return failing || age > int64(unlistedTTL)
}

// updateMaintenance marks the servers that the preset in force lists under
// maintenance.
func (s *State) updateMaintenance() {
	version := s.adopter.Current()
	if version.Preset == nil {
		return
	}
	maintenance := make(map[string]bool, len(version.Preset.Maintenance))
	for _, id := range version.Preset.Maintenance {
		maintenance[id] = true
	}
	for _, row := range s.sortedServers() {
		row.inMaintenance = maintenance[row.id]
	}
}

// serviceCounts counts the eligible servers of a service, and how many of them
// are ejected.
type serviceCounts struct {
	eligible int
	ejected  int
}

// isEligible reports whether the server can be used, ejection aside.
func (r *serverRow) isEligible(now int64) bool {
	return !r.inMaintenance && !r.outsideSubset && !r.draining(now)
}

// updateEjection updates the ejection state of all servers. At most half of
// the eligible servers are ejected: no further server is ejected at that point,
// and if drains, maintenance or the subset exclude other servers afterwards, all
// ejected servers are used (see evaluate).
func (s *State) updateEjection(now int64) {
	for _, counts := range s.counts {
		*counts = serviceCounts{}
	}
	for _, row := range s.sortedServers() {
		if !row.isEligible(now) {
			continue
		}
		row.counts.eligible++
		if row.ejection.Ejected() {
			row.counts.ejected++
		}
	}
	for _, row := range s.sortedServers() {
		if !row.isEligible(now) {
			row.ejection.Update(now, row.counters(), false)
			continue
		}
		counts := row.counts
		wasEjected := row.ejection.Ejected()
		if !row.ejection.Update(now, row.counters(), health.MayEject(counts.ejected, counts.eligible)) {
			continue
		}
		if wasEjected {
			counts.ejected--
		} else {
			counts.ejected++
		}
	}
}

// updateShedding updates the weights of servers that shed calls.
func (s *State) updateShedding(now int64) {
	for _, row := range s.sortedServers() {
		row.shedding.Update(now, row.counters())
	}
}
