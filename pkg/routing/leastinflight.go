package routing

// LeastInFlight chooses the candidate with the fewest requests in flight from
// this gateway. It compares all candidates, starting at a random one so that ties do
// not always select the same server.
type LeastInFlight struct{}

// Choose implements Policy.
func (LeastInFlight) Choose(candidates []*Server, pick Pick) *Server {
	start := pick.Rand.IntN(len(candidates))
	best := candidates[start]
	for i := 1; i < len(candidates); i++ {
		server := candidates[(start+i)%len(candidates)]
		if server.Stats.InFlight() < best.Stats.InFlight() {
			best = server
		}
	}
	return best
}
