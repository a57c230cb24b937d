package routing

import (
	"math/rand/v2"
	"slices"
)

// HotCold samples a constant number of candidates and chooses the one with the
// lowest expected time to the answer. Requests in flight count from the point
// where they exceed the slots; latency counts where it is far above that of the
// other samples. The idea of judging by requests in flight first and by latency
// second is Prequal's (Wydrowski et al., NSDI 2024); here the view comes from
// answers instead of probes.
type HotCold struct{}

const (
	// hotColdSamples is the number of candidates compared. More samples find
	// idle servers more often, but with stale views more gateways find the same one.
	hotColdSamples = 5
	// hotColdDefaultLatency is assumed for servers without a sample, in nanoseconds.
	hotColdDefaultLatency = 5e6
	// hotColdNoise divides a server's latency before it is compared to the lowest
	// of the samples: averages of healthy servers differ by about that much, and
	// choosing by noise would disturb the choice by queues.
	hotColdNoise = 1.6
	// hotColdFreeSlot is the cost of a request in flight while there are free
	// slots, as a share of the latency. It spreads work over idle servers.
	hotColdFreeSlot = 0.05
	// hotColdMaxHalvings leaves 1/32 of the weight, about one call a second at
	// the rates of today.
	hotColdMaxHalvings = 5
)

// Choose implements Policy.
func (HotCold) Choose(candidates []*Server, pick Pick) *Server {
	var indexArray [hotColdSamples]int
	var latencies [hotColdSamples]float64
	indexes := sampleDistinct(pick.Rand, len(candidates), indexArray[:0])
	for i, index := range indexes {
		latencies[i] = expectedLatency(candidates[index], pick.Now)
	}
	usual := slices.Min(latencies[:len(indexes)])
	var best, fallback *Server
	bestScore, fallbackScore := 0.0, 0.0
	// The first of several equal samples wins, so the turn starts at a random one;
	// the samples themselves are not in random order.
	offset := pick.Rand.IntN(len(indexes))
	for turn := range indexes {
		i := (offset + turn) % len(indexes)
		server := candidates[indexes[i]]
		score := hotColdScore(server, pick, max(usual, latencies[i]/hotColdNoise))
		if fallback == nil || score < fallbackScore {
			fallback, fallbackScore = server, score
		}
		// A server of share w takes part in a share w of its samples. Dividing its
		// score by w would give it nothing as long as another server is idle.
		share := hotColdShare(server)
		if share < 1 && pick.Rand.Float64() >= share {
			continue
		}
		if best == nil || score < bestScore {
			best, bestScore = server, score
		}
	}
	if best == nil {
		return fallback
	}
	return best
}

// hotColdShare halves the weight for each failure in a row. A server that fails
// fast has few requests in flight and would attract work; the halving acts at
// once, before the control loop ejects the server. The rest of its share is kept
// so that it can show its recovery.
func hotColdShare(server *Server) float64 {
	failures := server.Stats.ConsecutiveFailures.Load()
	return server.Weight / float64(int64(1)<<min(failures, hotColdMaxHalvings))
}

// hotColdScore is the expected time to the answer in nanoseconds.
func hotColdScore(server *Server, pick Pick, latency float64) float64 {
	inFlight := server.Stats.EstimatedInFlight(pick.Now)
	slots := float64(max(1, pick.Slots))
	queued := max(0, inFlight+1-slots) / slots
	return latency*(1+queued+hotColdFreeSlot*inFlight) + float64(server.Penalty)
}

// expectedLatency is the average latency. A server that keeps own requests
// waiting for longer has slowed down, and no answer can say so yet.
func expectedLatency(server *Server, now int64) float64 {
	latency := float64(server.Stats.Latency())
	if latency == 0 {
		latency = hotColdDefaultLatency
	}
	return max(latency, float64(server.Stats.UnansweredFor(now)))
}

// sampleDistinct fills chosen up to its capacity with different indexes below n.
// Every set is equally likely, but not every order
// (Floyd's algorithm; Bentley and Floyd, CACM 1987). With replacement, a sample
// of 3 of 7 servers is one single server in 2 % of all picks, however bad it is.
func sampleDistinct(random *rand.Rand, n int, chosen []int) []int {
	for limit := max(0, n-cap(chosen)); limit < n; limit++ {
		index := random.IntN(limit + 1)
		for _, other := range chosen {
			if other == index {
				index = limit
				break
			}
		}
		chosen = append(chosen, index)
	}
	return chosen
}
