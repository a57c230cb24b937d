package claimstore

import "balsamhill/pkg/claim"

// observeCommit records the version of a transaction.
func (s *Store) observeCommit(newestBefore, version uint64) {
	s.withLock(func() {
		if s.returnDetector.ObserveCommit(s.config.Now(), newestBefore, version) {
			s.recordReturn()
		}
	})
}

// recordReturn records that the store has returned from an older copy: the change feed is read
// again from its beginning. The caller holds mu.
func (s *Store) recordReturn() {
	s.digest.StoreReturned()
	s.counters.storeReturns.Inc()
}

// mayLackRows reports whether the store may lack rows because it has returned from an older
// copy.
func (s *Store) mayLackRows() bool {
	lacks := false
	s.withLock(func() { lacks = s.returnDetector.MayLackRows(s.config.Now()) })
	return lacks
}

// mayBeClaimed reports whether this gateway knows the key from the change feed or has
// dispatched it.
func (s *Store) mayBeClaimed(id claim.ID) bool {
	known := false
	s.withLock(func() { known = s.digest.Has(id) || s.history.Has(id) })
	return known
}

// resolveLostClaim records the outcome unknown for a key whose earlier claim the store has
// lost: the call may have run, so the new claim must not be dispatched.
func (s *Store) resolveLostClaim(item *claimItem) {
	s.counters.lostClaims.Inc()
	ticket := ticketOf(item)
	s.results.add(claim.NewResolution(ticket, s.owner(ticket.ClaimID), claim.Result{Kind: claim.ResultUnknown}), s.counters)
}
