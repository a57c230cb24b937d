package routing

// PowerOfTwo samples two candidates and chooses the one with fewer requests in
// flight from this gateway (Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", IEEE TPDS 2001).
type PowerOfTwo struct{}

// Choose implements Policy.
func (PowerOfTwo) Choose(candidates []*Server, pick Pick) *Server {
	first := candidates[pick.Rand.IntN(len(candidates))]
	second := candidates[pick.Rand.IntN(len(candidates))]
	if second.Stats.InFlight() < first.Stats.InFlight() {
		return second
	}
	return first
}
