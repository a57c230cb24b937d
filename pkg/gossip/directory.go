package gossip

import (
	"sync"
	"time"
)

const (
	// directoryTTL is how long a seed returns a registered gateway to those that register
	// later.
	directoryTTL = time.Minute
)

// Directory holds the gateways of all regions that registered at this seed. It is safe
// for concurrent use.
type Directory struct {
	mu      sync.Mutex
	entries map[string]directoryEntry
}

type directoryEntry struct {
	gateway      Gateway
	registeredAt int64
}

// maxListedPerDomain bounds how many gateways of each failure domain of other regions
// Register returns.
const maxListedPerDomain = 3

// Register adds a gateway and returns the others of its region and a few of each failure
// domain of other regions.
func (d *Directory) Register(now int64, joining Gateway) []Gateway {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries == nil {
		d.entries = make(map[string]directoryEntry)
	}
	others := []Gateway{}
	remotes := make(map[string]int)
	for id, entry := range d.entries {
		domain := entry.gateway.FailureDomain
		switch {
		case now-entry.registeredAt > int64(directoryTTL):
			delete(d.entries, id)
		case id == joining.ID:
		case entry.gateway.Region != joining.Region && remotes[domain] >= maxListedPerDomain:
		default:
			remotes[domain]++
			others = append(others, entry.gateway)
		}
	}
	d.entries[joining.ID] = directoryEntry{gateway: joining, registeredAt: now}
	return others
}
