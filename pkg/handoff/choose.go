package handoff

import "math/rand/v2"

// Candidate is another gateway.
type Candidate struct {
	// Heard says that the gateway recently said that it reaches servers. Those of other
	// groups seldom or never say so.
	Heard                    bool
	SameRegion, SameDomain   bool
	InFlight, SuspendedUntil int64
}

// otherDomainFactor is how much longer a queue of calls at a gateway of the own failure domain
// may be than at one of another domain, because bytes between domains are paid for.
const otherDomainFactor = 2

// Choose returns the index of the gateway that should take a call, -1 if there is none: among the
// candidates of the best rank, the one with the fewest calls of this gateway in flight. One that
// failed lately and was not heard since is most likely out of reach.
func Choose(now int64, candidates []Candidate, random *rand.Rand) int {
	best, ties := -1, 0
	for i, c := range candidates {
		switch {
		case !c.Heard && now < c.SuspendedUntil:
		case best < 0 || c.before(now, candidates[best]):
			best, ties = i, 1
		case !candidates[best].before(now, c):
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// before reports whether the gateway is a better choice than another one.
func (c Candidate) before(now int64, other Candidate) bool {
	rank, otherRank := c.rank(now), other.rank(now)
	if rank != otherRank {
		return rank < otherRank
	}
	return c.cost() < other.cost()
}

// rank orders the gateways by how likely they are to take a call, and then by region.
func (c Candidate) rank(now int64) int {
	rank := 0
	if now < c.SuspendedUntil {
		rank += 4
	}
	if !c.SameRegion {
		rank += 2
	}
	if !c.Heard {
		rank++
	}
	return rank
}

func (c Candidate) cost() int64 {
	cost := c.InFlight + 1
	if !c.SameDomain {
		cost *= otherDomainFactor
	}
	return cost
}
