package presetstore

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
)

// Status is the status of a change.
type Status int

const (
	// Unknown means that the change may or may not have been accepted, and that it
	// may still be accepted while a delayed request to the store has not arrived.
	Unknown Status = iota
	// Accepted means that the change is durable.
	Accepted
	// Conflict means that another change was accepted first and nothing was written.
	Conflict
	// Refused means that the change is invalid and nothing was written.
	Refused
	// Unavailable means that the store could not be reached or did not apply the
	// change.
	Unavailable
)

// Author identifies who makes a change, and why.
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
	// Head is the head after an accepted change, or the current head after a conflict.
	Head Head
	// InForce is the document that an accepted change put in force, empty if the
	// change is to a preset that is not in force.
	InForce string
	// Current is the stored preset after a conflict, empty if it does not exist.
	Current StoredPreset
	// Difference lists, one line for each field, how the stored state differs from
	// the requested one. After an accepted change it lists what the change replaced.
	Difference []string
	// UnseenChanges lists, after a conflict, the accepted changes that the operator
	// had not seen, oldest first. It is empty if the audit trail could not be read.
	UnseenChanges []AuditEntry
	// BaseUnknown means that an existing preset was replaced although the revision
	// that the operator edited is not known.
	BaseUnknown bool
	// Err is the reason why the change was not accepted, or why its status is
	// unknown.
	Err error
}

const (
	// maxCommitAttempts bounds how often a transaction is sent if responses are lost.
	maxCommitAttempts = 3
	// maxTransactions bounds the transactions of a change. Each after the first is
	// based on a newer head, after changes that do not affect it.
	maxTransactions = 5
	// storeCallTimeout bounds each call to the store during a change, so that a
	// commit without a response leaves time to read the audit row.
	storeCallTimeout = 2 * time.Second
)

// Apply stores a document. base is the revision of the preset that the operator
// edited, 0 for a new preset. If it is nil, the base line of the document is used
// (see preset.WithBase), and without one the revision that is currently stored.
func (s *Store) Apply(ctx context.Context, author Author, document []byte, base *uint64) Outcome {
	parsed, err := preset.Parse(document)
	if err != nil {
		return Outcome{Status: Refused, Err: err}
	}
	documentBase, text, err := preset.SplitBase(document)
	if err != nil {
		return Outcome{Status: Refused, Err: err}
	}
	if base == nil && documentBase != nil {
		base = &documentBase.Revision
		if documentBase.Name != parsed.Name {
			// The document is a copy of another preset and must become a new one.
			base = new(uint64)
		}
	}
	return s.runChange(ctx, change{author: author, action: actionApply, name: parsed.Name, document: text, base: base})
}

// Use puts a stored preset in force. base is the revision in force that the
// operator saw, nil for the current one.
func (s *Store) Use(ctx context.Context, author Author, name string, base *uint64) Outcome {
	return s.runChange(ctx, change{author: author, action: actionUse, name: name, base: base})
}

// snapshot is the stored state on which a change is based, from one consistent read.
type snapshot struct {
	head        Head
	headVersion uint64
	// stored is zero if the preset does not exist.
	stored     StoredPreset
	rowVersion uint64
}

// affectedBy reports whether a change that is based on s conflicts with the changes
// between s and current. Changes to presets that are neither in force nor the one
// to be changed do not conflict with it.
func (s snapshot) affectedBy(current snapshot) bool {
	return current.rowVersion != s.rowVersion || current.head.Name != s.head.Name ||
		current.head.InForceRevision != s.head.InForceRevision
}

// runChange commits a change. After changes that do not affect it, it commits again
// on the newer head, with at most maxTransactions transactions in total.
func (s *Store) runChange(ctx context.Context, c change) Outcome {
	if c.author.WriteID == "" {
		return Outcome{Status: Refused, Err: eris.New("the write ID is empty")}
	}
	seen, err := s.readSnapshot(ctx, c.name)
	if err != nil {
		return Outcome{Status: Unavailable, Err: err}
	}
	if c.action == actionUse && seen.rowVersion == 0 {
		return Outcome{Status: Refused, Head: seen.head, Err: eris.Wrapf(ErrNoPreset, "%q", c.name)}
	}
	if c.base != nil && *c.base != c.baseRevisionIn(seen) {
		return s.conflict(ctx, c, *c.base, seen, seen)
	}
	current := seen
	for range maxTransactions {
		outcome := s.commit(ctx, c.plan(current))
		if outcome.Status != Conflict {
			outcome.BaseUnknown = c.action == actionApply && c.base == nil && current.rowVersion != 0
			return outcome
		}
		current, err = s.readSnapshot(ctx, c.name)
		if err != nil {
			return Outcome{Status: Conflict, Err: eris.Wrap(err, "another change was accepted first; the current state could not be read")}
		}
		if seen.affectedBy(current) {
			break
		}
	}
	return s.conflict(ctx, c, c.baseRevisionIn(seen), seen, current)
}

// conflict returns the outcome of a change after a conflict, with the changes since
// the revision on which it is based.
func (s *Store) conflict(ctx context.Context, c change, base uint64, seen, current snapshot) Outcome {
	outcome := Outcome{Status: Conflict, Head: current.head, Current: current.stored, Difference: c.difference(seen, current)}
	currentRevision := c.baseRevisionIn(current)
	switch {
	case currentRevision == base && !seen.affectedBy(current):
		outcome.Err = eris.Errorf("the store accepted other changes first, %d times in a row; none of them affects this change, so try again", maxTransactions)
	case c.action == actionApply && currentRevision == base:
		outcome.Err = eris.Errorf("revision %d of preset %q did not change, but %q was put in force at revision %d",
			base, c.name, current.head.Name, current.head.InForceRevision)
	case c.action == actionApply:
		outcome.Err = eris.Errorf("the change is based on revision %d of preset %q, but revision %d is stored", base, c.name, currentRevision)
	case currentRevision == base:
		outcome.Err = eris.Errorf("preset %q was changed at revision %d", c.name, current.stored.Revision)
	default:
		outcome.Err = eris.Errorf("the change is based on revision %d in force, but %q is in force at revision %d", base, current.head.Name, currentRevision)
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, err := s.Audit(ctx)
	if err != nil {
		return outcome
	}
	for _, entry := range entries {
		if c.isUnseen(entry, base, seen) {
			outcome.UnseenChanges = append(outcome.UnseenChanges, entry)
		}
	}
	return outcome
}

// commit applies the transaction and, if the response was lost, reads the audit row
// to find out whether it was applied. Repeating the transaction is safe: its checks
// pass at most once, and never again after the head has changed.
func (s *Store) commit(ctx context.Context, p plan) Outcome {
	accepted := Outcome{Status: Accepted, Head: p.next, Difference: p.entry.Changes, InForce: p.document}
	var lastErr error
	inDoubt := false
	for range maxCommitAttempts {
		result := s.commitOnce(ctx, p.txn)
		switch result.Status {
		case platform.CommitApplied:
			return accepted
		case platform.CommitConflict:
			// The conflicts contain the audit row if an earlier attempt took effect.
			for _, row := range result.Conflicts {
				if row.Key == p.auditKey && row.Version != 0 {
					return p.outcomeOf(row, accepted)
				}
			}
			return Outcome{Status: Conflict}
		case platform.CommitUnknown:
			inDoubt = true
		}
		lastErr = result.Err
		row, found, err := s.readAudit(ctx, p.auditKey)
		if err == nil && found {
			return p.outcomeOf(row, accepted)
		}
	}
	if !inDoubt {
		return Outcome{Status: Unavailable, Err: lastErr}
	}
	return Outcome{Status: Unknown, Err: eris.Wrap(lastErr, "the store may or may not have accepted the change")}
}

func (s *Store) commitOnce(ctx context.Context, txn platform.Txn) platform.CommitResult {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return s.table.Commit(ctx, txn)
}

func (s *Store) readAudit(ctx context.Context, key string) (platform.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	result, err := s.table.Get(ctx, key)
	if err != nil || len(result.Rows) == 0 {
		return platform.Row{}, false, err
	}
	return result.Rows[0], true, nil
}

// readSnapshot reads the state on which a change of the preset is based.
func (s *Store) readSnapshot(ctx context.Context, name string) (snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	result, err := s.table.Get(ctx, headKey, documentPrefix+name)
	if err != nil {
		return snapshot{}, err
	}
	found := snapshot{}
	found.head, found.stored, err = decodeInForce(result.Rows, name)
	for _, row := range result.Rows {
		if row.Key == headKey {
			found.headVersion = row.Version
		} else {
			found.rowVersion = row.Version
		}
	}
	return found, err
}

func encodeWrite(key string, value any) platform.Write {
	data, err := json.Marshal(value)
	if err != nil {
		// Encoding never fails, because the values are structs of strings and numbers.
		panic(fmt.Sprintf("encode row %q: %v", key, err))
	}
	return platform.Write{Key: key, Value: data}
}
