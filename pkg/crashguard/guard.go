package crashguard

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// BlockTime is how long a fingerprint stays blocked, and how long a single
	// suspicion is kept.
	BlockTime = 10 * time.Minute
	// BlockingServers is the number of different servers that must have broken if
	// the deployment does not say.
	BlockingServers = 2
	// MaxSuspects bounds the fingerprints under suspicion. A server that dies with
	// 250 connections adds at most 250, so the bound covers the death of 65
	// servers within BlockTime.
	MaxSuspects = 1 << 14
	// MaxOutgoing bounds the suspicions that wait to be sent to peers.
	MaxOutgoing = 1 << 14
)

// Suspicion says that a connection to a server broke while a request with the
// fingerprint was in flight.
type Suspicion struct {
	Fingerprint Fingerprint
	ServerID    string
	// From is the peer that reported it, empty if this gateway saw the server
	// break. Own suspicions go to all peers; the others only need to be relayed
	// where not every pair of gateways has a session, and never back to From.
	From string
}

// suspect is a fingerprint under suspicion.
type suspect struct {
	// servers that broke, at most as many as block.
	servers []string
	// until is when the suspicion or the block ends.
	until int64
	// trying says that an attempt in isolation is under way.
	trying bool
}

func (g *Guard) blocked(s *suspect) bool {
	return len(s.servers) >= g.limits.Servers
}

// Limits say when and for how long a fingerprint is blocked.
type Limits struct {
	// Servers is the number of different servers that must have broken.
	Servers int
	// Block is how long a fingerprint stays blocked, and how long a single suspicion
	// is kept.
	Block time.Duration
}

// Guard keeps the suspicions of one gateway. It is safe for concurrent use. While
// nothing is under suspicion, Admit is one atomic read and takes no lock.
//
// Bound on the servers that one request takes down, for G gateways, a time d in
// which a suspicion reaches all of them, and a caller that sends again only after
// the former send has failed, at least a time s later: at most
//
//	min(n*G, n + floor(d/s))
//
// where n is Limits.Servers, because every send that starts more than d after the
// n-th broken server finds the fingerprint blocked, and a gateway that has heard
// nothing blocks after n of its own. With d = 0 that is n. Sends at the same time add to the bound one
// server for each send that is in flight when the second suspicion arrives at its
// gateway; a gateway with one suspicion has at most one such send that it admitted
// after the suspicion, apart from the following case. Done does not say when its
// attempt was admitted: if an attempt that was admitted before the first suspicion
// ends, it ends the isolation of a later attempt too, so that each such attempt can
// admit one more.
type Guard struct {
	limits Limits
	// suspected is the number of suspects.
	suspected atomic.Int64

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	outgoing []Suspicion
	dropped  uint64
}

// New returns a guard without suspicions.
func New() *Guard {
	return NewWithLimits(Limits{Servers: BlockingServers, Block: BlockTime})
}

// NewWithLimits returns a guard without suspicions that blocks by other limits.
func NewWithLimits(limits Limits) *Guard {
	return &Guard{limits: limits, suspects: make(map[Fingerprint]*suspect)}
}

// Admit reports whether a request with this fingerprint may be sent now. Now is in
// nanoseconds on the gateway's monotonic clock. The caller must call Done after an
// Allowed attempt.
func (g *Guard) Admit(now int64, fingerprint Fingerprint) Admission {
	if g.suspected.Load() == 0 {
		return Allowed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.current(now, fingerprint)
	switch {
	case s == nil:
		return Allowed
	case g.blocked(s):
		return Blocked
	case s.trying:
		return Busy
	default:
		s.trying = true
		return Allowed
	}
}

// Done ends an admitted attempt.
func (g *Guard) Done(now int64, fingerprint Fingerprint, end Result, serverID string) {
	if end != ResultConnectionLost && g.suspected.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.current(now, fingerprint)
	if s != nil {
		s.trying = false
	}
	switch end {
	case ResultResponded:
		// An answer that arrives while the fingerprint is blocked belongs to an
		// attempt that was under way before; the block stays, because two servers
		// broke.
		if s != nil && !g.blocked(s) {
			g.remove(fingerprint)
		}
	case ResultConnectionLost:
		if g.suspect(now, fingerprint, serverID) {
			g.send(Suspicion{Fingerprint: fingerprint, ServerID: serverID})
		}
	case ResultOther:
	}
}

// AddPeerSuspicion takes a suspicion that a peer reported. A new one is queued once for
// relaying, so that relayed suspicions do not circulate.
func (g *Guard) AddPeerSuspicion(now int64, fingerprint Fingerprint, serverID, fromPeer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspect(now, fingerprint, serverID) {
		g.send(Suspicion{Fingerprint: fingerprint, ServerID: serverID, From: fromPeer})
	}
}

// Outgoing returns the suspicions to send to peers and removes them from the
// guard.
func (g *Guard) Outgoing() []Suspicion {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.outgoing
	g.outgoing = nil
	return out
}

// Status counts what a guard holds.
type Status struct {
	// Suspected includes the blocked fingerprints.
	Suspected int
	Blocked   int
	// Dropped is the number of suspicions that were given up to bound the memory.
	Dropped uint64
}

// Expire removes suspicions whose time is over, so that Admit takes no lock again.
// It is called about once a second.
func (g *Guard) Expire(now int64) Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	status := Status{Dropped: g.dropped}
	for fingerprint := range g.suspects {
		s := g.current(now, fingerprint)
		if s == nil {
			continue
		}
		status.Suspected++
		if g.blocked(s) {
			status.Blocked++
		}
	}
	return status
}

// current returns the suspect, nil if there is none or its time is over.
func (g *Guard) current(now int64, fingerprint Fingerprint) *suspect {
	s := g.suspects[fingerprint]
	if s == nil {
		return nil
	}
	if now >= s.until {
		g.remove(fingerprint)
		return nil
	}
	return s
}

// suspect adds a suspicion and reports whether it was new.
func (g *Guard) suspect(now int64, fingerprint Fingerprint, serverID string) bool {
	s := g.current(now, fingerprint)
	if s == nil {
		g.makeRoom(now)
		s = &suspect{}
		g.suspects[fingerprint] = s
		g.suspected.Add(1)
	}
	if g.blocked(s) {
		return false
	}
	for _, known := range s.servers {
		if known == serverID {
			s.until = now + int64(g.limits.Block)
			return false
		}
	}
	s.servers = append(s.servers, serverID)
	s.until = now + int64(g.limits.Block)
	return true
}

// makeRoom removes one suspect if there are too many: one whose time is over, else
// a single suspicion, else any. It looks at a bounded number of them, in the
// random order of the map.
func (g *Guard) makeRoom(now int64) {
	if len(g.suspects) < MaxSuspects {
		return
	}
	const looks = 64
	var victim Fingerprint
	found, single := false, false
	looked := 0
	for fingerprint, s := range g.suspects {
		if now >= s.until {
			g.remove(fingerprint)
			return
		}
		if !found || (!single && !g.blocked(s)) {
			victim, found, single = fingerprint, true, !g.blocked(s)
		}
		looked++
		if looked >= looks {
			break
		}
	}
	g.remove(victim)
	g.dropped++
}

func (g *Guard) remove(fingerprint Fingerprint) {
	if _, ok := g.suspects[fingerprint]; ok {
		delete(g.suspects, fingerprint)
		g.suspected.Add(-1)
	}
}

func (g *Guard) send(suspicion Suspicion) {
	if len(g.outgoing) >= MaxOutgoing {
		g.dropped++
		return
	}
	g.outgoing = append(g.outgoing, suspicion)
}
