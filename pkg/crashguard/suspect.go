package crashguard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxLosses limits the losses that are kept for a fingerprint.
	maxLosses = 32
	// blockGrowth is the factor by which each further block is longer.
	blockGrowth = 4
	// stragglerDivisor determines the part of a block in which a crash belongs to an attempt
	// from before the block. It exceeds the ratio of the block durations of two gateways.
	stragglerDivisor = 4
)

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
	return s.blocked(now) && now-s.blockedAt < int64(s.blockDuration/stragglerDivisor)
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
