package claim

import "time"

const (
	// Retention is how long a row stays after it was resolved, and how long the
	// owner of a claimed row must have been missing before the row is removed.
	Retention = 48 * time.Hour
	// maxObservationGap is the longest time between two observations that counts
	// as observed absence.
	maxObservationGap = time.Minute
)

// MayRemove reports whether a row is past its retention. ownerGone says that the
// incarnation of the owner has been missing for Retention; see OwnerAbsenceTracker.
func MayRemove(row Row, storeTime time.Time, ownerGone bool) bool {
	if storeTime.IsZero() {
		return false
	}
	if row.State == StateClaimed {
		return ownerGone
	}
	return !row.ResolvedAt.IsZero() && storeTime.Sub(row.ResolvedAt) >= Retention
}

// Incarnation identifies one run of one gateway.
type Incarnation struct {
	Gateway string
	Number  uint64
}

// OwnerAbsenceTracker measures how long owners of claimed rows have been missing from the
// gateway rows and the VM list. Only observed time counts, so that a gap in the
// observations (an outage, a pause of this gateway) never makes an owner look
// missing.
type OwnerAbsenceTracker struct {
	last    int64
	missing map[Incarnation]time.Duration
}

// NewOwnerAbsenceTracker returns a watch without observations.
func NewOwnerAbsenceTracker() *OwnerAbsenceTracker {
	return &OwnerAbsenceTracker{missing: make(map[Incarnation]time.Duration)}
}

// Track starts to measure the absence of an owner.
func (w *OwnerAbsenceTracker) Track(owner Incarnation) {
	if _, ok := w.missing[owner]; !ok {
		w.missing[owner] = 0
	}
}

// Observe takes one complete reading of which incarnations exist. Now is in
// nanoseconds on the gateway's monotonic clock.
func (w *OwnerAbsenceTracker) Observe(now int64, present func(Incarnation) bool) {
	gap := time.Duration(now - w.last)
	known := w.last != 0 && gap <= maxObservationGap
	w.last = now
	for owner := range w.missing {
		switch {
		case present(owner):
			delete(w.missing, owner)
		case known:
			w.missing[owner] += gap
		}
	}
}

// Gone reports whether an owner has been missing for Retention.
func (w *OwnerAbsenceTracker) Gone(owner Incarnation) bool {
	return w.missing[owner] >= Retention
}
