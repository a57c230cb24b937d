package presetstore

import (
	"bytes"
	"fmt"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
)

// Actions in the audit trail.
const (
	actionApply = "apply"
	actionUse   = "use"
)

// change is what an operator asks for.
type change struct {
	author Author
	action string
	name   string
	// document is the new text for actionApply.
	document []byte
	// base is the revision that the operator saw: of the preset for actionApply,
	// in force for actionUse; nil if not known.
	base *uint64
}

// revisionIn returns the revision that base is compared with.
func (c change) revisionIn(s snapshot) uint64 {
	if c.action == actionApply {
		return s.stored.Revision
	}
	return s.head.InForceRevision
}

// difference lists what is stored now against what the operator wants.
func (c change) difference(seen, now snapshot) []string {
	if c.action == actionApply {
		return preset.Diff([]byte(now.stored.Document), c.document)
	}
	lines := []string{fmt.Sprintf("in force: %q at revision %d -> %q", now.head.Name, now.head.InForceRevision, c.name)}
	for _, line := range preset.Diff([]byte(seen.stored.Document), []byte(now.stored.Document)) {
		lines = append(lines, fmt.Sprintf("preset %q was changed: %s", c.name, line))
	}
	return lines
}

// unseen reports whether a conflict has to show an accepted change: edits of the
// preset after base, and what changed the preset in force meanwhile.
func (c change) unseen(entry AuditEntry, base uint64, seen snapshot) bool {
	edited := entry.Action == actionApply && entry.Preset == c.name
	inForce := entry.Action == actionUse || entry.Preset == entry.To
	if c.action == actionApply {
		return (edited && entry.Revision > base) || (inForce && entry.Revision > seen.head.Revision)
	}
	return (inForce && entry.Revision > base) || (edited && entry.Revision > seen.head.Revision)
}

// plan is one transaction of a change.
type plan struct {
	txn      platform.Txn
	next     Head
	entry    AuditEntry
	auditKey string
	// auditValue is the value of the audit row that the transaction writes.
	auditValue []byte
	// document is the text of the preset that the change puts in force, empty if
	// it does not change what is in force.
	document string
}

// plan builds the transaction on top of a snapshot. The check of the audit row
// guards against a write ID that was used before.
func (c change) plan(s snapshot) plan {
	next := s.head
	next.Revision++
	if c.action == actionUse {
		next.Name = c.name
	}
	if next.Name == c.name {
		next.InForceRevision = next.Revision
	}
	entry := AuditEntry{
		WriteID:  c.author.WriteID,
		Time:     c.author.Now.UTC(),
		Operator: c.author.Operator,
		Why:      c.author.Why,
		Action:   c.action,
		Preset:   c.name,
		Revision: next.Revision,
		From:     s.head.Name,
		To:       next.Name,
	}
	writes := []platform.Write{write(headKey, next)}
	if c.action == actionApply {
		entry.Replaced = s.stored.Revision
		entry.Changes = preset.Diff([]byte(s.stored.Document), c.document)
		writes = append(writes, write(documentPrefix+c.name,
			Stored{Name: c.name, Revision: next.Revision, Document: string(c.document)}))
	}
	document := s.stored.Document
	if c.action == actionApply {
		document = string(c.document)
	}
	if next.InForceRevision != next.Revision {
		document = ""
	}
	audit := write(auditPrefix+c.author.WriteID, entry)
	return plan{
		txn: platform.Txn{
			Checks: []platform.Check{
				{Key: headKey, Version: s.headVersion},
				{Key: documentPrefix + c.name, Version: s.rowVersion},
				{Key: audit.Key, Version: 0},
			},
			Writes: append(writes, audit),
		},
		next:       next,
		entry:      entry,
		auditKey:   audit.Key,
		auditValue: audit.Value,
		document:   document,
	}
}

// judge tells this change's own audit row from one of another change with the
// same write ID.
func (p plan) judge(row platform.Row, accepted Outcome) Outcome {
	if bytes.Equal(row.Value, p.auditValue) {
		return accepted
	}
	return Outcome{Status: Refused, Err: eris.Errorf("write ID %q was used by another change", p.entry.WriteID)}
}
