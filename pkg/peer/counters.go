package peer

import (
	"sync"
	"sync/atomic"
)

// Counters count events since the start.
type Counters struct {
	// Opened counts sessions whose first heartbeat was accepted.
	Opened atomic.Uint64
	// BadFrames counts sessions that ended because of invalid data.
	BadFrames atomic.Uint64
	// Refused counts connections that did not become a session: the TLS handshake
	// failed, no first heartbeat came, too many others were waiting, or a session
	// with the peer existed already.
	Refused atomic.Uint64
	// Unresponsive counts sessions that were closed because heartbeats stopped.
	Unresponsive atomic.Uint64
	// DialFailures counts connections that could not be opened.
	DialFailures atomic.Uint64
	// LinkRefused counts frames that were not sent because the link budget was
	// used up.
	LinkRefused atomic.Uint64
	// QueriesFailed counts key queries that did not get a reply from every peer.
	QueriesFailed atomic.Uint64

	mu    sync.Mutex
	bytes map[string]RegionBytes
}

// RegionBytes are the bytes exchanged with one region, including the overhead of
// TLS but not that of TCP.
type RegionBytes struct {
	Sent, Received uint64
}

func newCounters() *Counters {
	return &Counters{bytes: make(map[string]RegionBytes)}
}

// Bytes returns the bytes exchanged with each region.
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

// countBytes adds the bytes that the session transferred since the last call. The
// exchange must be locked.
func (e *Exchange) countBytes(s *session) {
	sent, received := s.conn.sent.Load(), s.conn.received.Load()
	e.counters.addBytes(s.region, sent-s.countedSent, received-s.countedReceived)
	s.countedSent, s.countedReceived = sent, received
}
