package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/withdrawal"
)

func testServers(n int) []*Server {
	servers := make([]*Server, n)
	for i := range servers {
		servers[i] = &Server{ID: fmt.Sprintf("s%d", i), Region: "r", Weight: 1, Stats: &Stats{Withdrawal: &withdrawal.Status{}}}
		servers[i].Stats.Success(1, 5e6)
	}
	return servers
}

func testView(policy preset.Policy, servers []*Server) *ServiceView {
	return NewServiceView("s", 4, "r", preset.Tuning{Policy: policy}, servers)
}

// BenchmarkPick shows that the time of a choice does not grow with the number of
// servers and that a choice allocates nothing.
func BenchmarkPick(b *testing.B) {
	for _, policy := range []preset.Policy{preset.PolicyHotCold, preset.PolicyPowerOfTwo, preset.PolicyWeightedLoad} {
		for _, n := range []int{10, 100, 910} {
			b.Run(fmt.Sprintf("%s/%d", policy, n), func(b *testing.B) {
				view := testView(policy, testServers(n))
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					random := rand.New(rand.NewPCG(1, 2))
					for pb.Next() {
						server := view.Choose(Pick{Rand: random, Now: 1e9})
						server.Stats.Start()
						server.Stats.End()
					}
				})
			})
		}
	}
}

// BenchmarkPickByExpectedLatency measures a choice among all servers of a subset, which the
// platform's gateways make for each request.
func BenchmarkPickByExpectedLatency(b *testing.B) {
	for _, n := range []int{3, 12, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			servers := testServers(n)
			for _, server := range servers {
				server.Stats.ReportLoad(1e9, 2, 1000)
			}
			view := testView(preset.PolicyLeastExpectedLatency, servers)
			random := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				view.Choose(Pick{Rand: random, Now: 1e9})
			}
		})
	}
}

// TestShareOfCallsFollowsWeight guards against a server in slow start that receives
// no calls, or its full share: while all servers are idle, its share is about its
// weight.
func TestShareOfCallsFollowsWeight(t *testing.T) {
	for _, weight := range []float64{0.1, 0.5, 0.9} {
		t.Run(fmt.Sprintf("weight %v", weight), func(t *testing.T) {
			servers := testServers(8)
			servers[3].Weight = weight
			view := testView(preset.PolicyHotCold, servers)
			random := rand.New(rand.NewPCG(1, 2))
			counts := make(map[string]int)
			for range 80_000 {
				counts[view.Choose(Pick{Rand: random, Now: 1e9}).ID]++
			}
			others := float64(80_000-counts["s3"]) / 7
			share := float64(counts["s3"]) / others
			assert.Assert(t, share > 0.7*weight && share < 1.3*weight, "share %v", share)
		})
	}
}

// TestSampleDistinct guards against indexes that are out of range, drawn twice in a
// sample, or never drawn.
func TestSampleDistinct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "n")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		counts := make([]int, n)
		for range 100 * n {
			var array [hotColdSamples]int
			seen := make(map[int]bool)
			for _, index := range sampleDistinct(random, n, array[:0]) {
				assert.Assert(t, !seen[index])
				seen[index] = true
				counts[index]++
			}
			assert.Equal(t, len(seen), min(n, hotColdSamples))
		}
		for _, count := range counts {
			assert.Assert(t, count > 0)
		}
	})
}

// TestTriedServerIsNotChosenAgain guards against a retry that is sent to the server
// that has just failed while an untried one is available.
func TestTriedServerIsNotChosenAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := testServers(rapid.IntRange(1, 12).Draw(t, "servers"))
		for _, server := range servers {
			server.Weight = rapid.Float64Range(0.05, 1).Draw(t, "weight")
			if rapid.Bool().Draw(t, "remote") {
				server.Region = "other"
			}
		}
		policies := []preset.Policy{
			preset.PolicyRandom, preset.PolicyRoundRobin, preset.PolicyLeastInFlight,
			preset.PolicyPowerOfTwo, preset.PolicyWeightedLoad, preset.PolicyHotCold,
		}
		view := testView(rapid.SampledFrom(policies).Draw(t, "policy"), servers)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var tried []*Server
		for range servers {
			server := view.Choose(Pick{Rand: random, Now: 1e9, Tried: tried})
			assert.Assert(t, server != nil && !contains(tried, server))
			tried = append(tried, server)
		}
		assert.Assert(t, view.Choose(Pick{Rand: random, Now: 1e9, Tried: tried}) == nil)
	})
}

// TestSlowServersAreAvoided guards against choosing servers that appear idle because
// they do not respond, or because they fail fast.
func TestSlowServersAreAvoided(t *testing.T) {
	tests := []struct {
		desc    string
		degrade func(*Stats)
	}{
		{"requests wait without a response", func(s *Stats) { s.recordChoice(1e9); s.Start() }},
		{"the last report shows a queue", func(s *Stats) { s.Start(); s.Report(1e9, 12) }},
		{"much slower than the others", func(s *Stats) {
			for range 50 {
				s.Success(1e9, 50e6)
			}
		}},
		{"fails fast", func(s *Stats) { s.Failure(); s.Failure(); s.Failure() }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			servers := testServers(8)
			test.degrade(servers[0].Stats)
			view := testView(preset.PolicyHotCold, servers)
			random := rand.New(rand.NewPCG(1, 2))
			count := 0
			for range 1000 {
				if view.Choose(Pick{Rand: random, Now: 1.1e9}) == servers[0] {
					count++
				}
				for _, server := range servers[1:] {
					server.Stats.busySince.Store(0)
				}
			}
			assert.Assert(t, count < 25, "chosen %d times of 1000", count)
		})
	}
}

// TestLongUploadDoesNotStarveServer guards against a server that is avoided
// permanently because it runs one long call, which produces neither a response nor a
// load report. Set-up: every server runs one call, and the last report of the first
// server shows a queue.
func TestLongUploadDoesNotStarveServer(t *testing.T) {
	servers := testServers(8)
	servers[0].Stats.Report(1e9, 20)
	for _, server := range servers {
		server.Stats.recordChoice(1e9)
		server.Stats.Start()
	}
	view := testView(preset.PolicyHotCold, servers)
	random := rand.New(rand.NewPCG(1, 2))
	count := 0
	const calls = 8000
	for i := range int64(calls) {
		now := 3e9 + i*10e6
		server := view.Choose(Pick{Rand: random, Now: now})
		if server == servers[0] {
			count++
		}
		server.Stats.Start()
		server.Stats.Success(now+5e6, 5e6)
		server.Stats.End()
	}
	assert.Assert(t, count > calls/8/2 && count < calls/8*2, "chosen %d times of %d", count, calls)
}
