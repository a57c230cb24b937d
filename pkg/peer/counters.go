package peer

import (
	"sync"
	"sync/atomic"
)

// Counters count what happened since the start.
type Counters struct {
	// Opened counts sessions after their first heartbeat.
	Opened atomic.Uint64
	// BadFrames counts sessions that ended because of invalid data.
	BadFrames atomic.Uint64
	// Refused counts connections that failed in the TLS handshake or sent no
	// valid first heartbeat.
	Refused atomic.Uint64
	// Unresponsive counts sessions that ended because no heartbeat came.
	Unresponsive atomic.Uint64
	// DialFailures counts connections that could not be opened.
	DialFailures atomic.Uint64
	// LinkRefused counts frames that were not sent for lack of link budget.
	LinkRefused atomic.Uint64
	// QueriesFailed counts key queries without an answer from every peer.
	QueriesFailed atomic.Uint64

	mu    sync.Mutex
	bytes map[string]RegionBytes
}

// RegionBytes are the bytes exchanged with one region, with the overhead of TLS
// and without that of TCP.
type RegionBytes struct {
	Sent, Received uint64
}

func newCounters() *Counters {
	return &Counters{bytes: make(map[string]RegionBytes)}
}

// Bytes returns the bytes by the peers' region.
func (c *Counters) Bytes() map[string]RegionBytes {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(map[string]RegionBytes, len(c.bytes))
	for region, count := range c.bytes {
		copied[region] = count
	}
	return copied
}

func (c *Counters) addBytes(region string, sent, received uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.bytes[region]
	count.Sent += sent
	count.Received += received
	c.bytes[region] = count
}

// countBytes adds what the session moved since the last call. The caller holds
// the exchange's lock.
func (e *Exchange) countBytes(s *session) {
	sent, received := s.conn.sent.Load(), s.conn.received.Load()
	e.counters.addBytes(s.region, sent-s.countedSent, received-s.countedReceived)
	s.countedSent, s.countedReceived = sent, received
}
