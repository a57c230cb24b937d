package routing

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
	best := candidates[pick.Rand.IntN(len(candidates))]
	bestScore := hotColdScore(best, pick.Now)
	for range hotColdSamples - 1 {
		server := candidates[pick.Rand.IntN(len(candidates))]
		score := hotColdScore(server, pick.Now)
		if score < bestScore {
			best, bestScore = server, score
		}
	}
	return best
}

func hotColdScore(server *Server, now int64) float64 {
	latency := float64(server.Stats.Latency())
	if latency == 0 {
		latency = hotColdDefaultLatency
	}
	queue := server.Stats.EstimatedInFlight(now) + 1
	return (queue*latency + float64(server.Penalty)) / server.Weight
}
