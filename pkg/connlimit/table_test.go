package connlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/connlimit"
)

var rules = connlimit.Rules{
	MaxConnections: 5, HeadMemory: 100 << 10, BodyMemory: 100 << 10, MaxHeadBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// state is what the test knows of a connection.
type state struct {
	conn *connlimit.Conn
	// waiting says that a request is in flight, and uploading that its body is not complete.
	waiting, uploading bool
}

// model drives a Table like a server does.
type model struct {
	table *connlimit.Table
	now   int64
	conns []*state
}

func (m *model) drop(c *connlimit.Conn) (dropped *state) {
	for i, s := range m.conns {
		if s.conn == c {
			m.conns = append(m.conns[:i], m.conns[i+1:]...)
			return s
		}
	}
	return nil
}

func (m *model) open(t *rapid.T) {
	allWaiting := len(m.conns) == rules.MaxConnections
	for _, s := range m.conns {
		allWaiting = allWaiting && s.waiting && !s.uploading
	}
	opened, victim := m.table.Open(m.now, rules, false)
	assert.Assert(t, opened == nil || !allWaiting)
	if opened == nil && !allWaiting {
		// A little later there is a place, unless requests hold all.
		m.now += int64(time.Second)
		opened, victim = m.table.Open(m.now, rules, false)
		assert.Assert(t, opened != nil, "a new connection has no place although requests do not hold all")
	}
	if victim != nil {
		dropped := m.drop(victim)
		assert.Assert(t, !dropped.waiting || dropped.uploading, "a connection whose request is at a server was closed")
	}
	if opened != nil {
		m.conns = append(m.conns, &state{conn: opened})
	}
}

func (m *model) receive(t *rapid.T, s *state) {
	data := make([]byte, rapid.IntRange(1, 8<<10).Draw(t, "bytes"))
	if rapid.Bool().Draw(t, "fields") {
		for i := 0; i < len(data); i += 5 {
			data[i] = '\n'
		}
	}
	victims, reason := m.table.Receive(m.now, rules, s.conn, data)
	assert.Equal(t, len(victims) == 0, reason == "")
	for _, victim := range victims {
		assert.Assert(t, !m.drop(victim).waiting)
	}
}

func (m *model) begin(t *rapid.T, s *state) {
	s.uploading = rapid.Bool().Draw(t, "body")
	if s.uploading {
		defer s.conn.BeginRead(m.now)
	}
	assert.Equal(t, m.table.Begin(m.now, rules, s.conn), connlimit.Admitted)
	s.waiting = true
}

func (m *model) keepOrEnd(t *rapid.T, s *state) {
	if rapid.Bool().Draw(t, "keep") {
		m.keep(t, s)
		return
	}
	m.end(s)
}

// keep keeps bytes of a body, which may end slower requests with bodies that are not complete.
func (m *model) keep(t *rapid.T, s *state) {
	essential := rapid.Bool().Draw(t, "essential")
	bytes := rapid.IntRange(1, 80<<10).Draw(t, "kept")
	_, victims := m.table.Keep(m.now, rules, s.conn, bytes, essential)
	assert.Assert(t, essential || len(victims) == 0)
	for _, victim := range victims {
		assert.Assert(t, victim != s.conn)
		assert.Assert(t, m.drop(victim).uploading, "a connection whose request is at a server was closed")
	}
}

func (m *model) end(s *state) {
	if s.uploading {
		s.conn.EndRead(m.now, 1)
	}
	m.table.End(m.now, s.conn)
	m.table.SetIdle(m.now, s.conn)
	s.waiting, s.uploading = false, false
}

// TestTableKeepsToLimits guards against connections or heads beyond the limits, and against the end
// of a connection whose request is at a server.
func TestTableKeepsToLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{table: connlimit.NewTable(), now: 1}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			m.now += rapid.Int64Range(0, int64(time.Second)).Draw(t, "elapsed")
			if len(m.conns) == 0 || rapid.IntRange(0, 2).Draw(t, "open") == 0 {
				m.open(t)
			} else if s := rapid.SampledFrom(m.conns).Draw(t, "connection"); !s.waiting {
				m.receive(t, s)
				if rapid.Bool().Draw(t, "complete") && m.has(s) {
					m.begin(t, s)
				}
			} else {
				m.keepOrEnd(t, s)
			}
			assert.Equal(t, m.table.Len(), len(m.conns))
			assert.Assert(t, m.table.Len() <= rules.MaxConnections)
			assert.Assert(t, m.table.HeldByHeads() <= rules.HeadMemory)
			assert.Assert(t, m.table.KeptBytes() <= rules.BodyMemory)
		}
		for len(m.conns) > 0 {
			m.table.Close(m.conns[0].conn)
			m.drop(m.conns[0].conn)
		}
		assert.Equal(t, m.table.HeldByHeads(), int64(0))
		assert.Equal(t, m.table.KeptBytes(), int64(0))
	})
}

func (m *model) has(s *state) bool {
	for _, other := range m.conns {
		if other == s {
			return true
		}
	}
	return false
}

// TestClientWithinLimitsIsKept guards against an ordinary caller that is turned away for one that
// does not keep to the limits: a client that sends nothing, a part of a head, a body that stalls or
// trickles, or that does not take its answer.
func TestClientWithinLimitsIsKept(t *testing.T) {
	second := int64(time.Second)
	slowHead := func(table *connlimit.Table, c *connlimit.Conn) {
		for at := range int64(4) {
			table.Receive(at*second/2, rules, c, []byte("a:b\r\n"))
		}
	}
	body := func(received int) func(*connlimit.Table, *connlimit.Conn) {
		return func(table *connlimit.Table, c *connlimit.Conn) {
			table.Begin(0, rules, c)
			c.BeginRead(0)
			c.EndRead(1, received)
			c.BeginRead(1)
		}
	}
	unread := func(table *connlimit.Table, c *connlimit.Conn) {
		table.Begin(0, rules, c)
		c.RecordWrite(1)
	}
	tests := map[string]func(*connlimit.Table, *connlimit.Conn){
		"sends nothing":      func(*connlimit.Table, *connlimit.Conn) {},
		"field now and then": slowHead,
		"body stalls":        body(0),
		"body trickles":      body(100),
		"answer is not read": unread,
		"rest does not come": func(table *connlimit.Table, c *connlimit.Conn) { body(0)(table, c); c.EndRead(1, 0); table.End(0, c) },
		"idle after a request": func(table *connlimit.Table, c *connlimit.Conn) {
			body(0)(table, c)
			c.EndRead(1, 0)
			table.End(0, c)
			table.SetIdle(0, c)
		},
	}
	for desc, behave := range tests {
		t.Run(desc, func(t *testing.T) {
			table := connlimit.NewTable()
			hostile, _ := table.Open(0, rules, false)
			behave(table, hostile)
			now := 2 * second
			// Ordinary callers: one is about to send, one was idle for a moment, one waits for its
			// answer, and one uploads at 100 KB/s since the beginning.
			upload, _ := table.Open(0, rules, false)
			table.Begin(0, rules, upload)
			upload.BeginRead(0)
			upload.EndRead(now-1, 200_000)
			upload.BeginRead(now - 1)
			waits, _ := table.Open(now-second, rules, false)
			table.Begin(now-second, rules, waits)
			idle, _ := table.Open(now-second/10, rules, false)
			table.Begin(now-second/10, rules, idle)
			table.End(now-second/20, idle)
			table.SetIdle(now-second/20, idle)
			_, victim := table.Open(now-second/100, rules, false)
			assert.Assert(t, victim == nil)
			_, victim = table.Open(now, rules, false)
			assert.Assert(t, victim == hostile)
		})
	}
}

// TestSlowClientsExpire guards against a client that holds a connection for longer than the limits
// allow, and against the end of one that keeps to them.
func TestSlowClientsExpire(t *testing.T) {
	table := connlimit.NewTable()
	slow, _ := table.Open(0, rules, false)
	table.Receive(0, rules, slow, []byte("GET"))
	quiet, _ := table.Open(0, rules, false)
	within := int64(rules.HeaderTimeout)
	assert.Equal(t, len(table.Expired(within, rules)), 0)
	assert.Equal(t, table.Expired(within+int64(2*time.Second), rules)[slow], connlimit.HeadTimeout)
	assert.Equal(t, len(table.Expired(int64(rules.IdleTimeout), rules)), 0)
	assert.Equal(t, table.Expired(int64(rules.IdleTimeout+2*time.Second), rules)[quiet], connlimit.IdleTimeout)
}

// TestManyCallsOfOneConnectionAreBounded guards against an HTTP/2 client whose streams take all
// calls that the process can hold.
func TestManyCallsOfOneConnectionAreBounded(t *testing.T) {
	table := connlimit.NewTable()
	greedy, _ := table.Open(0, rules, true)
	for range rules.MaxConnections {
		assert.Equal(t, table.Begin(0, rules, greedy), connlimit.Admitted)
	}
	assert.Equal(t, table.Begin(0, rules, greedy), connlimit.Refused)
	ordinary, _ := table.Open(0, rules, false)
	assert.Equal(t, table.Begin(0, rules, ordinary), connlimit.Admitted)
}

// TestCapacityIsSmallerOfBoth guards against a limit of the settings or of the system that is ignored,
// and against an unknown one that counts as 0.
func TestCapacityIsSmallerOfBoth(t *testing.T) {
	system := connlimit.Capacity{MemoryBytes: 1000, Descriptors: 10}
	assert.Equal(t, system.Restrict(connlimit.Capacity{MemoryBytes: 500}), connlimit.Capacity{MemoryBytes: 500, Descriptors: 10})
	assert.Equal(t, system.Restrict(connlimit.Capacity{MemoryBytes: 2000, Descriptors: 5}), connlimit.Capacity{MemoryBytes: 1000, Descriptors: 5})
	unknown := connlimit.Capacity{}.Restrict(connlimit.Capacity{Descriptors: 5}).OrDefault()
	assert.Equal(t, unknown.Descriptors, 5)
	assert.Assert(t, unknown.MemoryBytes > 0)
}

// TestSharesFollowMachine guards against limits that a machine cannot hold, and against ones that
// are too small for a small machine.
func TestSharesFollowMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(64<<20, 64<<30).Draw(t, "memory")
		descriptors := rapid.IntRange(600, 1<<20).Draw(t, "descriptors")
		s := connlimit.Divide(connlimit.Capacity{MemoryBytes: memory, Descriptors: descriptors})
		assert.Assert(t, s.Callers+2*s.Gateways+s.Bootstrap+2*s.Auxiliary+s.Servers < descriptors)
		const callMemory = 48 << 10
		assert.Assert(t, int64(s.Callers)*callMemory+s.HeadMemory+s.BodyMemory < memory*2/3)
		assert.Assert(t, s.Callers >= 100)
	})
}

// TestRequestOfClosedConnectionIsGone guards against a request that is sent to a server although its
// connection was closed for another one, so that its answer reaches nobody.
func TestRequestOfClosedConnectionIsGone(t *testing.T) {
	table := connlimit.NewTable()
	one := rules
	one.MaxConnections = 1
	first, _ := table.Open(0, one, false)
	none, victim := table.Open(1, one, false)
	assert.Assert(t, none == nil && victim == nil, "a connection was closed before its client could send")
	second, victim := table.Open(int64(time.Second), one, false)
	assert.Assert(t, victim == first)
	assert.Equal(t, table.Begin(2, one, first), connlimit.Gone)
	assert.Equal(t, table.Begin(2, one, second), connlimit.Admitted)
}

// TestStalledBodiesMakePlace guards against bodies that stall and take the memory for those of ordinary
// callers.
func TestStalledBodiesMakePlace(t *testing.T) {
	table := connlimit.NewTable()
	begin := func(at int64) *connlimit.Conn {
		c, _ := table.Open(at, rules, false)
		table.Begin(at, rules, c)
		c.BeginRead(at)
		return c
	}
	stalled := begin(0)
	kept, _ := table.Keep(0, rules, stalled, int(rules.BodyMemory), true)
	assert.Assert(t, kept)
	ordinary := begin(int64(time.Second))
	kept, victims := table.Keep(int64(time.Second), rules, ordinary, 1000, false)
	assert.Assert(t, !kept && len(victims) == 0)
	kept, victims = table.Keep(int64(time.Second), rules, ordinary, 1000, true)
	assert.Assert(t, kept)
	assert.DeepEqual(t, len(victims), 1)
	assert.Assert(t, victims[0] == stalled)
	kept, _ = table.Keep(int64(time.Second), rules, stalled, 1, true)
	assert.Assert(t, !kept, "a closed connection keeps bytes")
}

// TestCopiesLeaveMemoryForEssentialBodies guards against copies of uploads, kept for a second attempt,
// for which slower callers are closed.
func TestCopiesLeaveMemoryForEssentialBodies(t *testing.T) {
	table := connlimit.NewTable()
	upload, _ := table.Open(0, rules, false)
	table.Begin(0, rules, upload)
	upload.BeginRead(0)
	half := int(rules.BodyMemory / 2)
	kept, _ := table.Keep(0, rules, upload, half, false)
	assert.Assert(t, kept)
	kept, _ = table.Keep(0, rules, upload, 1, false)
	assert.Assert(t, !kept)
	now := int64(time.Second)
	other, _ := table.Open(now, rules, false)
	table.Begin(now, rules, other)
	kept, victims := table.Keep(now, rules, other, half, true)
	assert.Assert(t, kept && len(victims) == 0)
}
