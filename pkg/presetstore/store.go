// Package presetstore stores presets in the platform's table service. Each change is
// one transaction that is conditional on the state that the operator read and that
// writes an audit row, whose key contains the write ID of the change. The operator
// tool makes the changes; gateways only read.
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
	// pageRows is the number of rows read at a time.
	pageRows = 500
)

var (
	// ErrNoPreset is returned if the preset does not exist.
	ErrNoPreset = eris.New("no such preset")
	// ErrNoHead is returned if no preset was ever put in force.
	ErrNoHead = eris.New("no preset is in force")
)

// Head identifies the preset in force. It is the value of the head row.
type Head struct {
	// Revision increases by one with each change of any preset.
	Revision uint64 `json:"revision"`
	// Name is the name of the preset in force, empty if there is none yet.
	Name string `json:"name"`
	// InForceRevision is the revision of the last change that put a preset in force
	// or edited the one in force.
	InForceRevision uint64 `json:"inForceRevision"`
}

// StoredPreset is the value of the row of a preset.
type StoredPreset struct {
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
	// From and To are the names of the presets in force before and after the change.
	From string `json:"from"`
	To   string `json:"to"`
	// Changes lists the changed fields of the document for "apply".
	Changes []string `json:"changes,omitempty"`
}

// Store reads and changes presets.
type Store struct {
	table platform.Table
}

// New returns a store that uses a table service.
func New(table platform.Table) *Store {
	return &Store{table: table}
}

// InForce reads the version in force. It returns ErrNoHead if there is none.
func (s *Store) InForce(ctx context.Context) (preset.Version, error) {
	head, _, err := s.readHead(ctx)
	if err != nil {
		return preset.Version{}, err
	}
	// The preset in force may change after readHead. Each Get below is one consistent
	// read, which is repeated until the name that it returns is the one requested.
	for {
		if head.Name == "" {
			return preset.Version{}, ErrNoHead
		}
		result, err := s.table.Get(ctx, headKey, documentPrefix+head.Name)
		if err != nil {
			return preset.Version{}, err
		}
		current, stored, err := decodeInForce(result.Rows, head.Name)
		if err != nil {
			return preset.Version{}, err
		}
		if current.Name != head.Name {
			head = current
			continue
		}
		return parseVersion(current, stored)
	}
}

// Head reads the head row. The head is zero if nothing was ever stored.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.readHead(ctx)
	return head, err
}

// Revision reads only the revision in force, 0 if there is none.
func (s *Store) Revision(ctx context.Context) (uint64, error) {
	head, _, err := s.readHead(ctx)
	return head.InForceRevision, err
}

func parseVersion(head Head, stored StoredPreset) (preset.Version, error) {
	document := []byte(stored.Document)
	parsed, err := preset.Parse(document)
	if err != nil {
		return preset.Version{}, err
	}
	return preset.Version{Revision: head.InForceRevision, Preset: parsed, Document: document}, nil
}

func decodeInForce(rows []platform.Row, name string) (Head, StoredPreset, error) {
	var head Head
	var stored StoredPreset
	for _, row := range rows {
		var err error
		switch row.Key {
		case headKey:
			err = json.Unmarshal(row.Value, &head)
		case documentPrefix + name:
			err = json.Unmarshal(row.Value, &stored)
		}
		if err != nil {
			return Head{}, StoredPreset{}, eris.Wrapf(platform.ErrProtocol, "row %q: %v", row.Key, err)
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

// Get reads one preset. It returns ErrNoPreset if it does not exist.
func (s *Store) Get(ctx context.Context, name string) (StoredPreset, error) {
	stored, _, err := s.readDocument(ctx, name)
	return stored, err
}

func (s *Store) readDocument(ctx context.Context, name string) (StoredPreset, uint64, error) {
	result, err := s.table.Get(ctx, documentPrefix+name)
	if err != nil {
		return StoredPreset{}, 0, err
	}
	if len(result.Rows) == 0 {
		return StoredPreset{}, 0, eris.Wrapf(ErrNoPreset, "%q", name)
	}
	var stored StoredPreset
	err = json.Unmarshal(result.Rows[0].Value, &stored)
	if err != nil {
		return StoredPreset{}, 0, eris.Wrapf(platform.ErrProtocol, "preset %q: %v", name, err)
	}
	return stored, result.Rows[0].Version, nil
}

// List reads all presets, sorted by name.
func (s *Store) List(ctx context.Context) ([]StoredPreset, error) {
	var list []StoredPreset
	after := ""
	for {
		result, err := s.table.Scan(ctx, documentPrefix, after, pageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range result.Rows {
			var stored StoredPreset
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

// Find reads the audit row of the change with a write ID and reports whether there is
// one. A change with status Unknown that was not found may still be accepted while a
// delayed request to the store has not arrived.
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

// Audit reads the audit trail, oldest entry first.
func (s *Store) Audit(ctx context.Context) ([]AuditEntry, error) {
	var entries []AuditEntry
	var after uint64
	for {
		result, err := s.table.Changes(ctx, auditPrefix, after, pageRows)
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
			return nil, eris.Wrap(platform.ErrProtocol, "page of the audit trail does not advance the position")
		}
		after = result.Next
	}
}
