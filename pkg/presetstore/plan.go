package presetstore

import (
	"bytes"
	"fmt"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
)

// Values of AuditEntry.Action.
const (
	actionApply = "apply"
	actionUse   = "use"
)

// change holds the arguments of Apply or Use.
type change struct {
	author Author
	action string
	name   string
	// document is the new text for actionApply.
	document []byte
	// base is the revision that the operator saw: that of the preset for
	// actionApply, that in force for actionUse; nil if it is not known.
	base *uint64
}

// baseRevisionIn returns the revision in the snapshot with which base is compared.
func (c change) baseRevisionIn(s snapshot) uint64 {
	if c.action == actionApply {
		return s.stored.Revision
	}
	return s.head.InForceRevision
}

// difference lists how the current state differs from the requested one.
func (c change) difference(seen, current snapshot) []string {
	if c.action == actionApply {
		return preset.Diff([]byte(current.stored.Document), c.document)
	}
	lines := []string{fmt.Sprintf("in force: %q at revision %d -> %q", current.head.Name, current.head.InForceRevision, c.name)}
	for _, line := range preset.Diff([]byte(seen.stored.Document), []byte(current.stored.Document)) {
		lines = append(lines, fmt.Sprintf("preset %q was changed: %s", c.name, line))
	}
	return lines
}

// isUnseen reports whether a conflict lists an accepted change: an edit of the preset
// after base, or a change of the preset in force that the operator had not seen.
func (c change) isUnseen(entry AuditEntry, base uint64, seen snapshot) bool {
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
	// document is the document that the change puts in force, empty if the preset in
	// force does not change.
	document string
}

// plan builds the transaction of a change that is based on a snapshot. The check of
// the audit row guards against a write ID that was used before.
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
	writes := []platform.Write{encodeWrite(headKey, next)}
	if c.action == actionApply {
		entry.Replaced = s.stored.Revision
		entry.Changes = preset.Diff([]byte(s.stored.Document), c.document)
		writes = append(writes, encodeWrite(documentPrefix+c.name,
			StoredPreset{Name: c.name, Revision: next.Revision, Document: string(c.document)}))
	}
	document := s.stored.Document
	if c.action == actionApply {
		document = string(c.document)
	}
	if next.InForceRevision != next.Revision {
		document = ""
	}
	audit := encodeWrite(auditPrefix+c.author.WriteID, entry)
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

// outcomeOf returns the outcome for an existing audit row: accepted if this change
// wrote it, refused if another change with the same write ID did.
func (p plan) outcomeOf(row platform.Row, accepted Outcome) Outcome {
	if bytes.Equal(row.Value, p.auditValue) {
		return accepted
	}
	return Outcome{Status: Refused, Err: eris.Errorf("write ID %q was used by another change", p.entry.WriteID)}
}
