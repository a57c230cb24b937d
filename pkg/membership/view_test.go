package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const second = int64(time.Second)

func recordHeartbeat(v *View, now int64, id, region string) bool {
	return v.RecordHeartbeat(now, Gateway{ID: id, Incarnation: 1, Region: region, Peer: id, State: StateReady})
}

// TestNeighboursConnectRegion guards against gossip that does not reach a whole
// region through the neighbours, whatever its size, and against gateways with the
// same view that select different relays.
func TestNeighboursConnectRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "size")
		views := make(map[string]*View)
		for i := range size {
			id := fmt.Sprint("gw-", i)
			views[id] = NewView(Gateway{ID: id, Region: "khomas"})
			for j := range size {
				recordHeartbeat(views[id], second, fmt.Sprint("gw-", j), "khomas")
			}
		}
		reached := map[string]bool{"gw-0": true}
		queue := []string{"gw-0"}
		for len(queue) > 0 {
			neighbours := views[queue[0]].Neighbours(2 * second)
			assert.Assert(t, len(neighbours) <= fullMeshLimit)
			assert.Assert(t, !slices.Contains(neighbours, queue[0]))
			queue = queue[1:]
			for _, id := range neighbours {
				if !reached[id] {
					reached[id] = true
					queue = append(queue, id)
				}
			}
		}
		assert.Equal(t, len(reached), size)
		relays := views["gw-0"].Relays(2*second, "khomas")
		assert.Equal(t, len(relays), min(size, relaysPerRegion))
		for _, v := range views {
			assert.DeepEqual(t, v.Relays(2*second, "khomas"), relays)
		}
	})
}

// TestUnresponsiveRelayIsReplaced guards against an unresponsive relay of another
// region that is not replaced after its timeout, or that does not become a relay
// again with its next heartbeat while its row is still valid.
func TestUnresponsiveRelayIsReplaced(t *testing.T) {
	v := NewView(Gateway{ID: "gw-self", Region: "khomas"})
	start := time.Now()
	var rows []Row
	for i := range 4 {
		id := fmt.Sprint("gw-", i)
		rows = append(rows, Row{ID: id, Incarnation: 1, Region: "erongo", Peer: id, WrittenAt: start})
	}
	v.ApplyRows(second, start, rows)
	v.Expire(second)
	before := v.Relays(second, "erongo")
	unresponsive, responsive := before[0], before[1]
	now := second
	for ; now < 9*second; now += second {
		recordHeartbeat(v, now, responsive, "erongo")
		v.Expire(now)
	}
	after := v.Relays(now, "erongo")
	assert.Assert(t, !slices.Contains(after, unresponsive))
	assert.Assert(t, slices.Contains(after, responsive))
	recordHeartbeat(v, now, unresponsive, "erongo")
	assert.DeepEqual(t, v.Relays(now, "erongo"), before)
}

// TestGatewaysWithPossibleAttempts guards against a key query that leaves out an
// unresponsive gateway: missing heartbeats do not remove a gateway, only a later
// read of the rows does.
func TestGatewaysWithPossibleAttempts(t *testing.T) {
	v := NewView(Gateway{ID: "gw-self", Region: "khomas"})
	_, complete := v.GatewaysWithPossibleAttempts()
	assert.Assert(t, !complete)
	start := time.Now()
	v.ApplyRows(second, start, []Row{
		{ID: "gw-row", Incarnation: 1, Region: "khomas", WrittenAt: start.Add(-RowTTL)},
		{ID: "gw-old", Incarnation: 1, Region: "khomas", WrittenAt: start.Add(-RowTTL - 1)},
		{ID: "gw-self", Incarnation: 1, Region: "khomas", WrittenAt: start},
	})
	recordHeartbeat(v, 2*second, "gw-heartbeat", "khomas")
	v.Expire(500 * second)
	ids, complete := v.GatewaysWithPossibleAttempts()
	assert.Assert(t, complete)
	assert.DeepEqual(t, ids, []string{"gw-heartbeat", "gw-row"})
	assert.Assert(t, !v.Alive(500*second, "gw-heartbeat"))
	v.ApplyRows(501*second, start, nil)
	v.Expire(501 * second)
	ids, _ = v.GatewaysWithPossibleAttempts()
	assert.Equal(t, len(ids), 0)
}

// TestReplacedGatewayNeedsClaimsRead guards against a restarted gateway that reports
// no attempt for a key although its previous process may have one, and against a
// gateway being left out that only a peer has listed so far.
func TestReplacedGatewayNeedsClaimsRead(t *testing.T) {
	v := NewView(Gateway{ID: "gw-self", Region: "khomas"})
	v.ApplyRows(second, time.Now(), nil)
	v.RecordClaimsRead(2 * second)
	recordHeartbeat(v, 3*second, "gw", "khomas")
	_, complete := v.GatewaysWithPossibleAttempts()
	assert.Assert(t, complete)
	assert.Assert(t, v.RecordHeartbeat(4*second, Gateway{ID: "gw", Incarnation: 9, Region: "khomas"}))
	_, complete = v.GatewaysWithPossibleAttempts()
	assert.Assert(t, !complete)
	v.RecordClaimsRead(4 * second)
	_, complete = v.GatewaysWithPossibleAttempts()
	assert.Assert(t, !complete, "the read began before the restart was known")
	v.RecordClaimsRead(5 * second)
	v.AddGateway(5*second, Gateway{ID: "gw-new", Region: "khomas"})
	ids, complete := v.GatewaysWithPossibleAttempts()
	assert.Assert(t, complete)
	assert.DeepEqual(t, ids, []string{"gw", "gw-new"})
}

// TestOldIncarnationIsIgnored guards against messages and rows of a replaced
// incarnation that change the view.
func TestOldIncarnationIsIgnored(t *testing.T) {
	v := NewView(Gateway{ID: "gw-self", Region: "khomas"})
	assert.Assert(t, v.RecordHeartbeat(second, Gateway{ID: "gw", Incarnation: 2, Region: "khomas", Revision: 1}))
	assert.Assert(t, !v.RecordHeartbeat(second, Gateway{ID: "gw", Incarnation: 1, Region: "erongo", Revision: 9}))
	v.ApplyRows(second, time.Now(), []Row{{ID: "gw", Incarnation: 1, Region: "erongo", Revision: 9, WrittenAt: time.Now()}})
	known := v.KnownGateways()
	assert.Equal(t, known[0].Revision, uint64(1))
	assert.Equal(t, known[0].Region, "khomas")
	assert.Assert(t, !v.RecordHeartbeat(second, Gateway{ID: "gw-self", Incarnation: 9}))
}

// TestMayAdoptAtStart guards the bounds of the rule for a start without the
// store.
func TestMayAdoptAtStart(t *testing.T) {
	assert.Assert(t, !MayAdoptAtStart(0, 1), "no peer known")
	assert.Assert(t, MayAdoptAtStart(1, 2), "the only peer")
	assert.Assert(t, !MayAdoptAtStart(1, 3), "one of two peers")
	assert.Assert(t, MayAdoptAtStart(2, 3), "both peers")
	assert.Assert(t, !MayAdoptAtStart(2, 12), "two of many")
	assert.Assert(t, MayAdoptAtStart(3, 12), "three of many")
}
