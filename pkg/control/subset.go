package control

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// subsetSize is the number of servers of a service from which a gateway uses
// only some, so that connections to servers don't grow with both numbers.
const subsetSize = 64

// distantPlaces is the number of places of the subset that are kept for each group
// of more distant servers: those of other failure domains of the region, and those
// of other regions. They take calls for which near servers have no room.
const distantPlaces = subsetSize / 4

// runSubsetSystem chooses the servers that this gateway uses: mostly near ones, and
// among equally near ones by rendezvous hashing (Thaler and Ravishankar, IEEE/ACM
// ToN 1998), so that a change of one server moves few places of the subset.
// Servers that get no work anyway don't take places.
func (s *State) runSubsetSystem(now int64) {
	byService := make(map[string][]*serverRow)
	for _, row := range s.sortedServers() {
		row.outsideSubset = false
		if !row.inMaintenance && !row.drain.Leaving(now) {
			byService[row.service] = append(byService[row.service], row)
		}
	}
	for _, rows := range byService {
		s.chooseSubset(rows)
	}
}

func (s *State) chooseSubset(rows []*serverRow) {
	if len(rows) <= subsetSize {
		return
	}
	ranks := make(map[*serverRow]uint64, len(rows))
	for _, row := range rows {
		ranks[row] = rendezvousRank(s.config.VMID, row.id)
	}
	slices.SortFunc(rows, func(a, b *serverRow) int {
		return cmp.Or(
			cmp.Compare(s.distance(a), s.distance(b)),
			cmp.Compare(ranks[b], ranks[a]),
			cmp.Compare(a.id, b.id),
		)
	})
	var kept [distances]int
	for _, row := range rows {
		distance := s.distance(row)
		if distance != sameDomain && kept[distance] < distantPlaces {
			kept[distance]++
		}
	}
	free := subsetSize
	for _, places := range kept {
		free -= places
	}
	for _, row := range rows {
		distance := s.distance(row)
		switch {
		case kept[distance] > 0:
			kept[distance]--
		case free > 0:
			free--
		default:
			row.outsideSubset = true
		}
	}
}

// distance says how far a server is; nearer ones are cheaper.
type distance int

const (
	sameDomain distance = iota
	sameRegion
	otherRegion
	distances
)

func (s *State) distance(row *serverRow) distance {
	switch {
	case row.region != s.config.Region:
		return otherRegion
	case row.failureDomain != s.config.FailureDomain:
		return sameRegion
	default:
		return sameDomain
	}
}

// rendezvousRank hashes a pair. FNV alone spreads the last bytes badly, so its
// result goes through the finalizer of MurmurHash3 (Appleby, public domain).
func rendezvousRank(gateway, server string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(gateway))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(server))
	x := hash.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
