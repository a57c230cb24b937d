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
	// ResponsePrefix is the prefix of the rows of recorded responses. They are
	// separate rows because every gateway reads the claim rows continually, also
	// across the link between the regions, but needs a response only for a replay.
	ResponsePrefix = "claim-answer/"
)

// ID identifies a key of a service, in memory and in row keys. It is a truncated
// SHA-256, so that callers cannot construct two keys with the same ID.
type ID [16]byte

// State is the state of a claim row.
type State string

// States of a claim row. The owner of a row in StateClaimed changes it to one of
// the other states. A key in StateReleased may be claimed again; the other states
// are final.
const (
	StateClaimed  State = "claimed"
	StateReleased State = "released"
	StateDone     State = "done"
	StateUnknown  State = "unknown"
)

// Owner identifies the gateway and the claim that wrote a row.
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
	// HasAnswer is set only in StateDone, and only if the response was recorded in
	// the response row.
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

// wireResponse is the stored form of a response row. Header values are stored as
// bytes because they may not be valid UTF-8, which a JSON string would not preserve.
type wireResponse struct {
	// Owner is the owner of the claim row to which the response belongs.
	Owner  Owner               `json:"owner"`
	Status int                 `json:"status"`
	Header map[string][][]byte `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

func hashOf(service, key string) [sha256.Size]byte {
	// Service names contain no zero byte, so the encoding of the pair is unambiguous.
	return sha256.Sum256([]byte(service + "\x00" + key))
}

// IDOf returns the ID of a key of a service.
func IDOf(service, key string) ID {
	sum := hashOf(service, key)
	return ID(sum[:len(ID{})])
}

// IDOfRow returns the ID at the end of a row key, and false if there is none. It
// does not check RowPrefix.
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

// ResponseKey returns the key of the response row that belongs to a claim row.
func ResponseKey(rowKey string) string {
	return ResponsePrefix + strings.TrimPrefix(rowKey, RowPrefix)
}

// KeyHash returns the full hash of a key of a service, for Row.KeyHash.
func KeyHash(service, key string) string {
	sum := hashOf(service, key)
	return hex.EncodeToString(sum[:])
}

// Encode returns the stored form.
func (r Row) Encode() []byte {
	data, err := json.Marshal(wireRow(r))
	if err != nil {
		// Encoding fails only for a year outside of 0 to 9999, and the times come from
		// the store's responses, which were decoded from the same format.
		panic(err)
	}
	return data
}

// DecodeRow decodes the stored form. An error means that the row is damaged or was
// written by another version of the program.
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
		return Row{}, eris.Errorf("claim row in state %q has a recorded response", wire.State)
	}
	if wire.Owner.ClaimID == "" {
		return Row{}, eris.New("claim row has no owner")
	}
	return Row(wire), nil
}

// EncodeResponse returns the stored form of the response to a claimed call.
func EncodeResponse(owner Owner, response *RecordedResponse) []byte {
	wire := wireResponse{Owner: owner, Status: response.Status, Body: response.Body, Header: make(map[string][][]byte)}
	for name, values := range response.Header {
		for _, value := range values {
			wire.Header[name] = append(wire.Header[name], []byte(value))
		}
	}
	data, err := json.Marshal(wire)
	if err != nil {
		// Encoding strings, numbers and bytes never fails.
		panic(err)
	}
	return data
}

// DecodeResponse decodes the stored form of a response and the owner of its claim.
func DecodeResponse(data []byte) (Owner, *RecordedResponse, error) {
	var wire wireResponse
	err := json.Unmarshal(data, &wire)
	if err != nil {
		return Owner{}, nil, eris.Wrap(err, "decode response row")
	}
	response := &RecordedResponse{Status: wire.Status, Body: wire.Body, Header: make(map[string][]string)}
	for name, values := range wire.Header {
		for _, value := range values {
			response.Header[name] = append(response.Header[name], string(value))
		}
	}
	return wire.Owner, response, nil
}
