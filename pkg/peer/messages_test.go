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
)

// Guards that each drain notice and each suspicion reaches every other gateway,
// across the link included, that a suspicion arrives once, and that a drain
// notice keeps its age and stops circulating.
func TestNoticesReachAll(t *testing.T) {
	runRegions(t, 18, 3, func(f *testFleet) {
		f.nodes[3].AnnounceDrain(Drain{ServerID: "server-1", Incarnation: 7, Age: 3 * time.Second})
		f.nodes[3].AnnounceSuspicion(42, "server-2")
		f.nodes[3].AnnounceSuspicion(42, "server-2")
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
			assert.Equal(t, fmt.Sprint(n.suspicions), "[42 server-2 42 server-2]", n.id)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		for _, n := range f.nodes {
			reports -= len(n.drains)
		}
		assert.Equal(t, reports, 0, "reports still circulate")
	})
}

// Guards that a gateway that joins hears of all drains in force, and that the
// evidence crosses the link to speakers only.
func TestDrainsReachJoiner(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		old := f.nodes[0]
		var inForce []Drain
		for i := range 2*drainsPerFrame + 1 {
			inForce = append(inForce, Drain{ServerID: fmt.Sprint("server-", i), Age: time.Duration(i) * time.Second})
		}
		old.mu.Lock()
		old.inForce = inForce
		old.mu.Unlock()
		joiner := f.add("gw-a-new", "khomas", 1, "gw-a-0")
		f.add("gw-b-new", "erongo", 1, "gw-a-0")
		time.Sleep(5 * time.Second)
		synctest.Wait()
		for i := range inForce {
			assert.Assert(t, slices.Contains(joiner.drains, fmt.Sprintf("server-%d@%ds", i, i)))
		}
		told := 0
		for _, n := range f.nodes[3:] {
			if n.region == "erongo" && len(n.drains) > 0 {
				told++
			}
		}
		assert.Assert(t, told <= 3, "%d gateways of the far region were told", told)
	})
}

// Guards the meaning of QueryKey: true only if all gateways answered that they
// have no attempt.
func TestQueryKey(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		ask := func(n *node, key string) bool {
			began := time.Now()
			answer := n.QueryKey(context.Background(), "booking-desk", key)
			assert.Assert(t, time.Since(began) <= queryTime)
			return answer
		}
		f.nodes[4].hold("booking-desk/held")
		assert.Assert(t, ask(f.nodes[0], "free"))
		assert.Assert(t, !ask(f.nodes[0], "held"))
		var group sync.WaitGroup
		for i := range 200 {
			key := fmt.Sprint("key-", i)
			held := i%3 == 0
			if held {
				f.nodes[1].hold("booking-desk/" + key)
			}
			group.Go(func() { assert.Check(t, ask(f.nodes[0], key) == !held, key) })
		}
		group.Wait()

		f.net.setCut(true)
		assert.Assert(t, !ask(f.nodes[0], "free"), "the far region did not answer")
		// The peers are gone from the view by their heartbeats, but they were alive
		// at the last read of the rows.
		time.Sleep(time.Minute)
		assert.Assert(t, !ask(f.nodes[0], "free"), "the far region may hold attempts")

		fresh := f.add("gw-a-new", "khomas", 1, "gw-a-0")
		time.Sleep(5 * time.Second)
		assert.Assert(t, !ask(fresh, "free"), "the gateway never read the rows")
	})
}

// Guards against a peer that sends rubbish, at each stage of a session: it is
// counted, dropped, and does not disturb the others.
func TestRubbishPeer(t *testing.T) {
	runFleet(t, 2, func(f *testFleet) {
		rubbish := f.net.listen("rubbish:1", "khomas")
		hello, err := EncodeFrame(sampleFrames()[0])
		assert.NilError(t, err)
		tooLong := []byte{0xff, 0xff, 0xff, 0xff}
		for _, inside := range [][]byte{tooLong, append(hello, tooLong...), append(hello, 0, 0, 0, 2, 0x7a, 0)} {
			s := dialRaw(t, rubbish, address("gw-a-0"))
			stream, err := s.mux.OpenStream()
			assert.NilError(t, err)
			// The gateway may end the session while the rest is written.
			_, _ = stream.Write(inside)
			time.Sleep(time.Second)
			assert.Assert(t, s.mux.IsClosed())
		}
		counters := f.nodes[0].Counters()
		assert.Equal(t, counters.BadFrames.Load(), uint64(3))

		conn, err := rubbish.Dial(context.Background(), address("gw-a-0"))
		assert.NilError(t, err)
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		assert.NilError(t, err)
		// One that says nothing at all must not keep its place.
		silent := dialRaw(t, rubbish, address("gw-a-0"))
		time.Sleep(3 * time.Second)
		assert.Equal(t, counters.Refused.Load(), uint64(2))
		assert.Equal(t, len(f.nodes[0].unknown), 0)
		silent.close()
		f.nodes[0].offer("store", 2, []byte("second"))
		f.waitRevision(2, adoptionLimit)
	})
}

// dialRaw opens a session of which the test writes the frames itself.
func dialRaw(t *testing.T, network Network, address string) *session {
	t.Helper()
	conn, err := network.Dial(context.Background(), address)
	assert.NilError(t, err)
	s, err := newSession(&countedConn{Conn: conn}, conn, true, address)
	assert.NilError(t, err)
	return s
}
