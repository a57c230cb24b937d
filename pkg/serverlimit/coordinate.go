package serverlimit

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// coordinate renews the leases of a server if this gateway coordinates its limit and
// the renewal is due. It returns the notice with all of its leases.
func (b *Book) coordinate(now int64, key uint32, e *entry, view View) (Notice, bool) {
	server, listed := view.Server(key)
	if e.statement.Ended || !listed || !b.coordinates(key, server, view.Members) {
		e.coordinatesSince = 0
		return Notice{}, false
	}
	if e.coordinatesSince == 0 {
		e.coordinatesSince = now
	}
	if now-e.renewedAt < int64(RenewInterval) {
		return Notice{}, false
	}
	e.renewedAt = now
	maps.DeleteFunc(e.grants, func(_ uint64, g grant) bool { return g.rateAt(now) == 0 })
	notice := e.notice(now, key)
	notice.Coordinated = true
	for _, lease := range e.divide(now, key, server, view, b.mayGrant(now, e)) {
		e.grants[lease.Holder] = e.grants[lease.Holder].replacedBy(now, lease.Rate, lease.TTL)
		if lease.Holder == b.self {
			e.hold(now, lease.Rate, e.statement.Rate, lease.TTL)
		}
		notice.Leases = append(notice.Leases, lease)
	}
	return notice, true
}

// coordinates reports whether this gateway coordinates the limit of a server.
func (b *Book) coordinates(key uint32, server Server, members []Member) bool {
	switch server.Coverage {
	case OwnGroup:
		return coordinatorOf(key, server, members) == b.self
	case StandIn:
		return true
	default:
		return false
	}
}

// mayGrant reports whether this gateway may grant new leases. Another gateway may have
// coordinated the limit before the members of the group changed, and its leases may be
// unknown here until they have expired.
func (b *Book) mayGrant(now int64, e *entry) bool {
	settle := int64(LeaseTTL + leaseGuard)
	if now-b.changedAt >= settle {
		return true
	}
	return now-e.coordinatesSince >= settle
}

// divide returns the leases of a server. Those of gateways that should no longer hold
// one are not renewed and count until they expire.
func (e *entry) divide(now int64, key uint32, server Server, view View, mayGrant bool) []Lease {
	total := leasableRate(e.statement.Rate, view.Live, view.Known)
	holders := e.chooseHolders(now, key, server, view.Members, total)
	available := total
	for holder, g := range e.grants {
		if !slices.Contains(holders, holder) {
			available -= g.rateAt(now)
		}
	}
	share := total / float64(max(1, len(holders)))
	// Renewals come first: they keep or lower what a holder has already.
	rates := make(map[uint64]float64, len(holders))
	for _, holder := range holders {
		held := e.grants[holder].rateAt(now)
		available -= held
		rates[holder] = min(held, share)
	}
	leases := make([]Lease, 0, len(holders))
	for _, holder := range holders {
		rate := rates[holder]
		if raise := min(share-rate, available); mayGrant && raise > 0 {
			rate += raise
			available -= raise
		}
		if rate > 0 {
			leases = append(leases, Lease{Holder: holder, Rate: rate, TTL: LeaseTTL})
		}
	}
	return leases
}

// leasableRate is the part of a limit that a coordinator leases: without the share for
// probes, and only for the part of the group that it hears, because the others may
// have a coordinator of their own.
func leasableRate(limit float64, live, known int) float64 {
	heard := 1.0
	if known > 0 {
		heard = min(1, float64(live)/float64(known))
	}
	return max(minRate, limit*(1-ProbeShare)) * heard
}

// chooseHolders returns the gateways that should hold leases: as many as the rate
// needs, by rendezvous hash weighted with their demand.
func (e *entry) chooseHolders(now int64, key uint32, server Server, members []Member, total float64) []uint64 {
	type candidate struct {
		key   uint64
		score float64
	}
	candidates := make([]candidate, 0, len(members))
	for _, member := range members {
		weight := max(minDemand, member.Demand[server.Service])
		if member.FailureDomain != server.FailureDomain {
			weight *= otherDomainWeight
		}
		if e.grants[member.Key].rateAt(now) > 0 {
			weight *= holderWeight
		}
		candidates = append(candidates, candidate{member.Key, weightedScore(key, member.Key, weight)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.key, b.key))
	})
	count := min(len(candidates), max(1, int(math.Ceil(total/ratePerHolder))))
	holders := make([]uint64, 0, count)
	for _, c := range candidates[:count] {
		holders = append(holders, c.key)
	}
	return holders
}

// coordinatorOf returns the member that coordinates the limit of a server, 0 if there
// is none: the first by rendezvous hash among those that may, in the server's failure
// domain if there are any.
func coordinatorOf(key uint32, server Server, members []Member) uint64 {
	best, bestNear, bestHash := uint64(0), false, uint64(0)
	for _, member := range members {
		if !member.MayCoordinate {
			continue
		}
		near := member.FailureDomain == server.FailureDomain
		hash := pairHash(key, member.Key)
		if best == 0 || near && !bestNear || near == bestNear && hash > bestHash {
			best, bestNear, bestHash = member.Key, near, hash
		}
	}
	return best
}

// weightedScore is the score of a weighted rendezvous hash: the member with the highest
// score is chosen, each with a probability in proportion to its weight.
func weightedScore(server uint32, member uint64, weight float64) float64 {
	// The hash is mapped to the open interval between 0 and 1.
	uniform := (float64(pairHash(server, member)>>11) + 0.5) / (1 << 53)
	return weight / -math.Log(uniform)
}

func pairHash(server uint32, member uint64) uint64 {
	var buffer [12]byte
	binary.LittleEndian.PutUint32(buffer[:], server)
	binary.LittleEndian.PutUint64(buffer[4:], member)
	return xxhash.Sum64(buffer[:])
}
