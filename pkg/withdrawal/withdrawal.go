// Package withdrawal keeps what servers say in their responses of the work that they want.
// A server that leaves wants no new requests from any gateway. A server that rejects a
// request may ask the gateway that sent it to pause for some time. Both concern one
// incarnation of the server: a process that starts again under the ID, or at the address,
// of another one has said nothing yet. The package does no I/O, starts no goroutine and
// reads no clock: times are nanoseconds on the gateway's monotonic clock.
package withdrawal

import (
	"sync"
	"sync/atomic"
	"time"
)

// Source is where this gateway learned that a server leaves.
type Source int32

const (
	// SourceResponse is a response of the server to this gateway.
	SourceResponse Source = iota
	// SourcePeer is another gateway.
	SourcePeer
)

// String returns the name that logs and metrics show.
func (s Source) String() string {
	if s == SourcePeer {
		return "peer"
	}
	return "response"
}

// Status is what one incarnation of a server said. It is safe for concurrent use. The zero
// value and a nil pointer stand for a server that has said nothing.
type Status struct {
	// noted is set by the first record, so that the check of other servers costs one load.
	noted atomic.Bool
	// leavingAt is when this gateway learned that the server leaves, 0 for never, and
	// leavingSource the Source.
	leavingAt     atomic.Int64
	leavingSource atomic.Int32
	// pausedUntil is the end of the last pause, 0 for never.
	pausedUntil atomic.Int64

	// mu guards the fields below and orders the writes of those above.
	mu       sync.Mutex
	pausedAt int64
	pauses   uint64
	// leavingResponseAt is when the last response said that the server leaves, and
	// pauseResponseAt when the last one asked for a pause.
	leavingResponseAt, pauseResponseAt int64
	// next is the status of the process that started after this one under the same ID, at
	// nextStartedAt; nil if none is known.
	next          *Status
	nextStartedAt int64
	// sent counts the requests of one step after the end of the last pause; see returnStep.
	step, sent int64
}

// RecordLeaving records that the server leaves. The first source stays.
func (s *Status) RecordLeaving(now int64, source Source) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if source == SourceResponse {
		s.leavingResponseAt = now
		if s.isFromNext(now) {
			s.next.RecordLeaving(now, source)
		}
	}
	if s.leavingAt.Load() != 0 {
		return
	}
	s.leavingSource.Store(int32(source))
	s.leavingAt.Store(now)
	s.noted.Store(true)
}

const (
	// spreadShare is the share of a pause by which its end is postponed at most, and
	// maxSpread the bound in nanoseconds. Gateways that were asked at the same time
	// return at different times.
	spreadShare = 0.1
	maxSpread   = 500e6
)

// RecordPause records that the server wants no request of this gateway for the given time.
// spread, at least 0 and below 1, is drawn at random for each call and postpones the end. A
// pause that is under way is extended, never shortened.
func (s *Status) RecordPause(now int64, pause time.Duration, spread float64) {
	if s == nil || pause <= 0 {
		return
	}
	end := now + int64(pause) + int64(spread*min(spreadShare*float64(pause), maxSpread))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isFromNext(now) {
		s.next.RecordPause(now, pause, spread)
	}
	s.pauseResponseAt = now
	current := s.pausedUntil.Load()
	if now >= current {
		s.pausedAt = now
		s.pauses++
		s.step, s.sent = 0, 0
	}
	s.pausedUntil.Store(max(current, end))
	s.noted.Store(true)
}

// isFromNext reports whether a response that arrived now came from the process that started
// after this one. The caller holds mu.
func (s *Status) isFromNext(now int64) bool {
	return s.next != nil && now >= s.nextStartedAt
}

// SucceededBy records that another process started under the same ID at startedAt. Until its
// entry is read, its responses look like those of this process: what arrived since it started,
// and what arrives from now on to requests that are in flight, is recorded in its status too.
func (s *Status) SucceededBy(next *Status, startedAt int64) {
	if s == nil || next == nil || s == next {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next, s.nextStartedAt = next, startedAt
	if s.leavingResponseAt != 0 && s.leavingResponseAt >= startedAt {
		next.RecordLeaving(s.leavingResponseAt, SourceResponse)
	}
	if s.pauseResponseAt != 0 && s.pauseResponseAt >= startedAt {
		next.RecordPause(s.pauseResponseAt, time.Duration(s.pausedUntil.Load()-s.pauseResponseAt), 0)
	}
}

// Leaving returns when this gateway learned that the server leaves and from whom, false if
// it did not.
func (s *Status) Leaving() (at int64, source Source, leaving bool) {
	if s == nil || !s.noted.Load() {
		return 0, 0, false
	}
	at = s.leavingAt.Load()
	return at, Source(s.leavingSource.Load()), at != 0
}

// Pause is a time in which a server wants no request of this gateway.
type Pause struct {
	// Number counts the pauses of the server from 1; 0 if there was none.
	Number   uint64
	From, To int64
}

// Pause returns the last pause.
func (s *Status) Pause() Pause {
	if s == nil || !s.noted.Load() {
		return Pause{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return Pause{Number: s.pauses, From: s.pausedAt, To: s.pausedUntil.Load()}
}

// Withdrawn reports whether the server wants no request now.
func (s *Status) Withdrawn(now int64) bool {
	if s == nil || !s.noted.Load() {
		return false
	}
	return s.leavingAt.Load() != 0 || now < s.pausedUntil.Load()
}

const (
	// returnStep is the length of a step after a pause, in nanoseconds. In the first step
	// one request may be sent, in each further one twice as many as in the one before. After
	// returnSteps the number is no longer bounded.
	returnStep  = 50e6
	returnSteps = 8
)

// MaySend reports whether a request may be sent to the server.
func (s *Status) MaySend(now int64) bool {
	return s == nil || !s.noted.Load() || s.maySend(now, 0)
}

// Take is MaySend, and counts the request if it may be sent.
func (s *Status) Take(now int64) bool {
	return s == nil || !s.noted.Load() || s.maySend(now, 1)
}

// maySend reports whether a request may be sent, and adds count to the requests of the step
// if so.
func (s *Status) maySend(now, count int64) bool {
	if s.Withdrawn(now) {
		return false
	}
	step := (now - s.pausedUntil.Load()) / returnStep
	if step >= returnSteps {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if step != s.step {
		s.step, s.sent = step, 0
	}
	if s.sent >= 1<<step {
		return false
	}
	s.sent += count
	return true
}

// Wait returns the time until MaySend may be true, false if the server leaves.
func (s *Status) Wait(now int64) (wait time.Duration, ok bool) {
	if s.MaySend(now) {
		return 0, true
	}
	if s.leavingAt.Load() != 0 {
		return 0, false
	}
	since := now - s.pausedUntil.Load()
	if since < 0 {
		return time.Duration(-since), true
	}
	return time.Duration(returnStep - since%returnStep), true
}
