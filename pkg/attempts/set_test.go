package attempts_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/attempts"
)

// play drives a Set through random events and records what it knows of each attempt.
type play struct {
	set     attempts.Set
	results map[attempts.Number]attempts.Result
	started int
}

func (p *play) start() { p.started++; p.set.Start() }

func (p *play) inFlight() []attempts.Number {
	var found []attempts.Number
	for n := attempts.Number(1); n <= attempts.Number(p.started); n++ {
		if _, ended := p.results[n]; !ended {
			found = append(found, n)
		}
	}
	return found
}

func (p *play) promising() bool {
	for _, n := range p.inFlight() {
		if !p.set.Overdue(n) {
			return true
		}
	}
	return false
}

func drawResult(t *rapid.T) attempts.Result {
	result := attempts.Result{Final: rapid.IntRange(0, 4).Draw(t, "final") == 0}
	result.Response = result.Final || rapid.Bool().Draw(t, "response")
	result.MayHaveRun = result.Final || rapid.Bool().Draw(t, "mayHaveRun")
	return result
}

// TestCallIsDecidedByResponseOrByItsLastAttempt guards against a call that ends with a failure
// while an attempt is in flight, that does not end, or whose refusal hides that it may have run.
func TestCallIsDecidedByResponseOrByItsLastAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &play{results: map[attempts.Number]attempts.Result{}}
		p.start()
		for p.set.Winner() == 0 {
			n := rapid.SampledFrom(p.inFlight()).Draw(t, "attempt")
			switch rapid.SampledFrom([]string{"hedge", "overdue", "end"}).Draw(t, "event") {
			case "hedge":
				if p.started < 4 {
					p.start()
				}
			case "overdue":
				p.set.MarkOverdue(n)
			case "end":
				p.end(t, n)
			}
		}
		p.checkWinner(t)
	})
}

// end ends an attempt and checks the step that follows.
func (p *play) end(t *rapid.T, n attempts.Number) {
	result := drawResult(t)
	p.results[n] = result
	step := p.set.End(n, result)
	assert.Equal(t, step == attempts.Decided, result.Final)
	if step == attempts.Await {
		assert.Assert(t, p.promising())
	}
	if step != attempts.Retry {
		return
	}
	assert.Assert(t, !p.promising())
	if p.started < 4 && rapid.Bool().Draw(t, "retry") {
		p.start()
		return
	}
	assert.Equal(t, p.set.NoRetry() == attempts.Decided, len(p.inFlight()) == 0)
}

func (p *play) checkWinner(t *rapid.T) {
	winner := p.set.Winner()
	result := p.results[winner]
	if !result.Final {
		assert.Equal(t, len(p.inFlight()), 0)
		for _, other := range p.results {
			assert.Assert(t, result.MayHaveRun || !other.MayHaveRun)
		}
	}
	for _, n := range p.inFlight() {
		p.results[n] = drawResult(t)
		assert.Equal(t, p.set.End(n, p.results[n]), attempts.Decided)
		assert.Equal(t, p.set.Winner(), winner)
	}
}

// TestFailureThatSaysMore guards against a caller that gets the failure of the wrong attempt.
func TestFailureThatSaysMore(t *testing.T) {
	var (
		notSent  = attempts.Result{}
		rejected = attempts.Result{Response: true}
		lost     = attempts.Result{MayHaveRun: true}
		failed   = attempts.Result{Response: true, MayHaveRun: true}
	)
	tests := []struct {
		desc          string
		first, second attempts.Result
		want          attempts.Number
	}{
		{"both lost", lost, lost, 1},
		{"both rejected", rejected, rejected, 2},
		{"rejected, then not sent", rejected, notSent, 1},
		{"not sent, then rejected", notSent, rejected, 2},
		{"rejected, then lost", rejected, lost, 2},
		{"lost, then rejected", lost, rejected, 1},
		{"lost, then failed", lost, failed, 2},
		{"failed, then not sent", failed, notSent, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var set attempts.Set
			first := set.Start()
			assert.Equal(t, set.End(first, test.first), attempts.Retry)
			second := set.Start()
			assert.Equal(t, set.End(second, test.second), attempts.Retry)
			assert.Equal(t, set.NoRetry(), attempts.Decided)
			assert.Equal(t, set.Winner(), test.want)
		})
	}
}

// TestOverdueAttemptIsReplacedAndAwaited guards against a silent server that keeps a call from
// being sent to a third one, and against giving up on it before the call ends.
func TestOverdueAttemptIsReplacedAndAwaited(t *testing.T) {
	var set attempts.Set
	silent := set.Start()
	set.MarkOverdue(silent)
	second := set.Start()
	assert.Equal(t, set.End(second, attempts.Result{}), attempts.Retry)
	third := set.Start()
	assert.Equal(t, set.End(third, attempts.Result{}), attempts.Retry)
	assert.Equal(t, set.NoRetry(), attempts.Await)
	assert.Equal(t, set.End(silent, attempts.Result{Final: true, Response: true, MayHaveRun: true}), attempts.Decided)
	assert.Equal(t, set.Winner(), silent)
}
