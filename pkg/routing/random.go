package routing

// Random chooses any candidate with equal probability.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(candidates []*Server, pick Pick) *Server {
	return candidates[pick.Rand.IntN(len(candidates))]
}
