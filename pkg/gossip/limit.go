package gossip

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"balsamhill/pkg/protofield"
	"balsamhill/pkg/serverlimit"
)

// Field numbers of limits, leases and demands.
const (
	limitFieldServer protowire.Number = iota + 1
	limitFieldRateMilli
	limitFieldEnded
	limitFieldAgeMicros
	limitFieldSinceMicros
	limitFieldCoordinated
	limitFieldLease
)

const (
	leaseFieldHolder protowire.Number = iota + 1
	leaseFieldRateMilli
	leaseFieldTTLMicros
)

const (
	demandFieldService protowire.Number = iota + 1
	demandFieldRateMilli
)

// maxRate bounds the rates in a message, in requests per second.
const maxRate = 1e9

// milli converts a rate to thousandths.
func milli(rate float64) uint64 {
	if !(rate > 0) {
		return 0
	}
	return uint64(math.Round(min(rate, maxRate) * 1000))
}

func rateOf(milli uint64) float64 {
	return min(float64(milli)/1000, maxRate)
}

func marshalLimit(n *serverlimit.Notice) []byte {
	var encoded []byte
	encoded = appendFixed32(encoded, limitFieldServer, n.Server)
	encoded = appendVarint(encoded, limitFieldRateMilli, milli(n.Rate))
	if n.Ended {
		encoded = appendVarint(encoded, limitFieldEnded, 1)
	}
	encoded = appendVarint(encoded, limitFieldAgeMicros, microseconds(n.Age))
	encoded = appendVarint(encoded, limitFieldSinceMicros, microseconds(n.SinceAge))
	if n.Coordinated {
		encoded = appendVarint(encoded, limitFieldCoordinated, 1)
	}
	for _, lease := range n.Leases {
		var inner []byte
		inner = appendFixed64(inner, leaseFieldHolder, lease.Holder)
		inner = appendVarint(inner, leaseFieldRateMilli, milli(lease.Rate))
		inner = appendVarint(inner, leaseFieldTTLMicros, microseconds(lease.TTL))
		encoded = appendEmbedded(encoded, limitFieldLease, inner)
	}
	return encoded
}

func (d Demand) marshal() []byte {
	encoded := appendFixed32(nil, demandFieldService, d.Service)
	return appendVarint(encoded, demandFieldRateMilli, milli(d.Rate))
}

func unmarshalLimit(data []byte) (serverlimit.Notice, error) {
	var n serverlimit.Notice
	err := protofield.ForEach(data, func(field protowire.Number, value uint64, content []byte) error {
		switch field {
		case limitFieldServer:
			n.Server = uint32(value)
		case limitFieldRateMilli:
			n.Rate = rateOf(value)
		case limitFieldEnded:
			n.Ended = value != 0
		case limitFieldAgeMicros:
			n.Age = clampAge(value)
		case limitFieldSinceMicros:
			n.SinceAge = clampAge(value)
		case limitFieldCoordinated:
			n.Coordinated = value != 0
		case limitFieldLease:
			lease, err := unmarshalLease(content)
			n.Leases = append(n.Leases, lease)
			return err
		}
		return nil
	})
	return n, err
}

func unmarshalLease(data []byte) (serverlimit.Lease, error) {
	var lease serverlimit.Lease
	err := protofield.ForEach(data, func(field protowire.Number, value uint64, _ []byte) error {
		switch field {
		case leaseFieldHolder:
			lease.Holder = value
		case leaseFieldRateMilli:
			lease.Rate = rateOf(value)
		case leaseFieldTTLMicros:
			lease.TTL = time.Duration(min(value, math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
		}
		return nil
	})
	return lease, err
}

func unmarshalDemand(data []byte) (Demand, error) {
	var demand Demand
	err := protofield.ForEach(data, func(field protowire.Number, value uint64, _ []byte) error {
		switch field {
		case demandFieldService:
			demand.Service = uint32(value)
		case demandFieldRateMilli:
			demand.Rate = rateOf(value)
		}
		return nil
	})
	return demand, err
}

// addLimitAge raises the ages of a notice and shortens its leases.
func addLimitAge(n *serverlimit.Notice, d time.Duration) {
	n.Age += d
	n.SinceAge += d
	for i := range n.Leases {
		n.Leases[i].TTL -= d
	}
}
