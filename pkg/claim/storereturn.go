package claim

// ReturnDetector detects that the table service has returned from an older copy of itself,
// which lacks the newest rows: it then gives out versions again. It is not safe for
// concurrent use.
type ReturnDetector struct {
	newest     uint64
	returnedAt int64
}

// Newest returns the newest known version.
func (d *ReturnDetector) Newest() uint64 {
	return d.newest
}

// ObserveRead records a read of the changes after a version, which returned the position up
// to which they are complete, and reports whether it shows that the store has returned.
func (d *ReturnDetector) ObserveRead(now int64, after, position uint64) (returned bool) {
	return d.observe(now, position < after, position)
}

// ObserveCommit records the version of a transaction and reports whether it shows that the
// store has returned. newestBefore is the value of Newest before the transaction was sent.
func (d *ReturnDetector) ObserveCommit(now int64, newestBefore, version uint64) (returned bool) {
	return d.observe(now, version <= newestBefore, version)
}

func (d *ReturnDetector) observe(now int64, returned bool, version uint64) bool {
	if returned {
		d.newest, d.returnedAt = version, now
	} else {
		d.newest = max(d.newest, version)
	}
	return returned
}

// MayLackRows reports whether the store has returned within Retention, so that a key may have
// been claimed although its row is absent.
func (d *ReturnDetector) MayLackRows(now int64) bool {
	return d.returnedAt != 0 && now-d.returnedAt < int64(Retention)
}
