package gossip

import "balsamhill/pkg/serverlimit"

// LimitMembers returns the live gateways of the group that keep limits, without this
// one, and counts the gateways of the group, this one included: those that are live,
// and those that are known and have not announced their stop.
func (p *Peers) LimitMembers(now int64, assignment *Assignment) (members []serverlimit.Member, live, known int) {
	byDomain := p.GroupedByDomain()
	live, known = 1, 1
	for key, peer := range p.peers {
		if !p.inGroup(peer.gateway, byDomain) || peer.stopping || now-max(peer.lastMessageAt, peer.tableStatesAt) > int64(peerTTL) {
			continue
		}
		known++
		if !peer.alive(now) {
			continue
		}
		live++
		if !peer.keepsLimits || peer.isolated {
			// An isolated gateway sends nothing to servers, so that it needs no share.
			continue
		}
		members = append(members, serverlimit.Member{
			Key:           key,
			FailureDomain: peer.gateway.FailureDomain,
			MayCoordinate: assignment.isProber(peer.gateway),
			Demand:        demandsByService(peer.demands),
		})
	}
	return members, live, known
}

// LimitMember describes this gateway; see LimitMembers.
func (p *Peers) LimitMember(assignment *Assignment, demands []Demand) serverlimit.Member {
	return serverlimit.Member{
		Key:           KeyOf(p.self.ID),
		FailureDomain: p.self.FailureDomain,
		MayCoordinate: assignment.isProber(p.self),
		Demand:        demandsByService(demands),
	}
}

func demandsByService(demands []Demand) map[uint32]float64 {
	byService := make(map[uint32]float64, len(demands))
	for _, demand := range demands {
		byService[demand.Service] = demand.Rate
	}
	return byService
}

// LimitCoverage returns which gateways coordinate the limits of the servers of a failure
// domain: those of its group or, if none of them is live, the relay of the first live
// group by name.
func (p *Peers) LimitCoverage(now int64, region, failureDomain string) serverlimit.Coverage {
	byDomain := p.GroupedByDomain()
	own := groupOf(p.self, byDomain)
	target := groupOf(Gateway{Region: region, FailureDomain: failureDomain}, byDomain)
	if target == own {
		return serverlimit.OwnGroup
	}
	if !p.IsRelay(now) || p.heardLately(now, target, byDomain) {
		return serverlimit.OtherGroup
	}
	for c := range p.aliveContacts(now) {
		g := groupOf(c.gateway, byDomain)
		if g == target || g.before(own) {
			return serverlimit.OtherGroup
		}
	}
	return serverlimit.StandIn
}

// heardLately reports whether a gateway of a group sent a message or was listed within
// standInDelay.
func (p *Peers) heardLately(now int64, target group, byDomain bool) bool {
	for _, r := range p.remotes {
		if groupOf(r.gateway, byDomain) == target && now-r.lastSeenAt() <= int64(standInDelay) {
			return true
		}
	}
	for _, peer := range p.peers {
		if groupOf(peer.gateway, byDomain) == target && now-max(peer.lastMessageAt, peer.tableStatesAt) <= int64(standInDelay) {
			return true
		}
	}
	return false
}
