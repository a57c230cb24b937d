package gossip

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/protofield"
)

// Unmarshal decodes a datagram. Unknown fields are ignored.
func Unmarshal(data []byte) (Message, error) {
	var m Message
	err := protofield.ForEach(data, func(field protowire.Number, value uint64, content []byte) error {
		return m.set(field, value, content)
	})
	if err == nil && m.Key == 0 {
		err = eris.New("gossip message has no sender key")
	}
	if m.Sender != nil {
		m.Sender.Incarnation = m.Incarnation
	}
	return m, err
}

func (m *Message) set(field protowire.Number, value uint64, content []byte) error {
	switch field {
	case fieldKey:
		m.Key = value
	case fieldIncarnation:
		m.Incarnation = value
	case fieldSequence:
		m.Sequence = value
	case fieldFlags:
		m.Stopping = value&flagStopping != 0
		m.StoreReachable = value&flagStoreReachable != 0
		m.KeepsLimits = value&flagKeepsLimits != 0
		m.Isolated = value&flagIsolated != 0
	case fieldIntervalMillis:
		m.Interval = time.Duration(min(value, uint64(maxInterval/time.Millisecond))) * time.Millisecond
	case fieldSentAtMicros:
		m.SentAt = int64(min(value, math.MaxInt64/uint64(time.Microsecond))) * int64(time.Microsecond)
	case fieldSender:
		sender, err := unmarshalGateway(content)
		m.Sender = &sender
		return err
	case fieldKnownGateway:
		other, err := unmarshalGateway(content)
		m.KnownGateways = append(m.KnownGateways, other)
		return err
	case fieldTableState:
		tableState, err := unmarshalTableState(content)
		m.TableStates = append(m.TableStates, tableState)
		return err
	case fieldReport:
		report, err := unmarshalReport(content)
		m.Reports = append(m.Reports, report)
		return err
	case fieldSuspicion:
		suspicion, err := unmarshalSuspicion(content)
		m.Suspicions = append(m.Suspicions, suspicion)
		return err
	case fieldLimit:
		limit, err := unmarshalLimit(content)
		m.Limits = append(m.Limits, limit)
		return err
	case fieldDemand:
		demand, err := unmarshalDemand(content)
		m.Demands = append(m.Demands, demand)
		return err
	case fieldLeaving:
		leaving, err := unmarshalLeaving(content)
		m.Leaving = append(m.Leaving, leaving)
		return err
	}
	return nil
}

// addAge adds to all ages in the message.
func (m *Message) addAge(d time.Duration) {
	for i := range m.TableStates {
		m.TableStates[i].Age += int64(d)
	}
	for i := range m.Reports {
		m.Reports[i].Age += d
	}
	for i := range m.Suspicions {
		if suspicion := &m.Suspicions[i]; suspicion.SentAge != 0 {
			suspicion.SentAge += d
			suspicion.LostAge += d
		}
	}
	for i := range m.Limits {
		addLimitAge(&m.Limits[i], d)
	}
}

func unmarshalGateway(data []byte) (Gateway, error) {
	var gateway Gateway
	err := protofield.ForEach(data, func(field protowire.Number, value uint64, content []byte) error {
		switch field {
		case gatewayFieldID:
			gateway.ID = string(content)
		case gatewayFieldAddress:
			gateway.Address = string(content)
		case gatewayFieldRegion:
			gateway.Region = string(content)
		case gatewayFieldDomain:
			gateway.FailureDomain = string(content)
		case gatewayFieldHighCapacity:
			gateway.HighCapacity = value != 0
		case gatewayFieldTakesHandoffs:
			gateway.TakesHandoffs = value != 0
		case gatewayFieldIncarnation:
			gateway.Incarnation = value
		}
		return nil
	})
	return gateway, err
}

func unmarshalTableState(data []byte) (feed.TableState, error) {
	var tableState feed.TableState
	err := protofield.ForEach(data, func(field protowire.Number, value uint64, _ []byte) error {
		switch field {
		case tableFieldLastChange:
			tableState.LastChange = value
		case tableFieldAsOf:
			tableState.AsOf = value
		case tableFieldAgeMicros:
			tableState.Age = int64(clampAge(value))
		case tableFieldEra:
			tableState.Era = value
		case tableFieldRank:
			tableState.Rank = value
		case tableFieldReadEmpty:
			tableState.ReadEmpty = value != 0
		}
		return nil
	})
	return tableState, err
}

func unmarshalReport(data []byte) (Report, error) {
	var report Report
	err := protofield.ForEach(data, func(field protowire.Number, value uint64, _ []byte) error {
		switch field {
		case reportFieldServer:
			report.Server = uint32(value)
		case reportFieldAgeMicros:
			report.Age = clampAge(value)
		case reportFieldInFlight:
			report.InFlight = clampValue(value)
		case reportFieldSlowdown:
			report.SlowdownPermille = clampValue(value)
		case reportFieldUnresponsive:
			report.Unresponsive = value != 0
		}
		return nil
	})
	return report, err
}

func unmarshalSuspicion(data []byte) (Suspicion, error) {
	var suspicion Suspicion
	err := protofield.ForEach(data, func(field protowire.Number, value uint64, _ []byte) error {
		switch field {
		case suspicionFieldFingerprint:
			suspicion.Fingerprint = value
		case suspicionFieldServer:
			suspicion.Server = uint32(value)
		case suspicionFieldIncarnation:
			suspicion.Incarnation = value
		case suspicionFieldCleared:
			suspicion.Cleared = value != 0
		case suspicionFieldSentAgeMicros:
			suspicion.SentAge = clampAge(value)
		case suspicionFieldLostAgeMicros:
			suspicion.LostAge = clampAge(value)
		}
		return nil
	})
	return suspicion, err
}

func unmarshalLeaving(data []byte) (LeavingServer, error) {
	var leaving LeavingServer
	err := protofield.ForEach(data, func(field protowire.Number, value uint64, _ []byte) error {
		switch field {
		case leavingFieldServer:
			leaving.Server = uint32(value)
		case leavingFieldIncarnation:
			leaving.Incarnation = value
		}
		return nil
	})
	return leaving, err
}

// maxReportValue bounds the numbers of a report, and maxAge and maxInterval the
// durations, so that absurd values in a datagram cannot distort load estimates.
const (
	maxReportValue = 10_000_000
	maxAge         = time.Hour
	maxInterval    = 10 * time.Second
)

func clampValue(value uint64) int64 {
	return int64(min(value, maxReportValue))
}

func clampAge(microseconds uint64) time.Duration {
	return time.Duration(min(microseconds, uint64(maxAge/time.Microsecond))) * time.Microsecond
}
