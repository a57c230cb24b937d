// Package gossip is what the gateways of a region tell each other in datagrams:
// how loaded servers are, which versions of the followed tables they hold, and
// which requests seem to crash servers. Datagrams may be lost, repeated and
// reordered; each one stands for itself. The package does no I/O, starts no
// goroutine and reads no clock: times are nanoseconds on the gateway's monotonic
// clock.
package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	"balsamhill/pkg/feed"
)

// Message is one datagram.
type Message struct {
	// Key and Incarnation identify the sender; see KeyOf.
	Key         uint64
	Incarnation uint64
	// Sequence rises with each message of an incarnation of the sender.
	Sequence uint64
	// Sender describes the sender. Most messages leave it out.
	Sender *Gateway
	// KnownGateways describes gateways that the sender hears from, so that all gateways
	// of a region come to know each other.
	KnownGateways []Gateway
	// Stopping says that the sender is shutting down.
	Stopping bool
	// StoreReachable says that the sender's last call to the store succeeded.
	StoreReachable bool
	// Interval is how often the sender sends at least.
	Interval time.Duration
	// TableStates says what the sender holds of the followed tables, in order of
	// feed.Tables. Messages without news leave it out.
	TableStates []feed.TableState
	Reports     []Report
	Suspicions  []Suspicion
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
	// HighCapacity says that the gateway's machine can work for others.
	HighCapacity bool `json:"strong,omitempty"`
}

// KeyOf returns the key of a gateway, a hash of its ID.
func KeyOf(id string) uint64 {
	return xxhash.Sum64String(id)
}

// ServerKey returns the key of a server in reports, a hash of its ID. Servers of
// the same key get each other's reports; with a thousand servers that happens in
// one fleet of 8,000.
func ServerKey(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// Report is the load of a server as the sender saw it.
type Report struct {
	Server uint32
	// Age is how long ago the server answered.
	Age              time.Duration
	InFlight         int64
	SlowdownPermille int64
	// Unresponsive says that the server did not answer probes.
	Unresponsive bool
}

// Suspicion says that a connection broke while a request was in flight.
type Suspicion struct {
	Fingerprint uint64
	Server      uint32
}

// Field numbers of a message and its parts.
const (
	fieldKey protowire.Number = iota + 1
	fieldIncarnation
	fieldSequence
	fieldFlags
	fieldIntervalMillis
	fieldIntroduction
	fieldMark
	fieldReport
	fieldSuspicion
	fieldOther
)

const (
	flagStopping = 1 << iota
	flagStoreReachable
)

// Field numbers within introductions, marks, reports and suspicions.
const (
	introductionID protowire.Number = iota + 1
	introductionAddress
	introductionRegion
	introductionDomain
	introductionStrong
	introductionIncarnation
)

const (
	markChanged protowire.Number = iota + 1
	markAsOf
	markAgeMicros
)

const (
	reportServer protowire.Number = iota + 1
	reportAgeMicros
	reportInFlight
	reportPace
	reportSilent
)

const (
	suspicionFingerprint protowire.Number = iota + 1
	suspicionServer
)

// Marshal appends the message to buffer.
func (m *Message) Marshal(buffer []byte) []byte {
	buffer = appendFixed64(buffer, fieldKey, m.Key)
	buffer = appendNumber(buffer, fieldIncarnation, m.Incarnation)
	buffer = appendNumber(buffer, fieldSequence, m.Sequence)
	var flags uint64
	if m.Stopping {
		flags |= flagStopping
	}
	if m.StoreReachable {
		flags |= flagStoreReachable
	}
	buffer = appendNumber(buffer, fieldFlags, flags)
	buffer = appendNumber(buffer, fieldIntervalMillis, uint64(max(0, m.Interval.Milliseconds())))
	if m.Sender != nil {
		buffer = appendPart(buffer, fieldIntroduction, m.Sender.marshal())
	}
	for i := range m.KnownGateways {
		part := m.KnownGateways[i].marshal()
		part = appendNumber(part, introductionIncarnation, m.KnownGateways[i].Incarnation)
		buffer = appendPart(buffer, fieldOther, part)
	}
	for _, mark := range m.TableStates {
		var part []byte
		part = appendNumber(part, markChanged, mark.LastChange)
		part = appendNumber(part, markAsOf, mark.AsOf)
		part = appendNumber(part, markAgeMicros, micros(time.Duration(mark.Age)))
		buffer = appendPart(buffer, fieldMark, part)
	}
	for _, report := range m.Reports {
		buffer = appendPart(buffer, fieldReport, report.marshal())
	}
	for _, suspicion := range m.Suspicions {
		var part []byte
		part = appendFixed64(part, suspicionFingerprint, suspicion.Fingerprint)
		part = appendFixed32(part, suspicionServer, suspicion.Server)
		buffer = appendPart(buffer, fieldSuspicion, part)
	}
	return buffer
}

func (g *Gateway) marshal() []byte {
	var part []byte
	part = appendText(part, introductionID, g.ID)
	part = appendText(part, introductionAddress, g.Address)
	part = appendText(part, introductionRegion, g.Region)
	part = appendText(part, introductionDomain, g.FailureDomain)
	if g.HighCapacity {
		part = appendNumber(part, introductionStrong, 1)
	}
	return part
}

func (r *Report) marshal() []byte {
	part := make([]byte, 0, reportBytes)
	part = appendFixed32(part, reportServer, r.Server)
	part = appendNumber(part, reportAgeMicros, micros(r.Age))
	part = appendNumber(part, reportInFlight, uint64(max(0, r.InFlight)))
	part = appendNumber(part, reportPace, uint64(max(0, r.SlowdownPermille)))
	if r.Unresponsive {
		part = appendNumber(part, reportSilent, 1)
	}
	return part
}

// reportBytes is the usual size of a report.
const reportBytes = 24

func appendFixed64(buffer []byte, field protowire.Number, number uint64) []byte {
	buffer = protowire.AppendTag(buffer, field, protowire.Fixed64Type)
	return protowire.AppendFixed64(buffer, number)
}

func appendFixed32(buffer []byte, field protowire.Number, number uint32) []byte {
	buffer = protowire.AppendTag(buffer, field, protowire.Fixed32Type)
	return protowire.AppendFixed32(buffer, number)
}

func micros(d time.Duration) uint64 {
	return uint64(max(0, d.Microseconds()))
}

func appendText(buffer []byte, field protowire.Number, text string) []byte {
	buffer = protowire.AppendTag(buffer, field, protowire.BytesType)
	return protowire.AppendString(buffer, text)
}

func appendPart(buffer []byte, field protowire.Number, part []byte) []byte {
	buffer = protowire.AppendTag(buffer, field, protowire.BytesType)
	return protowire.AppendBytes(buffer, part)
}

func appendNumber(buffer []byte, field protowire.Number, number uint64) []byte {
	buffer = protowire.AppendTag(buffer, field, protowire.VarintType)
	return protowire.AppendVarint(buffer, number)
}

// Unmarshal reads a datagram. Unknown fields are ignored.
func Unmarshal(data []byte) (Message, error) {
	var m Message
	err := eachField(data, func(field protowire.Number, number uint64, text []byte) error {
		return m.set(field, number, text)
	})
	if err == nil && m.Key == 0 {
		err = eris.New("message without a sender")
	}
	if m.Sender != nil {
		m.Sender.Incarnation = m.Incarnation
	}
	return m, err
}

func (m *Message) set(field protowire.Number, number uint64, text []byte) error {
	switch field {
	case fieldKey:
		m.Key = number
	case fieldIncarnation:
		m.Incarnation = number
	case fieldSequence:
		m.Sequence = number
	case fieldFlags:
		m.Stopping = number&flagStopping != 0
		m.StoreReachable = number&flagStoreReachable != 0
	case fieldIntervalMillis:
		m.Interval = time.Duration(min(number, uint64(maxInterval/time.Millisecond))) * time.Millisecond
	case fieldIntroduction:
		introduction, err := unmarshalIntroduction(text)
		m.Sender = &introduction
		return err
	case fieldOther:
		other, err := unmarshalIntroduction(text)
		m.KnownGateways = append(m.KnownGateways, other)
		return err
	case fieldMark:
		mark, err := unmarshalMark(text)
		m.TableStates = append(m.TableStates, mark)
		return err
	case fieldReport:
		report, err := unmarshalReport(text)
		m.Reports = append(m.Reports, report)
		return err
	case fieldSuspicion:
		suspicion, err := unmarshalSuspicion(text)
		m.Suspicions = append(m.Suspicions, suspicion)
		return err
	}
	return nil
}

func unmarshalIntroduction(data []byte) (Gateway, error) {
	var gateway Gateway
	err := eachField(data, func(field protowire.Number, number uint64, text []byte) error {
		switch field {
		case introductionID:
			gateway.ID = string(text)
		case introductionAddress:
			gateway.Address = string(text)
		case introductionRegion:
			gateway.Region = string(text)
		case introductionDomain:
			gateway.FailureDomain = string(text)
		case introductionStrong:
			gateway.HighCapacity = number != 0
		case introductionIncarnation:
			gateway.Incarnation = number
		}
		return nil
	})
	return gateway, err
}

func unmarshalMark(data []byte) (feed.TableState, error) {
	var mark feed.TableState
	err := eachField(data, func(field protowire.Number, number uint64, _ []byte) error {
		switch field {
		case markChanged:
			mark.LastChange = number
		case markAsOf:
			mark.AsOf = number
		case markAgeMicros:
			mark.Age = int64(duration(number))
		}
		return nil
	})
	return mark, err
}

func unmarshalReport(data []byte) (Report, error) {
	var report Report
	err := eachField(data, func(field protowire.Number, number uint64, _ []byte) error {
		switch field {
		case reportServer:
			report.Server = uint32(number)
		case reportAgeMicros:
			report.Age = duration(number)
		case reportInFlight:
			report.InFlight = bounded(number)
		case reportPace:
			report.SlowdownPermille = bounded(number)
		case reportSilent:
			report.Unresponsive = number != 0
		}
		return nil
	})
	return report, err
}

func unmarshalSuspicion(data []byte) (Suspicion, error) {
	var suspicion Suspicion
	err := eachField(data, func(field protowire.Number, number uint64, _ []byte) error {
		switch field {
		case suspicionFingerprint:
			suspicion.Fingerprint = number
		case suspicionServer:
			suspicion.Server = uint32(number)
		}
		return nil
	})
	return suspicion, err
}

// maxNumber bounds numbers of a report, and maxAge and maxInterval the times, so
// that absurd ones cannot upset estimates.
const (
	maxNumber   = 10_000_000
	maxAge      = time.Hour
	maxInterval = 10 * time.Second
)

func bounded(number uint64) int64 {
	return int64(min(number, maxNumber))
}

func duration(micros uint64) time.Duration {
	return time.Duration(min(micros, uint64(maxAge/time.Microsecond))) * time.Microsecond
}

// eachField visits the fields of a message; number or text is set by its type.
func eachField(data []byte, visit func(field protowire.Number, number uint64, text []byte) error) error {
	for len(data) > 0 {
		field, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return eris.Wrap(protowire.ParseError(n), "read tag")
		}
		data = data[n:]
		var number uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			number, n = protowire.ConsumeVarint(data)
		case protowire.BytesType:
			text, n = protowire.ConsumeBytes(data)
		case protowire.Fixed64Type:
			number, n = protowire.ConsumeFixed64(data)
		case protowire.Fixed32Type:
			var short uint32
			short, n = protowire.ConsumeFixed32(data)
			number = uint64(short)
		default:
			n = protowire.ConsumeFieldValue(field, kind, data)
		}
		if n < 0 {
			return eris.Wrap(protowire.ParseError(n), "read field")
		}
		data = data[n:]
		err := visit(field, number, text)
		if err != nil {
			return err
		}
	}
	return nil
}
