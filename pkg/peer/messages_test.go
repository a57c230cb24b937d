package peer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/crashguard"
)

// TestNoticesReachAll guards the delivery of notices: each drain notice and each
// suspicion reaches every other gateway, also across the link. A suspicion arrives
// once, and a drain notice keeps its age and stops being forwarded.
func TestNoticesReachAll(t *testing.T) {
	runRegions(t, 18, 3, func(f *testFleet) {
		f.nodes[3].AnnounceDrain(Drain{ServerID: "server-1", Incarnation: 7, Age: 3 * time.Second})
		f.nodes[3].AnnounceSuspicion(42, crashguard.Server{ID: "server-2", Incarnation: 7})
		f.nodes[3].AnnounceSuspicion(42, crashguard.Server{ID: "server-2", Incarnation: 7})
		time.Sleep(time.Second)
		synctest.Wait()
		reports := 0
		for i, n := range f.nodes {
			reports += len(n.drains)
			for _, drain := range n.drains {
				assert.Equal(t, drain, "server-1@3s")
			}
			if i == 3 {
				assert.Equal(t, len(n.suspicions), 0)
				continue
			}
			assert.Assert(t, len(n.drains) > 0, n.id)
			assert.Equal(t, fmt.Sprint(n.suspicions), "[42 server-2 7 42 server-2 7]", n.id)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		for _, n := range f.nodes {
			reports -= len(n.drains)
		}
		assert.Equal(t, reports, 0, "drain notices are still forwarded")
	})
}

// TestDrainsReachNewGateway guards against a gateway that joins and does not receive
// all drains in force, and against drains that are sent across the link to gateways
// that are not relays.
func TestDrainsReachNewGateway(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		holder := f.nodes[0]
		var inForce []Drain
		for i := range 2*drainsPerFrame + 1 {
			inForce = append(inForce, Drain{ServerID: fmt.Sprint("server-", i), Age: time.Duration(i) * time.Second})
		}
		holder.mu.Lock()
		holder.inForce = inForce
		holder.mu.Unlock()
		added := f.add("gw-a-new", "khomas", 1, "gw-a-0")
		f.add("gw-b-new", "erongo", 1, "gw-a-0")
		time.Sleep(5 * time.Second)
		synctest.Wait()
		for i := range inForce {
			assert.Assert(t, slices.Contains(added.drains, fmt.Sprintf("server-%d@%ds", i, i)))
		}
		receivers := 0
		for _, n := range f.nodes[3:] {
			if n.region == "erongo" && len(n.drains) > 0 {
				receivers++
			}
		}
		assert.Assert(t, receivers <= 3, "%d gateways of the remote region received drains", receivers)
	})
}

// TestQueryKey guards against a QueryKey that returns true although some gateway has an
// attempt or did not reply.
func TestQueryKey(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		query := func(n *node, key string) bool {
			began := time.Now()
			noAttempt := n.QueryKey(context.Background(), "booking-desk", key)
			assert.Assert(t, time.Since(began) <= queryTimeout)
			return noAttempt
		}
		f.nodes[4].addAttempt("booking-desk/held")
		assert.Assert(t, query(f.nodes[0], "free"))
		assert.Assert(t, !query(f.nodes[0], "held"))
		var group sync.WaitGroup
		for i := range 200 {
			key := fmt.Sprint("key-", i)
			held := i%3 == 0
			if held {
				f.nodes[1].addAttempt("booking-desk/" + key)
			}
			group.Go(func() { assert.Check(t, query(f.nodes[0], key) == !held, key) })
		}
		group.Wait()

		f.net.setCut(true)
		assert.Assert(t, !query(f.nodes[0], "free"), "the remote region did not reply")
		// The heartbeats of the peers have timed out, but their rows were valid at the
		// last read.
		time.Sleep(time.Minute)
		assert.Assert(t, !query(f.nodes[0], "free"), "the remote region may hold attempts")

		fresh := f.add("gw-a-new", "khomas", 1, "gw-a-0")
		time.Sleep(5 * time.Second)
		assert.Assert(t, !query(fresh, "free"), "the gateway never read the rows")
	})
}

// TestPeerSendsInvalidData guards against a peer that sends invalid data at some stage
// of a session: it is counted and disconnected, and other sessions continue.
func TestPeerSendsInvalidData(t *testing.T) {
	runFleet(t, 2, func(f *testFleet) {
		faulty := f.net.listen("faulty:1", "khomas")
		heartbeat, err := EncodeFrame(sampleFrames()[0])
		assert.NilError(t, err)
		tooLong := []byte{0xff, 0xff, 0xff, 0xff}
		for _, data := range [][]byte{tooLong, append(heartbeat, tooLong...), append(heartbeat, 0, 0, 0, 2, 0x7a, 0)} {
			s := dialRaw(t, faulty, address("gw-a-0"))
			stream, err := s.mux.OpenStream()
			assert.NilError(t, err)
			// The gateway may close the session before all data is written.
			_, _ = stream.Write(data)
			time.Sleep(time.Second)
			assert.Assert(t, s.mux.IsClosed())
		}
		counters := f.nodes[0].Counters()
		assert.Equal(t, counters.BadFrames.Load(), uint64(3))

		conn, err := faulty.Dial(context.Background(), address("gw-a-0"))
		assert.NilError(t, err)
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		assert.NilError(t, err)
		// A connection without any data must not stay counted as unregistered.
		idle := dialRaw(t, faulty, address("gw-a-0"))
		time.Sleep(3 * time.Second)
		assert.Equal(t, counters.Refused.Load(), uint64(2))
		assert.Equal(t, len(f.nodes[0].unregistered), 0)
		idle.close()
		f.nodes[0].offer("store", 2, []byte("second"))
		f.waitRevision(2, propagationLimit)
	})
}

// dialRaw opens a session to which the test writes raw frames.
func dialRaw(t *testing.T, network Network, address string) *session {
	t.Helper()
	conn, err := network.Dial(context.Background(), address)
	assert.NilError(t, err)
	s, err := newSession(&countedConn{Conn: conn}, conn, true, address)
	assert.NilError(t, err)
	return s
}
