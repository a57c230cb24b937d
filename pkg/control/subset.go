package control

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// subsetSize is the number of servers of a service above which a gateway uses a
// subset of that size. It keeps the number of connections from growing with the
// product of gateways and servers.
const subsetSize = 64

// distantServers is the number of servers of the subset that are reserved for
// each group of more distant servers: those of other failure domains of the
// region, and those of other regions. They take calls for which the servers of
// this failure domain have no headroom.
const distantServers = subsetSize / 4

// updateSubset selects the servers that this gateway uses: mostly close ones,
// and among equally close ones by rendezvous hashing (Thaler and Ravishankar,
// IEEE/ACM ToN 1998), so that a change of one server changes few members of the
// subset. Servers that get no work anyway are left out. A server outside the subset
// is used while this gateway holds a part of the limit that the server named, because
// the others do not use that part.
func (s *State) updateSubset(now int64) {
	byService := make(map[string][]*serverRow)
	for _, row := range s.sortedServers() {
		row.outsideSubset = false
		if !row.inMaintenance && !row.draining(now) {
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
		ranks[row] = rendezvousRank(s.config.GatewayID, row.id)
	}
	slices.SortFunc(rows, func(a, b *serverRow) int {
		return cmp.Or(
			cmp.Compare(s.distance(a), s.distance(b)),
			cmp.Compare(ranks[b], ranks[a]),
			cmp.Compare(a.id, b.id),
		)
	})
	var reserved [distanceCount]int
	for _, row := range rows {
		distance := s.distance(row)
		if distance != sameDomain && reserved[distance] < distantServers {
			reserved[distance]++
		}
	}
	free := subsetSize
	for _, count := range reserved {
		free -= count
	}
	for _, row := range rows {
		distance := s.distance(row)
		switch {
		case reserved[distance] > 0:
			reserved[distance]--
		case free > 0:
			free--
		default:
			row.outsideSubset = true
		}
	}
}

// distance ranks the location of a server; calls to closer servers cost less.
type distance int

const (
	sameDomain distance = iota
	otherDomain
	otherRegion
	distanceCount
)

func (s *State) distance(row *serverRow) distance {
	switch {
	case row.region != s.config.Region:
		return otherRegion
	case row.failureDomain != s.config.FailureDomain:
		return otherDomain
	default:
		return sameDomain
	}
}

// rendezvousRank hashes a gateway and a server. FNV alone distributes changes of
// the last bytes badly, so its result passes through the finalizer of MurmurHash3
// (Appleby, public domain).
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
