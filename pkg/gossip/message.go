// Package gossip is what the gateways of a region tell each other in datagrams:
// how loaded servers are, which versions of the followed tables they hold, and
// which requests seem to crash servers. Datagrams may be lost, repeated and
// reordered; each one stands for itself. The package does no I/O, starts no
// goroutine and reads no clock: times are nanoseconds on the gateway's monotonic
// clock.
package gossip

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	"balsamhill/pkg/feed"
)

// Message is one datagram.
type Message struct {
	Sender Gateway
	// Sequence rises with each message of an incarnation of the sender.
	Sequence uint64
	// Stopping says that the sender is shutting down.
	Stopping bool
	// StoreReachable says that the sender's last call to the store succeeded.
	StoreReachable bool
	// Marks says what the sender holds of the followed tables, in order of
	// feed.Tables.
	Marks      []feed.Mark
	Reports    []Report
	Suspicions []Suspicion
}

// Gateway identifies a gateway.
type Gateway struct {
	ID string
	// Incarnation rises with each start of the process.
	Incarnation uint64
	// Address is host:port for datagrams and for reads of tables over TCP.
	Address       string
	Region        string
	FailureDomain string
}

// Report is the load of a server as the sender saw it.
type Report struct {
	ServerID string
	// Age is how long ago the server answered.
	Age          time.Duration
	InFlight     int64
	PacePermille int64
	// Silent says that the server did not answer probes.
	Silent bool
}

// Suspicion says that a connection broke while a request was in flight.
type Suspicion struct {
	Fingerprint uint64
	ServerID    string
}

// MaxBytes is the largest datagram that is sent; it fits the usual packet size
// of 1,500 bytes with its headers.
const MaxBytes = 1400

// Field numbers of a message and its parts.
const (
	fieldID protowire.Number = iota + 1
	fieldIncarnation
	fieldAddress
	fieldRegion
	fieldDomain
	fieldSequence
	fieldFlags
	fieldMark
	fieldReport
	fieldSuspicion
)

const (
	flagStopping = 1 << iota
	flagStoreReachable
)

// Field numbers within marks, reports and suspicions.
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
	buffer = appendText(buffer, fieldID, m.Sender.ID)
	buffer = appendNumber(buffer, fieldIncarnation, m.Sender.Incarnation)
	buffer = appendText(buffer, fieldAddress, m.Sender.Address)
	buffer = appendText(buffer, fieldRegion, m.Sender.Region)
	buffer = appendText(buffer, fieldDomain, m.Sender.FailureDomain)
	buffer = appendNumber(buffer, fieldSequence, m.Sequence)
	var flags uint64
	if m.Stopping {
		flags |= flagStopping
	}
	if m.StoreReachable {
		flags |= flagStoreReachable
	}
	buffer = appendNumber(buffer, fieldFlags, flags)
	for _, mark := range m.Marks {
		var part []byte
		part = appendNumber(part, markChanged, mark.Changed)
		part = appendNumber(part, markAsOf, mark.AsOf)
		part = appendNumber(part, markAgeMicros, micros(time.Duration(mark.Age)))
		buffer = appendPart(buffer, fieldMark, part)
	}
	for _, report := range m.Reports {
		buffer = appendPart(buffer, fieldReport, report.marshal())
	}
	for _, suspicion := range m.Suspicions {
		var part []byte
		part = appendNumber(part, suspicionFingerprint, suspicion.Fingerprint)
		part = appendText(part, suspicionServer, suspicion.ServerID)
		buffer = appendPart(buffer, fieldSuspicion, part)
	}
	return buffer
}

func (r *Report) marshal() []byte {
	var part []byte
	part = appendText(part, reportServer, r.ServerID)
	part = appendNumber(part, reportAgeMicros, micros(r.Age))
	part = appendNumber(part, reportInFlight, uint64(max(0, r.InFlight)))
	part = appendNumber(part, reportPace, uint64(max(0, r.PacePermille)))
	if r.Silent {
		part = appendNumber(part, reportSilent, 1)
	}
	return part
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
	if err == nil && m.Sender.ID == "" {
		err = eris.New("message without a sender")
	}
	return m, err
}

func (m *Message) set(field protowire.Number, number uint64, text []byte) error {
	switch field {
	case fieldID:
		m.Sender.ID = string(text)
	case fieldIncarnation:
		m.Sender.Incarnation = number
	case fieldAddress:
		m.Sender.Address = string(text)
	case fieldRegion:
		m.Sender.Region = string(text)
	case fieldDomain:
		m.Sender.FailureDomain = string(text)
	case fieldSequence:
		m.Sequence = number
	case fieldFlags:
		m.Stopping = number&flagStopping != 0
		m.StoreReachable = number&flagStoreReachable != 0
	case fieldMark:
		mark, err := unmarshalMark(text)
		m.Marks = append(m.Marks, mark)
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

func unmarshalMark(data []byte) (feed.Mark, error) {
	var mark feed.Mark
	err := eachField(data, func(field protowire.Number, number uint64, _ []byte) error {
		switch field {
		case markChanged:
			mark.Changed = number
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
	err := eachField(data, func(field protowire.Number, number uint64, text []byte) error {
		switch field {
		case reportServer:
			report.ServerID = string(text)
		case reportAgeMicros:
			report.Age = duration(number)
		case reportInFlight:
			report.InFlight = bounded(number)
		case reportPace:
			report.PacePermille = bounded(number)
		case reportSilent:
			report.Silent = number != 0
		}
		return nil
	})
	return report, err
}

func unmarshalSuspicion(data []byte) (Suspicion, error) {
	var suspicion Suspicion
	err := eachField(data, func(field protowire.Number, number uint64, text []byte) error {
		switch field {
		case suspicionFingerprint:
			suspicion.Fingerprint = number
		case suspicionServer:
			suspicion.ServerID = string(text)
		}
		return nil
	})
	return suspicion, err
}

// maxNumber bounds numbers of a report, and maxAge the ages, so that absurd ones
// cannot upset estimates.
const (
	maxNumber = 10_000_000
	maxAge    = time.Hour
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
