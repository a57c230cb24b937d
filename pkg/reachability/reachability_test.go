package reachability

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func testServers(count int) []Server {
	servers := make([]Server, count)
	for n := range servers {
		servers[n] = Server{
			Address: fmt.Sprintf("server-%d", n), Service: fmt.Sprintf("service-%d", n%3), FailureDomain: fmt.Sprintf("domain-%d", n%4),
		}
	}
	return servers
}

const ms = int64(time.Millisecond)

// TestOneFailingServerRaisesNoSuspicion guards against connections to further servers for each
// server that fails alone.
func TestOneFailingServerRaisesNoSuspicion(t *testing.T) {
	var tracker Tracker
	random := rand.New(rand.NewPCG(1, 1))
	for n := range int64(50) {
		tracker.ConnectFailed(n*ms, "server-0", n*ms)
		tracker.Unanswered("server-0", n*ms)
		assert.Equal(t, len(tracker.Check(n*ms, testServers(6), random)), 0)
	}
}

// TestFewServersThatCrashAreNoCut guards against a gateway that hands off a request that has crashed
// all servers of a small deployment to gateways that know less of these crashes.
func TestFewServersThatCrashAreNoCut(t *testing.T) {
	for count := 1; count < minServers; count++ {
		var tracker Tracker
		servers := testServers(count)
		for n := range int64(50) {
			for _, s := range servers {
				tracker.ConnectFailed(n*ms, s.Address, n*ms)
				tracker.Unanswered(s.Address, n*ms)
			}
			assert.Equal(t, len(tracker.Check(n*ms, servers, rand.New(rand.NewPCG(1, 1)))), 0)
		}
		state, _ := tracker.State()
		assert.Equal(t, state, Reachable)
	}
}

// TestFailedServiceIsNoCut guards against a gateway that takes the crash of all servers of a
// service for a cut of its own links.
func TestFailedServiceIsNoCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		servers := testServers(rapid.IntRange(minServers, 40).Draw(t, "servers"))
		var tracker Tracker
		for step := range int64(200) {
			now := step * 20 * ms
			for _, s := range servers {
				if s.Service == "service-0" && rapid.Bool().Draw(t, "tried") {
					tracker.ConnectFailed(now, s.Address, now)
				}
			}
			for _, s := range tracker.Check(now, servers, random) {
				if s.Service == "service-0" {
					tracker.ConnectFailed(now, s.Address, now)
				} else {
					tracker.Connected(now, s.Address, now)
				}
			}
			state, _ := tracker.State()
			assert.Assert(t, state != Isolated)
		}
	})
}

// links is a model of the links between a gateway and the servers.
type links struct {
	tracker Tracker
	servers []Server
	random  *rand.Rand
	cut     bool
	checks  int
}

// step makes the checks that are due, and some connections of calls.
func (l *links) step(now int64, calls []int) {
	connect := func(s Server) {
		if l.cut {
			l.tracker.ConnectFailed(now, s.Address, now)
			return
		}
		l.tracker.Connected(now, s.Address, now)
		l.tracker.Heard(now)
	}
	for _, n := range calls {
		connect(l.servers[n%len(l.servers)])
	}
	for _, s := range l.tracker.Check(now, l.servers, l.random) {
		l.checks++
		connect(s)
	}
}

// TestCutIsFoundAndEnds guards against a gateway that does not learn of a cut, or of its end,
// soon after several calls have met it, and against many connections that look for its end.
func TestCutIsFoundAndEnds(t *testing.T) {
	const stepTime = 10 * ms
	rapid.Check(t, func(t *rapid.T) {
		l := &links{
			servers: testServers(rapid.IntRange(minServers, 40).Draw(t, "servers")),
			random:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		}
		calls := rapid.SliceOfN(rapid.IntRange(0, 1000), 0, 3)
		now := stepTime
		run := func(steps int) {
			for range steps {
				l.step(now, calls.Draw(t, "calls"))
				now += stepTime
			}
		}
		run(rapid.IntRange(0, 30).Draw(t, "before"))
		state, _ := l.tracker.State()
		assert.Equal(t, state, Reachable)
		l.cut = true
		cutAt := now
		run(int(int64(minSuspicionInterval) / stepTime))
		l.step(now, []int{0, 1})
		now += stepTime
		state, _ = l.tracker.State()
		assert.Equal(t, state, Isolated)
		assert.Assert(t, l.tracker.LostAt() >= cutAt)
		l.checks = 0
		run(100)
		assert.Assert(t, l.checks <= int(100*stepTime/int64(isolatedCheckInterval))+1, "%d checks", l.checks)
		l.cut = false
		run(2 + int(int64(isolatedCheckInterval)/stepTime))
		state, _ = l.tracker.State()
		assert.Equal(t, state, Reachable)
		assert.Assert(t, !l.tracker.Doubtful())
	})
}

// TestOpenConnectionsDoNotHideCut guards against a gateway that counts responses on connections
// that were open before the cut as a sign that new ones can be opened.
func TestOpenConnectionsDoNotHideCut(t *testing.T) {
	var tracker Tracker
	random := rand.New(rand.NewPCG(1, 1))
	servers := testServers(9)
	for n := range int64(2) {
		tracker.Heard(n*ms + 1)
		tracker.ConnectFailed(n*ms, servers[n].Address, n*ms)
	}
	for _, s := range tracker.Check(2*ms, servers, random) {
		tracker.Heard(2*ms + 1)
		tracker.ConnectFailed(2*ms, s.Address, 2*ms)
	}
	state, _ := tracker.State()
	assert.Equal(t, state, Isolated)
}

// TestConnectionFromBeforeCutDoesNotEndSuspicion guards against a connection that was accepted
// before the cut and that ends the suspicion because its result is read late.
func TestConnectionFromBeforeCutDoesNotEndSuspicion(t *testing.T) {
	var tracker Tracker
	random := rand.New(rand.NewPCG(1, 1))
	servers := testServers(9)
	tracker.Unanswered(servers[0].Address, 5*ms)
	tracker.Unanswered(servers[1].Address, 6*ms)
	picked := tracker.Check(300*ms, servers, random)
	assert.Equal(t, len(picked), checkServers)
	tracker.Connected(301*ms, servers[8].Address, 4*ms)
	state, _ := tracker.State()
	assert.Equal(t, state, Suspected)
}

// TestFailureBesideResponseOfOtherServerIsNoEvidence guards against suspicions because of slow
// servers while others respond.
func TestFailureBesideResponseOfOtherServerIsNoEvidence(t *testing.T) {
	var tracker Tracker
	servers := testServers(9)
	tracker.Heard(10 * ms)
	for _, s := range servers {
		tracker.Unanswered(s.Address, 9*ms)
	}
	assert.Assert(t, !tracker.Doubtful())
	assert.Equal(t, len(tracker.Check(300*ms, servers, rand.New(rand.NewPCG(1, 1)))), 0)
}

// TestChecksSpreadOverServicesAndDomains guards against a suspicion that is verified by servers
// that fail together, or that were not heard of for long.
func TestChecksSpreadOverServicesAndDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		servers := testServers(24)
		for n := range servers {
			if n >= 12 {
				servers[n].ReportedAt = 10_000 * ms
			}
		}
		services, domains := make(map[string]bool), make(map[string]bool)
		for _, s := range pickServers(10_001*ms, servers, map[string]bool{"server-20": true}, checkServers, random) {
			assert.Assert(t, s.ReportedAt != 0 && s.Address != "server-20", "picked %s", s.Address)
			services[s.Service], domains[s.FailureDomain] = true, true
		}
		assert.Equal(t, len(services), checkServers)
		assert.Equal(t, len(domains), checkServers)
	})
}
