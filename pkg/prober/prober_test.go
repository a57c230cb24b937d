package prober

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestProbeRateHolds guards against probes above the granted rate: over any window of a
// constant rate, a server receives at most rate × window + 1 probes, only while its
// report is stale, and one at a time.
func TestProbeRateHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.05, 20).Draw(t, "rate")
		p := New(rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		servers := make([]Server, rapid.IntRange(1, 50).Draw(t, "servers"))
		for i := range servers {
			servers[i].ID = fmt.Sprint("s-", i)
		}
		sent := make(map[string][]int64)
		var inFlight []string
		now := int64(time.Second)
		for range 200 {
			now += rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "step")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				i := rapid.IntRange(0, len(servers)-1).Draw(t, "reported")
				servers[i].ReportedAt = now
			case 1:
				for _, id := range inFlight {
					p.Done(id)
				}
				inFlight = nil
			case 2:
				assert.Equal(t, len(p.Next(now, servers, 0)), 0)
			}
			for _, id := range p.Next(now, servers, rate) {
				assert.Assert(t, !slices.Contains(inFlight, id))
				assert.Assert(t, slices.ContainsFunc(servers, func(s Server) bool { return s.ID == id && Stale(now, s) }))
				inFlight = append(inFlight, id)
				sent[id] = append(sent[id], now)
			}
			assert.Assert(t, len(inFlight) <= MaxInFlight)
		}
		for id, times := range sent {
			for i := range times {
				for j := i; j < len(times); j++ {
					window := time.Duration(times[j] - times[i]).Seconds()
					assert.Assert(t, float64(j-i+1) <= rate*window+1+1e-6, id)
				}
			}
		}
	})
}

// TestProbesNeedGrant guards against probes without a grant, and against stale servers
// that are not probed under one.
func TestProbesNeedGrant(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 2)))
	servers := []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	now := int64(10 * time.Second)
	assert.Assert(t, ProbeNeeded(now, servers))
	assert.Equal(t, len(p.Next(now, servers, 0)), 0)
	probed := make(map[string]int)
	for range 100 {
		now += int64(100 * time.Millisecond)
		for _, id := range p.Next(now, servers, 2) {
			probed[id]++
			p.Done(id)
		}
	}
	for _, server := range servers {
		assert.Assert(t, probed[server.ID] >= 19, "%s: %d", server.ID, probed[server.ID])
	}
	for i := range servers {
		servers[i].ReportedAt = now
	}
	assert.Assert(t, !ProbeNeeded(now, servers))
}
