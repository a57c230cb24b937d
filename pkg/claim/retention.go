package claim

import "time"

const (
	// Retention is how long a row is kept after it was resolved, and how long the
	// owner of a claimed row must have been missing before the row is removed.
	Retention = 48 * time.Hour
	// maxObservationGap is the longest time between two observations that counts
	// as observed absence.
	maxObservationGap = time.Minute
)

// MayRemove reports whether a row is past its retention. ownerGone means that the
// owner's incarnation has been missing for Retention; see OwnerAbsenceTracker.
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

// OwnerAbsenceTracker measures how long owners of claimed rows have been missing
// from the gateway rows and the VM list. Only observed time counts, so that a gap
// in the observations (an outage, a pause of this gateway) is not counted as
// absence. It is not safe for concurrent use.
type OwnerAbsenceTracker struct {
	lastObservation int64
	missing         map[Incarnation]time.Duration
}

// NewOwnerAbsenceTracker returns a tracker without observations.
func NewOwnerAbsenceTracker() *OwnerAbsenceTracker {
	return &OwnerAbsenceTracker{missing: make(map[Incarnation]time.Duration)}
}

// Track starts to measure the absence of an owner that is not tracked yet.
func (t *OwnerAbsenceTracker) Track(owner Incarnation) {
	if _, ok := t.missing[owner]; !ok {
		t.missing[owner] = 0
	}
}

// Observe records which incarnations exist, from one complete read. now is in
// nanoseconds on the gateway's monotonic clock.
func (t *OwnerAbsenceTracker) Observe(now int64, present func(Incarnation) bool) {
	gap := time.Duration(now - t.lastObservation)
	observed := t.lastObservation != 0 && gap <= maxObservationGap
	t.lastObservation = now
	for owner := range t.missing {
		switch {
		case present(owner):
			delete(t.missing, owner)
		case observed:
			t.missing[owner] += gap
		}
	}
}

// Gone reports whether an owner has been missing for Retention.
func (t *OwnerAbsenceTracker) Gone(owner Incarnation) bool {
	return t.missing[owner] >= Retention
}
