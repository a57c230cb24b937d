package presetstore

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/platform/platformtest"
	"balsamhill/pkg/preset"
)

// Guards against changes that are applied twice or unseen over another
// operator's, against wrong reports of what became of a change, and against
// gateways that see a revision go back: several operators, interrupted changes,
// lost answers, lost and late requests, failed reads and outages.
func TestStoreAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"read":        func(*rapid.T) { m.read(m.draw("operator", 2)) },
			"change":      func(*rapid.T) { m.change(m.draw("operator", 2)) },
			"faulty":      func(*rapid.T) { m.faultyChange() },
			"interrupted": func(*rapid.T) { m.changeWithInterruption() },
			"faults":      func(*rapid.T) { m.faults() },
			"noFaults":    func(*rapid.T) { m.table.ClearFaults() },
			"late":        func(*rapid.T) { m.table.ApplyDelayed() },
			"poll":        func(*rapid.T) { m.poll() },
			"check":       func(*rapid.T) { m.check() },
		})
		m.check()
		m.table.ApplyDelayed()
		m.check()
	})
}

func document(name, description string) []byte {
	return []byte(`{"name": "` + name + `", "kind": "peak", "description": "` + description + `"}`)
}

func author(id string) Author { return Author{Operator: "o-" + id, Why: "w", WriteID: id} }

func revision(r uint64) *uint64 { return &r }

// Guards against conflicts that do not say what differs and who came first, and
// against conflicts over changes that do not concern the operator.
func TestConflicts(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		desc       string
		base       *uint64
		use        bool
		other      func(s *Store) Outcome
		want       Status
		difference []string
		since      []string
	}{
		{
			desc:       "both edit the same preset",
			other:      func(s *Store) Outcome { return s.Apply(ctx, author("b"), document("peak", "B"), nil) },
			want:       Conflict,
			difference: []string{`description: "B" -> "A"`},
			since:      []string{"b"},
		},
		{
			desc:       "the edit is based on an outdated revision",
			base:       revision(1),
			want:       Conflict,
			difference: []string{`description: "second" -> "A"`},
			since:      []string{"2"},
		},
		{
			desc:  "another preset that is not in force was edited",
			other: func(s *Store) Outcome { return s.Apply(ctx, author("b"), document("spare", "B"), nil) },
			want:  Accepted, difference: []string{`description: "second" -> "A"`},
		},
		{
			desc:  "the edited preset was put in force meanwhile",
			other: func(s *Store) Outcome { return s.Use(ctx, author("b"), "peak", nil) },
			want:  Conflict, difference: []string{`description: "second" -> "A"`}, since: []string{"b"},
		},
		{
			desc:  "both put a preset in force",
			use:   true,
			other: func(s *Store) Outcome { return s.Use(ctx, author("b"), "spare", nil) },
			want:  Conflict, difference: []string{`in force: "spare" at revision 6 -> "peak"`}, since: []string{"b"},
		},
		{
			desc: "the operator saw an older preset in force",
			use:  true, base: revision(0),
			want: Conflict, difference: []string{`in force: "ordinary" at revision 4 -> "peak"`}, since: []string{"4"},
		},
		{
			desc:  "the preset to be put in force was edited meanwhile",
			use:   true,
			other: func(s *Store) Outcome { return s.Apply(ctx, author("b"), document("peak", "B"), nil) },
			want:  Conflict, since: []string{"b"},
			difference: []string{`in force: "ordinary" at revision 4 -> "peak"`, `preset "peak" was changed: description: "second" -> "B"`},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			table := platformtest.New()
			s := New(table)
			s.Apply(ctx, author("1"), document("peak", "first"), nil)
			s.Apply(ctx, author("2"), document("peak", "second"), nil)
			s.Apply(ctx, author("3"), document("ordinary", "o"), nil)
			assert.Equal(t, s.Use(ctx, author("4"), "ordinary", nil).Status, Accepted)
			assert.Equal(t, s.Apply(ctx, author("5"), document("spare", "s"), nil).Status, Accepted)
			other := test.other
			table.Before = func(call platformtest.Call) {
				if call.Method == "Commit" && other != nil {
					act := other
					other = nil
					act(s)
				}
			}
			var outcome Outcome
			if test.use {
				outcome = s.Use(ctx, author("a"), "peak", test.base)
			} else {
				outcome = s.Apply(ctx, author("a"), document("peak", "A"), test.base)
			}
			assert.Equal(t, outcome.Status, test.want)
			assert.DeepEqual(t, outcome.Difference, test.difference)
			var since []string
			for _, entry := range outcome.Since {
				since = append(since, entry.WriteID)
			}
			assert.DeepEqual(t, since, test.since)
		})
	}
}

// Guards against a copy of a preset that overwrites another one: the base line
// names the preset it was copied from, so the copy may only become a new one.
func TestCopyUnderAnotherName(t *testing.T) {
	ctx := context.Background()
	s := New(platformtest.New())
	assert.Equal(t, s.Apply(ctx, author("1"), document("peak", "p"), nil).Status, Accepted)
	copied := preset.WithBase(preset.Base{Name: "peak", Revision: 1}, document("exams", "e"))
	outcome := s.Apply(ctx, author("2"), copied, nil)
	assert.Equal(t, outcome.Status, Accepted)
	assert.Assert(t, !outcome.Unchecked)
	stored, err := s.Get(ctx, "exams")
	assert.NilError(t, err)
	assert.Equal(t, stored.Document, string(document("exams", "e")))
	assert.Equal(t, s.Apply(ctx, author("3"), copied, nil).Status, Conflict)
}

// Guards against a second change under a write ID that was used before: it would
// erase the first one from the audit trail, or be taken for it.
func TestWriteIDIsUsedOnce(t *testing.T) {
	ctx := context.Background()
	s := New(platformtest.New())
	assert.Equal(t, s.Apply(ctx, author("1"), document("peak", "p"), nil).Status, Accepted)
	assert.Equal(t, s.Apply(ctx, author("1"), document("peak", "q"), nil).Status, Refused)
	assert.Equal(t, s.Apply(ctx, author(""), document("peak", "q"), nil).Status, Refused)
	assert.Equal(t, s.Use(ctx, author("2"), "absent", nil).Status, Refused)
	_, found, err := s.Find(ctx, "2")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	_, err = s.InForce(ctx)
	assert.Assert(t, errors.Is(err, ErrNoHead))
}

// Guards against a lost answer that is not looked up, and against certainty
// where there is none.
func TestLostAnswers(t *testing.T) {
	lost, refused, lostRequest := platformtest.LoseAnswer, platformtest.RefuseCommit, platformtest.LoseRequest
	tests := []struct {
		desc      string
		commits   []platformtest.CommitFault
		failReads []bool
		want      Status
		audited   bool
	}{
		{desc: "found by write ID", commits: []platformtest.CommitFault{lost, refused, refused}, want: Accepted, audited: true},
		{desc: "repeated after a lost request", commits: []platformtest.CommitFault{lostRequest}, want: Accepted, audited: true},
		{desc: "found by the conflict of the repetition", commits: []platformtest.CommitFault{lost}, failReads: []bool{false, true}, want: Accepted, audited: true},
		{desc: "accepted, but nothing can be read", commits: []platformtest.CommitFault{lost, refused, refused}, failReads: []bool{false, true, true, true}, want: Unknown, audited: true},
		{desc: "lost, and may still arrive", commits: []platformtest.CommitFault{lostRequest, refused, refused}, want: Unknown},
		{desc: "refused throughout", commits: []platformtest.CommitFault{refused, refused, refused}, want: Unavailable},
		{desc: "nothing read at first", failReads: []bool{true}, want: Unavailable},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			table := platformtest.New()
			table.FailCommits(test.commits...)
			table.FailReads(test.failReads...)
			s := New(table)
			outcome := s.Apply(context.Background(), author("1"), document("peak", "p"), nil)
			assert.Equal(t, outcome.Status, test.want)
			table.ClearFaults()
			_, found, err := s.Find(context.Background(), "1")
			assert.NilError(t, err)
			assert.Equal(t, found, test.audited)
		})
	}
}
