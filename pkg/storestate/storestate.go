// Package storestate records whether a gateway reaches the platform's store, and how long the store's
// responses are delayed. Package edge records the results of its calls.
package storestate

import (
	"math/rand/v2"
	"sync"
	"time"

	"balsamhill/pkg/delay"
	"balsamhill/pkg/feed"
)

// State records whether the store is reachable. It is safe for concurrent use.
type State struct {
	mu     sync.Mutex
	outage feed.Outage
	// delay is that of the responses.
	delay delay.Estimate
}

// ResponseAge returns the age of a response of the store, which was requested at began: at
// least its stated age, and how long it was delayed on the way.
func (s *State) ResponseAge(now, began int64, batch feed.Batch) int64 {
	if batch.SentAt == 0 {
		return batch.Age
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delayed := int64(s.delay.Record(now, batch.SentAt))
	return max(batch.Age, min(delayed, now-began))
}

// Unreachable reports whether the last call to the store failed.
func (s *State) Unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.Active()
}

// RecordFailure records a failed call and reports whether it is the first one after a
// success.
func (s *State) RecordFailure(now int64, backoff feed.Backoff) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = !s.outage.Active()
	s.outage.RecordFailure(now, backoff, rand.Float64())
	return first
}

// RecordSuccess records a successful call and reports whether the call before failed.
func (s *State) RecordSuccess(now int64) (recovered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recovered = s.outage.Active()
	s.outage.RecordSuccess(now)
	return recovered
}

// RetryDelay returns how long to wait before the next call to the store; see feed.Outage.
func (s *State) RetryDelay(now int64, backoff feed.Backoff) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.RetryDelay(now, backoff, rand.Float64())
}

// RecordPeerResponse records that the store responded to another gateway, and reports
// whether that ended an outage; see feed.Outage.
func (s *State) RecordPeerResponse(at int64) (ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.RecordPeerResponse(at)
}

// RecordPeerRecovery records that another gateway reached the store again at a time.
func (s *State) RecordPeerRecovery(at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage.RecordPeerRecovery(at)
}

// RecordReturn records that the store returned from an older copy, after which entries may
// be missing for a while as after an outage. Its clock may differ from that before.
func (s *State) RecordReturn(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage.RecordPeerRecovery(now)
	s.delay = delay.Estimate{}
}

// RecoveredAt returns when the last outage of the store ended, 0 if there was none.
func (s *State) RecoveredAt() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.EndedAt()
}
