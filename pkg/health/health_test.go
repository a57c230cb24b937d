package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const second = int64(time.Second)

// TestEjectionRules guards against keeping servers that fail fast in use, and against
// ejecting servers that are healthy or shed calls.
func TestEjectionRules(t *testing.T) {
	tests := []struct {
		desc     string
		counts   []Counts
		mayEject bool
		want     bool
	}{
		{"five failures in a row", []Counts{{Failures: 5, ConsecutiveFailures: 5}}, true, true},
		{"four failures in a row", []Counts{{Failures: 4, ConsecutiveFailures: 4}}, true, false},
		{"fails fast, some calls succeed", []Counts{{Successes: 8, Failures: 12, ConsecutiveFailures: 2}}, true, true},
		{"half of the calls fail", []Counts{{Successes: 10, Failures: 10, ConsecutiveFailures: 2}}, true, false},
		{"sheds everything", []Counts{{Sheds: 1000}}, true, false},
		// The two counters are read without a lock, so ConsecutiveFailures may rise one
		// update after Failures.
		{"old failures in a row without a new one",
			[]Counts{{Failures: 3, ConsecutiveFailures: 3}, {Failures: 3, ConsecutiveFailures: 5}}, true, false},
		{"others are ejected already", []Counts{{Failures: 50, ConsecutiveFailures: 50}}, false, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var ejection Ejection
			for i, counts := range test.counts {
				ejection.Update(int64(i+1)*second, counts, test.mayEject)
			}
			assert.Equal(t, ejection.Ejected(), test.want)
		})
	}
}

// TestOutcomesBeforeEjectionIsAllowedDoNotCount guards against ejecting a server for
// failures that happened while ejection was not allowed.
func TestOutcomesBeforeEjectionIsAllowedDoNotCount(t *testing.T) {
	var ejection Ejection
	ejection.Update(second, Counts{Failures: 100, ConsecutiveFailures: 100}, false)
	ejection.Update(2*second, Counts{Successes: 10, Failures: 100}, true)
	assert.Assert(t, !ejection.Ejected())
}

// TestEjectionDurations guards against ejections that never end and durations that
// overflow: each ejection lasts between 5 s and 60 s, and those of a server that keeps
// failing do not become shorter.
func TestEjectionDurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ejection Ejection
		var counts Counts
		now, ejectedAt, previous := second, int64(0), int64(0)
		alwaysFails := rapid.Bool().Draw(t, "always fails")
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now += rapid.Int64Range(1, 4*second).Draw(t, "gap")
			failures := rapid.Uint64Range(0, 20).Draw(t, "failures")
			if alwaysFails {
				failures = 5
			}
			counts.Failures += failures
			counts.ConsecutiveFailures += int64(failures)
			if !alwaysFails && rapid.Bool().Draw(t, "success") {
				counts.Successes += 3
				counts.ConsecutiveFailures = 0
			}
			wasEjected := ejection.Ejected()
			changed := ejection.Update(now, counts, true)
			assert.Equal(t, changed, wasEjected != ejection.Ejected())
			if changed && !wasEjected {
				ejectedAt = now
				duration := ejection.EjectedUntil() - now
				assert.Assert(t, duration >= 5*second && duration <= 60*second)
				assert.Assert(t, !alwaysFails || duration >= previous)
				previous = duration
			}
			assert.Assert(t, !ejection.Ejected() || now-ejectedAt < 60*second)
		}
	})
}

// TestSheddingWeight guards against weights outside the permitted range, and against
// weights that do not recover after shedding ends.
func TestSheddingWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shedding Shedding
		var counts Counts
		now := second
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += rapid.Int64Range(0, second).Draw(t, "gap")
			counts.Sheds += rapid.Uint64Range(0, 100).Draw(t, "sheds")
			counts.Successes += rapid.Uint64Range(0, 100).Draw(t, "successes")
			shedding.Update(now, counts)
			assert.Assert(t, shedding.Weight() >= minSheddingWeight && shedding.Weight() <= 1)
		}
		for range 40 {
			now += second / 10
			counts.Successes += rapid.Uint64Range(0, 1).Draw(t, "later successes") * 10
			shedding.Update(now, counts)
		}
		assert.Equal(t, shedding.Weight(), 1.0)
	})
}

// TestSheddingLowersWeight guards against a server that sheds calls and keeps its full
// share.
func TestSheddingLowersWeight(t *testing.T) {
	var shedding Shedding
	for i := range int64(30) {
		shedding.Update((i+1)*second/10, Counts{Sheds: uint64(50 * (i + 1)), Successes: uint64(50 * (i + 1))})
	}
	assert.Assert(t, shedding.Weight() > 0.45 && shedding.Weight() < 0.6, "weight %v", shedding.Weight())
}

// TestDrainEvidence guards against drain evidence that expires too early, too late, or
// although the platform's list confirmed it.
func TestDrainEvidence(t *testing.T) {
	var drain Drain
	assert.Assert(t, drain.RecordNotice(100*second, 90*second), "the first notice is new")
	assert.Assert(t, !drain.RecordNotice(101*second, 101*second), "a repeated notice is not new")
	assert.Assert(t, drain.Draining(161*second), "valid 60 s after the repeated notice")
	assert.Assert(t, !drain.Draining(162*second), "expired")
	assert.Assert(t, !drain.RecordNotice(300*second, 200*second), "a notice older than 60 s is ignored")
	assert.Assert(t, !drain.Draining(300*second))
	drain.RecordNotice(300*second, 900*second)
	assert.Assert(t, !drain.Draining(361*second), "a time in the future counts as now")
	drain.RecordListed()
	assert.Assert(t, drain.Draining(9000*second), "a listed server stays draining")
}
