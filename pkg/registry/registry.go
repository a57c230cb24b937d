// Package registry decides which servers exist from the entries that servers
// keep in the platform's store. An entry that disappears means that its server
// left, unless the store was away: entries lapse then although their servers
// live, and come back shortly after the store does. The package does no I/O and
// reads no clock: times are nanoseconds on the gateway's monotonic clock.
package registry

import (
	"cmp"
	"slices"
	"time"

	"balsamhill/pkg/platform"
)

// Entry is what a server says of itself.
type Entry struct {
	ID      string
	Service string
	// Address is host:port.
	Address       string
	FailureDomain string
	// Slots is how many requests the server runs at once.
	Slots int
	// Leaving says that the server takes no new work.
	Leaving bool
	// WarmupMillis is how much longer the server is slow after its start.
	WarmupMillis int64
	// Started is the server's start in Unix milliseconds; a higher value is a new
	// incarnation.
	Started uint64
}

// LapseGrace is how long after the store's return a missing entry may come back:
// servers write again within about 2 s.
const LapseGrace = 2200 * time.Millisecond

// Registry holds the entries. It is not safe for concurrent use.
type Registry struct {
	// regions maps failure domains to regions.
	regions map[string]string
	entries map[string]Entry
	// lapsed holds the times at which entries that lapsed during an outage are
	// taken as gone.
	lapsed map[string]int64
	// outageEnded is when the store last came back, 0 if it was never away.
	outageEnded int64
}

// New returns a registry without entries.
func New(regions map[string]string) *Registry {
	return &Registry{regions: regions, entries: make(map[string]Entry), lapsed: make(map[string]int64)}
}

// StoreRecovered takes in that the store came back at a time.
func (r *Registry) StoreRecovered(at int64) {
	r.outageEnded = max(r.outageEnded, at)
}

// Put takes an entry in and reports whether it changed anything.
func (r *Registry) Put(entry Entry) (changed bool) {
	delete(r.lapsed, entry.ID)
	old, ok := r.entries[entry.ID]
	if ok && entry.Started < old.Started {
		return false
	}
	r.entries[entry.ID] = entry
	return !ok || old != entry
}

// Remove takes in that an entry is gone and reports whether the server is taken
// as gone at once.
func (r *Registry) Remove(now int64, id string) (changed bool) {
	if _, ok := r.entries[id]; !ok {
		return false
	}
	if until := r.outageEnded + int64(LapseGrace); r.outageEnded != 0 && now < until {
		r.lapsed[id] = until
		return false
	}
	delete(r.entries, id)
	return true
}

// Expire removes lapsed entries that did not come back and reports whether
// there were any.
func (r *Registry) Expire(now int64) (changed bool) {
	for id, until := range r.lapsed {
		if now >= until {
			delete(r.lapsed, id)
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
