package gossip

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// place is a gateway's place in an order of preference: strong machines first,
// then by rendezvous hash, so that a change of the gateways moves little.
type place struct {
	strong bool
	hash   uint64
	id     string
}

func placeOf(thing string, gateway Gateway) place {
	digest := xxhash.New()
	_, _ = digest.WriteString(thing)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(gateway.ID)
	return place{strong: gateway.HighCapacity, hash: digest.Sum64(), id: gateway.ID}
}

func (p place) before(other place) bool {
	if p.strong != other.strong {
		return p.strong
	}
	return cmp.Or(cmp.Compare(p.hash, other.hash), cmp.Compare(p.id, other.id)) > 0
}

// places are a gateway's places for the jobs that one or a few gateways do. They
// are kept because they are compared many times a second.
type places struct {
	// first is the place for what one gateway does for its group: it is the relay
	// and, if it reaches the store, the reader.
	first    place
	measurer place
}

func placesOf(gateway Gateway) places {
	return places{
		first:    placeOf("first", gateway),
		measurer: placeOf("measurer", gateway),
	}
}
