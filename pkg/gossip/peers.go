package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamhill/pkg/feed"
)

const (
	// Life is how long a peer counts as alive after its last message. Messages
	// come at least every 100 ms; a machine with a processor quota may stand still
	// for a tenth of a second.
	Life = 600 * time.Millisecond
	// forgetAfter is how long the address of a silent peer is kept.
	forgetAfter = 30 * time.Second
	// silentInterval is how often a silent peer gets a message.
	silentInterval = time.Second
	// MaxMarkAge is the age from which a gateway's view of a table no longer
	// makes it a reader that others rely on.
	MaxMarkAge = 2500 * time.Millisecond
)

// peer is what is known of another gateway.
type peer struct {
	gateway        Gateway
	heardAt        int64
	sequence       uint64
	stopping       bool
	storeReachable bool
	marks          []feed.Mark
	markedAt       int64
	sentAt         int64
}

// Peers is the table of the other gateways. It is not safe for concurrent use.
type Peers struct {
	self  Gateway
	peers map[string]*peer
}

// NewPeers returns a table without peers.
func NewPeers(self Gateway) *Peers {
	return &Peers{self: self, peers: make(map[string]*peer)}
}

// Learn takes in a gateway that another source named, such as the store. It gets
// messages, but counts as alive only after its own message.
func (p *Peers) Learn(now int64, gateway Gateway) {
	known := p.peers[gateway.ID]
	if gateway.ID == p.self.ID || gateway.Region != p.self.Region {
		return
	}
	if known == nil || gateway.Incarnation > known.gateway.Incarnation {
		p.peers[gateway.ID] = &peer{gateway: gateway, markedAt: now}
	}
}

// Hear takes a message in and reports whether it is newer than the last one of
// its sender. joined says that the sender was not alive before.
func (p *Peers) Hear(now int64, message *Message) (newer, joined bool) {
	sender := message.Sender
	if sender.ID == p.self.ID || sender.Region != p.self.Region {
		return false, false
	}
	known := p.peers[sender.ID]
	if known != nil && sender.Incarnation < known.gateway.Incarnation {
		return false, false
	}
	if known == nil || sender.Incarnation > known.gateway.Incarnation {
		known = &peer{}
		p.peers[sender.ID] = known
	}
	if known.heardAt != 0 && message.Sequence <= known.sequence {
		return false, false
	}
	joined = !known.alive(now)
	known.gateway = sender
	known.heardAt = now
	known.sequence = message.Sequence
	known.stopping = message.Stopping
	known.storeReachable = message.StoreReachable
	known.marks = message.Marks
	known.markedAt = now
	return true, joined
}

func (p *peer) alive(now int64) bool {
	return p.heardAt != 0 && now-p.heardAt <= int64(Life)
}

// Targets returns the addresses that get the next message: all live peers, and
// now and then silent ones, which may have lost contact for a while.
func (p *Peers) Targets(now int64) []string {
	var addresses []string
	for id, peer := range p.peers {
		if !peer.alive(now) {
			if now-max(peer.heardAt, peer.markedAt) > int64(forgetAfter) {
				delete(p.peers, id)
				continue
			}
			if peer.sentAt != 0 && now-peer.sentAt < int64(silentInterval) {
				continue
			}
		}
		peer.sentAt = now
		addresses = append(addresses, peer.gateway.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// Alive returns how many peers are alive.
func (p *Peers) Alive(now int64) int {
	count := 0
	for _, peer := range p.peers {
		if peer.alive(now) {
			count++
		}
	}
	return count
}

// IsReader reports whether this gateway reads the store for its region: it has
// the highest rank among the gateways that are alive and reach the store.
func (p *Peers) IsReader(now int64, storeReachable bool) bool {
	own := rank("reader", p.self.ID)
	anyReaches := storeReachable
	for _, peer := range p.peers {
		if peer.alive(now) && !peer.stopping && peer.storeReachable {
			anyReaches = true
		}
	}
	if anyReaches && !storeReachable {
		return false
	}
	for _, peer := range p.peers {
		if !peer.alive(now) || peer.stopping || (anyReaches && !peer.storeReachable) {
			continue
		}
		if outranks(rank("reader", peer.gateway.ID), peer.gateway.ID, own, p.self.ID) {
			return false
		}
	}
	return true
}

// Newest returns the live peer that holds the newest change of a table, given by
// its index in feed.Tables, and its mark with the age at this moment.
func (p *Peers) Newest(now int64, table int) (address string, mark feed.Mark, ok bool) {
	bestID := ""
	for id, peer := range p.peers {
		if !peer.alive(now) || table >= len(peer.marks) || peer.marks[table].AsOf == 0 {
			continue
		}
		candidate := peer.marks[table]
		candidate.Age += now - peer.markedAt
		better := cmp.Or(
			cmp.Compare(candidate.Changed, mark.Changed),
			cmp.Compare(candidate.AsOf, mark.AsOf),
			cmp.Compare(bestID, id),
		) > 0
		if !ok || better {
			address, mark, ok, bestID = peer.gateway.Address, candidate, true, id
		}
	}
	return address, mark, ok
}

// Measures reports whether this gateway probes a server for its region: it has
// the highest rank for the server among the live gateways of the server's
// failure domain, or of the region if there are none.
func (p *Peers) Measures(now int64, serverID, failureDomain string) bool {
	local := p.self.FailureDomain == failureDomain
	own := rank(serverID, p.self.ID)
	best := true
	for _, peer := range p.peers {
		if !peer.alive(now) || peer.stopping {
			continue
		}
		peerLocal := peer.gateway.FailureDomain == failureDomain
		if local && !peerLocal {
			continue
		}
		if peerLocal && !local {
			return false
		}
		if outranks(rank(serverID, peer.gateway.ID), peer.gateway.ID, own, p.self.ID) {
			best = false
		}
	}
	return best
}

// rank is the rendezvous hash of a gateway for a thing.
func rank(thing, gateway string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(thing)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(gateway)
	return digest.Sum64()
}

func outranks(rank uint64, id string, other uint64, otherID string) bool {
	return cmp.Or(cmp.Compare(rank, other), cmp.Compare(id, otherID)) > 0
}
