// Package gossip implements the messages that the gateways of a deployment
// exchange in datagrams, and the registry of the other gateways. A message carries
// load reports of servers, the state of the sender's copies of the followed
// tables, and requests that are suspected to crash servers. Datagrams may be
// lost, repeated and reordered, so each one is complete in itself. Package edge
// sends and receives them. This package does no I/O, starts no goroutine and
// reads no clock: times are nanoseconds on the gateway's monotonic clock.
//
// Gateways that exchange messages form a group: all gateways of a small region, or
// those of a failure domain of a large one. In each group, probers probe servers for
// the others, the store reader reads the store, and the relay exchanges messages
// with the relays of other groups. A gateway without any of these tasks is passive.
// The relays of package membership, which package gateway uses, are others.
package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/serverlimit"
)

// Message is one datagram.
type Message struct {
	// Key and Incarnation identify the sender; see KeyOf.
	Key         uint64
	Incarnation uint64
	// Sequence rises with each message of an incarnation of the sender.
	Sequence uint64
	// SentAt is the time on the sender's clock at which the ages in the message were
	// right, 0 in messages of older builds.
	SentAt int64
	// Sender describes the sender. Most messages leave it out.
	Sender *Gateway
	// KnownGateways describes gateways from which the sender receives messages,
	// so that all gateways of a region discover each other.
	KnownGateways []Gateway
	// Stopping says that the sender is shutting down.
	Stopping bool
	// Isolated says that the sender reaches no server.
	Isolated bool
	// StoreReachable says that the sender's last call to the store succeeded.
	StoreReachable bool
	// Interval is the maximum time between two messages of the sender. A sender
	// counts as unresponsive after several of them without a message; see
	// timeoutIntervals.
	Interval time.Duration
	// TableStates is the state of the sender's copies of the followed tables, in
	// order of feed.Tables. It is left out if nothing has changed.
	TableStates []feed.TableState
	Reports     []Report
	Suspicions  []Suspicion
	// KeepsLimits says that the sender keeps to the limits that servers name. Gateways of
	// older builds do not.
	KeepsLimits bool
	// Limits are the limits of servers and the leases that the sender granted.
	Limits []serverlimit.Notice
	// Demands are the rates of the sender's calls by service. They are left out for
	// services whose servers name no limit.
	Demands []Demand
	// Leaving holds the servers that said in their responses that they leave.
	Leaving []LeavingServer
}

// LeavingServer is one incarnation of a server that leaves.
type LeavingServer struct {
	// Server is the ServerKey.
	Server      uint32
	Incarnation uint64
}

// Demand is the rate of a gateway's calls to a service.
type Demand struct {
	// Service is the ServiceKey.
	Service uint32
	// Rate is in calls per second.
	Rate float64
}

// Gateway describes a gateway to others.
type Gateway struct {
	ID string `json:"id"`
	// Incarnation rises with each start of the process.
	Incarnation uint64 `json:"incarnation"`
	// Address is host:port for datagrams and for reads of tables over TCP.
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// HighCapacity says that the gateway's VM has the CPU to work on behalf of its
	// group.
	HighCapacity bool `json:"strong,omitempty"`
	// TakesHandoffs says that the gateway takes calls that others hand off. Gateways of older
	// builds do not.
	TakesHandoffs bool `json:"handoffs,omitempty"`
}

// KeyOf returns the key of a gateway, a hash of its ID.
func KeyOf(id string) uint64 {
	return xxhash.Sum64String(id)
}

// ServerKey returns the key of a server in reports, a hash of its ID. Servers
// with the same key get each other's reports; with 1,000 servers the probability
// of any collision is about 1 in 8,600.
func ServerKey(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// ServiceKey returns the key of a service in demands, a hash of its name.
func ServiceKey(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// Report is the load of a server as the sender observed it.
type Report struct {
	// Server is the ServerKey.
	Server uint32
	// Age is the time since the server responded.
	Age              time.Duration
	InFlight         int64
	SlowdownPermille int64
	// Unresponsive says that the server did not respond to probes.
	Unresponsive bool
}

// Suspicion says that the connection to a server was lost while a request was in
// flight there, or, if Cleared is set, that a server has responded to the request.
type Suspicion struct {
	// Fingerprint is that of the request; see package crashguard.
	Fingerprint uint64
	// Server is the ServerKey.
	Server uint32
	// Incarnation is that of the server, 0 in messages of older builds.
	Incarnation uint64
	// Cleared is that of crashguard.Suspicion.
	Cleared bool
	// SentAge and LostAge are the times since the request was sent and the connection was
	// lost, 0 in messages of older builds.
	SentAge, LostAge time.Duration
}

// Field numbers of a message.
const (
	fieldKey protowire.Number = iota + 1
	fieldIncarnation
	fieldSequence
	fieldFlags
	fieldIntervalMillis
	fieldSender
	fieldTableState
	fieldReport
	fieldSuspicion
	fieldKnownGateway
	fieldSentAtMicros
	fieldLimit
	fieldDemand
	fieldLeaving
)

const (
	flagStopping = 1 << iota
	flagStoreReachable
	flagKeepsLimits
	flagIsolated
)

// Field numbers of gateways, table states, reports and suspicions.
const (
	gatewayFieldID protowire.Number = iota + 1
	gatewayFieldAddress
	gatewayFieldRegion
	gatewayFieldDomain
	gatewayFieldHighCapacity
	gatewayFieldIncarnation
	gatewayFieldTakesHandoffs
)

const (
	tableFieldLastChange protowire.Number = iota + 1
	tableFieldAsOf
	tableFieldAgeMicros
	tableFieldEra
	tableFieldRank
	tableFieldReadEmpty
)

const (
	reportFieldServer protowire.Number = iota + 1
	reportFieldAgeMicros
	reportFieldInFlight
	reportFieldSlowdown
	reportFieldUnresponsive
)

const (
	leavingFieldServer protowire.Number = iota + 1
	leavingFieldIncarnation
)

const (
	suspicionFieldFingerprint protowire.Number = iota + 1
	suspicionFieldServer
	suspicionFieldIncarnation
	suspicionFieldCleared
	suspicionFieldSentAgeMicros
	suspicionFieldLostAgeMicros
)

// Marshal appends the encoded message to buffer.
func (m *Message) Marshal(buffer []byte) []byte {
	buffer = appendFixed64(buffer, fieldKey, m.Key)
	buffer = appendVarint(buffer, fieldIncarnation, m.Incarnation)
	buffer = appendVarint(buffer, fieldSequence, m.Sequence)
	var flags uint64
	if m.Stopping {
		flags |= flagStopping
	}
	if m.StoreReachable {
		flags |= flagStoreReachable
	}
	if m.KeepsLimits {
		flags |= flagKeepsLimits
	}
	if m.Isolated {
		flags |= flagIsolated
	}
	buffer = appendVarint(buffer, fieldFlags, flags)
	buffer = appendVarint(buffer, fieldIntervalMillis, uint64(max(0, m.Interval.Milliseconds())))
	buffer = appendVarint(buffer, fieldSentAtMicros, microseconds(time.Duration(m.SentAt)))
	if m.Sender != nil {
		buffer = appendEmbedded(buffer, fieldSender, m.Sender.marshal())
	}
	for i := range m.KnownGateways {
		encoded := m.KnownGateways[i].marshal()
		encoded = appendVarint(encoded, gatewayFieldIncarnation, m.KnownGateways[i].Incarnation)
		buffer = appendEmbedded(buffer, fieldKnownGateway, encoded)
	}
	for _, tableState := range m.TableStates {
		buffer = appendEmbedded(buffer, fieldTableState, marshalTableState(tableState))
	}
	for _, report := range m.Reports {
		buffer = appendEmbedded(buffer, fieldReport, report.marshal())
	}
	for _, suspicion := range m.Suspicions {
		buffer = appendEmbedded(buffer, fieldSuspicion, suspicion.marshal())
	}
	for i := range m.Limits {
		buffer = appendEmbedded(buffer, fieldLimit, marshalLimit(&m.Limits[i]))
	}
	for _, demand := range m.Demands {
		buffer = appendEmbedded(buffer, fieldDemand, demand.marshal())
	}
	for _, leaving := range m.Leaving {
		buffer = appendEmbedded(buffer, fieldLeaving, leaving.marshal())
	}
	return buffer
}

func (l LeavingServer) marshal() []byte {
	encoded := appendFixed32(nil, leavingFieldServer, l.Server)
	return appendVarint(encoded, leavingFieldIncarnation, l.Incarnation)
}

func (s *Suspicion) marshal() []byte {
	var encoded []byte
	encoded = appendFixed64(encoded, suspicionFieldFingerprint, s.Fingerprint)
	encoded = appendFixed32(encoded, suspicionFieldServer, s.Server)
	encoded = appendVarint(encoded, suspicionFieldIncarnation, s.Incarnation)
	if s.Cleared {
		return appendVarint(encoded, suspicionFieldCleared, 1)
	}
	encoded = appendVarint(encoded, suspicionFieldSentAgeMicros, microseconds(s.SentAge))
	return appendVarint(encoded, suspicionFieldLostAgeMicros, microseconds(s.LostAge))
}

func marshalTableState(s feed.TableState) []byte {
	var encoded []byte
	encoded = appendVarint(encoded, tableFieldLastChange, s.LastChange)
	encoded = appendVarint(encoded, tableFieldAsOf, s.AsOf)
	encoded = appendVarint(encoded, tableFieldAgeMicros, microseconds(time.Duration(s.Age)))
	encoded = appendVarint(encoded, tableFieldEra, s.Era)
	encoded = appendVarint(encoded, tableFieldRank, s.Rank)
	if s.ReadEmpty {
		encoded = appendVarint(encoded, tableFieldReadEmpty, 1)
	}
	return encoded
}

func (g *Gateway) marshal() []byte {
	var encoded []byte
	encoded = appendString(encoded, gatewayFieldID, g.ID)
	encoded = appendString(encoded, gatewayFieldAddress, g.Address)
	encoded = appendString(encoded, gatewayFieldRegion, g.Region)
	encoded = appendString(encoded, gatewayFieldDomain, g.FailureDomain)
	if g.HighCapacity {
		encoded = appendVarint(encoded, gatewayFieldHighCapacity, 1)
	}
	if g.TakesHandoffs {
		encoded = appendVarint(encoded, gatewayFieldTakesHandoffs, 1)
	}
	return encoded
}

func (r *Report) marshal() []byte {
	encoded := make([]byte, 0, reportBytes)
	encoded = appendFixed32(encoded, reportFieldServer, r.Server)
	encoded = appendVarint(encoded, reportFieldAgeMicros, microseconds(r.Age))
	encoded = appendVarint(encoded, reportFieldInFlight, uint64(max(0, r.InFlight)))
	encoded = appendVarint(encoded, reportFieldSlowdown, uint64(max(0, r.SlowdownPermille)))
	if r.Unresponsive {
		encoded = appendVarint(encoded, reportFieldUnresponsive, 1)
	}
	return encoded
}

// reportBytes is the usual size of an encoded report.
const reportBytes = 24

func appendFixed64(buffer []byte, field protowire.Number, value uint64) []byte {
	buffer = protowire.AppendTag(buffer, field, protowire.Fixed64Type)
	return protowire.AppendFixed64(buffer, value)
}

func appendFixed32(buffer []byte, field protowire.Number, value uint32) []byte {
	buffer = protowire.AppendTag(buffer, field, protowire.Fixed32Type)
	return protowire.AppendFixed32(buffer, value)
}

func microseconds(d time.Duration) uint64 {
	return uint64(max(0, d.Microseconds()))
}

func appendString(buffer []byte, field protowire.Number, value string) []byte {
	buffer = protowire.AppendTag(buffer, field, protowire.BytesType)
	return protowire.AppendString(buffer, value)
}

func appendEmbedded(buffer []byte, field protowire.Number, encoded []byte) []byte {
	buffer = protowire.AppendTag(buffer, field, protowire.BytesType)
	return protowire.AppendBytes(buffer, encoded)
}

func appendVarint(buffer []byte, field protowire.Number, value uint64) []byte {
	buffer = protowire.AppendTag(buffer, field, protowire.VarintType)
	return protowire.AppendVarint(buffer, value)
}
