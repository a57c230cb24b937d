package gossip

import (
	"cmp"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"balsamhill/pkg/delay"
	"balsamhill/pkg/feed"
)

const (
	// minPeerTimeout is the minimum time for which a peer counts as alive after
	// its last message: a VM with a CPU quota may stall for a tenth of a second.
	minPeerTimeout = 600 * time.Millisecond
	// timeoutIntervals is the number of periods of Message.Interval without a message
	// after which a peer no longer counts as alive.
	timeoutIntervals = 4
	// peerTTL is how long the address of an unresponsive peer is kept, and
	// otherDomainPeerTTL that of a peer in another failure domain of a region
	// that is grouped by failure domain, from which only relays receive messages.
	// The number of peers determines this gateway's share of the retry budget.
	peerTTL            = 30 * time.Second
	otherDomainPeerTTL = time.Hour
	// retryInterval is the time between messages to an unresponsive peer.
	retryInterval = time.Second
	// maxFullMesh is the number of gateways of a region up to which all of them
	// exchange messages. In larger regions only the gateways of a failure domain
	// do, because the number of messages grows with the square of the number of
	// gateways. Package membership, which package gateway uses, connects the gateways
	// of larger regions in a ring instead.
	maxFullMesh = 16
)

// contact holds the content of the last messages of another gateway of any region.
type contact struct {
	gateway Gateway
	// lastMessageAt and sequence are the time and the sequence number of its last
	// message; lastMessageAt is 0 if there was none.
	lastMessageAt int64
	sequence      uint64
	// lastSentAt is when this gateway last sent it a message.
	lastSentAt int64
	// stopping, isolated and storeReachable are from its last message, tableStates and
	// tableStatesAt from its last message with table states. For a peer,
	// tableStatesAt starts as the time at which the peer was added, so that a peer
	// that never sends a message is kept for its TTL.
	stopping       bool
	isolated       bool
	storeReachable bool
	tableStates    []feed.TableState
	tableStatesAt  int64
	delay          delay.Estimate
	// keepsLimits is from the last message, demands from the last one with demands.
	keepsLimits bool
	demands     []Demand
}

// recordMessage records a message of the gateway and reports whether it is newer
// than the last one. A message of another incarnation than the known one is not.
// It adds the delay of the message to the ages that it contains.
func (c *contact) recordMessage(now int64, message *Message) bool {
	if message.Incarnation != c.gateway.Incarnation || c.lastMessageAt != 0 && message.Sequence <= c.sequence {
		return false
	}
	c.lastMessageAt, c.sequence = now, message.Sequence
	if message.SentAt != 0 {
		message.addAge(c.delay.Record(now, message.SentAt))
	}
	c.stopping = message.Stopping
	c.isolated = message.Isolated
	c.storeReachable = message.StoreReachable
	c.keepsLimits = message.KeepsLimits
	if message.Demands != nil {
		c.demands = message.Demands
	}
	if len(message.TableStates) > 0 {
		c.tableStates, c.tableStatesAt = message.TableStates, now
	}
	return true
}

// peer is another gateway of the region.
type peer struct {
	contact
	ranks    ranks
	interval time.Duration
}

// Peers is the table of the other gateways of the region, and of a few gateways
// of the other regions. It is not safe for concurrent use.
type Peers struct {
	self  Gateway
	ranks ranks
	// isolated says that this gateway reaches no server.
	isolated bool
	peers    map[uint64]*peer
	remotes  map[uint64]*remote
}

// NewPeers returns a table without peers.
func NewPeers(self Gateway) *Peers {
	return &Peers{self: self, ranks: ranksOf(self), peers: make(map[uint64]*peer), remotes: make(map[uint64]*remote)}
}

// AddGateway adds a gateway that a seed or the store listed. Messages are sent to
// it at once, but it counts as alive only after its own first message.
func (p *Peers) AddGateway(now int64, gateway Gateway) {
	p.addGateway(now, gateway, true)
}

func (p *Peers) addGateway(now int64, gateway Gateway, authoritative bool) {
	if gateway.ID == p.self.ID {
		return
	}
	if gateway.Region != p.self.Region {
		p.addRemote(now, gateway, authoritative)
		return
	}
	key := KeyOf(gateway.ID)
	existing := p.peers[key]
	if existing == nil || gateway.Incarnation > existing.gateway.Incarnation {
		p.peers[key] = &peer{contact: contact{gateway: gateway, tableStatesAt: now}, ranks: ranksOf(gateway)}
	}
}

// ApplyMessage records a message and reports whether it is newer than the last
// one of its sender. joined says that the sender was not alive before. Messages
// of unknown senders are ignored until one contains a sender description. The ages
// in a newer message are raised by the time that it was delayed.
func (p *Peers) ApplyMessage(now int64, message *Message) (newer, joined bool) {
	if sender := message.Sender; sender != nil {
		p.addGateway(now, *sender, true)
	}
	for _, other := range message.KnownGateways {
		p.addGateway(now, other, false)
	}
	existing := p.peers[message.Key]
	if existing == nil {
		return p.applyRemoteMessage(now, message), false
	}
	joined = !existing.alive(now)
	if !existing.recordMessage(now, message) {
		return false, false
	}
	existing.interval = message.Interval
	return true, joined
}

// SetIsolated records whether this gateway reaches no server.
func (p *Peers) SetIsolated(isolated bool) {
	p.isolated = isolated
}

// IsIsolated reports whether another gateway reaches no server, according to its last message.
func (p *Peers) IsIsolated(key uint64) bool {
	if existing := p.peers[key]; existing != nil {
		return existing.isolated
	}
	existing := p.remotes[key]
	return existing != nil && existing.isolated
}

// HandoffCandidate is a gateway that may reach servers.
type HandoffCandidate struct {
	Gateway Gateway
	// Heard says that it sent a message lately.
	Heard bool
}

// HandoffCandidates returns the gateways that may take calls of this one: all but those of older
// builds, those whose last messages say that they stop or reach no server, and those that are silent
// although their messages should arrive here.
func (p *Peers) HandoffCandidates(now int64) []HandoffCandidate {
	var candidates []HandoffCandidate
	byDomain := p.GroupedByDomain()
	for _, peer := range p.peers {
		heard := peer.alive(now)
		if heard || !p.inGroup(peer.gateway, byDomain) {
			candidates = peer.appendHandoff(now, candidates, heard)
		}
	}
	for _, r := range p.remotes {
		candidates = r.appendHandoff(now, candidates, r.relayAlive(now))
	}
	return candidates
}

// appendHandoff appends the gateway unless it takes no calls, or said so within peerTTL.
func (c *contact) appendHandoff(now int64, candidates []HandoffCandidate, heard bool) []HandoffCandidate {
	if !c.gateway.TakesHandoffs || (c.stopping || c.isolated) && now-c.lastMessageAt <= int64(peerTTL) {
		return candidates
	}
	return append(candidates, HandoffCandidate{Gateway: c.gateway, Heard: heard})
}

// IDOf returns the ID of a known gateway by its key, empty if it is unknown.
func (p *Peers) IDOf(key uint64) string {
	if existing := p.peers[key]; existing != nil {
		return existing.gateway.ID
	}
	if existing := p.remotes[key]; existing != nil {
		return existing.gateway.ID
	}
	return ""
}

func (p *peer) alive(now int64) bool {
	return p.lastMessageAt != 0 && now-p.lastMessageAt <= int64(max(minPeerTimeout, timeoutIntervals*p.interval))
}

// active reports whether the peer is alive and not shutting down, so that it can
// work for its group.
func (p *peer) active(now int64) bool {
	return p.alive(now) && !p.stopping
}

// KnownInRegion returns the number of known gateways of the region, this one
// included.
func (p *Peers) KnownInRegion() int {
	return len(p.peers) + 1
}

// GroupedByDomain reports whether only the gateways of a failure domain form a
// group and exchange messages. Otherwise all gateways of the region do.
func (p *Peers) GroupedByDomain() bool {
	return p.KnownInRegion() > maxFullMesh
}

// inGroup reports whether a gateway belongs to this gateway's group.
func (p *Peers) inGroup(gateway Gateway, byDomain bool) bool {
	return !byDomain || gateway.FailureDomain == p.self.FailureDomain
}

// NextTargets returns the addresses that get the next message: all peers of the group
// that are alive, and at retryInterval those that are not, because they may have
// lost their connection for a while. It records that a message is sent to them, and
// it removes the peers whose TTL has expired.
func (p *Peers) NextTargets(now int64) []string {
	return p.targets(now, func(Gateway) bool { return true })
}

// NextProberTargets is like NextTargets, but includes only peers that probe for this
// gateway. If the region is grouped by failure domain, the other peers need its
// messages less often.
func (p *Peers) NextProberTargets(now int64, assignment *Assignment) []string {
	return p.targets(now, assignment.isProber)
}

func (p *Peers) targets(now int64, include func(Gateway) bool) []string {
	var addresses []string
	byDomain := p.GroupedByDomain()
	for key, peer := range p.peers {
		inGroup := p.inGroup(peer.gateway, byDomain)
		if now-max(peer.lastMessageAt, peer.tableStatesAt) > int64(ttlOf(inGroup)) {
			delete(p.peers, key)
			continue
		}
		waiting := !peer.alive(now) && peer.lastSentAt != 0 && now-peer.lastSentAt < int64(retryInterval)
		if !inGroup || waiting || !include(peer.gateway) {
			continue
		}
		peer.lastSentAt = now
		addresses = append(addresses, peer.gateway.Address)
	}
	slices.Sort(addresses)
	return addresses
}

func ttlOf(inGroup bool) time.Duration {
	if inGroup {
		return peerTTL
	}
	return otherDomainPeerTTL
}

// AliveInGroup returns the number of peers of the group that are alive.
func (p *Peers) AliveInGroup(now int64) int {
	count := 0
	byDomain := p.GroupedByDomain()
	for _, peer := range p.peers {
		if peer.alive(now) && p.inGroup(peer.gateway, byDomain) {
			count++
		}
	}
	return count
}

// SampleAlive returns up to n random peers that are alive, whatever their group, to
// be sent as KnownGateways.
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

// AlivePeers returns the peers that are alive, whatever their group.
func (p *Peers) AlivePeers(now int64) []Gateway {
	var alive []Gateway
	for _, peer := range p.peers {
		if peer.alive(now) {
			alive = append(alive, peer.gateway)
		}
	}
	return alive
}

// IsStoreReader reports whether this gateway reads the store for its group: it
// ranks first among the gateways that are alive and reach the store.
func (p *Peers) IsStoreReader(now int64, storeReachable bool) bool {
	return p.StoreReadersBefore(now, storeReachable) == 0
}

// StoreReadersBefore returns how many gateways of the group are to read the store
// before this one: those that are alive, reach the store and rank before it. If no
// gateway reaches the store, all that are alive count.
func (p *Peers) StoreReadersBefore(now int64, storeReachable bool) int {
	byDomain := p.GroupedByDomain()
	reachable, ranked, reachableRanked := 0, 0, 0
	for _, peer := range p.peers {
		if !peer.active(now) || !p.inGroup(peer.gateway, byDomain) {
			continue
		}
		before := peer.ranks.leader.before(p.ranks.leader)
		if before {
			ranked++
		}
		if peer.storeReachable {
			reachable++
			if before {
				reachableRanked++
			}
		}
	}
	switch {
	case storeReachable:
		return reachableRanked
	case reachable > 0:
		return reachable
	default:
		return ranked
	}
}

// IsInitialReader reports whether this gateway reads the store for its group
// before any messages were exchanged. It ranks the peers that a seed or the store
// listed.
func (p *Peers) IsInitialReader() bool {
	byDomain := p.GroupedByDomain()
	for _, peer := range p.peers {
		if p.inGroup(peer.gateway, byDomain) && peer.ranks.leader.before(p.ranks.leader) {
			return false
		}
	}
	return true
}

// NewestTable returns the live gateway, of this group or the relay of another
// one, that holds the newest change of a table, given by its index in
// feed.Tables, and its table state with the current age. Gateways whose address is
// in avoid are left out. Among several it prefers high-capacity gateways, because
// sending a whole table to many gateways saturates the link of a small VM, and
// then by rendezvous hash, so that the gateways of a group read from different
// ones.
func (p *Peers) NewestTable(now int64, table int, avoid func(address string) bool) (source TableSource, ok bool) {
	for c := range p.aliveContacts(now) {
		state, held := c.tableState(now, table)
		if !held || avoid(c.gateway.Address) {
			continue
		}
		candidate := TableSource{Address: c.gateway.Address, State: state, rank: rankOf(p.self.ID, c.gateway)}
		if !ok || candidate.before(source) {
			source, ok = candidate, true
		}
	}
	return source, ok
}

// TableSource is a gateway from which a table can be read.
type TableSource struct {
	Address string
	State   feed.TableState
	rank    rank
}

func (s TableSource) before(other TableSource) bool {
	newer := cmp.Or(
		cmp.Compare(s.State.Era, other.State.Era),
		cmp.Compare(s.State.LastChange, other.State.LastChange),
		cmp.Compare(s.State.Rank, other.State.Rank),
	)
	if newer != 0 {
		return newer > 0
	}
	return s.rank.before(other.rank)
}

// aliveContacts returns the peers that are alive and the gateways of other
// regions that sent a message within remoteTimeout.
func (p *Peers) aliveContacts(now int64) iter.Seq[*contact] {
	return func(yield func(*contact) bool) {
		for _, peer := range p.peers {
			if peer.alive(now) && !yield(&peer.contact) {
				return
			}
		}
		for _, r := range p.remotes {
			if r.relayAlive(now) && !yield(&r.contact) {
				return
			}
		}
	}
}

// tableState returns the gateway's state of a table, with the current age.
func (c *contact) tableState(now int64, table int) (feed.TableState, bool) {
	if table >= len(c.tableStates) || !c.tableStates[table].Loaded() {
		return feed.TableState{}, false
	}
	tableState := c.tableStates[table]
	tableState.Age += now - c.tableStatesAt
	return tableState, true
}
