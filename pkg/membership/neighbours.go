package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fullMeshLimit is the number of peers in the region up to which all are
	// neighbours; beyond it, a ring connects them. Package gossip, which package edge
	// uses, groups the gateways of larger regions by failure domain instead.
	fullMeshLimit = 16
	// ringNeighbours is the number of neighbours beyond that, half on each side.
	ringNeighbours = 8
	// relaysPerRegion is how many gateways of a region exchange messages with
	// other regions.
	relaysPerRegion = 2
	// maxRequiredResponses bounds how many peers must respond at a start without
	// the store.
	maxRequiredResponses = 3
)

// relayRank orders the gateways of a region; those with the lowest ranks are its
// relays.
func relayRank(region, id string) uint64 {
	return xxhash.Sum64String(region + "\x00" + id)
}

// Relays returns the relays of a region: the gateways that exchange messages with
// other regions, as derived from this gateway's view.
func (v *View) Relays(now int64, region string) []string {
	ids := v.aliveIn(now, region)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(relayRank(region, a), relayRank(region, b)), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), relaysPerRegion)]
}

// IsRelay reports whether this gateway is a relay of its region.
func (v *View) IsRelay(now int64) bool {
	return slices.Contains(v.Relays(now, v.self.Region), v.self.ID)
}

// aliveIn returns the IDs of the live gateways of a region, this one included.
func (v *View) aliveIn(now int64, region string) []string {
	var ids []string
	if region == v.self.Region {
		ids = append(ids, v.self.ID)
	}
	for id, m := range v.members {
		if m.Region == region && v.Alive(now, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Neighbours returns the gateways of this region that receive gossip: all of them
// up to fullMeshLimit, else the nearest ringNeighbours on a ring in ID order.
func (v *View) Neighbours(now int64) []string {
	ids := v.aliveIn(now, v.self.Region)
	position, _ := slices.BinarySearch(ids, v.self.ID)
	if len(ids)-1 <= fullMeshLimit {
		return slices.Delete(ids, position, position+1)
	}
	var neighbours []string
	for step := 1; step <= ringNeighbours/2; step++ {
		neighbours = append(neighbours, ids[(position+step)%len(ids)], ids[(position+len(ids)-step)%len(ids)])
	}
	slices.Sort(neighbours)
	return neighbours
}

// RemoteRelays returns the relays of the other regions if this gateway is a relay
// of its own region, else nothing.
func (v *View) RemoteRelays(now int64) []string {
	if !v.IsRelay(now) {
		return nil
	}
	var ids []string
	for region := range v.remoteRegions() {
		ids = append(ids, v.Relays(now, region)...)
	}
	slices.Sort(ids)
	return ids
}

// HeartbeatInterval returns the time between heartbeats to a gateway, given the
// current RemoteRelays. The views of two regions may differ about who the relays
// are; each side sends at the shorter interval to the relays that it selects.
func (v *View) HeartbeatInterval(id string, remoteRelays []string) time.Duration {
	m := v.members[id]
	if m == nil || m.Region == v.self.Region {
		return LocalInterval
	}
	if slices.Contains(remoteRelays, id) {
		return LocalInterval
	}
	return RemoteInterval
}

// MayAdoptAtStart reports whether enough peers have reported their preset revision
// for a gateway that starts without the store to put the highest one in force.
// knownGateways is the number of known gateways, this one included.
func MayAdoptAtStart(responses, knownGateways int) bool {
	return responses >= max(1, min(maxRequiredResponses, knownGateways-1))
}
