package crashguard

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultBlockDuration is the default of Limits.BlockDuration and SuspicionDuration.
	DefaultBlockDuration = 10 * time.Minute
	// DefaultBlockThreshold is the default of Limits.Servers.
	DefaultBlockThreshold = 2
	// MaxSuspectedFingerprints limits the number of suspected fingerprints. A server
	// that crashes with 250 connections adds at most 250, so the limit covers 65
	// crashes within DefaultBlockDuration.
	MaxSuspectedFingerprints = 1 << 14
	// MaxQueuedSuspicions limits the queue of suspicions that Outgoing returns.
	MaxQueuedSuspicions = 1 << 14
	// maxLosses limits the losses that are kept for a fingerprint.
	maxLosses = 32
	// blockGrowth is the factor by which each further block is longer.
	blockGrowth = 4
)

// Suspicion records that the connection to a server was lost while a request with
// the fingerprint was in flight, or, if Cleared is set, that a server has responded to
// such a request.
type Suspicion struct {
	Fingerprint Fingerprint
	// Server is not set if Cleared is.
	Server  Server
	Cleared bool
	// SentAt and LostAt are the times at which the attempt was sent and lost, 0 if they are
	// unknown.
	SentAt, LostAt int64
	// From is the peer that reported the suspicion, empty if this gateway lost the
	// connection itself. A gateway sends its own suspicions to all peers. Those of
	// peers need relaying only if some gateways have no session with each other, and
	// must not be sent back to From.
	From string
}

// suspectedRequest is the state of one suspected fingerprint.
type suspectedRequest struct {
	// losses lists the servers that were lost, at most maxLosses, by the time of the loss.
	losses []loss
	// blockedAt and blockedUntil are the times of the last block, and blockDuration is its
	// length, 0 before the first one.
	blockedAt, blockedUntil int64
	blockDuration           time.Duration
	// expiresAt is when the suspicion is forgotten.
	expiresAt int64
	// attemptInFlight is set while an attempt that was admitted after the suspicion
	// is in flight; other attempts are Busy meanwhile. An attempt from before the
	// suspicion that ends clears it too, because Done does not identify the attempt.
	attemptInFlight bool
}

func (s *suspectedRequest) blocked(now int64) bool {
	return now < s.blockedUntil
}

// block begins the first block, or a longer one after a further crash.
func (s *suspectedRequest) block(now int64, limits Limits) {
	if s.blockDuration == 0 {
		s.blockDuration = limits.BlockDuration
	} else {
		s.blockDuration = min(blockGrowth*s.blockDuration, max(limits.Memory, limits.BlockDuration))
	}
	s.blockedAt, s.blockedUntil = now, now+int64(s.blockDuration)
	s.expiresAt = s.blockedUntil + int64(limits.Memory)
}

// beganBeforeBlock reports whether a crash that is recorded now belongs to an attempt from
// before the block. A later one belongs to an attempt of a gateway whose block ended earlier.
func (s *suspectedRequest) beganBeforeBlock(now int64) bool {
	return s.blocked(now) && now-s.blockedAt < int64(s.blockDuration/4)
}

// loss is a server that was lost while an attempt was in flight there.
type loss struct {
	server         Server
	sentAt, lostAt int64
}

// add adds the loss of a server. Suspicions arrive in any order.
func (s *suspectedRequest) add(suspicion Suspicion) {
	added := loss{server: suspicion.Server, sentAt: suspicion.SentAt, lostAt: suspicion.LostAt}
	if added.sentAt == 0 {
		added.sentAt = added.lostAt
	}
	i, _ := slices.BinarySearchFunc(s.losses, added, func(a, b loss) int { return cmp.Compare(a.lostAt, b.lostAt) })
	s.losses = slices.Insert(s.losses, i, added)
	s.losses = slices.Delete(s.losses, 0, max(0, len(s.losses)-maxLosses))
}

// crashes returns the number of losses that count for a block: the largest number of them of
// which each was sent after the one before was lost. If several attempts are in flight when
// several servers fail together, all are lost for one reason that need not be the request.
func (s *suspectedRequest) crashes() int {
	count, lastLostAt := 0, int64(0)
	for _, l := range s.losses {
		if count == 0 || l.sentAt >= lastLostAt {
			count++
			lastLostAt = l.lostAt
		}
	}
	return count
}

// Limits configure when and for how long a fingerprint is blocked.
type Limits struct {
	// Servers is the number of crashes, of different servers or of one that started
	// again, after which a fingerprint is blocked.
	Servers int
	// SuspicionDuration is how long a suspicion below the threshold is kept.
	SuspicionDuration time.Duration
	// BlockDuration is how long a fingerprint stays blocked for the first time. Gateways with
	// different values try the request again one after the other.
	BlockDuration time.Duration
	// Memory is how long a fingerprint is remembered after its block. Meanwhile, one attempt
	// at a time is admitted; one that crashes a server too blocks the fingerprint at once, for
	// blockGrowth times as long as before, at most for Memory.
	Memory time.Duration
}

// Guard holds the suspicions of one gateway. It is safe for concurrent use. While
// no fingerprint is suspected, Admit is one atomic read and takes no lock.
//
// Let G be the number of gateways, n be Limits.Servers, and d the time within which
// a suspicion reaches all gateways. A caller that resends a request only after the
// previous send has failed, and at least a time s after it, crashes at most
//
//	min(n*G, n + floor(d/s))
//
// servers until the block ends: every send that starts more than d after the n-th
// crash finds the fingerprint blocked, and a gateway that received no suspicion from its peers
// blocks it after n crashes of its own. With d = 0 the bound is n.
//
// Concurrent sends add one server for each send that is in flight when the n-th
// suspicion arrives at its gateway, or at one of the crashes before. Between the first
// and the n-th suspicion a gateway admits one send at a time, with one exception: Done
// does not identify the attempt that it ends. When an attempt that was admitted before
// the first suspicion ends, the guard admits another send although one is in flight, so
// that each such attempt can add one send.
type Guard struct {
	limits Limits
	// suspected is len(suspects), readable without the lock.
	suspected atomic.Int64

	mu       sync.Mutex
	suspects map[Fingerprint]*suspectedRequest
	outgoing []Suspicion
	dropped  uint64
}

// New returns a guard with the default limits and no suspicions.
func New() *Guard {
	return NewWithLimits(Limits{
		Servers: DefaultBlockThreshold, SuspicionDuration: DefaultBlockDuration, BlockDuration: DefaultBlockDuration,
	})
}

// NewWithLimits returns a guard with the given limits and no suspicions.
func NewWithLimits(limits Limits) *Guard {
	return &Guard{limits: limits, suspects: make(map[Fingerprint]*suspectedRequest)}
}

// Admit decides whether a request with this fingerprint may be sent now. now is in
// nanoseconds on the gateway's monotonic clock. Each attempt that was Allowed must
// be followed by Done.
func (g *Guard) Admit(now int64, fingerprint Fingerprint) Admission {
	if g.suspected.Load() == 0 {
		return Allowed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.unexpired(now, fingerprint)
	switch {
	case s == nil:
		return Allowed
	case s.blocked(now):
		return Blocked
	case s.attemptInFlight:
		return Busy
	default:
		s.attemptInFlight = true
		return Allowed
	}
}

// Done records the result of an admitted attempt. A response ends the suspicion, and a
// block too: an attempt from before the block shows that the request does not crash each
// server that runs it.
func (g *Guard) Done(now int64, attempt Attempt, result Result) {
	if result != ResultConnectionLost && g.suspected.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.unexpired(now, attempt.Fingerprint)
	if s != nil {
		s.attemptInFlight = false
	}
	switch result {
	case ResultResponded:
		g.apply(now, Suspicion{Fingerprint: attempt.Fingerprint, Cleared: true})
	case ResultConnectionLost:
		g.apply(now, Suspicion{Fingerprint: attempt.Fingerprint, Server: attempt.Server, SentAt: attempt.SentAt, LostAt: now})
	case ResultOther:
	}
}

// AddPeerSuspicion applies a suspicion that a peer, named by From, reported. If it is new,
// it is queued once, so that the caller of Outgoing may relay it; a known one is not, so
// that suspicions do not circulate.
func (g *Guard) AddPeerSuspicion(now int64, suspicion Suspicion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(now, suspicion)
}

// apply applies a suspicion and queues it if it is new.
func (g *Guard) apply(now int64, suspicion Suspicion) {
	var changed bool
	if suspicion.Cleared {
		changed = g.unexpired(now, suspicion.Fingerprint) != nil
		g.remove(suspicion.Fingerprint)
	} else {
		changed = g.addSuspicion(now, suspicion)
	}
	if changed {
		g.enqueue(suspicion)
	}
}

// Outgoing returns the queued suspicions to send to peers and empties the queue.
func (g *Guard) Outgoing() []Suspicion {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.outgoing
	g.outgoing = nil
	return out
}

// Status holds counts of a guard's state.
type Status struct {
	// Suspected includes the blocked fingerprints.
	Suspected int
	Blocked   int
	// Dropped is the number of suspicions discarded because of
	// MaxSuspectedFingerprints or MaxQueuedSuspicions.
	Dropped uint64
}

// Expire removes expired suspicions and returns the counts of those left. It should
// be called periodically, so that Admit needs no lock once none is left.
func (g *Guard) Expire(now int64) Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	status := Status{Dropped: g.dropped}
	for fingerprint := range g.suspects {
		s := g.unexpired(now, fingerprint)
		if s == nil {
			continue
		}
		status.Suspected++
		if s.blocked(now) {
			status.Blocked++
		}
	}
	return status
}

// unexpired returns the state of a suspected fingerprint, nil if it is not suspected.
// It removes an expired one.
func (g *Guard) unexpired(now int64, fingerprint Fingerprint) *suspectedRequest {
	s := g.suspects[fingerprint]
	if s == nil {
		return nil
	}
	if now >= s.expiresAt {
		g.remove(fingerprint)
		return nil
	}
	return s
}

// addSuspicion adds a suspicion and reports whether it is new. A repeated one only
// extends the time that it is kept.
func (g *Guard) addSuspicion(now int64, lost Suspicion) bool {
	s := g.unexpired(now, lost.Fingerprint)
	if s == nil {
		g.evictIfFull(now)
		s = &suspectedRequest{}
		g.suspects[lost.Fingerprint] = s
		g.suspected.Add(1)
	}
	if s.beganBeforeBlock(now) {
		return false
	}
	s.expiresAt = max(s.expiresAt, now+int64(g.limits.SuspicionDuration))
	for i, known := range s.losses {
		if known.server.sameRun(lost.Server) {
			s.losses[i].server.Incarnation = max(known.server.Incarnation, lost.Server.Incarnation)
			return false
		}
	}
	before := s.crashes()
	s.add(lost)
	if crashes := s.crashes(); crashes > before && crashes >= g.limits.Servers {
		s.block(now, g.limits)
	}
	return true
}

// evictIfFull removes one suspected fingerprint if MaxSuspectedFingerprints is
// reached: an expired one, else one that is not blocked, else any. It scans a bounded
// number of them in the random order of the map.
func (g *Guard) evictIfFull(now int64) {
	if len(g.suspects) < MaxSuspectedFingerprints {
		return
	}
	const maxScanned = 64
	var victim Fingerprint
	found, victimUnblocked := false, false
	scanned := 0
	for fingerprint, s := range g.suspects {
		if now >= s.expiresAt {
			g.remove(fingerprint)
			return
		}
		if !found || (!victimUnblocked && !s.blocked(now)) {
			victim, found, victimUnblocked = fingerprint, true, !s.blocked(now)
		}
		scanned++
		if scanned >= maxScanned {
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

func (g *Guard) enqueue(suspicion Suspicion) {
	if len(g.outgoing) >= MaxQueuedSuspicions {
		g.dropped++
		return
	}
	g.outgoing = append(g.outgoing, suspicion)
}
