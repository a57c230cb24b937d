package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// RowPrefix is the prefix of all claim rows in the table service.
	RowPrefix = "claim/"
	// ResponsePrefix is the prefix of recorded answers. They have rows of their own,
	// because every gateway reads claim rows again and again, also across the
	// link, and needs an answer only for a replay.
	ResponsePrefix = "claim-answer/"
)

// ID identifies a key of a service inside the process. It is a truncated
// SHA-256, so that callers cannot construct two keys with the same ID.
type ID [16]byte

// State is the state of a claim row.
type State string

// States of a claim row. StateClaimed is the only one that changes in place:
// the owner turns it into one of the others. StateReleased may be claimed again.
const (
	StateClaimed  State = "claimed"
	StateReleased State = "released"
	StateDone     State = "done"
	StateUnknown  State = "unknown"
)

// Owner identifies the claim that wrote a row.
type Owner struct {
	Gateway     string `json:"gateway"`
	Incarnation uint64 `json:"incarnation"`
	ClaimID     string `json:"claimId"`
}

// Row is the value of a claim row.
type Row struct {
	State State
	// KeyHash is the SHA-256 of the service and the key in hexadecimal. The row
	// key holds a prefix of it; the whole hash detects a collision of prefixes.
	KeyHash     string
	Owner       Owner
	Fingerprint uint64
	// HasAnswer is set only in StateDone, and only if the answer was recorded in
	// the answer row.
	HasAnswer bool
	// ClaimedAt and ResolvedAt are estimates of the store's clock. ResolvedAt is
	// zero in StateClaimed.
	ClaimedAt  time.Time
	ResolvedAt time.Time
}

// wireRow is the stored form of a Row.
type wireRow struct {
	State       State     `json:"state"`
	KeyHash     string    `json:"keyHash"`
	Owner       Owner     `json:"owner"`
	Fingerprint uint64    `json:"fingerprint"`
	HasAnswer   bool      `json:"hasAnswer,omitempty"`
	ClaimedAt   time.Time `json:"claimedAt,omitzero"`
	ResolvedAt  time.Time `json:"resolvedAt,omitzero"`
}

// wireAnswer is the stored form of an answer row. Header values are bytes because
// they may hold bytes that are not UTF-8, which a JSON string would not preserve.
type wireAnswer struct {
	// Owner is that of the claim row to which the answer belongs.
	Owner  Owner               `json:"owner"`
	Status int                 `json:"status"`
	Header map[string][][]byte `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

func hashOf(service, key string) [sha256.Size]byte {
	// Names of services hold no zero byte, so the pair is encoded without ambiguity.
	return sha256.Sum256([]byte(service + "\x00" + key))
}

// IDOf returns the ID of a key of a service.
func IDOf(service, key string) ID {
	sum := hashOf(service, key)
	return ID(sum[:len(ID{})])
}

// IDOfRow returns the ID that belongs to a row key, and false if it is not a
// row key of a claim.
func IDOfRow(rowKey string) (ID, bool) {
	const digits = 2 * len(ID{})
	if len(rowKey) <= digits {
		return ID{}, false
	}
	raw, err := hex.DecodeString(rowKey[len(rowKey)-digits:])
	if err != nil {
		return ID{}, false
	}
	return ID(raw), true
}

// RowKey returns the key of the claim row, claim/<service>/<hash>.
func RowKey(service, key string) string {
	id := IDOf(service, key)
	return RowPrefix + service + "/" + hex.EncodeToString(id[:])
}

// ResponseKey returns the key of the answer row that belongs to a claim row.
func ResponseKey(rowKey string) string {
	return ResponsePrefix + strings.TrimPrefix(rowKey, RowPrefix)
}

// KeyHash returns the whole hash of a key of a service for Row.KeyHash.
func KeyHash(service, key string) string {
	sum := hashOf(service, key)
	return hex.EncodeToString(sum[:])
}

// Encode returns the stored form.
func (r Row) Encode() []byte {
	data, err := json.Marshal(wireRow(r))
	if err != nil {
		// Only a year outside of 0 to 9999 fails to encode, and times come from
		// answers that were decoded from the same format.
		panic(err)
	}
	return data
}

// DecodeRow decodes the stored form. An error means that the row was not
// written by this version of the program or is damaged.
func DecodeRow(data []byte) (Row, error) {
	var wire wireRow
	err := json.Unmarshal(data, &wire)
	if err != nil {
		return Row{}, eris.Wrap(err, "decode claim row")
	}
	switch wire.State {
	case StateClaimed, StateReleased, StateDone, StateUnknown:
	default:
		return Row{}, eris.Errorf("claim row has unknown state %q", wire.State)
	}
	if wire.HasAnswer && wire.State != StateDone {
		return Row{}, eris.Errorf("claim row in state %q has an answer", wire.State)
	}
	if wire.Owner.ClaimID == "" {
		return Row{}, eris.New("claim row has no owner")
	}
	return Row(wire), nil
}

// EncodeResponse returns the stored form of the answer of a claim.
func EncodeResponse(owner Owner, answer *RecordedResponse) []byte {
	wire := wireAnswer{Owner: owner, Status: answer.Status, Body: answer.Body, Header: make(map[string][][]byte)}
	for name, values := range answer.Header {
		for _, value := range values {
			wire.Header[name] = append(wire.Header[name], []byte(value))
		}
	}
	data, err := json.Marshal(wire)
	if err != nil {
		// Strings, numbers and bytes always encode.
		panic(err)
	}
	return data
}

// DecodeResponse decodes the stored form of an answer and of the claim that wrote it.
func DecodeResponse(data []byte) (Owner, *RecordedResponse, error) {
	var wire wireAnswer
	err := json.Unmarshal(data, &wire)
	if err != nil {
		return Owner{}, nil, eris.Wrap(err, "decode answer row")
	}
	answer := &RecordedResponse{Status: wire.Status, Body: wire.Body, Header: make(map[string][]string)}
	for name, values := range wire.Header {
		for _, value := range values {
			answer.Header[name] = append(answer.Header[name], string(value))
		}
	}
	return wire.Owner, answer, nil
}
