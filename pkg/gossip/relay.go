package gossip

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// mostRemotes bounds the gateways of each other group that are remembered.
	mostRemotes = 8
	// remoteLife is how long the relay of another group counts as alive after its
	// last message, several times the interval of such messages.
	remoteLife = time.Second
	// searchFanout is how many gateways of a group get a message at a time while
	// its relay is not known.
	searchFanout = 2
)

// group names the gateways that talk to each other: those of a region or, if the
// region is large, of a failure domain.
type group struct {
	region, failureDomain string
}

func groupOf(gateway Gateway, wide bool) group {
	if wide {
		return group{gateway.Region, gateway.FailureDomain}
	}
	return group{region: gateway.Region}
}

// remote is what is known of a gateway of another region.
type remote struct {
	contact
	// learntAt is when another source named it.
	learntAt int64
	// named says that it is known from the gateway itself, a seed or the store and
	// not only from other gateways, which might pass it on to each other for ever.
	named bool
}

func (r *remote) lastSign() int64 {
	return max(r.heardAt, r.learntAt)
}

// learnRemote takes in a gateway of another region. The relay of this group finds
// the relays of that region through those it knows.
func (p *Peers) learnRemote(now int64, gateway Gateway, named bool) {
	key := KeyOf(gateway.ID)
	known := p.remotes[key]
	if known != nil && known.gateway.Incarnation >= gateway.Incarnation {
		if named {
			known.learntAt, known.named = now, true
		}
		return
	}
	if known == nil && !p.roomForRemote(now, gateway, named) {
		return
	}
	p.remotes[key] = &remote{contact: contact{gateway: gateway}, learntAt: now, named: named}
}

// roomForRemote forgets gateways without a sign of life and reports whether one
// more of a failure domain may be remembered. One that is named may take the place
// of the one that was silent longest, because it may be the relay of its group.
func (p *Peers) roomForRemote(now int64, gateway Gateway, named bool) bool {
	count := 0
	var silent *remote
	for key, r := range p.remotes {
		switch {
		case now-r.lastSign() > int64(forgetAfter):
			delete(p.remotes, key)
		case groupOf(r.gateway, true) == groupOf(gateway, true):
			count++
			if !r.heardLately(now) && (silent == nil || r.lastSign() < silent.lastSign()) {
				silent = r
			}
		}
	}
	if count >= mostRemotes && named && silent != nil {
		delete(p.remotes, KeyOf(silent.gateway.ID))
		count--
	}
	return count < mostRemotes
}

// hearRemote takes in a message from another region and reports whether it is
// newer than the last one of its sender.
func (p *Peers) hearRemote(now int64, message *Message) bool {
	known := p.remotes[message.Key]
	if known == nil || !known.hear(now, message) {
		return false
	}
	known.named = true
	return true
}

// heardLately reports whether the gateway, a relay of another group, is alive.
func (c *contact) heardLately(now int64) bool {
	return c.heardAt != 0 && now-c.heardAt <= int64(remoteLife)
}

// before orders groups, so that one of them reads the store for all.
func (g group) before(other group) bool {
	return cmp.Or(cmp.Compare(g.region, other.region), cmp.Compare(g.failureDomain, other.failureDomain)) < 0
}

// OtherGroupReads reports whether another group reads the store for this one: its relay
// is alive, reaches the store and holds all tables, none of them older than limit.
// Of all groups the first one in their order reads. Only relays hear those of other
// groups, so a reader that is not the relay reads the store itself.
func (p *Peers) OtherGroupReads(now int64, tables int, limit time.Duration) bool {
	wide := p.GroupedByDomain()
	own := groupOf(p.self, wide)
	for c := range p.liveContacts(now) {
		if !groupOf(c.gateway, wide).before(own) || !c.heardLately(now) || c.stopping || !c.storeReachable {
			continue
		}
		if c.holdsAll(now, tables, limit) {
			return true
		}
	}
	return false
}

func (c *contact) holdsAll(now int64, tables int, limit time.Duration) bool {
	for table := range tables {
		mark, known := c.mark(now, table)
		if !known || mark.Age > int64(limit) {
			return false
		}
	}
	return true
}

// IsRelay reports whether this gateway exchanges load reports with the other
// groups for its own: it has the first place among those that are alive.
func (p *Peers) IsRelay(now int64) bool {
	wide := p.GroupedByDomain()
	for _, peer := range p.peers {
		if peer.works(now) && p.near(peer.gateway, wide) && peer.places.first.before(p.places.first) {
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

// RelayTargets returns the gateways of other groups that get this relay's next
// message: the relay of each group, which is the gateway heard from last, or now
// and then a few known gateways of the group until one answers.
func (p *Peers) RelayTargets(now int64) []RelayTarget {
	wide := p.GroupedByDomain()
	contacts := make(map[group][]*contact)
	for _, key := range slices.Sorted(maps.Keys(p.remotes)) {
		r := p.remotes[key]
		g := groupOf(r.gateway, wide)
		contacts[g] = append(contacts[g], &r.contact)
	}
	for _, key := range slices.Sorted(maps.Keys(p.peers)) {
		peer := p.peers[key]
		if g := groupOf(peer.gateway, wide); g != groupOf(p.self, wide) {
			contacts[g] = append(contacts[g], &peer.contact)
		}
	}
	var targets []RelayTarget
	for _, known := range contacts {
		targets = append(targets, targetsAmong(now, known)...)
	}
	slices.SortFunc(targets, func(a, b RelayTarget) int { return cmp.Compare(a.Address, b.Address) })
	return targets
}

func targetsAmong(now int64, known []*contact) []RelayTarget {
	latest := slices.MaxFunc(known, func(a, b *contact) int { return cmp.Compare(a.heardAt, b.heardAt) })
	if latest.heardLately(now) {
		return []RelayTarget{{latest.gateway.Address, latest.gateway.Region}}
	}
	slices.SortStableFunc(known, func(a, b *contact) int { return cmp.Compare(a.sentAt, b.sentAt) })
	var targets []RelayTarget
	for _, c := range known[:min(searchFanout, len(known))] {
		if c.sentAt != 0 && now-c.sentAt < int64(silentInterval) {
			continue
		}
		c.sentAt = now
		targets = append(targets, RelayTarget{c.gateway.Address, c.gateway.Region})
	}
	return targets
}

// SampleRemote returns a gateway of another region for the other gateways to know,
// so that each one can become the relay; false if none is known.
func (p *Peers) SampleRemote(random *rand.Rand) (Gateway, bool) {
	var named []Gateway
	for _, key := range slices.Sorted(maps.Keys(p.remotes)) {
		if p.remotes[key].named {
			named = append(named, p.remotes[key].gateway)
		}
	}
	if len(named) == 0 {
		return Gateway{}, false
	}
	return named[random.IntN(len(named))], true
}
