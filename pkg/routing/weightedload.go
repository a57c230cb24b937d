package routing

// WeightedLoad chooses candidates with a probability that is proportional to their
// weight and falls with the requests in flight in their last load report.
type WeightedLoad struct{}

// weightedLoadSamples bounds the rejection sampling; the last sample is accepted in
// any case.
const weightedLoadSamples = 8

// Choose implements Policy.
func (WeightedLoad) Choose(candidates []*Server, pick Pick) *Server {
	var server *Server
	for range weightedLoadSamples {
		server = candidates[pick.Rand.IntN(len(candidates))]
		inFlight := float64(server.Stats.reportedInFlight.Load())
		if pick.Rand.Float64() < server.Weight/(1+inFlight) {
			return server
		}
	}
	return server
}
