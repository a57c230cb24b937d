package gossip

import (
	"cmp"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"balsamhill/pkg/feed"
)

const (
	// minLife is how long a peer counts as alive after its last message at least:
	// a machine with a processor quota may stand still for a tenth of a second.
	minLife = 600 * time.Millisecond
	// livesPerInterval is how many of its intervals a peer may miss.
	livesPerInterval = 4
	// forgetAfter is how long the address of a silent peer is kept, and
	// forgetFarAfter that of one in another failure domain of a large region, which
	// only its relay hears. Their number decides the share of the retry budget.
	forgetAfter    = 30 * time.Second
	forgetFarAfter = time.Hour
	// silentInterval is how often a silent peer gets a message.
	silentInterval = time.Second
	// wideRegion is the number of gateways of a region up to which all of them
	// talk to each other. In larger regions only the gateways of a failure domain
	// do, because messages grow with the square of their number.
	wideRegion = 16
)

// contact is what is known of any other gateway.
type contact struct {
	gateway Gateway
	// heardAt and sequence are the time and the number of its last message; heardAt
	// is 0 if there was none.
	heardAt  int64
	sequence uint64
	// sentAt is when it last got a message.
	sentAt int64
	// stopping and storeReachable are what its last message said, marks and markedAt
	// what the last one that brought marks said of the tables.
	stopping       bool
	storeReachable bool
	marks          []feed.TableState
	markedAt       int64
}

// hear takes a message of the gateway in and reports whether it is newer than the
// last one. Messages of an earlier or unknown incarnation are not.
func (c *contact) hear(now int64, message *Message) bool {
	if message.Incarnation != c.gateway.Incarnation || c.heardAt != 0 && message.Sequence <= c.sequence {
		return false
	}
	c.heardAt, c.sequence = now, message.Sequence
	c.stopping = message.Stopping
	c.storeReachable = message.StoreReachable
	if len(message.TableStates) > 0 {
		c.marks, c.markedAt = message.TableStates, now
	}
	return true
}

// peer is what is known of another gateway of the region.
type peer struct {
	contact
	places   places
	interval time.Duration
}

// Peers is the table of the other gateways of the region, and of a few of the
// other regions. It is not safe for concurrent use.
type Peers struct {
	self    Gateway
	places  places
	peers   map[uint64]*peer
	remotes map[uint64]*remote
}

// NewPeers returns a table without peers.
func NewPeers(self Gateway) *Peers {
	return &Peers{self: self, places: placesOf(self), peers: make(map[uint64]*peer), remotes: make(map[uint64]*remote)}
}

// AddGateway takes in a gateway that a seed or the store named. It gets messages, but
// counts as alive only after its own message.
func (p *Peers) AddGateway(now int64, gateway Gateway) {
	p.learn(now, gateway, true)
}

func (p *Peers) learn(now int64, gateway Gateway, named bool) {
	if gateway.ID == p.self.ID {
		return
	}
	if gateway.Region != p.self.Region {
		p.learnRemote(now, gateway, named)
		return
	}
	key := KeyOf(gateway.ID)
	known := p.peers[key]
	if known == nil || gateway.Incarnation > known.gateway.Incarnation {
		p.peers[key] = &peer{contact: contact{gateway: gateway, markedAt: now}, places: placesOf(gateway)}
	}
}

// ApplyMessage takes a message in and reports whether it is newer than the last one of
// its sender. joined says that the sender was not alive before. Messages of
// unknown senders do not count until one brings an introduction.
func (p *Peers) ApplyMessage(now int64, message *Message) (newer, joined bool) {
	if introduction := message.Sender; introduction != nil {
		p.learn(now, *introduction, true)
	}
	for _, other := range message.KnownGateways {
		p.learn(now, other, false)
	}
	known := p.peers[message.Key]
	if known == nil {
		return p.hearRemote(now, message), false
	}
	joined = !known.alive(now)
	if !known.hear(now, message) {
		return false, false
	}
	known.interval = message.Interval
	return true, joined
}

func (p *peer) alive(now int64) bool {
	return p.heardAt != 0 && now-p.heardAt <= int64(max(minLife, livesPerInterval*p.interval))
}

// works reports whether the peer can work for others.
func (p *peer) works(now int64) bool {
	return p.alive(now) && !p.stopping
}

// KnownCount returns the number of gateways of the region that this one knows of, with
// itself.
func (p *Peers) KnownCount() int {
	return len(p.peers) + 1
}

// GroupedByDomain reports whether only the gateways of a failure domain talk to each other.
func (p *Peers) GroupedByDomain() bool {
	return p.KnownCount() > wideRegion
}

// near reports whether a gateway is one that this one talks to.
func (p *Peers) near(gateway Gateway, wide bool) bool {
	return !wide || gateway.FailureDomain == p.self.FailureDomain
}

// Targets returns the addresses that get the next message: all live peers, and
// now and then silent ones, which may have lost contact for a while.
func (p *Peers) Targets(now int64) []string {
	return p.targets(now, func(Gateway) bool { return true })
}

// ProberTargets returns those of Targets that measure for this gateway. In a
// large region the others need to hear from it only now and then.
func (p *Peers) ProberTargets(now int64, assignment *Assignment) []string {
	return p.targets(now, assignment.measuring)
}

func (p *Peers) targets(now int64, chosen func(Gateway) bool) []string {
	var addresses []string
	wide := p.GroupedByDomain()
	for key, peer := range p.peers {
		near := p.near(peer.gateway, wide)
		if now-max(peer.heardAt, peer.markedAt) > int64(keptFor(near)) {
			delete(p.peers, key)
			continue
		}
		waiting := !peer.alive(now) && peer.sentAt != 0 && now-peer.sentAt < int64(silentInterval)
		if !near || waiting || !chosen(peer.gateway) {
			continue
		}
		peer.sentAt = now
		addresses = append(addresses, peer.gateway.Address)
	}
	slices.Sort(addresses)
	return addresses
}

func keptFor(near bool) time.Duration {
	if near {
		return forgetAfter
	}
	return forgetFarAfter
}

// AliveCount returns how many peers are alive that this gateway talks to.
func (p *Peers) AliveCount(now int64) int {
	count := 0
	wide := p.GroupedByDomain()
	for _, peer := range p.peers {
		if peer.alive(now) && p.near(peer.gateway, wide) {
			count++
		}
	}
	return count
}

// SampleAlive returns up to n live peers, chosen at random, to tell others of.
func (p *Peers) SampleAlive(now int64, n int, random *rand.Rand) []Gateway {
	var alive []Gateway
	for _, key := range slices.Sorted(maps.Keys(p.peers)) {
		if p.peers[key].alive(now) {
			alive = append(alive, p.peers[key].gateway)
		}
	}
	random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}

// AlivePeers returns the live peers.
func (p *Peers) AlivePeers(now int64) []Gateway {
	var alive []Gateway
	for _, peer := range p.peers {
		if peer.alive(now) {
			alive = append(alive, peer.gateway)
		}
	}
	return alive
}

// IsStoreReader reports whether this gateway reads the store for those that it talks
// to: it has the first place among the ones that are alive and reach the store.
func (p *Peers) IsStoreReader(now int64, storeReachable bool) bool {
	wide := p.GroupedByDomain()
	anyReaches := storeReachable
	for _, peer := range p.peers {
		if peer.works(now) && peer.storeReachable && p.near(peer.gateway, wide) {
			anyReaches = true
		}
	}
	if anyReaches && !storeReachable {
		return false
	}
	for _, peer := range p.peers {
		if !peer.works(now) || !p.near(peer.gateway, wide) || (anyReaches && !peer.storeReachable) {
			continue
		}
		if peer.places.first.before(p.places.first) {
			return false
		}
	}
	return true
}

// IsInitialReader reports whether this gateway is the one to read the store before
// any messages were exchanged, judged by the peers that the store named.
func (p *Peers) IsInitialReader() bool {
	wide := p.GroupedByDomain()
	for _, peer := range p.peers {
		if p.near(peer.gateway, wide) && peer.places.first.before(p.places.first) {
			return false
		}
	}
	return true
}

// FreshestTable returns the live gateway, of this group or the relay of another one, that
// holds the newest change of a table, given by its index in feed.Tables, and its
// mark with the age at this moment. Of several it prefers strong machines: a whole
// table for many gateways fills the link of a weak one.
func (p *Peers) FreshestTable(now int64, table int) (address string, mark feed.TableState, ok bool) {
	var best Gateway
	for c := range p.liveContacts(now) {
		candidate, known := c.mark(now, table)
		if !known {
			continue
		}
		better := cmp.Or(
			cmp.Compare(candidate.LastChange, mark.LastChange),
			compareStrong(c.gateway, best),
			cmp.Compare(candidate.AsOf, mark.AsOf),
			cmp.Compare(best.ID, c.gateway.ID),
		) > 0
		if !ok || better {
			address, mark, ok, best = c.gateway.Address, candidate, true, c.gateway
		}
	}
	return address, mark, ok
}

// liveContacts returns the live peers and the gateways of other groups that were
// heard from lately.
func (p *Peers) liveContacts(now int64) iter.Seq[*contact] {
	return func(yield func(*contact) bool) {
		for _, peer := range p.peers {
			if peer.alive(now) && !yield(&peer.contact) {
				return
			}
		}
		for _, r := range p.remotes {
			if r.heardLately(now) && !yield(&r.contact) {
				return
			}
		}
	}
}

// mark returns what the gateway holds of a table, with the age at this moment.
func (c *contact) mark(now int64, table int) (feed.TableState, bool) {
	if table >= len(c.marks) || c.marks[table].AsOf == 0 {
		return feed.TableState{}, false
	}
	mark := c.marks[table]
	mark.Age += now - c.markedAt
	return mark, true
}

// compareStrong returns 1 if only a is strong, -1 if only b is, else 0.
func compareStrong(a, b Gateway) int {
	switch {
	case a.HighCapacity == b.HighCapacity:
		return 0
	case a.HighCapacity:
		return 1
	default:
		return -1
	}
}
