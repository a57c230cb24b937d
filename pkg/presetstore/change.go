package presetstore

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
)

// Status is the outcome of a change.
type Status int

const (
	// Unknown means that the store could not be asked whether the change was accepted.
	Unknown Status = iota
	// Accepted means that the change is durable.
	Accepted
	// Conflict means that another change came first and nothing was written.
	Conflict
	// Refused means that the change is invalid and nothing was written.
	Refused
	// Unavailable means that the store took no change.
	Unavailable
)

// Author says who makes a change and why.
type Author struct {
	Operator string
	Why      string
	// WriteID is unique for each change.
	WriteID string
	Now     time.Time
}

// Outcome is the result of a change.
type Outcome struct {
	Status Status
	// Head is the head after an accepted change, or the current one after a conflict.
	Head Head
	// Current is the stored preset after a conflict, empty if it does not exist.
	Current Stored
	// Difference lists what is stored against what the operator wanted.
	Difference []string
	Err        error
}

// attempts bounds how often a transaction is repeated after a lost answer.
const attempts = 3

// Apply stores a document. baseRevision is the preset's revision that the
// operator edited, 0 for a new preset; nil means the one stored now.
func (s *Store) Apply(ctx context.Context, author Author, document []byte, baseRevision *uint64) Outcome {
	wanted, err := preset.Parse(document)
	if err != nil {
		return Outcome{Status: Refused, Err: err}
	}
	head, headVersion, err := s.readHead(ctx)
	if err != nil {
		return Outcome{Status: Unavailable, Err: err}
	}
	stored, rowVersion, err := s.readDocument(ctx, wanted.Name)
	if err != nil && !errors.Is(err, ErrNoPreset) {
		return Outcome{Status: Unavailable, Err: err}
	}
	if baseRevision != nil && *baseRevision != stored.Revision {
		return conflict(head, stored, document)
	}
	next := head
	next.Revision++
	if head.Name == wanted.Name {
		next.InForceRevision = next.Revision
	}
	entry := entryOf(author, "apply", wanted.Name, head, next)
	entry.Changes = preset.Diff([]byte(stored.Document), document)
	txn := platform.Txn{
		Checks: []platform.Check{
			{Key: headKey, Version: headVersion},
			{Key: documentPrefix + wanted.Name, Version: rowVersion},
		},
		Writes: []platform.Write{
			write(headKey, next),
			write(documentPrefix+wanted.Name, Stored{Name: wanted.Name, Revision: next.Revision, Document: string(document)}),
			write(auditPrefix+author.WriteID, entry),
		},
	}
	return s.commit(ctx, author, txn, next, wanted.Name, document)
}

// Use puts a stored preset in force. base is the head that the operator saw,
// nil for the one stored now.
func (s *Store) Use(ctx context.Context, author Author, name string, base *Head) Outcome {
	head, headVersion, err := s.readHead(ctx)
	if err != nil {
		return Outcome{Status: Unavailable, Err: err}
	}
	stored, rowVersion, err := s.readDocument(ctx, name)
	if errors.Is(err, ErrNoPreset) {
		return Outcome{Status: Refused, Head: head, Err: err}
	}
	if err != nil {
		return Outcome{Status: Unavailable, Err: err}
	}
	if base != nil && *base != head {
		return Outcome{Status: Conflict, Head: head, Current: stored}
	}
	next := head
	next.Revision++
	next.Name = name
	next.InForceRevision = next.Revision
	txn := platform.Txn{
		Checks: []platform.Check{
			{Key: headKey, Version: headVersion},
			{Key: documentPrefix + name, Version: rowVersion},
		},
		Writes: []platform.Write{
			write(headKey, next),
			write(auditPrefix+author.WriteID, entryOf(author, "use", name, head, next)),
		},
	}
	return s.commit(ctx, author, txn, next, name, []byte(stored.Document))
}

func entryOf(author Author, action, name string, from, to Head) AuditEntry {
	return AuditEntry{
		WriteID:  author.WriteID,
		Time:     author.Now.UTC(),
		Operator: author.Operator,
		Why:      author.Why,
		Action:   action,
		Preset:   name,
		Revision: to.Revision,
		From:     from.Name,
		To:       to.Name,
	}
}

func write(key string, value any) platform.Write {
	data, err := json.Marshal(value)
	if err != nil {
		// The values are structs of strings and numbers, which always encode.
		panic(err)
	}
	return platform.Write{Key: key, Value: data}
}

// commit applies the transaction, and reads the audit row back when the answer
// was lost. Repeating the transaction is safe because of its checks.
func (s *Store) commit(ctx context.Context, author Author, txn platform.Txn, next Head, name string, document []byte) Outcome {
	var last error
	inDoubt := false
	for range attempts {
		result := s.table.Commit(ctx, txn)
		switch result.Status {
		case platform.CommitApplied:
			return Outcome{Status: Accepted, Head: next}
		case platform.CommitConflict:
			return s.resolveConflict(ctx, author, next, name, document, inDoubt)
		case platform.CommitUnknown:
			inDoubt = true
		}
		last = result.Err
		found, err := s.wasAccepted(ctx, author.WriteID)
		if err == nil && found {
			return Outcome{Status: Accepted, Head: next}
		}
	}
	if !inDoubt {
		return Outcome{Status: Unavailable, Err: last}
	}
	return Outcome{Status: Unknown, Err: eris.Wrapf(last, "write %s may or may not have been accepted", author.WriteID)}
}

// resolveConflict tells a real conflict from one with this change's own earlier
// attempt, whose answer was lost.
func (s *Store) resolveConflict(ctx context.Context, author Author, next Head, name string, document []byte, inDoubt bool) Outcome {
	if inDoubt {
		found, err := s.wasAccepted(ctx, author.WriteID)
		if err != nil {
			return Outcome{Status: Unknown, Err: err}
		}
		if found {
			return Outcome{Status: Accepted, Head: next}
		}
	}
	head, _, err := s.readHead(ctx)
	if err != nil {
		return Outcome{Status: Conflict, Err: err}
	}
	stored, err := s.Get(ctx, name)
	if err != nil && !errors.Is(err, ErrNoPreset) {
		return Outcome{Status: Conflict, Head: head, Err: err}
	}
	return conflict(head, stored, document)
}

func conflict(head Head, stored Stored, wanted []byte) Outcome {
	return Outcome{
		Status:     Conflict,
		Head:       head,
		Current:    stored,
		Difference: preset.Diff([]byte(stored.Document), wanted),
	}
}

func (s *Store) wasAccepted(ctx context.Context, writeID string) (bool, error) {
	result, err := s.table.Get(ctx, auditPrefix+writeID)
	if err != nil {
		return false, err
	}
	return len(result.Rows) > 0, nil
}
