package crashguard

import (
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
)

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
// crash finds the fingerprint blocked, and a gateway that received no suspicion from
// its peers blocks it after n crashes of its own. With d = 0 the bound is n.
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
