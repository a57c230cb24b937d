package presetstore

import (
	"context"
	"fmt"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/platform/platformtest"
	"balsamhill/pkg/preset"
)

// attemptedChange is one change that an operator requested, with its outcome.
type attemptedChange struct {
	action, name, document string
	base                   *uint64
	outcome                Outcome
}

// model runs operators and a gateway against the store. It computes the expected
// state by replaying the audit trail with the documents of the attempted changes.
type model struct {
	t       *rapid.T
	table   *platformtest.Table
	store   *Store
	changes map[string]*attemptedChange
	// seenRevisions holds, for each operator, the revisions that it last read.
	seenRevisions [3]map[string]uint64
	seenInForce   [3]uint64
	adopter       preset.Adopter
	interrupting  bool
}

var names = []string{"ordinary", "peak", "maintenance"}

func newModel(t *rapid.T) *model {
	m := &model{t: t, table: platformtest.New(), changes: make(map[string]*attemptedChange)}
	m.store = New(m.table)
	for i := range m.seenRevisions {
		m.seenRevisions[i] = make(map[string]uint64)
	}
	return m
}

func (m *model) ctx() context.Context { return context.Background() }

func (m *model) draw(label string, maxValue int) int {
	return rapid.IntRange(0, maxValue).Draw(m.t, label)
}

// readAsOperator updates the revisions that an operator has seen. A failed read
// leaves them as they were.
func (m *model) readAsOperator(operator int) {
	for _, name := range names {
		stored, err := m.store.Get(m.ctx(), name)
		if err == nil {
			m.seenRevisions[operator][name] = stored.Revision
		}
	}
	head, err := m.store.Head(m.ctx())
	if err == nil {
		m.seenInForce[operator] = head.InForceRevision
	}
}

// changeWithFaults makes a change that is based on the current state when the faults
// begin.
func (m *model) changeWithFaults() {
	operator := m.draw("operator", 2)
	m.readAsOperator(operator)
	m.injectFaults()
	m.change(operator)
}

func (m *model) change(operator int) {
	a := &attemptedChange{action: actionUse, name: rapid.SampledFrom(names).Draw(m.t, "name")}
	base := m.seenInForce[operator]
	if m.draw("apply", 2) > 0 {
		a.action = actionApply
		base = m.seenRevisions[operator][a.name]
		kind := rapid.SampledFrom([]string{"peak", "peak", "peak", "busy"}).Draw(m.t, "kind")
		a.document = fmt.Sprintf(`{"name": %q, "kind": %q, "description": "%d"}`, a.name, kind, len(m.changes))
	}
	if m.draw("withBase", 2) > 0 {
		a.base = &base
	}
	id := fmt.Sprintf("w%d", len(m.changes))
	m.changes[id] = a
	author := Author{Operator: fmt.Sprint(operator), WriteID: id, Now: m.table.Now}
	switch {
	case a.action == actionUse:
		a.outcome = m.store.Use(m.ctx(), author, a.name, a.base)
	case a.base != nil && m.draw("baseLine", 1) == 0:
		document := preset.WithBase(preset.Base{Name: a.name, Revision: *a.base}, []byte(a.document))
		a.outcome = m.store.Apply(m.ctx(), author, document, nil)
	default:
		a.outcome = m.store.Apply(m.ctx(), author, []byte(a.document), a.base)
	}
}

// changeWithInterruption makes a change during which, before one of its calls to the
// store, another operator makes a change or delayed requests arrive.
func (m *model) changeWithInterruption() {
	callsLeft := m.draw("callsBefore", 5)
	m.table.Before = func(platformtest.Call) {
		if m.interrupting {
			return
		}
		if callsLeft--; callsLeft < 0 {
			m.interrupting = true
			if m.draw("late", 1) == 0 {
				m.table.ApplyDelayed()
			} else {
				m.change(m.draw("other", 2))
			}
			callsLeft = 1000
			m.interrupting = false
		}
	}
	m.change(m.draw("operator", 2))
	m.table.Before = nil
}

func (m *model) injectFaults() {
	kinds := []platformtest.CommitFault{
		platformtest.CommitOK, platformtest.LoseResponse, platformtest.LoseResponse,
		platformtest.LoseRequest, platformtest.RefuseCommit, platformtest.DelayCommit,
	}
	m.table.FailCommits(rapid.SliceOfN(rapid.SampledFrom(kinds), 1, 4).Draw(m.t, "faults")...)
	m.table.FailReads(rapid.SliceOfN(rapid.Bool(), 0, 5).Draw(m.t, "failedReads")...)
	m.table.SetDown(m.draw("down", 5) == 0)
}

// poll reads the revision as a gateway does. The revision must never decrease.
func (m *model) poll() {
	revision, err := m.store.Revision(m.ctx())
	if err != nil {
		return
	}
	assert.Assert(m.t, revision >= m.adopter.Current().Revision)
	version, err := m.store.InForce(m.ctx())
	if err == nil && version.Revision != m.adopter.Current().Revision {
		assert.Assert(m.t, m.adopter.AdoptIfNewer(version))
	}
}

// replayedState is the state that results from the audit trail.
type replayedState struct {
	head Head
	docs map[string]StoredPreset
}

// check compares the stored state with a replay of the audit trail.
func (m *model) check() {
	m.table.ClearFaults()
	entries, err := m.store.Audit(m.ctx())
	assert.NilError(m.t, err)
	state := replayedState{docs: make(map[string]StoredPreset)}
	auditRows := make(map[string]int)
	for i, entry := range entries {
		auditRows[entry.WriteID]++
		assert.Equal(m.t, entry.Revision, uint64(i+1), "revisions increase without gaps")
		m.replay(&state, entry)
	}
	head, err := m.store.Head(m.ctx())
	assert.NilError(m.t, err)
	assert.Equal(m.t, head, state.head, "the head matches the last audit row")
	stored, err := m.store.List(m.ctx())
	assert.NilError(m.t, err)
	assert.Equal(m.t, len(stored), len(state.docs))
	for _, s := range stored {
		assert.Equal(m.t, s, state.docs[s.Name])
	}
	for id, a := range m.changes {
		m.checkChange(id, a, auditRows[id])
	}
}

func (m *model) replay(state *replayedState, entry AuditEntry) {
	a := m.changes[entry.WriteID]
	assert.Equal(m.t, entry.Action+entry.Preset, a.action+a.name)
	assert.Equal(m.t, entry.From, state.head.Name)
	inForceBefore := state.head.InForceRevision
	state.head.Revision++
	if a.action == actionUse {
		state.head.Name = a.name
		assert.Assert(m.t, state.docs[a.name].Revision > 0, "a preset in force is stored")
		assert.Assert(m.t, a.base == nil || *a.base == inForceBefore, "a preset in force is replaced only if the operator saw it")
	} else {
		assert.Equal(m.t, entry.Replaced, state.docs[a.name].Revision)
		assert.Assert(m.t, a.base == nil || *a.base == entry.Replaced, "an edit is replaced only if the operator saw it")
		state.docs[a.name] = StoredPreset{Name: a.name, Revision: state.head.Revision, Document: a.document}
	}
	if state.head.Name == a.name {
		state.head.InForceRevision = state.head.Revision
	}
	assert.Equal(m.t, entry.To, state.head.Name)
	if a.outcome.Status == Accepted {
		assert.Equal(m.t, a.outcome.Head, state.head, "the reported head is that of the change")
	}
	current := m.adopter.Current()
	if current.Preset != nil && current.Revision == state.head.InForceRevision {
		assert.Equal(m.t, current.Preset.Name, state.head.Name)
		assert.Equal(m.t, string(current.Document), state.docs[state.head.Name].Document)
	}
}

func (m *model) checkChange(id string, a *attemptedChange, rows int) {
	entry, accepted, err := m.store.Find(m.ctx(), id)
	assert.NilError(m.t, err)
	assert.Equal(m.t, accepted, rows == 1)
	switch a.outcome.Status {
	case Accepted:
		assert.Equal(m.t, rows, 1, "%s was reported as accepted", id)
		assert.Equal(m.t, entry.Revision, a.outcome.Head.Revision)
	case Unknown:
		assert.Assert(m.t, rows <= 1)
		assert.Assert(m.t, a.outcome.Err != nil)
	default:
		assert.Equal(m.t, rows, 0, "%s was reported as status %d", id, a.outcome.Status)
		assert.Assert(m.t, a.outcome.Err != nil)
	}
}
