package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
)

const tick = int64(TickInterval)

// delayedEvent is an event on its way to a gateway.
type delayedEvent struct {
	to    int
	at    int64
	event Event
}

// TestLeavingServerGetsNoNewWork guards against new work for a server that has been
// leaving for more than 5 s. Its health endpoint keeps reporting it as healthy,
// the list lags for up to 45 s, returns to older states and is empty at times,
// one gateway receives the drain notice once, and gateways restart.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := make([]*harness, rapid.IntRange(1, 5).Draw(t, "gateways"))
		startGateway := func(i int, now int64, list []platform.VM) {
			h := newHarness(fmt.Sprintf("g%d", i))
			h.state.Apply(now, ServerListRead{VMs: list})
			h.state.Apply(now, PresetOffered{Version: version(1)})
			for j, other := range gateways {
				if other == nil || j == i {
					continue
				}
				for _, drain := range other.state.Drains(now) {
					h.state.Apply(now, asNotice(drain, "peer"))
				}
			}
			gateways[i] = h
			h.tick(now)
		}
		before, after := liveVMs(3), liveVMs(3)
		if rapid.Bool().Draw(t, "older incarnation in lagging lists") {
			before[0].Incarnation, after[0].Incarnation = 1, 2
		}
		leaving := slices.Clone(after)
		leaving[0].State = platform.VMLeaving
		for i := range gateways {
			startGateway(i, second, after)
		}
		leavesAt := second + rapid.Int64Range(0, 3*second).Draw(t, "leaves after")
		noticedAt := leavesAt + rapid.Int64Range(0, 4*second).Draw(t, "noticed after")
		listedAt := leavesAt + rapid.Int64Range(0, 45*second).Draw(t, "list lag")
		observer := rapid.IntRange(0, len(gateways)-1).Draw(t, "observer")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var inTransit []delayedEvent
		noticed := false
		for now := 2 * second; now < listedAt+30*second; now += tick {
			if !noticed && now >= noticedAt {
				noticed = true
				gateways[observer].server("s0").Stats.DrainNoticedAt.Store(now)
			}
			for i, h := range gateways {
				switch random.IntN(12) {
				case 0:
					h.state.Apply(now, ServerListRead{VMs: listAt(random, now >= listedAt, before, after, leaving)})
				case 1:
					// Without a peer a restarted gateway has no source for what
					// the list does not show yet.
					if len(gateways) > 1 && now > noticedAt+second && random.IntN(20) == 0 {
						startGateway(i, now, listAt(random, now >= listedAt, before, after, leaving))
					}
				}
			}
			inTransit = deliver(gateways, inTransit, now)
			for i, h := range gateways {
				h = gateways[i]
				h.tick(now)
				inTransit = append(inTransit, broadcastDrains(gateways, i, h.announced, now, random)...)
				if now < leavesAt+5*second {
					continue
				}
				view := h.view()
				picked := view.Choose(routing.Pick{Rand: random, Now: now})
				if len(view.Servers) == 0 {
					// The gateway restarted with an empty list.
					continue
				}
				assert.Assert(t, picked != nil && picked.ID != "s0", "gateway %d at %d", i, now)
			}
		}
	})
}

// listAt returns what one read of the list may show.
func listAt(random *rand.Rand, listed bool, before, after, leaving []platform.VM) []platform.VM {
	choices := [][]platform.VM{before, after, after[1:], nil}
	if listed {
		choices = append(choices, leaving, leaving)
	}
	return choices[random.IntN(len(choices))]
}

func asNotice(drain AnnounceDrain, peer string) DrainNoticed {
	return DrainNoticed{ServerID: drain.ServerID, Incarnation: drain.Incarnation, FromPeer: peer, Age: drain.Age}
}

// broadcastDrains returns the notices for all gateways, with delays of up to
// 500 ms, some of them twice.
func broadcastDrains(gateways []*harness, from int, announced []AnnounceDrain, now int64, random *rand.Rand) []delayedEvent {
	var events []delayedEvent
	for _, drain := range announced {
		for to := range gateways {
			for range 1 + random.IntN(2) {
				events = append(events, delayedEvent{
					to: to, at: now + random.Int64N(second/2), event: asNotice(drain, fmt.Sprintf("g%d", from)),
				})
			}
		}
	}
	return events
}

func deliver(gateways []*harness, events []delayedEvent, now int64) []delayedEvent {
	var later []delayedEvent
	for _, m := range events {
		if m.at > now {
			later = append(later, m)
			continue
		}
		gateways[m.to].state.Apply(now, m.event)
	}
	return later
}

// TestNoticesExpire guards against gateways that keep a notice in force by
// forwarding it to each other: if the server does not repeat it, all drop it
// after 60 s.
func TestNoticesExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := make([]*harness, rapid.IntRange(2, 5).Draw(t, "gateways"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for i := range gateways {
			gateways[i] = newHarness(fmt.Sprintf("g%d", i))
			gateways[i].state.Apply(second, ServerListRead{VMs: liveVMs(3)})
			gateways[i].state.Apply(second, PresetOffered{Version: version(1)})
		}
		gateways[0].state.Apply(second, DrainNoticed{ServerID: "s0"})
		var inTransit []delayedEvent
		for now := second; now < 64*second; now += tick {
			inTransit = deliver(gateways, inTransit, now)
			for i, h := range gateways {
				h.tick(now)
				inTransit = append(inTransit, broadcastDrains(gateways, i, h.announced, now, random)...)
			}
		}
		for _, h := range gateways {
			assert.Equal(t, h.server("s0").Availability, routing.Available)
		}
	})
}

// TestRepeatedNoticesReachAllGateways guards against evidence that expires at
// gateways that are no neighbours of the one that receives the server's notices,
// and against notices that circulate after the server stopped sending them. In
// the test, the gateways are connected in a line.
func TestRepeatedNoticesReachAllGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := make([]*harness, rapid.IntRange(3, 4).Draw(t, "gateways"))
		for i := range gateways {
			gateways[i] = newHarness(fmt.Sprintf("g%d", i))
			gateways[i].state.Apply(second, ServerListRead{VMs: liveVMs(3)})
			gateways[i].state.Apply(second, PresetOffered{Version: version(1)})
			gateways[i].tick(second)
		}
		delay := rapid.Int64Range(tick, second/2).Draw(t, "delay")
		noticeInterval := rapid.Int64Range(tick, 15*second).Draw(t, "notice interval")
		const until = 80 * second
		var inTransit []delayedEvent
		for now := 2 * second; now < until+70*second; now += tick {
			if now < until && now%noticeInterval < tick {
				gateways[0].server("s0").Stats.DrainNoticedAt.Store(now)
			}
			inTransit = deliver(gateways, inTransit, now)
			for i, h := range gateways {
				h.tick(now)
				for _, drain := range h.announced {
					for _, to := range []int{i - 1, i + 1} {
						if to >= 0 && to < len(gateways) {
							inTransit = append(inTransit, delayedEvent{to: to, at: now + delay, event: asNotice(drain, "peer")})
						}
					}
				}
				if now > 20*second && now < until {
					assert.Equal(t, h.server("s0").Availability, routing.Draining, "gateway %d at %d", i, now)
				}
			}
		}
		for i, h := range gateways {
			assert.Equal(t, h.server("s0").Availability, routing.Available, "gateway %d", i)
		}
		h := gateways[0]
		h.state.Apply(300*second, DrainNoticed{ServerID: "s1", Age: 7 * second})
		h.state.Apply(301*second, PeerJoined{Peer: "new"})
		for _, action := range h.state.Tick(301 * second) {
			if sent, ok := action.(SendDrains); ok {
				assert.DeepEqual(t, sent.Drains, []AnnounceDrain{{ServerID: "s1", Incarnation: 1, Age: 8 * second}})
				return
			}
		}
		t.Fatal("no drain was sent to a peer that joined")
	})
}

// TestEjectionBound guards against the ejection of more than half of the eligible
// servers, whatever fails, drains or is in maintenance: a service with an eligible
// server is never empty.
func TestEjectionBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness("g")
		vms := liveVMs(rapid.IntRange(1, 9).Draw(t, "servers"))
		h.state.Apply(second, PresetOffered{Version: version(1)})
		revision := uint64(1)
		for now := second; now < 20*second; now += rapid.Int64Range(tick, 2*second).Draw(t, "gap") {
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "server")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				revision++
				h.state.Apply(now, PresetOffered{Version: version(revision, vms[i].ID)})
			case 1:
				vms[i].State = platform.VMLeaving
			case 2:
				h.state.Apply(now, DrainNoticed{ServerID: vms[i].ID})
			case 3:
				vms[i].Incarnation++
				vms[i].State = platform.VMLive
			}
			h.state.Apply(now, ServerListRead{VMs: vms})
			h.tick(now)
			failing := rapid.IntRange(0, len(vms)).Draw(t, "failing")
			for _, server := range h.view().Servers[:failing] {
				server.Stats.Failures.Add(20)
				server.Stats.ConsecutiveFailures.Add(20)
			}
			h.tick(now)
			ejected, usable := 0, h.view().Usable()
			for _, server := range h.view().Servers {
				if server.Availability == routing.Ejected {
					ejected++
				}
			}
			assert.Assert(t, ejected <= usable, "%d ejected, %d usable", ejected, usable)
		}
	})
}

// TestPresetAdoption guards against a revision that decreases and against a snapshot
// that mixes revisions, whatever versions gateways receive in whatever order.
func TestPresetAdoption(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := make([]*harness, rapid.IntRange(2, 4).Draw(t, "gateways"))
		highest := make([]uint64, len(gateways))
		for i := range gateways {
			gateways[i] = newHarness(fmt.Sprintf("g%d", i))
			gateways[i].state.Apply(second, ServerListRead{VMs: liveVMs(2)})
		}
		sent := []preset.Version{version(1)}
		top := uint64(1)
		for now := second; now < 8*second; now += tick {
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				top += rapid.Uint64Range(1, 3).Draw(t, "step")
				sent = append(sent, version(top))
			}
			to := rapid.IntRange(0, len(gateways)-1).Draw(t, "to")
			offered := rapid.SampledFrom(sent).Draw(t, "version")
			h := gateways[to]
			h.state.Apply(now, PresetOffered{Version: offered, Source: "peer"})
			previous := h.snapshot
			h.tick(now)
			got := h.snapshot.Version.Revision
			assert.Assert(t, got >= highest[to] && got >= offered.Revision)
			assert.Equal(t, h.view().Tuning.QueueMillis, int64(got))
			if previous != nil {
				assert.Equal(t, previous.Services["s"].Tuning.QueueMillis, int64(previous.Version.Revision))
			}
			highest[to] = got
		}
		for _, h := range gateways {
			h.state.Apply(9*second, PresetOffered{Version: sent[len(sent)-1]})
			h.tick(9 * second)
			assert.Equal(t, h.snapshot.Version.Revision, top)
		}
	})
}

// TestSubset guards against subsets of another size than subsetSize, against more
// than one new member after the loss of one, and against servers that no gateway
// uses.
func TestSubset(t *testing.T) {
	vms := liveVMs(200)
	usedBy := make(map[string]int)
	for i := range 12 {
		h := newHarness(fmt.Sprintf("g%d", i))
		h.state.Apply(second, PresetOffered{Version: version(1)})
		h.state.Apply(second, ServerListRead{VMs: vms})
		h.tick(second)
		chosen := make(map[string]bool)
		for _, server := range h.view().Local {
			chosen[server.ID] = true
			usedBy[server.ID]++
		}
		assert.Equal(t, len(chosen), subsetSize)
		h.state.Apply(2*second, DrainNoticed{ServerID: h.view().Local[0].ID})
		h.tick(2 * second)
		added := 0
		for _, server := range h.view().Local {
			if !chosen[server.ID] {
				added++
			}
		}
		assert.Equal(t, added, 1)
		assert.Equal(t, len(h.view().Local), subsetSize)
	}
	assert.Assert(t, len(usedBy) > 190, "only %d servers are used at all", len(usedBy))
}

// TestSpillSettles guards against a share that oscillates or overloads the remote
// region: under a constant load it settles, to 0 below the threshold.
func TestSpillSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		localOffered := rapid.Float64Range(0.3, 1.4).Draw(t, "local offered load")
		remoteOffered := rapid.Float64Range(0.2, 0.85).Draw(t, "remote offered load")
		const threshold = 0.9
		var spill spillController
		queue, low, high := 0.0, 1.0, 0.0
		for i := range int64(600) {
			arriving := localOffered * (1 - spill.share)
			// Work beyond the slots queues up to 8 times the slots.
			queue = min(8, max(0, queue+(arriving-1)*0.1*20))
			local := min(1, arriving)
			if queue > 0 {
				local = 1
			}
			remote := remoteOffered + localOffered*spill.share
			spill.update(second+i*tick, local, remote, spill.share > 0, threshold)
			if i > 400 {
				low, high = min(low, spill.share), max(high, spill.share)
			}
		}
		assert.Assert(t, high-low < 0.05, "share between %v and %v", low, high)
		assert.Assert(t, localOffered > threshold-0.01 || high == 0, "share %v", high)
		assert.Assert(t, remoteOffered+localOffered*high < threshold+0.05)
		remoteCapacity := threshold - remoteOffered
		if need := localOffered - threshold; need > 0.02 && need < remoteCapacity-0.05 {
			assert.Assert(t, localOffered*(1-high) < threshold+0.05, "local load stays at %v", localOffered*(1-high))
		}
	})
}
