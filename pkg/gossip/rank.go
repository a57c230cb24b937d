package gossip

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// rank is a gateway's position in an order of preference: high-capacity gateways
// first, then by rendezvous hash, so that adding or removing a gateway changes
// few assignments.
type rank struct {
	highCapacity bool
	hash         uint64
	id           string
}

func rankOf(key string, gateway Gateway) rank {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(gateway.ID)
	return rank{highCapacity: gateway.HighCapacity, hash: digest.Sum64(), id: gateway.ID}
}

func (r rank) before(other rank) bool {
	if r.highCapacity != other.highCapacity {
		return r.highCapacity
	}
	return cmp.Or(cmp.Compare(r.hash, other.hash), cmp.Compare(r.id, other.id)) > 0
}

// ranks are a gateway's ranks for the tasks that one or a few gateways of a group
// do. They are cached because they are compared many times a second.
type ranks struct {
	// leader is the rank for the tasks that a single gateway of the group does:
	// relay and store reader. They may be two gateways, because only a gateway that
	// reaches the store can read it.
	leader rank
	prober rank
}

func ranksOf(gateway Gateway) ranks {
	// The hashed strings must not change: gateways of older builds compute the
	// same hash.
	return ranks{
		leader: rankOf("first", gateway),
		prober: rankOf("measurer", gateway),
	}
}
