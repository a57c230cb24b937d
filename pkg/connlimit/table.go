// Package connlimit decides what the connections at a listener may hold, one by one and all
// together, and which one is closed first when they hold too much. Package callerconn accepts,
// reads and closes them. The package does no I/O, starts no goroutine and reads no clock: times are
// nanoseconds on the monotonic clock of the process.
//
// A connection is judged by the share that it has used of the time that the limits of requests
// give it for what it does: to send a head, to send a body, to take an answer, or to send the next
// request. The one with the largest share is closed first. Callers that keep to the limits use a
// small share of each, so that they are closed last, and a connection whose request is at a server
// is never closed.
package connlimit

import (
	"bytes"
	"sync/atomic"
	"time"
)

// Rules are the limits of a listener.
type Rules struct {
	// MaxConnections bounds the open connections, and the calls in flight of connections with more
	// than one.
	MaxConnections int
	// HeadMemory is the memory in bytes that heads above freeHeadCost may take together.
	HeadMemory int64
	// BodyMemory is the memory in bytes that bodies may take together that calls keep.
	BodyMemory int64
	// MaxHeadBytes is the size of the largest head that is allowed.
	MaxHeadBytes int
	// HeaderTimeout is how long a client may take to send a head, and IdleTimeout how long it may
	// pause between requests and within bodies.
	HeaderTimeout, IdleTimeout time.Duration
}

const (
	// headSlackBytes is added to MaxHeadBytes, because a read may return bytes that follow the
	// head. It is the buffer size of net/http.
	headSlackBytes = 4096
	// byteCost and fieldCost are the memory in bytes that a byte and a field of a head take: in
	// the buffer, as strings and map entries, and again in the request to the server.
	byteCost  = 4
	fieldCost = 300
	// freeHeadCost is the cost of the largest head that does not count for Rules.HeadMemory: some
	// 40 fields of 30 bytes. It is part of what each connection takes.
	freeHeadCost = 16 << 10
	// minBodyRate is the rate in bytes per second at which a body uses no time beside its pauses.
	minBodyRate = 1 << 10
	// patience is how long the process waits for a client before it closes the connection for another
	// one. A client that keeps to the limits sends its head right after it has connected.
	patience = 30 * time.Millisecond
	// sweepSlack is how long after the end of its time a connection is closed, so that a client
	// that keeps to the limits is not cut off because of a delay on the way.
	sweepSlack = time.Second
)

type phase int

const (
	// silent connections have sent nothing yet.
	silent phase = iota
	// receivingHead connections have sent a part of a head.
	receivingHead
	// serving connections have requests whose responses are not complete.
	serving
	// idle connections have had a response and sent nothing since.
	idle
	// closed connections are no longer in the table.
	closed
)

// Reason says why a connection is closed.
type Reason string

const (
	// HeadTooLarge means that a head is larger than Rules.MaxHeadBytes.
	HeadTooLarge Reason = "head_too_large"
	// HeadMemory and BodyMemory mean that the large heads of all connections, or the bodies that
	// calls keep, take too much memory.
	HeadMemory Reason = "head_memory"
	BodyMemory Reason = "body_memory"
	// Crowded means that another connection needed the place, or that there was none for a new one.
	Crowded Reason = "crowded"
	// HeadTimeout and IdleTimeout mean that a client took too long.
	HeadTimeout Reason = "head_timeout"
	IdleTimeout Reason = "idle_timeout"
)

// Conn is one connection. BeginRead, EndRead and RecordWrite are safe for concurrent use; everything
// else belongs to the Table.
type Conn struct {
	phase phase
	// since is when the phase began.
	since int64
	// headBytes and headFields are the size of the head that is being received, headCost the part
	// of its memory that counts for Rules.HeadMemory.
	headBytes, headFields int
	headCost              int64
	// opaque connections are encrypted or multiplexed; their heads are not counted.
	opaque bool
	calls  int
	// keptBytes is what the calls keep of their bodies.
	keptBytes int64

	// reading is the number of reads of bodies that have not returned, readingSince when the last one
	// began. bodyWait is how long earlier reads took, received how many bytes they returned.
	reading, readingSince, bodyWait, received atomic.Int64
	// writingSince is when a write began that has not returned, 0 for none.
	writingSince atomic.Int64
}

// BeginRead records that a read of a body begins.
func (c *Conn) BeginRead(now int64) {
	c.readingSince.Store(now)
	c.reading.Add(1)
}

// EndRead records that a read of a body has returned n bytes.
func (c *Conn) EndRead(now int64, n int) {
	c.reading.Add(-1)
	c.bodyWait.Add(now - c.readingSince.Load())
	c.received.Add(int64(n))
}

// RecordWrite records the beginning of a write, or its end if since is 0.
func (c *Conn) RecordWrite(since int64) { c.writingSince.Store(since) }

// Table holds the connections of one listener. It is not safe for concurrent use.
type Table struct {
	conns     map[*Conn]struct{}
	heldHead  int64
	keptBytes int64
	calls     int
}

// NewTable returns a table without connections.
func NewTable() *Table {
	return &Table{conns: make(map[*Conn]struct{})}
}

// Len returns the number of connections, HeldByHeads the memory in bytes of large heads and
// KeptBytes that of bodies that calls keep.
func (t *Table) Len() int           { return len(t.conns) }
func (t *Table) HeldByHeads() int64 { return t.heldHead }
func (t *Table) KeptBytes() int64   { return t.keptBytes }

// Open adds a connection, and returns the one that is closed for it, if any. It returns a nil
// connection if there is no place for a new one now. The heads of opaque connections are not counted.
func (t *Table) Open(now int64, rules Rules, opaque bool) (opened, victim *Conn) {
	if len(t.conns) >= max(1, rules.MaxConnections) {
		victim = t.mostOverdue(now, rules, func(c *Conn) bool { return c.mayMakePlace(now, rules) })
		if victim == nil {
			return nil, nil
		}
		t.Close(victim)
	}
	opened = &Conn{since: now, opaque: opaque}
	t.conns[opened] = struct{}{}
	return opened, victim
}

// Close removes a connection.
func (t *Table) Close(c *Conn) {
	if c.phase == closed {
		return
	}
	t.releaseHead(c)
	t.releaseKept(c)
	t.calls -= c.calls
	c.phase = closed
	delete(t.conns, c)
}

// http2Preface begins each HTTP/2 connection without TLS (RFC 9113, 3.4).
var http2Preface = []byte("PRI ")

// Receive records bytes of a head. It returns the connections that are closed because of them, if
// any, and why; c itself may be among them.
func (t *Table) Receive(now int64, rules Rules, c *Conn, data []byte) (victims []*Conn, reason Reason) {
	switch c.phase {
	case serving, closed:
		return nil, ""
	case silent, idle:
		c.opaque = c.opaque || c.phase == silent && bytes.HasPrefix(data, http2Preface)
		if c.opaque {
			return nil, ""
		}
		c.phase, c.since = receivingHead, now
	}
	c.headBytes += len(data)
	c.headFields += bytes.Count(data, []byte{'\n'})
	if c.headBytes > rules.MaxHeadBytes+headSlackBytes {
		t.Close(c)
		return []*Conn{c}, HeadTooLarge
	}
	t.chargeHead(c)
	for t.heldHead > rules.HeadMemory && c.headCost > 0 {
		victim := t.mostOverdue(now, rules, func(other *Conn) bool { return other.phase == receivingHead && other.headCost > 0 })
		t.Close(victim)
		victims, reason = append(victims, victim), HeadMemory
	}
	return victims, reason
}

func (t *Table) chargeHead(c *Conn) {
	cost := max(0, int64(byteCost*c.headBytes+fieldCost*c.headFields)-freeHeadCost)
	t.heldHead += cost - c.headCost
	c.headCost = cost
}

func (t *Table) releaseHead(c *Conn) {
	t.heldHead -= c.headCost
	c.headCost, c.headBytes, c.headFields = 0, 0, 0
}

// Keep records that a call of a connection keeps more bytes of a body. It returns false if there is
// no memory for them. Bytes that are not essential to their call may take half of the memory. For
// essential ones connections are closed that keep bytes and have used more of their time than c.
func (t *Table) Keep(now int64, rules Rules, c *Conn, bytes int, essential bool) (kept bool, victims []*Conn) {
	if c.phase == closed {
		return false, nil
	}
	if !essential && t.keptBytes+int64(bytes) > rules.BodyMemory/2 {
		return false, nil
	}
	own := c.used(now, rules)
	for t.keptBytes+int64(bytes) > rules.BodyMemory {
		victim := t.mostOverdue(now, rules, func(other *Conn) bool {
			return other != c && other.keptBytes > 0 && other.mayMakePlace(now, rules)
		})
		if victim == nil || own.closable && victim.used(now, rules).share() <= own.share() {
			return false, victims
		}
		t.Close(victim)
		victims = append(victims, victim)
	}
	t.keptBytes += int64(bytes)
	c.keptBytes += int64(bytes)
	return true, victims
}

func (t *Table) releaseKept(c *Conn) {
	t.keptBytes -= c.keptBytes
	c.keptBytes = 0
}

// Admission is the decision about a request whose head is complete.
type Admission int

const (
	// Admitted requests are served.
	Admitted Admission = iota
	// Refused requests are refused because the process has too many calls in flight.
	Refused
	// Gone means that the connection is being closed, so that no response would arrive.
	Gone
)

// Begin records that the head of a request is complete.
func (t *Table) Begin(now int64, rules Rules, c *Conn) Admission {
	switch {
	case c.phase == closed:
		return Gone
	case c.calls > 0 && t.calls >= rules.MaxConnections:
		return Refused
	}
	if c.calls == 0 {
		c.phase, c.since = serving, now
		c.received.Store(0)
		c.bodyWait.Store(0)
	}
	c.calls++
	t.calls++
	return Admitted
}

// End records that the response of a request is complete. The connection is idle only after
// SetIdle, because the end of the response may still have to be sent, or the rest of the request
// to be received.
func (t *Table) End(now int64, c *Conn) {
	if c.phase == closed {
		return
	}
	c.calls--
	t.calls--
	c.since = now
	if c.calls == 0 {
		t.releaseKept(c)
	}
}

// SetIdle records that all responses of a connection have been sent.
func (t *Table) SetIdle(now int64, c *Conn) {
	if c.phase == closed || c.calls > 0 {
		return
	}
	t.releaseHead(c)
	c.phase, c.since = idle, now
}

// Expired returns the connections whose time is over, after removing them.
func (t *Table) Expired(now int64, rules Rules) map[*Conn]Reason {
	var expired map[*Conn]Reason
	for c := range t.conns {
		limit, reason := rules.IdleTimeout, IdleTimeout
		switch c.phase {
		case receivingHead:
			limit, reason = rules.HeaderTimeout, HeadTimeout
		case serving:
			continue
		}
		if now-c.since <= int64(limit+sweepSlack) {
			continue
		}
		if expired == nil {
			expired = make(map[*Conn]Reason)
		}
		expired[c] = reason
		t.Close(c)
	}
	return expired
}

// mostOverdue returns the connection among those that match which has used the largest share of
// its time, nil if none may be closed.
func (t *Table) mostOverdue(now int64, rules Rules, matches func(*Conn) bool) *Conn {
	var worst *Conn
	worstShare := -1.0
	for c := range t.conns {
		if !matches(c) {
			continue
		}
		if u := c.used(now, rules); u.closable && u.share() > worstShare {
			worst, worstShare = c, u.share()
		}
	}
	return worst
}

// used is what a connection has used of its time.
type used struct {
	// time is how long the process has waited for the client, of which allowed is its share.
	time, allowed float64
	// closable is false while requests are at servers: then the client waits for the process.
	closable bool
}

func (u used) share() float64 { return u.time / u.allowed }

// mayMakePlace reports whether the connection may be closed for another one.
func (c *Conn) mayMakePlace(now int64, rules Rules) bool {
	u := c.used(now, rules)
	return u.closable && (c.phase == idle || u.time >= float64(patience))
}

// used returns what the connection has used of its time.
func (c *Conn) used(now int64, rules Rules) used {
	elapsed := float64(now - c.since)
	pause := float64(rules.IdleTimeout)
	switch c.phase {
	case silent, receivingHead:
		return used{elapsed, float64(rules.HeaderTimeout), true}
	case idle:
		return used{elapsed, pause, true}
	}
	if c.calls == 0 {
		return used{elapsed, pause, true}
	}
	if writing := c.writingSince.Load(); writing != 0 {
		return used{float64(now - writing), pause, true}
	}
	if reading := c.reading.Load(); reading > 0 && reading == int64(c.calls) {
		allowed := pause + float64(c.received.Load())/minBodyRate*float64(time.Second)
		return used{float64(c.bodyWait.Load() + now - c.readingSince.Load()), allowed, true}
	}
	return used{}
}
