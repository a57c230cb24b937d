package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/withdrawal"
)

// incarnationOf identifies the process behind an entry of a snapshot.
func incarnationOf(server *routing.Server) withdrawal.Server {
	return withdrawal.Server{ID: server.ID, Incarnation: server.Incarnation}
}

// TestLeavingIncarnationGetsNoCalls guards against calls to an incarnation that said that it
// leaves, and against a process without calls that has said nothing, after any order of
// responses, notices of peers, reads of the list, restarts and reuse of addresses. Responses
// may belong to snapshots that are no longer in force.
func TestLeavingIncarnationGetsNoCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness("g")
		h.state.Apply(second, PresetOffered{Version: version(1)})
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		leaving := map[withdrawal.Server]bool{}
		// seen holds all servers of all snapshots, to which requests may be in flight.
		var seen []*routing.Server
		now := second
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.Int64Range(0, 2*second).Draw(t, "pass")
			switch event := rapid.IntRange(0, 3).Draw(t, "event"); {
			case event == 0 && len(seen) > 0:
				server := rapid.SampledFrom(seen).Draw(t, "server")
				source := rapid.SampledFrom([]withdrawal.Source{withdrawal.SourceResponse, withdrawal.SourcePeer}).Draw(t, "source")
				server.Stats.Withdrawal.RecordLeaving(now, source)
				leaving[incarnationOf(server)] = true
			default:
				h.state.Apply(now, ServerListRead{VMs: drawList(t), Exact: rapid.Bool().Draw(t, "exact")})
			}
			checkChoice(t, h, random, now, leaving)
			h.tick(now)
			checkChoice(t, h, random, now, leaving)
			for _, server := range h.view().Servers {
				seen = append(seen, server)
				if !leaving[incarnationOf(server)] {
					assert.Equal(t, server.Availability, routing.Available, "%s of %d", server.ID, server.Incarnation)
				}
			}
		}
	})
}

// drawList draws a list in which servers are missing, are of any incarnation, or have the
// address of another one.
func drawList(t *rapid.T) []platform.VM {
	var vms []platform.VM
	for _, id := range []string{"s0", "s1", "s2"} {
		incarnation := rapid.Uint64Range(0, 3).Draw(t, "incarnation")
		if incarnation == 0 {
			continue
		}
		entry := vm(id, incarnation, platform.VMLive)
		entry.Address = rapid.SampledFrom([]string{"s0", "s1"}).Draw(t, "address")
		vms = append(vms, entry)
	}
	return vms
}

// checkChoice checks that no call is sent to a leaving incarnation, even if it is the last
// server or the snapshot was built before it said so.
func checkChoice(t *rapid.T, h *harness, random *rand.Rand, now int64, leaving map[withdrawal.Server]bool) {
	if h.snapshot == nil {
		return
	}
	for range 5 {
		server := h.view().Choose(routing.Pick{Rand: random, Now: now})
		assert.Assert(t, server == nil || !leaving[incarnationOf(server)])
	}
}

// TestResponseOfNewProcessBeforeItsEntry guards against calls to a process that said that it
// leaves before its entry was read, and against a process without calls whose predecessor under
// its ID left.
func TestResponseOfNewProcessBeforeItsEntry(t *testing.T) {
	const unixAtZero = 1_700_000_000_000 * int64(time.Millisecond)
	incarnation := func(startedAt int64) uint64 { return uint64((unixAtZero + startedAt) / int64(time.Millisecond)) }
	for _, test := range []struct {
		desc     string
		saidAt   int64
		incoming routing.Availability
	}{
		{"said by the new process", 11 * second, routing.Draining},
		{"said by the old process", 9 * second, routing.Available},
	} {
		t.Run(test.desc, func(t *testing.T) {
			h := newHarness("g")
			h.state.Apply(second, PresetOffered{Version: version(1)})
			list := func(startedAt int64) ServerListRead {
				entry := vm("s0", incarnation(startedAt), platform.VMLive)
				return ServerListRead{VMs: []platform.VM{entry}, Exact: true, UnixAtZero: unixAtZero}
			}
			h.state.Apply(second, list(second))
			h.tick(second)
			h.server("s0").Stats.Withdrawal.RecordLeaving(test.saidAt, withdrawal.SourceResponse)
			h.tick(12 * second)
			assert.Equal(t, h.server("s0").Availability, routing.Draining)
			h.state.Apply(13*second, list(10*second))
			h.tick(13 * second)
			assert.Equal(t, h.server("s0").Availability, test.incoming)
		})
	}
}

// TestWithdrawalsAreReportedOnce guards against a withdrawal without a line in the log at its
// begin or its end, and against repeated lines.
func TestWithdrawalsAreReportedOnce(t *testing.T) {
	h := newHarness("g")
	h.state.Apply(second, PresetOffered{Version: version(1)})
	h.state.Apply(second, ServerListRead{VMs: liveVMs(3), Exact: true})
	h.tick(second)
	h.server("s0").Stats.Withdrawal.RecordLeaving(2*second, withdrawal.SourcePeer)
	// A pause that is shorter than a tick is reported too.
	h.server("s1").Stats.Withdrawal.RecordPause(2*second, 10*time.Millisecond, 0)
	var reports []Action
	for now := 2 * second; now < 5*second; now += tick {
		if now == 4*second {
			h.state.Apply(now, ServerListRead{VMs: liveVMs(3)[1:], Exact: true})
		}
		for _, action := range h.state.Tick(now) {
			switch action.(type) {
			case ServerWithdrew, WithdrawalEnded:
				reports = append(reports, action)
			}
		}
	}
	left := ServerWithdrew{ServerID: "s0", Service: "s", Incarnation: 1, Leaving: true, Source: withdrawal.SourcePeer, At: 2 * second}
	paused := ServerWithdrew{ServerID: "s1", Service: "s", Incarnation: 1, At: 2 * second, Until: 2*second + 10e6}
	assert.DeepEqual(t, reports, []Action{
		left, paused, WithdrawalEnded{paused, 2*second + 10e6}, WithdrawalEnded{left, 4 * second},
	})
}

// TestReturningEntryDoesNotRepeatEndOfPause guards against a line in the log that says that a
// pause has ended long after it did, because the entry of the server disappeared and returned.
func TestReturningEntryDoesNotRepeatEndOfPause(t *testing.T) {
	h := newHarness("g")
	h.state.Apply(second, PresetOffered{Version: version(1)})
	h.state.Apply(second, ServerListRead{VMs: liveVMs(2), Exact: true})
	h.tick(second)
	h.server("s0").Stats.Withdrawal.RecordPause(second, time.Second, 0)
	h.tick(3 * second)
	h.state.Apply(4*second, ServerListRead{VMs: liveVMs(2)[1:], Exact: true})
	h.tick(4 * second)
	h.state.Apply(5*second, ServerListRead{VMs: liveVMs(2), Exact: true})
	for _, action := range h.state.Tick(5 * second) {
		_, ended := action.(WithdrawalEnded)
		assert.Assert(t, !ended, "%+v", action)
	}
}

// TestPanicThresholdAndFailuresIgnoreWithdrawals guards against a withdrawn server that is
// used because most servers are ejected, or that is ejected because it withdrew.
func TestPanicThresholdAndFailuresIgnoreWithdrawals(t *testing.T) {
	h := newHarness("g")
	h.state.Apply(second, PresetOffered{Version: version(1)})
	h.state.Apply(second, ServerListRead{VMs: liveVMs(3), Exact: true})
	h.tick(second)
	now := second
	h.server("s0").Stats.Withdrawal.RecordLeaving(now, withdrawal.SourceResponse)
	h.server("s1").Stats.Withdrawal.RecordPause(now, time.Minute, 0)
	for range 20 {
		now += tick
		for range 10 {
			h.server("s1").Stats.Shed()
			h.server("s2").Stats.Failure()
		}
		h.tick(now)
		assert.Equal(t, h.server("s1").Availability, routing.Available)
		random := rand.New(rand.NewPCG(1, 2))
		for range 20 {
			server := h.view().Choose(routing.Pick{Rand: random, Now: now})
			assert.Assert(t, server == nil || server.ID == "s2", "%v", server)
		}
	}
}
