package gossip

import (
	"cmp"
	"slices"
)

// fallbackProbers is the number of gateways that probe for the others if a region
// is grouped by failure domain and the group has no high-capacity gateway.
const fallbackProbers = 4

// Assignment says which gateways probe which servers. It is immutable.
type Assignment struct {
	self     Gateway
	byDomain bool
	// probers are the gateways that probe for their group, by failure domain.
	probers    map[string][]Gateway
	allProbers []Gateway
}

// Assign divides the servers among the gateways that are alive and reach servers. In a
// small region all of them probe. If the region is grouped by failure domain, the high-capacity
// gateways of each domain probe the domain's servers, or fallbackProbers gateways of
// the domain if it has no high-capacity one.
func (p *Peers) Assign(now int64) Assignment {
	a := Assignment{self: p.self, byDomain: p.GroupedByDomain(), probers: make(map[string][]Gateway)}
	var candidates []candidate
	if !p.isolated {
		candidates = append(candidates, candidate{p.self, p.ranks.prober})
	}
	for _, peer := range p.peers {
		if peer.active(now) && !peer.isolated && p.inGroup(peer.gateway, a.byDomain) {
			candidates = append(candidates, candidate{peer.gateway, peer.ranks.prober})
		}
	}
	if a.byDomain {
		candidates = selectProbers(candidates)
	}
	for _, c := range candidates {
		a.allProbers = append(a.allProbers, c.gateway)
	}
	slices.SortFunc(a.allProbers, func(a, b Gateway) int { return cmp.Compare(a.ID, b.ID) })
	for _, gateway := range a.allProbers {
		a.probers[gateway.FailureDomain] = append(a.probers[gateway.FailureDomain], gateway)
	}
	return a
}

// candidate is a gateway that could probe, with its rank as a prober.
type candidate struct {
	gateway Gateway
	rank    rank
}

// selectProbers returns the high-capacity candidates, or fallbackProbers others
// if there is none.
func selectProbers(candidates []candidate) []candidate {
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.rank.before(b.rank) {
			return -1
		}
		return 1
	})
	count := 0
	for count < len(candidates) && candidates[count].gateway.HighCapacity {
		count++
	}
	if count == 0 {
		count = fallbackProbers
	}
	return candidates[:min(count, len(candidates))]
}

// ShouldProbe reports whether this gateway probes a server: it ranks first for
// the server among the probers of the server's failure domain, or of the region
// if that domain has none.
func (a Assignment) ShouldProbe(serverID, failureDomain string) bool {
	if a.byDomain && failureDomain != a.self.FailureDomain {
		return false
	}
	candidates := a.probers[failureDomain]
	if len(candidates) == 0 {
		candidates = a.allProbers
	}
	var best Gateway
	for i, gateway := range candidates {
		if i == 0 || rankOf(serverID, gateway).before(rankOf(serverID, best)) {
			best = gateway
		}
	}
	return best.ID == a.self.ID
}

// Equal reports whether both assignments divide the servers in the same way.
func (a Assignment) Equal(other *Assignment) bool {
	return a.self == other.self && a.byDomain == other.byDomain && slices.Equal(a.allProbers, other.allProbers)
}

// GroupedByDomain reports whether only the gateways of a failure domain form a
// group; see Peers.GroupedByDomain.
func (a Assignment) GroupedByDomain() bool {
	return a.byDomain
}

// SendsReports reports whether this gateway sends load reports to its group: if
// the region is grouped by failure domain, only probers do.
func (a Assignment) SendsReports() bool {
	return !a.byDomain || a.isProber(a.self)
}

// isProber reports whether a gateway probes for its group.
func (a Assignment) isProber(gateway Gateway) bool {
	return slices.ContainsFunc(a.allProbers, func(g Gateway) bool { return g.ID == gateway.ID })
}
