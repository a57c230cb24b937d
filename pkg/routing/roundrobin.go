package routing

import "sync/atomic"

// RoundRobin chooses candidates in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Choose implements Policy.
func (p *RoundRobin) Choose(candidates []*Server, _ Pick) *Server {
	return candidates[(p.next.Add(1)-1)%uint64(len(candidates))]
}
