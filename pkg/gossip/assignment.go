package gossip

import (
	"cmp"
	"slices"
)

// fewMeasurers is the number of gateways that measure for the others in a large
// failure domain without strong machines.
const fewMeasurers = 4

// Assignment says which gateways probe which servers. It is immutable.
type Assignment struct {
	self Gateway
	wide bool
	// measurers are the gateways that probe for the others, by failure domain.
	measurers map[string][]Gateway
	all       []Gateway
}

// Assign divides the servers among the gateways that are alive. In a small region
// all of them measure. In a large one the servers of a failure domain are left to
// its own gateways, of which only the strong ones measure, or a few if there is
// none.
func (p *Peers) Assign(now int64) Assignment {
	a := Assignment{self: p.self, wide: p.GroupedByDomain(), measurers: make(map[string][]Gateway)}
	candidates := []candidate{{p.self, p.places.measurer}}
	for _, peer := range p.peers {
		if peer.works(now) && p.near(peer.gateway, a.wide) {
			candidates = append(candidates, candidate{peer.gateway, peer.places.measurer})
		}
	}
	if a.wide {
		candidates = measurersOf(candidates)
	}
	for _, c := range candidates {
		a.all = append(a.all, c.gateway)
	}
	slices.SortFunc(a.all, func(a, b Gateway) int { return cmp.Compare(a.ID, b.ID) })
	for _, gateway := range a.all {
		a.measurers[gateway.FailureDomain] = append(a.measurers[gateway.FailureDomain], gateway)
	}
	return a
}

// candidate is a gateway that could measure, with its place for that.
type candidate struct {
	gateway Gateway
	place   place
}

// measurersOf returns the strong candidates, or a few if there is none.
func measurersOf(candidates []candidate) []candidate {
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.place.before(b.place) {
			return -1
		}
		return 1
	})
	strong := 0
	for strong < len(candidates) && candidates[strong].gateway.HighCapacity {
		strong++
	}
	if strong == 0 {
		strong = fewMeasurers
	}
	return candidates[:min(strong, len(candidates))]
}

// ShouldProbe reports whether this gateway probes a server: it has the first place
// for it among the measurers of the server's failure domain, or of the region if
// there are none.
func (a Assignment) ShouldProbe(serverID, failureDomain string) bool {
	if a.wide && failureDomain != a.self.FailureDomain {
		return false
	}
	candidates := a.measurers[failureDomain]
	if len(candidates) == 0 {
		candidates = a.all
	}
	var first Gateway
	for i, gateway := range candidates {
		if i == 0 || placeOf(serverID, gateway).before(placeOf(serverID, first)) {
			first = gateway
		}
	}
	return first.ID == a.self.ID
}

// Equal reports whether both divide the servers in the same way.
func (a Assignment) Equal(other *Assignment) bool {
	return a.self == other.self && a.wide == other.wide && slices.Equal(a.all, other.all)
}

// GroupedByDomain reports whether the region is large; see Peers.GroupedByDomain.
func (a Assignment) GroupedByDomain() bool {
	return a.wide
}

// SharesReports reports whether this gateway tells others what it learns of servers: in
// a large region only measurers do.
func (a Assignment) SharesReports() bool {
	return !a.wide || a.measuring(a.self)
}

// measuring reports whether a gateway measures for others.
func (a Assignment) measuring(gateway Gateway) bool {
	return slices.ContainsFunc(a.all, func(g Gateway) bool { return g.ID == gateway.ID })
}
