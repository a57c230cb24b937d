// Package presetstore keeps presets in the platform's table service. Each
// change is one transaction that is conditional on what the operator read, and
// writes an audit row whose key is the change's write ID.
package presetstore

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
)

const (
	headKey        = "preset/head"
	documentPrefix = "preset/doc/"
	auditPrefix    = "audit/"
	// listLimit is the number of rows read at a time.
	listLimit = 500
)

var (
	// ErrNoPreset is returned when a preset of that name does not exist.
	ErrNoPreset = eris.New("no such preset")
	// ErrNoHead is returned when no preset was ever chosen.
	ErrNoHead = eris.New("no preset is in force")
)

// Head says which preset is in force. It is the value of the head row.
type Head struct {
	// Revision rises with each change of any preset.
	Revision uint64 `json:"revision"`
	// Name is the preset in force, empty if none was chosen yet.
	Name string `json:"name"`
	// InForceRevision is the revision of the last change to what is in force.
	InForceRevision uint64 `json:"inForceRevision"`
}

// Stored is the value of a preset's row.
type Stored struct {
	Name string `json:"name"`
	// Revision is the revision of the change that last wrote the document.
	Revision uint64 `json:"revision"`
	Document string `json:"document"`
}

// AuditEntry is the value of an audit row.
type AuditEntry struct {
	WriteID  string    `json:"writeId"`
	Time     time.Time `json:"time"`
	Operator string    `json:"operator"`
	Why      string    `json:"why,omitempty"`
	// Action is "apply" or "use".
	Action   string `json:"action"`
	Preset   string `json:"preset"`
	Revision uint64 `json:"revision"`
	// Replaced is the revision of the document that "apply" replaced, 0 if none.
	Replaced uint64 `json:"replaced,omitempty"`
	// From and To are the names in force before and after.
	From string `json:"from"`
	To   string `json:"to"`
	// Changes lists the differences of the document for "apply".
	Changes []string `json:"changes,omitempty"`
}

// Store reads and changes presets.
type Store struct {
	table platform.Table
}

// New returns a store over a table service.
func New(table platform.Table) *Store {
	return &Store{table: table}
}

// InForce reads the version in force. It returns ErrNoHead if none was chosen.
func (s *Store) InForce(ctx context.Context) (preset.Version, error) {
	head, _, err := s.readHead(ctx)
	if err != nil {
		return preset.Version{}, err
	}
	// The name may change between the two reads; the second one is consistent
	// in itself and is repeated until it fits.
	for {
		if head.Name == "" {
			return preset.Version{}, ErrNoHead
		}
		result, err := s.table.Get(ctx, headKey, documentPrefix+head.Name)
		if err != nil {
			return preset.Version{}, err
		}
		again, stored, err := decodeInForce(result.Rows, head.Name)
		if err != nil {
			return preset.Version{}, err
		}
		if again.Name != head.Name {
			head = again
			continue
		}
		return version(again, stored)
	}
}

// Head reads the head row; it is zero if nothing was ever stored.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.readHead(ctx)
	return head, err
}

// Revision reads only the revision in force, 0 if none was chosen.
func (s *Store) Revision(ctx context.Context) (uint64, error) {
	head, _, err := s.readHead(ctx)
	return head.InForceRevision, err
}

func version(head Head, stored Stored) (preset.Version, error) {
	document := []byte(stored.Document)
	parsed, err := preset.Parse(document)
	if err != nil {
		return preset.Version{}, err
	}
	return preset.Version{Revision: head.InForceRevision, Preset: parsed, Document: document}, nil
}

func decodeInForce(rows []platform.Row, name string) (Head, Stored, error) {
	var head Head
	var stored Stored
	for _, row := range rows {
		var err error
		switch row.Key {
		case headKey:
			err = json.Unmarshal(row.Value, &head)
		case documentPrefix + name:
			err = json.Unmarshal(row.Value, &stored)
		}
		if err != nil {
			return Head{}, Stored{}, eris.Wrapf(platform.ErrProtocol, "row %q: %v", row.Key, err)
		}
	}
	return head, stored, nil
}

// readHead returns the head and its row version; both are zero if the row does
// not exist.
func (s *Store) readHead(ctx context.Context) (Head, uint64, error) {
	result, err := s.table.Get(ctx, headKey)
	if err != nil {
		return Head{}, 0, err
	}
	if len(result.Rows) == 0 {
		return Head{}, 0, nil
	}
	var head Head
	err = json.Unmarshal(result.Rows[0].Value, &head)
	if err != nil {
		return Head{}, 0, eris.Wrapf(platform.ErrProtocol, "row %q: %v", headKey, err)
	}
	return head, result.Rows[0].Version, nil
}

// Get reads one preset.
func (s *Store) Get(ctx context.Context, name string) (Stored, error) {
	stored, _, err := s.readDocument(ctx, name)
	return stored, err
}

func (s *Store) readDocument(ctx context.Context, name string) (Stored, uint64, error) {
	result, err := s.table.Get(ctx, documentPrefix+name)
	if err != nil {
		return Stored{}, 0, err
	}
	if len(result.Rows) == 0 {
		return Stored{}, 0, eris.Wrapf(ErrNoPreset, "%q", name)
	}
	var stored Stored
	err = json.Unmarshal(result.Rows[0].Value, &stored)
	if err != nil {
		return Stored{}, 0, eris.Wrapf(platform.ErrProtocol, "preset %q: %v", name, err)
	}
	return stored, result.Rows[0].Version, nil
}

// List reads all presets in order of their names.
func (s *Store) List(ctx context.Context) ([]Stored, error) {
	var list []Stored
	after := ""
	for {
		result, err := s.table.Scan(ctx, documentPrefix, after, listLimit)
		if err != nil {
			return nil, err
		}
		for _, row := range result.Rows {
			var stored Stored
			err = json.Unmarshal(row.Value, &stored)
			if err != nil {
				return nil, eris.Wrapf(platform.ErrProtocol, "row %q: %v", row.Key, err)
			}
			list = append(list, stored)
			after = row.Key
		}
		if !result.More {
			return list, nil
		}
		if len(result.Rows) == 0 {
			return nil, eris.Wrap(platform.ErrProtocol, "empty page of presets")
		}
	}
}

// Find reads the audit row of a write ID and reports whether there is one. A
// change whose outcome is unknown may still be accepted after it was not found,
// as long as the store holds an attempt.
func (s *Store) Find(ctx context.Context, writeID string) (AuditEntry, bool, error) {
	result, err := s.table.Get(ctx, auditPrefix+writeID)
	if err != nil || len(result.Rows) == 0 {
		return AuditEntry{}, false, err
	}
	var entry AuditEntry
	err = json.Unmarshal(result.Rows[0].Value, &entry)
	if err != nil {
		return AuditEntry{}, false, eris.Wrapf(platform.ErrProtocol, "row %q: %v", result.Rows[0].Key, err)
	}
	return entry, true, nil
}

// Audit reads the audit trail, newest last.
func (s *Store) Audit(ctx context.Context) ([]AuditEntry, error) {
	var entries []AuditEntry
	var after uint64
	for {
		result, err := s.table.Changes(ctx, auditPrefix, after, listLimit)
		if err != nil {
			return nil, err
		}
		for _, row := range result.Rows {
			if row.Deleted || !strings.HasPrefix(row.Key, auditPrefix) {
				continue
			}
			var entry AuditEntry
			err = json.Unmarshal(row.Value, &entry)
			if err != nil {
				return nil, eris.Wrapf(platform.ErrProtocol, "row %q: %v", row.Key, err)
			}
			entries = append(entries, entry)
		}
		if !result.More {
			return entries, nil
		}
		if result.Next <= after {
			return nil, eris.Wrap(platform.ErrProtocol, "the audit trail does not advance")
		}
		after = result.Next
	}
}
