// Package registry derives the list of servers from the entries that servers keep
// in the platform's store. The removal of an entry means that its server left. The
// exception is an outage of the store: entries expire during the outage although
// their servers run, and the servers write them again shortly after the store
// recovers. A store that returned from an older copy of itself shows entries of
// servers that have left, and states that servers have left behind; the sequence
// numbers of the entries tell them apart. The control loop of pkg/edge applies the
// changes of the entries. The package does no I/O and reads no clock: times are
// nanoseconds on the gateway's monotonic clock.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"balsamhill/pkg/platform"
)

// Entry is the description that a server registers of itself.
type Entry struct {
	ID      string
	Service string
	// Address is host:port.
	Address       string
	FailureDomain string
	// Slots is how many requests the server runs at once.
	Slots int
	// Leaving says that the server accepts no new work.
	Leaving bool
	// WarmupMillis is the remaining time of the warm-up after the server's start, in
	// which it is slow.
	WarmupMillis int64
	// Started is the server's start in Unix milliseconds; a higher value is a new
	// incarnation.
	Started uint64
	// Seq is the number of the server's writes since its start.
	Seq uint64
}

// olderThan reports whether the server wrote another entry of the same ID later.
func (e Entry) olderThan(other Entry) bool {
	return cmp.Or(cmp.Compare(e.Started, other.Started), cmp.Compare(e.Seq, other.Seq)) < 0
}

// RecoveryGracePeriod is how long after the store's recovery the server of a missing
// entry is expected to write it again: servers do so within about 2 s.
const RecoveryGracePeriod = 2200 * time.Millisecond

// StaleEntryPeriod is how long an entry that a server wrote before it was removed is
// taken for one that an older copy of the store brought back. The store removes it within
// this time, three heartbeat intervals, unless the server lives.
const StaleEntryPeriod = 6 * time.Second

// staleEntry is an entry that is not used until a time.
type staleEntry struct {
	entry Entry
	until int64
}

// Registry holds the entries. It is not safe for concurrent use.
type Registry struct {
	// regions maps failure domains to regions.
	regions map[string]string
	entries map[string]Entry
	// missing holds the times at which entries that expired during an outage are
	// removed unless they are written again, by ID.
	missing map[string]int64
	// removed holds the last entries of removed servers, with the time at which they are
	// forgotten, and stale the entries that reappeared unchanged after their removal,
	// with the time from which they are used if the store still holds them.
	removed, stale map[string]staleEntry
	// storeRecoveredAt is when the store last recovered from an outage, 0 if
	// never.
	storeRecoveredAt int64
}

// New returns a registry without entries.
func New(regions map[string]string) *Registry {
	return &Registry{
		regions: regions, entries: make(map[string]Entry), missing: make(map[string]int64),
		removed: make(map[string]staleEntry), stale: make(map[string]staleEntry),
	}
}

// StoreRecovered records that the store recovered from an outage at the given
// time.
func (r *Registry) StoreRecovered(at int64) {
	r.storeRecoveredAt = max(r.storeRecoveredAt, at)
}

// removedEntryTTL is how long the last entry of a removed server is remembered. It exceeds
// the age of the copies from which a store returns.
const removedEntryTTL = 5 * time.Minute

// Put adds or replaces an entry and reports whether that changed anything. An entry that
// the server wrote before a known one changes nothing.
func (r *Registry) Put(now int64, entry Entry) (changed bool) {
	delete(r.missing, entry.ID)
	old, ok := r.entries[entry.ID]
	if ok && entry.olderThan(old) {
		return false
	}
	if removed, known := r.removed[entry.ID]; known && !removed.entry.olderThan(entry) {
		r.stale[entry.ID] = staleEntry{entry: entry, until: now + int64(StaleEntryPeriod)}
		return false
	}
	r.put(entry)
	old.Seq = entry.Seq
	return !ok || old != entry
}

func (r *Registry) put(entry Entry) {
	r.entries[entry.ID] = entry
	delete(r.stale, entry.ID)
	delete(r.removed, entry.ID)
}

// Remove records that the store no longer holds an entry and reports whether the
// server was removed. Within RecoveryGracePeriod after an outage it stays until
// Expire removes it.
func (r *Registry) Remove(now int64, id string) (changed bool) {
	delete(r.stale, id)
	if _, ok := r.entries[id]; !ok {
		return false
	}
	if expiresAt := r.storeRecoveredAt + int64(RecoveryGracePeriod); r.storeRecoveredAt != 0 && now < expiresAt {
		r.missing[id] = expiresAt
		return false
	}
	r.remove(now, id)
	return true
}

func (r *Registry) remove(now int64, id string) {
	r.removed[id] = staleEntry{entry: r.entries[id], until: now + int64(removedEntryTTL)}
	delete(r.missing, id)
	delete(r.entries, id)
}

// Expire removes the missing entries whose servers did not write them again in time, adds
// the stale ones that the store still holds, and reports whether that changed anything.
func (r *Registry) Expire(now int64) (changed bool) {
	for id, expiresAt := range r.missing {
		if now >= expiresAt {
			r.remove(now, id)
			changed = true
		}
	}
	for _, stale := range r.stale {
		if now >= stale.until {
			r.put(stale.entry)
			changed = true
		}
	}
	maps.DeleteFunc(r.removed, func(_ string, removed staleEntry) bool { return now >= removed.until })
	return changed
}

// Servers returns the servers in order of their IDs.
func (r *Registry) Servers() []platform.VM {
	vms := make([]platform.VM, 0, len(r.entries))
	for _, entry := range r.entries {
		state := platform.VMLive
		if entry.Leaving {
			state = platform.VMLeaving
		}
		vms = append(vms, platform.VM{
			ID:            entry.ID,
			Role:          platform.RoleServer,
			Incarnation:   entry.Started,
			Service:       entry.Service,
			Region:        r.regions[entry.FailureDomain],
			FailureDomain: entry.FailureDomain,
			Address:       entry.Address,
			State:         state,
			Slots:         entry.Slots,
			WarmupMillis:  entry.WarmupMillis,
		})
	}
	slices.SortFunc(vms, func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}
