package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"balsamhill/pkg/delay"
	"balsamhill/pkg/feed"
)

const (
	// readerMinBackoff and readerMaxBackoff bound the delays of a reader after failed
	// calls. They are short because the other gateways rely on the reader to detect the
	// recovery of the store.
	readerMinBackoff = 200 * time.Millisecond
	readerMaxBackoff = 500 * time.Millisecond
	// nonReaderMinBackoff is the minimum delay of the other gateways, or
	// minBackoffPerGateway for each live peer of the group if that is longer.
	nonReaderMinBackoff  = time.Second
	minBackoffPerGateway = 100 * time.Millisecond
	// maxBackoff is the maximum delay of all gateways but the reader.
	maxBackoff = 8 * time.Second
	// firstReadMinBackoff is the minimum delay of a gateway that has no copy of the table.
	firstReadMinBackoff = 300 * time.Millisecond
)

// storeState records whether the store is reachable. It is safe for concurrent use.
type storeState struct {
	mu     sync.Mutex
	outage feed.Outage
	// delay is that of the responses.
	delay delay.Estimate
}

// responseAge returns the age of a response of the store, which was requested at began: at
// least its stated age, and how long it was delayed on the way.
func (s *storeState) responseAge(now, began int64, batch feed.Batch) int64 {
	if batch.SentAt == 0 {
		return batch.Age
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delayed := int64(s.delay.Record(now, batch.SentAt))
	return max(batch.Age, min(delayed, now-began))
}

// unreachable reports whether the last call to the store failed.
func (s *storeState) unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.Active()
}

// recordFailure records a failed call and reports whether it is the first one after a
// success.
func (s *storeState) recordFailure(now int64, backoff feed.Backoff) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = !s.outage.Active()
	s.outage.RecordFailure(now, backoff, rand.Float64())
	return first
}

// recordSuccess records a successful call and reports whether the call before failed.
func (s *storeState) recordSuccess(now int64) (recovered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recovered = s.outage.Active()
	s.outage.RecordSuccess(now)
	return recovered
}

// retryDelay returns how long to wait before the next call to the store; see feed.Outage.
func (s *storeState) retryDelay(now int64, backoff feed.Backoff) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.RetryDelay(now, backoff, rand.Float64())
}

// recordPeerResponse records that the store responded to another gateway, and reports
// whether that ended an outage; see feed.Outage.
func (s *storeState) recordPeerResponse(at int64) (ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.RecordPeerResponse(at)
}

// recordPeerRecovery records that another gateway reached the store again at a time.
func (s *storeState) recordPeerRecovery(at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage.RecordPeerRecovery(at)
}

// recordReturn records that the store returned from an older copy, after which entries may
// be missing for a while as after an outage. Its clock may differ from that before.
func (s *storeState) recordReturn(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage.RecordPeerRecovery(now)
	s.delay = delay.Estimate{}
}

// recoveredAt returns when the last outage of the store ended, 0 if there was none.
func (s *storeState) recoveredAt() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.EndedAt()
}

// storeBackoff returns the bounds on the delay between calls to an unreachable store.
func (e *Edge) storeBackoff(known, reader bool) feed.Backoff {
	switch {
	case reader:
		return feed.Backoff{Min: readerMinBackoff, Max: readerMaxBackoff}
	case !known:
		return feed.Backoff{Min: firstReadMinBackoff, Max: maxBackoff}
	default:
		minBackoff := max(nonReaderMinBackoff, time.Duration(e.livePeers.Load())*minBackoffPerGateway)
		return feed.Backoff{Min: min(minBackoff, maxBackoff), Max: maxBackoff}
	}
}
