package routing

// WeightedLoad samples candidates with a probability that falls with their
// reported load.
type WeightedLoad struct{}

// weightedLoadSamples bounds the rejection sampling.
const weightedLoadSamples = 8

// Choose implements Policy.
func (WeightedLoad) Choose(candidates []*Server, pick Pick) *Server {
	var server *Server
	for range weightedLoadSamples {
		server = candidates[pick.Rand.IntN(len(candidates))]
		load := float64(server.Stats.reported.Load())
		if pick.Rand.Float64() < server.Weight/(1+load) {
			return server
		}
	}
	return server
}
