package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fullGossip is the number of peers in the region up to which all are neighbours.
	fullGossip = 16
	// ringNeighbours is the number of neighbours beyond that, half on each side.
	ringNeighbours = 8
	// speakersPerRegion is how many gateways of a region talk across the link.
	speakersPerRegion = 2
	// wantedAnswers bounds how many peers must answer at a start without the store.
	wantedAnswers = 3
)

// rank orders gateways of a region; the lowest are its speakers.
func rank(region, id string) uint64 {
	return xxhash.Sum64String(region + "\x00" + id)
}

// Relays returns the gateways of a region that talk across the link, as far as
// this gateway knows.
func (v *View) Relays(now int64, region string) []string {
	ids := v.aliveIn(now, region)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(region, a), rank(region, b)), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), speakersPerRegion)]
}

// IsRelay reports whether this gateway talks across the link.
func (v *View) IsRelay(now int64) bool {
	return slices.Contains(v.Relays(now, v.self.Region), v.self.ID)
}

// aliveIn returns the IDs of the live gateways of a region, the own included.
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

// Neighbours returns the gateways of the own region that receive gossip: all of
// them up to 16, else the nearest 8 on a ring in ID order.
func (v *View) Neighbours(now int64) []string {
	ids := v.aliveIn(now, v.self.Region)
	own, _ := slices.BinarySearch(ids, v.self.ID)
	if len(ids)-1 <= fullGossip {
		return slices.Delete(ids, own, own+1)
	}
	var neighbours []string
	for step := 1; step <= ringNeighbours/2; step++ {
		neighbours = append(neighbours, ids[(own+step)%len(ids)], ids[(own+len(ids)-step)%len(ids)])
	}
	slices.Sort(neighbours)
	return neighbours
}

// RemoteRelays returns the speakers of the other regions if this gateway is a
// speaker of its own region, else nothing.
func (v *View) RemoteRelays(now int64) []string {
	if !v.IsRelay(now) {
		return nil
	}
	var ids []string
	for region := range v.farRegions() {
		ids = append(ids, v.Relays(now, region)...)
	}
	slices.Sort(ids)
	return ids
}

// HeartbeatInterval returns the time between heartbeats to a gateway, given the
// current RemoteRelays. Regions may disagree about who speaks, so one side's
// opinion is enough.
func (v *View) HeartbeatInterval(id string, farSpeakers []string) time.Duration {
	m := v.members[id]
	if m == nil || m.Region == v.self.Region {
		return LocalInterval
	}
	if slices.Contains(farSpeakers, id) {
		return LocalInterval
	}
	return RemoteInterval
}

// MayAdoptAtStart applies the rule for a start without the store: enough peers
// must have told their revision before the highest of them is adopted. known is
// the number of gateways that exist as far as known, the own included.
func MayAdoptAtStart(answers, known int) bool {
	return answers >= max(1, min(wantedAnswers, known-1))
}
