package claimstore

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/claim"
)

// step is one step of a scenario, After microseconds after the former.
type step struct {
	After int
	Kind  int
	Seed  uint64
}

const (
	stepSend = iota
	stepPause
	stepResume
	stepRestart
	stepFaults
	stepHeal
	stepKinds
)

// maxKeys is the largest number of keys of a scenario.
const maxKeys = 4

// scenario is a drawn course of events.
type scenario struct {
	Gateways int
	Keys     int
	Seed     uint64
	Steps    []step
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{
		Gateways: rapid.IntRange(2, 4).Draw(t, "gateways"),
		Keys:     rapid.IntRange(1, maxKeys).Draw(t, "keys"),
		Seed:     rapid.Uint64().Draw(t, "seed"),
	}
	pauses := []int{7, 1003, 5021, 50_047, 400_111, 3_000_017, 40_000_003}
	s.Steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			After: rapid.SampledFrom(pauses).Draw(t, "after"),
			Kind:  max(0, rapid.IntRange(-6, stepKinds-1).Draw(t, "kind")),
			Seed:  rapid.Uint64().Draw(t, "stepSeed"),
		}
	}), 20, 100).Draw(t, "steps")
	return s
}

// perform does one step.
func (f *fleet) perform(s step, keys int) {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	index := rng.IntN(len(f.gateways))
	switch s.Kind {
	case stepSend:
		sent := randomSend(rng, len(f.gateways), keys)
		f.sends.Go(func() { f.serve(sent) })
	case stepPause:
		f.gateway(index).pause()
	case stepResume:
		f.gateway(index).resume()
	case stepRestart:
		f.restart(index)
	case stepFaults:
		kinds := []faults{
			{Down: 100}, {Lost: 60}, {Late: 60}, {SlowMillis: 400}, {ReadFail: 100, Lost: 50},
			{Lost: 30, Late: 30, ReadFail: 30, SlowMillis: 100}, {Down: 30, Late: 40},
		}
		chosen := kinds[rng.IntN(len(kinds))]
		for i := range f.gateways {
			// One gateway alone or all of them lose the store.
			if i == index || rng.IntN(2) == 0 {
				f.gateway(i).link.set(chosen)
			}
		}
	case stepHeal:
		f.gateway(index).link.set(faults{})
	}
}

// settle ends all faults and waits until nothing is under way any more.
func (f *fleet) settle() {
	for i := range f.gateways {
		g := f.gateway(i)
		g.link.set(faults{})
		g.resume()
	}
	time.Sleep(4 * time.Minute)
}

// checkResends sends each key again and compares the outcome with what happened.
func (f *fleet) checkResends(keys int) {
	orphans := f.claimedByTheDead()
	for key := range keys {
		f.oracle.mu.Lock()
		runs := len(f.oracle.runs[key])
		end, finished := f.oracle.finished[key]
		f.oracle.mu.Unlock()
		decision := f.serve(send{Gateway: key % len(f.gateways), Key: key, Timeout: 3 * time.Second, End: endAnswered})
		kind := decision.Kind
		f.oracle.mu.Lock()
		switch {
		case finished && end == endAnswered:
			// A gateway that was killed before it wrote its result leaves the row claimed.
			if kind == claim.Replay {
				if string(decision.Response.Body) != string(answerOf(key).Body) {
					f.oracle.fail("key %d: wrong answer %q", key, decision.Response.Body)
				}
			} else if !orphans[key] {
				f.oracle.fail("key %d was answered, but a resend gets %d (%s)", key, kind, decision.Reason)
			}
		case finished && end == endLargeAnswer:
			if kind != claim.Ran && !orphans[key] {
				f.oracle.fail("key %d was answered, but a resend gets %d (%s)", key, kind, decision.Reason)
			}
		case finished, runs > 0:
			if kind != claim.Refuse || decision.NotRun {
				f.oracle.fail("key %d may have run, but a resend gets %d", key, kind)
			}
		default:
			if kind != claim.Dispatch && !orphans[key] {
				f.oracle.fail("key %d is free, but a resend gets %d (%s)", key, kind, decision.Reason)
			}
		}
		f.oracle.mu.Unlock()
	}
}

// claimedByTheDead returns the keys whose rows belong to killed gateways.
func (f *fleet) claimedByTheDead() map[int]bool {
	orphans := make(map[int]bool)
	for key := range maxKeys {
		rowKey := claim.RowKey(service, fmt.Sprint(key))
		found := f.table.get(rowKey)
		if len(found.Rows) == 0 {
			continue
		}
		decoded, err := claim.DecodeRow(found.Rows[0].Value)
		for _, g := range f.former {
			if err == nil && decoded.State == claim.StateClaimed &&
				decoded.Owner.Gateway == g.store.config.Gateway && decoded.Owner.Incarnation == g.incarnation {
				orphans[key] = true
			}
		}
	}
	return orphans
}

// TestPromises guards the three promises over a fleet with faults, pauses,
// restarts and resends: (a) a key runs at most once; (b) not-run is never said of
// a call that ran or can still run; (c) after the faults, a resend gets the
// recorded answer or "ran", and a key that did not run is free.
func TestPromises(t *testing.T) {
	var sends, runs, verdicts, replays, unknowns, cleared int
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var problems []string
		synctest.Test(t, func(*testing.T) {
			f := newFleet(s.Gateways, s.Seed)
			for _, step := range s.Steps {
				time.Sleep(time.Duration(step.After) * time.Microsecond)
				f.perform(step, s.Keys)
			}
			f.settle()
			f.oracle.check()
			f.checkResends(s.Keys)
			time.Sleep(time.Minute)
			f.oracle.check()
			f.stopAll()
			problems = f.oracle.problems
			sends += f.oracle.sends
			replays += f.oracle.replays
			unknowns += f.oracle.unknowns
			for _, g := range f.all() {
				cleared += int(g.store.counters.digestHitsCleared.Get())
			}
			for _, r := range f.oracle.runs {
				runs += len(r)
			}
			for _, v := range f.oracle.verdicts {
				verdicts += len(v)
			}
		})
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
	t.Logf("%d sends, %d runs, %d not-run verdicts, %d replays, %d refusals, %d digest hits cleared",
		sends, runs, verdicts, replays, unknowns, cleared)
	// A store that refuses everything would keep the promises.
	assert.Assert(t, runs > 0 && verdicts > 0 && replays > 0)
}
