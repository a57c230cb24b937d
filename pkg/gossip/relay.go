package gossip

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// mostRemotes bounds the gateways of each other region that are remembered.
	mostRemotes = 8
	// remoteLife is how long the relay of another region counts as alive after its
	// last message. Messages between regions come every few tens of milliseconds.
	remoteLife = time.Second
	// searchFanout is how many gateways of a region get a message at a time while
	// its relay is not known.
	searchFanout = 2
)

// remote is what is known of a gateway of another region.
type remote struct {
	gateway  Gateway
	sequence uint64
	// heardAt is the time of its last message, 0 if none.
	heardAt int64
	// learntAt is when another source named it.
	learntAt int64
	sentAt   int64
	// named says that it is known from the gateway itself, a seed or the store and
	// not only from other gateways, which might pass it on to each other for ever.
	named bool
}

func (r *remote) lastSign() int64 {
	return max(r.heardAt, r.learntAt)
}

// learnRemote takes in a gateway of another region. The relay of this region
// finds the other region's relay through those it knows.
func (p *Peers) learnRemote(now int64, gateway Gateway, named bool) {
	key := KeyOf(gateway.ID)
	known := p.remotes[key]
	if known != nil && known.gateway.Incarnation >= gateway.Incarnation {
		if named {
			known.learntAt, known.named = now, true
		}
		return
	}
	if known == nil && !p.roomForRemote(now, gateway.Region) {
		return
	}
	p.remotes[key] = &remote{gateway: gateway, learntAt: now, named: named}
}

// roomForRemote forgets gateways without a sign of life and reports whether one
// more of a region may be remembered.
func (p *Peers) roomForRemote(now int64, region string) bool {
	count := 0
	for key, r := range p.remotes {
		switch {
		case now-r.lastSign() > int64(forgetAfter):
			delete(p.remotes, key)
		case r.gateway.Region == region:
			count++
		}
	}
	return count < mostRemotes
}

// hearRemote takes in a message from another region and reports whether it is
// newer than the last one of its sender.
func (p *Peers) hearRemote(now int64, message *Message) bool {
	known := p.remotes[message.Key]
	if known == nil || message.Incarnation != known.gateway.Incarnation {
		return false
	}
	if known.heardAt != 0 && message.Sequence <= known.sequence {
		return false
	}
	known.heardAt, known.sequence, known.named = now, message.Sequence, true
	return true
}

// IsRelay reports whether this gateway exchanges load reports with the other
// regions for its own: it has the first place among those that are alive. Large
// regions have enough servers of their own and do without.
func (p *Peers) IsRelay(now int64) bool {
	if p.Wide() {
		return false
	}
	own := placeOf("relay", p.self)
	for _, peer := range p.peers {
		if peer.works(now) && placeOf("relay", peer.gateway).before(own) {
			return false
		}
	}
	return true
}

// RelayTargets returns the addresses in other regions that get this relay's next
// message: the relay of each region, which is the gateway heard from last, or now
// and then a few known gateways of the region until one answers.
func (p *Peers) RelayTargets(now int64) []string {
	byRegion := make(map[string][]*remote)
	for _, key := range slices.Sorted(maps.Keys(p.remotes)) {
		r := p.remotes[key]
		byRegion[r.gateway.Region] = append(byRegion[r.gateway.Region], r)
	}
	var addresses []string
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		addresses = append(addresses, targetsIn(now, byRegion[region])...)
	}
	return addresses
}

func targetsIn(now int64, remotes []*remote) []string {
	latest := slices.MaxFunc(remotes, func(a, b *remote) int { return cmp.Compare(a.heardAt, b.heardAt) })
	if latest.heardAt != 0 && now-latest.heardAt <= int64(remoteLife) {
		return []string{latest.gateway.Address}
	}
	slices.SortStableFunc(remotes, func(a, b *remote) int { return cmp.Compare(a.sentAt, b.sentAt) })
	var addresses []string
	for _, r := range remotes[:min(searchFanout, len(remotes))] {
		if r.sentAt != 0 && now-r.sentAt < int64(silentInterval) {
			continue
		}
		r.sentAt = now
		addresses = append(addresses, r.gateway.Address)
	}
	return addresses
}

// SomeRemote returns a gateway of another region for the other gateways to know,
// so that each one can become the relay; false if none is known or needed.
func (p *Peers) SomeRemote(random *rand.Rand) (Gateway, bool) {
	if p.Wide() {
		return Gateway{}, false
	}
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
