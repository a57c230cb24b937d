package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"balsamhill/pkg/membership"
	"balsamhill/pkg/peer/peerpb"
)

// TestConvergesAfterFaults guards against regions that do not converge after faults:
// after random partitions, lost connections and restarts, every gateway gets the
// highest revision once the link is back, and none ever adopts a lower revision than it
// had.
func TestConvergesAfterFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(20261204, seed))
			runFleet(t, 4, func(f *testFleet) {
				revision := uint64(1)
				for range 40 {
					time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
					i := random.IntN(len(f.nodes))
					switch random.IntN(8) {
					case 0:
						f.net.setCut(true)
					case 1:
						f.net.setCut(false)
					case 2:
						f.net.dropOpenConns()
					case 3:
						f.restart(i)
					default:
						revision++
						f.nodes[i].offer("store", revision, fmt.Append(nil, "document ", revision))
					}
				}
				f.net.setCut(false)
				// Connections may have failed just now, so the relays' timeout is added.
				f.waitRevision(revision, membership.RelayTimeout+propagationLimit)
				for _, n := range f.nodes {
					_, document := n.current()
					assert.Equal(t, string(document), fmt.Sprint("document ", revision))
					synctest.Wait()
					for j := 1; j < len(n.previous); j++ {
						assert.Assert(t, n.previous[j] > n.previous[j-1], n.id)
					}
				}
			})
		})
	}
}

// restart replaces a node by a new incarnation that starts during a store outage.
func (f *testFleet) restart(i int) {
	old := f.nodes[i]
	old.kill()
	seeds := []string{f.nodes[(i+1)%len(f.nodes)].id, f.nodes[(i+2)%len(f.nodes)].id}
	fresh := f.add(old.id, old.region, old.config.Self.Incarnation+1, seeds...)
	fresh.MarkStoreUnreachable()
	f.nodes[i] = fresh
	f.nodes = f.nodes[:len(f.nodes)-1]
}

// TestHeartbeatsFitFixedShare guards the fixed share of the link budget: the heartbeats
// of 18 idle gateways take at most half of the budget of 18.75 KB/s in each direction.
// Frames are counted with the overhead that the link budget charges.
func TestHeartbeatsFitFixedShare(t *testing.T) {
	const (
		fixedShareBytesPerSecond = 18_750 / 2
		seconds                  = 60
	)
	runFleet(t, 9, func(f *testFleet) {
		charged := func() map[string]uint64 {
			sum := make(map[string]uint64)
			for _, n := range f.nodes {
				sum[n.region] += n.link.bytes.Load()
			}
			return sum
		}
		before := charged()
		time.Sleep(seconds * time.Second)
		for region, after := range charged() {
			rate := (after - before[region]) / seconds
			t.Logf("%s sends %d B/s across the link", region, rate)
			assert.Assert(t, rate > 0 && rate <= fixedShareBytesPerSecond, rate)
		}
	})
}

// TestSummariesAreBounded guards against summaries that exceed their byte limit, and
// against servers that are never sent because of the limit.
func TestSummariesAreBounded(t *testing.T) {
	const (
		neighbours = 8
		servers    = 910
		seconds    = 60
	)
	m := newSummaries(0)
	random := rand.New(rand.NewPCG(1, 1))
	reported := make(map[string]bool)
	sent := 0
	for tick := range seconds * 4 {
		var all []*peerpb.ServerLoad
		for i := range servers {
			all = append(all, &peerpb.ServerLoad{ServerId: fmt.Sprint("lesson-library-", i),
				InFlight: random.Int64N(8), Latency: 1_000_000 + random.Int64N(1_000_000)})
		}
		loads := m.selectLoads(int64(tick)*int64(250*time.Millisecond), all, neighbours)
		for _, load := range loads {
			reported[load.GetServerId()] = true
		}
		if len(loads) > 0 {
			sent += (proto.Size(summaryFrame(loads)) + summaryOverheadBytes) * neighbours
		}
	}
	assert.Assert(t, sent <= summaryBytesPerSecond*(seconds+1), sent)
	assert.Equal(t, len(reported), servers)
}

// TestSummariesReachRegion guards against summaries that cross the link, and against
// unchanged servers that are sent again.
func TestSummariesReachRegion(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		share := func(inFlight int64) {
			f.nodes[0].ShareSummary([]*peerpb.ServerLoad{
				{ServerId: "busy", InFlight: inFlight}, {ServerId: "idle"}})
			time.Sleep(time.Second)
			synctest.Wait()
		}
		share(1)
		share(5)
		share(5)
		for _, n := range f.nodes[1:] {
			want := "[]"
			if n.region == f.nodes[0].region {
				want = "[busy=1 idle=0 busy=5]"
			}
			assert.Equal(t, fmt.Sprint(n.loads), want, n.id)
		}
	})
}

// TestRemovedServersAreReported guards against loads that a peer never removes: those
// of a removed server, and those of a server that was removed while there was no
// session.
func TestRemovedServersAreReported(t *testing.T) {
	runFleet(t, 2, func(f *testFleet) {
		local := f.nodes[2]
		if local.region != f.nodes[0].region {
			local = f.nodes[1]
		}
		share := func(ids ...string) string {
			var loads []*peerpb.ServerLoad
			for _, id := range ids {
				loads = append(loads, &peerpb.ServerLoad{ServerId: id, InFlight: 1})
			}
			local.loads = nil
			f.nodes[0].ShareSummary(loads)
			time.Sleep(time.Second)
			synctest.Wait()
			return fmt.Sprint(local.loads)
		}
		assert.Equal(t, share("a", "b", "c"), "[a=1 b=1 c=1]")
		assert.Equal(t, share("b", "c"), "[a=0]")
		assert.Equal(t, share("b", "c"), "[]")
		f.net.dropOpenConns()
		time.Sleep(20 * time.Second)
		synctest.Wait()
		assert.Assert(t, len(local.lost) > 0)
		assert.Equal(t, share("c"), "[b=0 c=1]")
	})
}
