package routing

import "math/rand/v2"

// HotCold samples a constant number of candidates and chooses the one with the
// lowest expected wait: the estimated requests in flight, scaled by the server's
// weight and its recent latency. The idea of judging by requests in flight
// first and by latency second is Prequal's (Wydrowski et al., NSDI 2024); here
// the view comes from answers instead of probes.
type HotCold struct{}

const (
	// hotColdSamples is the number of candidates compared. More samples find
	// idle servers more often, but with stale views more gateways find the same one.
	hotColdSamples = 3
	// hotColdDefaultLatency is assumed for servers without a sample, in nanoseconds.
	hotColdDefaultLatency = 5e6
)

// Choose implements Policy.
func (HotCold) Choose(candidates []*Server, pick Pick) *Server {
	var indexes [hotColdSamples]int
	var best *Server
	bestScore := 0.0
	for _, index := range sampleDistinct(pick.Rand, len(candidates), indexes[:0]) {
		server := candidates[index]
		score := hotColdScore(server, pick.Now)
		if best == nil || score < bestScore {
			best, bestScore = server, score
		}
	}
	return best
}

// sampleDistinct fills chosen up to its capacity with different indexes below n
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

func hotColdScore(server *Server, now int64) float64 {
	latency := float64(server.Stats.Latency())
	if latency == 0 {
		latency = hotColdDefaultLatency
	}
	// A server that keeps own requests waiting for longer than usual has slowed
	// down, and no answer can say so yet.
	latency = max(latency, float64(server.Stats.Silence(now)))
	queue := server.Stats.EstimatedInFlight(now) + 1
	return (queue*latency + float64(server.Penalty)) / server.Weight
}
