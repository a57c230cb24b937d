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

// step is one step of a scenario, After microseconds after the previous one.
type step struct {
	After int
	Kind  int
	Seed  uint64
}

const (
	stepRequest = iota
	stepPause
	stepResume
	stepRestart
	stepFaults
	stepClearFaults
	stepKinds
)

// maxKeys is the largest number of keys of a scenario.
const maxKeys = 4

// scenario is a random sequence of requests and faults.
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
	delays := []int{7, 1003, 5021, 50_047, 400_111, 3_000_017, 40_000_003}
	s.Steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			After: rapid.SampledFrom(delays).Draw(t, "after"),
			Kind:  max(0, rapid.IntRange(-6, stepKinds-1).Draw(t, "kind")),
			Seed:  rapid.Uint64().Draw(t, "stepSeed"),
		}
	}), 20, 100).Draw(t, "steps")
	return s
}

// perform performs one step.
func (f *fleet) perform(s step, keys int) {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	index := rng.IntN(len(f.gateways))
	switch s.Kind {
	case stepRequest:
		sent := randomRequest(rng, len(f.gateways), keys)
		f.requests.Go(func() { f.serve(sent) })
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
			// Either only this gateway or also some others have the faults.
			if i == index || rng.IntN(2) == 0 {
				f.gateway(i).link.set(chosen)
			}
		}
	case stepClearFaults:
		f.gateway(index).link.set(faults{})
	}
}

// clearFaults ends all faults and waits until no call and no write is in progress.
func (f *fleet) clearFaults() {
	for i := range f.gateways {
		g := f.gateway(i)
		g.link.set(faults{})
		g.resume()
	}
	time.Sleep(4 * time.Minute)
}

// checkResends sends a request with each key again and compares the outcome with
// what happened.
func (f *fleet) checkResends(keys int) {
	orphans := f.claimedByKilledGateways()
	for key := range keys {
		f.oracle.mu.Lock()
		runs := len(f.oracle.runs[key])
		outcome, finished := f.oracle.finishedWith[key]
		f.oracle.mu.Unlock()
		decision := f.serve(request{Gateway: key % len(f.gateways), Key: key, Timeout: 3 * time.Second, Outcome: outcomeResponded})
		kind := decision.Kind
		f.oracle.mu.Lock()
		switch {
		case finished && outcome == outcomeResponded:
			// A gateway that was killed before it wrote its result leaves the row claimed.
			if kind == claim.Replay {
				if string(decision.Response.Body) != string(responseOf(key).Body) {
					f.oracle.fail("key %d: wrong response %q", key, decision.Response.Body)
				}
			} else if !orphans[key] {
				f.oracle.fail("key %d received a response, but a resend gets %d (%s)", key, kind, decision.Reason)
			}
		case finished && outcome == outcomeLargeResponse:
			if kind != claim.Ran && !orphans[key] {
				f.oracle.fail("key %d received a response, but a resend gets %d (%s)", key, kind, decision.Reason)
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

// claimedByKilledGateways returns the keys whose claimed rows belong to killed
// gateways.
func (f *fleet) claimedByKilledGateways() map[int]bool {
	orphans := make(map[int]bool)
	for key := range maxKeys {
		rowKey := claim.RowKey(service, fmt.Sprint(key))
		found := f.table.get(rowKey)
		if len(found.Rows) == 0 {
			continue
		}
		decoded, err := claim.DecodeRow(found.Rows[0].Value)
		for _, g := range f.replaced {
			if err == nil && decoded.State == claim.StateClaimed &&
				decoded.Owner.Gateway == g.store.config.Gateway && decoded.Owner.Incarnation == g.incarnation {
				orphans[key] = true
			}
		}
	}
	return orphans
}

// TestClaimGuarantees checks three guarantees on a fleet with faults, pauses,
// restarts and resends: (a) a key runs at most once; (b) a call that ran or can
// still run is never reported as not-run; (c) after the faults, a resend receives
// the recorded response or "ran", and a key that did not run is free.
func TestClaimGuarantees(t *testing.T) {
	var requests, runs, notRunReports, replays, refusals, cleared int
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var problems []string
		synctest.Test(t, func(*testing.T) {
			f := newFleet(s.Gateways, s.Seed)
			for _, step := range s.Steps {
				time.Sleep(time.Duration(step.After) * time.Microsecond)
				f.perform(step, s.Keys)
			}
			f.clearFaults()
			f.oracle.check()
			f.checkResends(s.Keys)
			time.Sleep(time.Minute)
			f.oracle.check()
			f.stopAll()
			problems = f.oracle.problems
			requests += f.oracle.requests
			replays += f.oracle.replays
			refusals += f.oracle.refusals
			for _, g := range f.all() {
				cleared += int(g.store.counters.digestHitsCleared.Get())
			}
			for _, r := range f.oracle.runs {
				runs += len(r)
			}
			for _, v := range f.oracle.notRunReports {
				notRunReports += len(v)
			}
		})
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
	t.Logf("%d requests, %d runs, %d not-run reports, %d replays, %d refusals, %d digest hits cleared",
		requests, runs, notRunReports, replays, refusals, cleared)
	// A store that refuses every call would meet the guarantees as well.
	assert.Assert(t, runs > 0 && notRunReports > 0 && replays > 0)
}
