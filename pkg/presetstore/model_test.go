package presetstore

import (
	"context"
	"fmt"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/platform/platformtest"
	"balsamhill/pkg/preset"
)

// attempt is one change that an operator asked for, and what the store said.
type attempt struct {
	action, name, document string
	base                   *uint64
	outcome                Outcome
}

// model drives operators and a gateway against the store. Its oracle replays the
// audit trail from the attempts' own texts.
type model struct {
	t        *rapid.T
	table    *platformtest.Table
	store    *Store
	attempts map[string]*attempt
	// seen holds per operator the revisions that it last read.
	seen    [3]map[string]uint64
	inForce [3]uint64
	gateway preset.Adopter
	nested  bool
}

var names = []string{"ordinary", "peak", "maintenance"}

func newModel(t *rapid.T) *model {
	m := &model{t: t, table: platformtest.New(), attempts: make(map[string]*attempt)}
	m.store = New(m.table)
	for i := range m.seen {
		m.seen[i] = make(map[string]uint64)
	}
	return m
}

func (m *model) ctx() context.Context { return context.Background() }

func (m *model) draw(label string, highest int) int {
	return rapid.IntRange(0, highest).Draw(m.t, label)
}

// read lets an operator note what is stored; a failed read leaves its notes.
func (m *model) read(operator int) {
	for _, name := range names {
		stored, err := m.store.Get(m.ctx(), name)
		if err == nil {
			m.seen[operator][name] = stored.Revision
		}
	}
	head, err := m.store.Head(m.ctx())
	if err == nil {
		m.inForce[operator] = head.InForceRevision
	}
}

// faultyChange is a change that is up to date when faults begin.
func (m *model) faultyChange() {
	operator := m.draw("operator", 2)
	m.read(operator)
	m.faults()
	m.change(operator)
}

func (m *model) change(operator int) {
	a := &attempt{action: actionUse, name: rapid.SampledFrom(names).Draw(m.t, "name")}
	base := m.inForce[operator]
	if m.draw("apply", 2) > 0 {
		a.action = actionApply
		base = m.seen[operator][a.name]
		kind := rapid.SampledFrom([]string{"peak", "peak", "peak", "busy"}).Draw(m.t, "kind")
		a.document = fmt.Sprintf(`{"name": %q, "kind": %q, "description": "%d"}`, a.name, kind, len(m.attempts))
	}
	if m.draw("withBase", 2) > 0 {
		a.base = &base
	}
	id := fmt.Sprintf("w%d", len(m.attempts))
	m.attempts[id] = a
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

// changeWithInterruption lets another operator act, or late requests arrive,
// before one of the calls.
func (m *model) changeWithInterruption() {
	left := m.draw("callsBefore", 5)
	m.table.Before = func(platformtest.Call) {
		if m.nested {
			return
		}
		if left--; left < 0 {
			m.nested = true
			if m.draw("late", 1) == 0 {
				m.table.ApplyDelayed()
			} else {
				m.change(m.draw("other", 2))
			}
			left = 1000
			m.nested = false
		}
	}
	m.change(m.draw("operator", 2))
	m.table.Before = nil
}

func (m *model) faults() {
	kinds := []platformtest.CommitFault{
		platformtest.CommitOK, platformtest.LoseResponse, platformtest.LoseResponse,
		platformtest.LoseRequest, platformtest.RefuseCommit, platformtest.DelayCommit,
	}
	m.table.FailCommits(rapid.SliceOfN(rapid.SampledFrom(kinds), 1, 4).Draw(m.t, "faults")...)
	m.table.FailReads(rapid.SliceOfN(rapid.Bool(), 0, 5).Draw(m.t, "failedReads")...)
	m.table.SetDown(m.draw("down", 5) == 0)
}

// poll is what a gateway does: it must never see an earlier revision again.
func (m *model) poll() {
	revision, err := m.store.Revision(m.ctx())
	if err != nil {
		return
	}
	assert.Assert(m.t, revision >= m.gateway.Current().Revision)
	version, err := m.store.InForce(m.ctx())
	if err == nil && version.Revision != m.gateway.Current().Revision {
		assert.Assert(m.t, m.gateway.Offer(version))
	}
}

// replayed is the state that the audit trail leads to.
type replayed struct {
	head Head
	docs map[string]Stored
}

// check compares the store with a replay of its audit trail.
func (m *model) check() {
	m.table.ClearFaults()
	entries, err := m.store.Audit(m.ctx())
	assert.NilError(m.t, err)
	state := replayed{docs: make(map[string]Stored)}
	found := make(map[string]int)
	for i, entry := range entries {
		found[entry.WriteID]++
		assert.Equal(m.t, entry.Revision, uint64(i+1), "revisions rise without gaps")
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
	for id, a := range m.attempts {
		m.checkAttempt(id, a, found[id])
	}
}

func (m *model) replay(state *replayed, entry AuditEntry) {
	a := m.attempts[entry.WriteID]
	assert.Equal(m.t, entry.Action+entry.Preset, a.action+a.name)
	assert.Equal(m.t, entry.From, state.head.Name)
	inForceBefore := state.head.InForceRevision
	state.head.Revision++
	if a.action == actionUse {
		state.head.Name = a.name
		assert.Assert(m.t, state.docs[a.name].Revision > 0, "a preset in force is stored")
		assert.Assert(m.t, a.base == nil || *a.base == inForceBefore, "no choice is overwritten unseen")
	} else {
		assert.Equal(m.t, entry.Replaced, state.docs[a.name].Revision)
		assert.Assert(m.t, a.base == nil || *a.base == entry.Replaced, "no edit is overwritten unseen")
		state.docs[a.name] = Stored{Name: a.name, Revision: state.head.Revision, Document: a.document}
	}
	if state.head.Name == a.name {
		state.head.InForceRevision = state.head.Revision
	}
	assert.Equal(m.t, entry.To, state.head.Name)
	if a.outcome.Status == Accepted {
		assert.Equal(m.t, a.outcome.Head, state.head, "the reported head is the change's own")
	}
	current := m.gateway.Current()
	if current.Preset != nil && current.Revision == state.head.InForceRevision {
		assert.Equal(m.t, current.Preset.Name, state.head.Name)
		assert.Equal(m.t, string(current.Document), state.docs[state.head.Name].Document)
	}
}

func (m *model) checkAttempt(id string, a *attempt, rows int) {
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
