package gossip

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxRemotes bounds the remembered gateways of each failure domain of other
	// regions.
	maxRemotes = 8
	// remoteTimeout is how long the relay of another group counts as alive after
	// its last message, several times the interval of such messages.
	remoteTimeout = time.Second
	// standInDelay is how long no gateway of another group must have been heard before
	// this group coordinates the limits of its servers.
	standInDelay = 5 * time.Second
	// discoveryFanout is how many gateways of a group get a message at a time
	// while its relay is not known.
	discoveryFanout = 2
)

// group identifies the gateways that exchange messages: those of a region or, if
// the region is grouped by failure domain, those of a failure domain.
type group struct {
	region, failureDomain string
}

func groupOf(gateway Gateway, byDomain bool) group {
	if byDomain {
		return group{gateway.Region, gateway.FailureDomain}
	}
	return group{region: gateway.Region}
}

// remote is a gateway of another region.
type remote struct {
	contact
	// listedAt is when the gateway was added, or last announced by itself, a seed or
	// the store.
	listedAt int64
	// authoritative says that the gateway itself, a seed or the store announced it.
	// Gateways that only other gateways list are not forwarded, because gateways
	// could otherwise repeat them to each other forever.
	authoritative bool
}

func (r *remote) lastSeenAt() int64 {
	return max(r.lastMessageAt, r.listedAt)
}

// addRemote adds a gateway of another region. The relay of this group discovers
// the relays of that region through the known gateways there.
func (p *Peers) addRemote(now int64, gateway Gateway, authoritative bool) {
	key := KeyOf(gateway.ID)
	existing := p.remotes[key]
	if existing != nil && existing.gateway.Incarnation >= gateway.Incarnation {
		if authoritative {
			existing.listedAt, existing.authoritative = now, true
		}
		return
	}
	if existing == nil && !p.makeRoomForRemote(now, gateway, authoritative) {
		return
	}
	p.remotes[key] = &remote{contact: contact{gateway: gateway}, listedAt: now, authoritative: authoritative}
}

// makeRoomForRemote removes gateways not seen within peerTTL and reports whether
// one more of a failure domain may be added. An authoritative one may replace the
// one that has been unresponsive longest, because it may be the relay of its
// group.
func (p *Peers) makeRoomForRemote(now int64, gateway Gateway, authoritative bool) bool {
	count := 0
	var stalest *remote
	for key, r := range p.remotes {
		switch {
		case now-r.lastSeenAt() > int64(peerTTL):
			delete(p.remotes, key)
		case groupOf(r.gateway, true) == groupOf(gateway, true):
			count++
			if !r.relayAlive(now) && (stalest == nil || r.lastSeenAt() < stalest.lastSeenAt()) {
				stalest = r
			}
		}
	}
	if count >= maxRemotes && authoritative && stalest != nil {
		delete(p.remotes, KeyOf(stalest.gateway.ID))
		count--
	}
	return count < maxRemotes
}

// applyRemoteMessage records a message from another region and reports whether it
// is newer than the last one of its sender.
func (p *Peers) applyRemoteMessage(now int64, message *Message) bool {
	existing := p.remotes[message.Key]
	if existing == nil || !existing.recordMessage(now, message) {
		return false
	}
	existing.authoritative = true
	return true
}

// relayAlive reports whether the gateway, a relay of another group, sent a message
// within remoteTimeout. Unlike the timeout of peer.alive, which applies to gateways
// of this region, it does not depend on Message.Interval.
func (c *contact) relayAlive(now int64) bool {
	return c.lastMessageAt != 0 && now-c.lastMessageAt <= int64(remoteTimeout)
}

// before orders groups by name, so that one of them reads the store for all.
func (g group) before(other group) bool {
	return cmp.Or(cmp.Compare(g.region, other.region), cmp.Compare(g.failureDomain, other.failureDomain)) < 0
}

// OtherGroupReads reports whether another group reads the store for this one: its
// relay is alive, reaches the store and holds all tables, none of them older than
// limit. The first group by name reads for all. Only relays receive
// messages of other groups, so a store reader that is not the relay reads the
// store itself.
func (p *Peers) OtherGroupReads(now int64, tables int, limit time.Duration) bool {
	byDomain := p.GroupedByDomain()
	own := groupOf(p.self, byDomain)
	for c := range p.aliveContacts(now) {
		if !groupOf(c.gateway, byDomain).before(own) || !c.relayAlive(now) || c.stopping || !c.storeReachable {
			continue
		}
		if c.holdsAllTables(now, tables, limit) {
			return true
		}
	}
	return false
}

func (c *contact) holdsAllTables(now int64, tables int, limit time.Duration) bool {
	for table := range tables {
		tableState, held := c.tableState(now, table)
		if !held || tableState.Age > int64(limit) {
			return false
		}
	}
	return true
}

// IsRelay reports whether this gateway exchanges load reports with the other
// groups for its own: it ranks first among the gateways that are alive.
func (p *Peers) IsRelay(now int64) bool {
	byDomain := p.GroupedByDomain()
	for _, peer := range p.peers {
		if peer.active(now) && p.inGroup(peer.gateway, byDomain) && peer.ranks.leader.before(p.ranks.leader) {
			return false
		}
	}
	return true
}

// RelayTarget is a gateway that gets this relay's next message.
type RelayTarget struct {
	Address string
	Region  string
}

// NextRelayTargets returns the gateways of other groups that get this relay's next
// message. For each group, this is the group's relay: the gateway that sent the last
// message. While none is alive, a few known gateways of the group get a message at
// retryInterval, until one responds; the times of these messages are recorded.
func (p *Peers) NextRelayTargets(now int64) []RelayTarget {
	byDomain := p.GroupedByDomain()
	contacts := make(map[group][]*contact)
	for _, key := range slices.Sorted(maps.Keys(p.remotes)) {
		r := p.remotes[key]
		g := groupOf(r.gateway, byDomain)
		contacts[g] = append(contacts[g], &r.contact)
	}
	for _, key := range slices.Sorted(maps.Keys(p.peers)) {
		peer := p.peers[key]
		if g := groupOf(peer.gateway, byDomain); g != groupOf(p.self, byDomain) {
			contacts[g] = append(contacts[g], &peer.contact)
		}
	}
	var targets []RelayTarget
	for _, members := range contacts {
		targets = append(targets, relayTargetsOf(now, members)...)
	}
	slices.SortFunc(targets, func(a, b RelayTarget) int { return cmp.Compare(a.Address, b.Address) })
	return targets
}

func relayTargetsOf(now int64, members []*contact) []RelayTarget {
	latest := slices.MaxFunc(members, func(a, b *contact) int { return cmp.Compare(a.lastMessageAt, b.lastMessageAt) })
	if latest.relayAlive(now) {
		return []RelayTarget{{latest.gateway.Address, latest.gateway.Region}}
	}
	slices.SortStableFunc(members, func(a, b *contact) int { return cmp.Compare(a.lastSentAt, b.lastSentAt) })
	var targets []RelayTarget
	for _, c := range members[:min(discoveryFanout, len(members))] {
		if c.lastSentAt != 0 && now-c.lastSentAt < int64(retryInterval) {
			continue
		}
		c.lastSentAt = now
		targets = append(targets, RelayTarget{c.gateway.Address, c.gateway.Region})
	}
	return targets
}

// SampleRemote returns a random gateway of another region, to be sent as one of
// KnownGateways, so that each gateway of the group can become the relay; false if
// none is known.
func (p *Peers) SampleRemote(random *rand.Rand) (Gateway, bool) {
	var authoritative []Gateway
	for _, key := range slices.Sorted(maps.Keys(p.remotes)) {
		if p.remotes[key].authoritative {
			authoritative = append(authoritative, p.remotes[key].gateway)
		}
	}
	if len(authoritative) == 0 {
		return Gateway{}, false
	}
	return authoritative[random.IntN(len(authoritative))], true
}
