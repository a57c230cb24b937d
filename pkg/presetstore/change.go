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

// Status is the outcome of a change.
type Status int

const (
	// Unknown means that the change may or may not have been accepted, and may
	// still be accepted until the store has dropped the last attempt.
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
	// InForce is the text of the preset that an accepted change put in force,
	// empty if the change is to a preset that is not in force.
	InForce string
	// Current is the stored preset after a conflict, empty if it does not exist.
	Current Stored
	// Difference lists what is stored against what the operator wanted, one line
	// for each field. After an accepted change it lists what the change replaced.
	Difference []string
	// UnseenChanges lists the accepted changes that the operator had not seen after a
	// conflict, oldest first. It is empty if the audit trail could not be read.
	UnseenChanges []AuditEntry
	// Unchecked means that an existing preset was replaced without knowing which
	// revision the operator edited.
	Unchecked bool
	// Err says why the change was not accepted, or why that is not known.
	Err error
}

const (
	// attempts bounds how often a transaction is repeated after a lost answer.
	attempts = 3
	// rebases bounds how often a change moves on to a newer head after changes of
	// other presets, which do not concern it.
	rebases = 5
	// changeCallTimeout bounds each call of the store during a change, so that a
	// commit without an answer leaves time to read the audit row.
	changeCallTimeout = 2 * time.Second
)

// Apply stores a document. base is the preset's revision that the operator
// edited, 0 for a new preset. If it is nil, the document's own base line counts
// (see preset.WithBase), and without one the revision that is stored now.
func (s *Store) Apply(ctx context.Context, author Author, document []byte, base *uint64) Outcome {
	wanted, err := preset.Parse(document)
	if err != nil {
		return Outcome{Status: Refused, Err: err}
	}
	line, text, err := preset.SplitBase(document)
	if err != nil {
		return Outcome{Status: Refused, Err: err}
	}
	if base == nil && line != nil {
		base = &line.Revision
		if line.Name != wanted.Name {
			// The document was made from another preset and is to become a new one.
			base = new(uint64)
		}
	}
	return s.run(ctx, change{author: author, action: actionApply, name: wanted.Name, document: text, base: base})
}

// Use puts a stored preset in force. base is the revision in force that the
// operator saw, nil for the one stored now.
func (s *Store) Use(ctx context.Context, author Author, name string, base *uint64) Outcome {
	return s.run(ctx, change{author: author, action: actionUse, name: name, base: base})
}

// snapshot is what one change is based on; the rows come from one consistent read.
type snapshot struct {
	head        Head
	headVersion uint64
	// stored is zero if the preset does not exist.
	stored     Stored
	rowVersion uint64
}

// concerns reports whether a change that was based on s has to be shown what
// happened until now. Changes of presets that are neither in force nor the one
// to be changed do not concern it.
func (s snapshot) concerns(now snapshot) bool {
	return now.rowVersion != s.rowVersion || now.head.Name != s.head.Name ||
		now.head.InForceRevision != s.head.InForceRevision
}

// run repeats a change on newer heads until it is accepted or concerned.
func (s *Store) run(ctx context.Context, c change) Outcome {
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
	if c.base != nil && *c.base != c.revisionIn(seen) {
		return s.conflict(ctx, c, *c.base, seen, seen)
	}
	now := seen
	for range rebases {
		outcome := s.commit(ctx, c.plan(now))
		if outcome.Status != Conflict {
			outcome.Unchecked = c.action == actionApply && c.base == nil && now.rowVersion != 0
			return outcome
		}
		now, err = s.readSnapshot(ctx, c.name)
		if err != nil {
			return Outcome{Status: Conflict, Err: eris.Wrap(err, "another change came first; what is stored now could not be read")}
		}
		if seen.concerns(now) {
			break
		}
	}
	return s.conflict(ctx, c, c.revisionIn(seen), seen, now)
}

// conflict describes what happened since the revision that the change is based on.
func (s *Store) conflict(ctx context.Context, c change, base uint64, seen, now snapshot) Outcome {
	outcome := Outcome{Status: Conflict, Head: now.head, Current: now.stored, Difference: c.difference(seen, now)}
	current := c.revisionIn(now)
	switch {
	case current == base && !seen.concerns(now):
		outcome.Err = eris.Errorf("the store took other changes first, %d times in a row; nothing concerns this one, so try again", rebases)
	case c.action == actionApply && current == base:
		outcome.Err = eris.Errorf("revision %d of preset %q did not change, but %q was put in force at revision %d",
			base, c.name, now.head.Name, now.head.InForceRevision)
	case c.action == actionApply:
		outcome.Err = eris.Errorf("the change was made to revision %d of preset %q, but revision %d is stored", base, c.name, current)
	case current == base:
		outcome.Err = eris.Errorf("preset %q was changed at revision %d", c.name, now.stored.Revision)
	default:
		outcome.Err = eris.Errorf("revision %d was seen in force, but %q is in force at revision %d", base, now.head.Name, current)
	}
	ctx, cancel := context.WithTimeout(ctx, changeCallTimeout)
	defer cancel()
	entries, err := s.Audit(ctx)
	if err != nil {
		return outcome
	}
	for _, entry := range entries {
		if c.unseen(entry, base, seen) {
			outcome.UnseenChanges = append(outcome.UnseenChanges, entry)
		}
	}
	return outcome
}

// commit applies the transaction, and reads the audit row back when the answer
// was lost. Repeating the transaction is safe because of its checks: they pass at
// most once, and never again once the head has moved on.
func (s *Store) commit(ctx context.Context, p plan) Outcome {
	accepted := Outcome{Status: Accepted, Head: p.next, Difference: p.entry.Changes, InForce: p.document}
	var last error
	inDoubt := false
	for range attempts {
		result := s.commitOnce(ctx, p.txn)
		switch result.Status {
		case platform.CommitApplied:
			return accepted
		case platform.CommitConflict:
			// The conflict shows the audit row if an earlier attempt took effect.
			for _, row := range result.Conflicts {
				if row.Key == p.auditKey && row.Version != 0 {
					return p.judge(row, accepted)
				}
			}
			return Outcome{Status: Conflict}
		case platform.CommitUnknown:
			inDoubt = true
		}
		last = result.Err
		row, found, err := s.readAudit(ctx, p.auditKey)
		if err == nil && found {
			return p.judge(row, accepted)
		}
	}
	if !inDoubt {
		return Outcome{Status: Unavailable, Err: last}
	}
	return Outcome{Status: Unknown, Err: eris.Wrap(last, "the store may or may not have accepted the change")}
}

func (s *Store) commitOnce(ctx context.Context, txn platform.Txn) platform.CommitResult {
	ctx, cancel := context.WithTimeout(ctx, changeCallTimeout)
	defer cancel()
	return s.table.Commit(ctx, txn)
}

func (s *Store) readAudit(ctx context.Context, key string) (platform.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, changeCallTimeout)
	defer cancel()
	result, err := s.table.Get(ctx, key)
	if err != nil || len(result.Rows) == 0 {
		return platform.Row{}, false, err
	}
	return result.Rows[0], true, nil
}

// readSnapshot reads what a change of the preset is based on.
func (s *Store) readSnapshot(ctx context.Context, name string) (snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, changeCallTimeout)
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

func write(key string, value any) platform.Write {
	data, err := json.Marshal(value)
	if err != nil {
		// The values are structs of strings and numbers, which always encode.
		panic(fmt.Sprintf("encode row %q: %v", key, err))
	}
	return platform.Write{Key: key, Value: data}
}
