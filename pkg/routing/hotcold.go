package routing

import (
	"math/rand/v2"
	"slices"
)

// HotCold samples a constant number of candidates and chooses the one with the
// lowest expected time to the response. Requests in flight count mainly from the
// point where they exceed the slots; latency counts where it is far above that of
// the other samples. The policy is inspired by Prequal (Wydrowski et al., NSDI
// 2024), but one score replaces Prequal's comparison of hot and cold servers, and
// the data come from responses instead of probes.
type HotCold struct{}

const (
	// hotColdSamples is the number of candidates compared. More samples find idle
	// servers more often, but with stale data more gateways choose the same one.
	hotColdSamples = 5
	// hotColdDefaultLatency is assumed for servers without a sample, in nanoseconds.
	hotColdDefaultLatency = 5e6
	// hotColdLatencyTolerance divides a server's latency before it is compared to the
	// lowest of the samples. Averages of healthy servers differ by about this factor,
	// and comparing noise would outweigh the comparison of queues.
	hotColdLatencyTolerance = 1.6
	// hotColdInFlightCost is the cost of a request in flight while there are free
	// slots, as a share of the latency. It spreads calls over idle servers.
	hotColdInFlightCost = 0.05
	// hotColdMaxHalvings is the maximum number of halvings of a failing server's
	// weight. It leaves 1/32 of the weight, so that some calls still reach the server
	// and show when it recovers.
	hotColdMaxHalvings = 5
)

// Choose implements Policy.
func (HotCold) Choose(candidates []*Server, pick Pick) *Server {
	var indexArray [hotColdSamples]int
	var latencies [hotColdSamples]float64
	indexes := sampleDistinct(pick.Rand, len(candidates), indexArray[:0])
	for i, index := range indexes {
		latencies[i] = hotColdLatency(candidates[index], pick.Now)
	}
	lowest := slices.Min(latencies[:len(indexes)])
	var best, fallback *Server
	bestScore, fallbackScore := 0.0, 0.0
	// Of several samples with equal scores the first is chosen. The loop therefore
	// starts at a random one, because the samples are not in random order.
	offset := pick.Rand.IntN(len(indexes))
	for step := range indexes {
		i := (offset + step) % len(indexes)
		server := candidates[indexes[i]]
		score := hotColdScore(server, pick, max(lowest, latencies[i]/hotColdLatencyTolerance))
		if fallback == nil || score < fallbackScore {
			fallback, fallbackScore = server, score
		}
		// A server of weight w is considered in a share w of its samples. Unlike a
		// score divided by w, this gives it calls also while other servers are idle.
		weight := effectiveWeight(server)
		if weight < 1 && pick.Rand.Float64() >= weight {
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

// effectiveWeight halves the weight for each consecutive failure. A server that
// fails fast has few requests in flight and would attract calls; the halving takes
// effect at once, before the control loop ejects the server; see
// hotColdMaxHalvings.
func effectiveWeight(server *Server) float64 {
	failures := server.Stats.ConsecutiveFailures.Load()
	return server.Weight / float64(int64(1)<<min(failures, hotColdMaxHalvings))
}

// hotColdScore is the expected time to the response in nanoseconds.
func hotColdScore(server *Server, pick Pick, latency float64) float64 {
	inFlight := server.Stats.EstimatedInFlight(pick.Now)
	slots := float64(max(1, pick.Slots))
	queued := max(0, inFlight+1-slots) / slots
	return latency*(1+queued+hotColdInFlightCost*inFlight) + float64(server.NetworkLatency)
}

// hotColdLatency is the average latency, or the time that requests of this gateway
// have been waiting without a response if that is longer: the server has slowed
// down, and no response could show it yet.
func hotColdLatency(server *Server, now int64) float64 {
	latency := float64(server.Stats.Latency())
	if latency == 0 {
		latency = hotColdDefaultLatency
	}
	return max(latency, float64(server.Stats.UnansweredFor(now)))
}

// sampleDistinct fills chosen up to its capacity with different indexes below n.
// Every set is equally likely, but not every order (Floyd's algorithm; Bentley and
// Floyd, CACM 1987). Sampling with replacement would draw the same server three
// times in 2 % of all picks of 3 of 7 servers, and choose it however bad it is.
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
