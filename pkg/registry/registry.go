// Package registry derives the list of servers from the entries that servers keep
// in the platform's store. The removal of an entry means that its server left. The
// exception is an outage of the store: entries expire during the outage although
// their servers run, and the servers write them again shortly after the store
// recovers. The control loop of pkg/edge applies the changes of the entries. The
// package does no I/O and reads no clock: times are nanoseconds on the gateway's
// monotonic clock.
package registry

import (
	"cmp"
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
}

// RecoveryGracePeriod is how long after the store's recovery the server of a missing
// entry is expected to write it again: servers do so within about 2 s.
const RecoveryGracePeriod = 2200 * time.Millisecond

// Registry holds the entries. It is not safe for concurrent use.
type Registry struct {
	// regions maps failure domains to regions.
	regions map[string]string
	entries map[string]Entry
	// missing holds the times at which entries that expired during an outage are
	// removed unless they are written again, by ID.
	missing map[string]int64
	// storeRecoveredAt is when the store last recovered from an outage, 0 if
	// never.
	storeRecoveredAt int64
}

// New returns a registry without entries.
func New(regions map[string]string) *Registry {
	return &Registry{regions: regions, entries: make(map[string]Entry), missing: make(map[string]int64)}
}

// StoreRecovered records that the store recovered from an outage at the given
// time.
func (r *Registry) StoreRecovered(at int64) {
	r.storeRecoveredAt = max(r.storeRecoveredAt, at)
}

// Put adds or replaces an entry and reports whether that changed anything.
func (r *Registry) Put(entry Entry) (changed bool) {
	delete(r.missing, entry.ID)
	old, ok := r.entries[entry.ID]
	if ok && entry.Started < old.Started {
		return false
	}
	r.entries[entry.ID] = entry
	return !ok || old != entry
}

// Remove records that the store no longer holds an entry and reports whether the
// server was removed. Within RecoveryGracePeriod after an outage it stays until
// Expire removes it.
func (r *Registry) Remove(now int64, id string) (changed bool) {
	if _, ok := r.entries[id]; !ok {
		return false
	}
	if expiresAt := r.storeRecoveredAt + int64(RecoveryGracePeriod); r.storeRecoveredAt != 0 && now < expiresAt {
		r.missing[id] = expiresAt
		return false
	}
	delete(r.entries, id)
	return true
}

// Expire removes the missing entries whose servers did not write them again in time
// and reports whether any server was removed.
func (r *Registry) Expire(now int64) (changed bool) {
	for id, expiresAt := range r.missing {
		if now >= expiresAt {
			delete(r.missing, id)
			delete(r.entries, id)
			changed = true
		}
	}
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
