package admission_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/admission"
)

const millis = int64(1e6)

// TestLimitHoldsAndEveryTicketIsDecided guards against a limit that is exceeded, calls
// that are never decided, and slots that are lost. It counts the admitted and the
// waiting calls and compares them to the limiter after each step.
func TestLimitHoldsAndEveryTicketIsDecided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var limiter admission.Limiter
		bounds := admission.Bounds{
			Limit:   rapid.Int64Range(1, 4).Draw(t, "limit"),
			MaxWait: rapid.Int64Range(0, 50).Draw(t, "wait") * millis,
		}
		now, running := int64(1e9), int64(0)
		var waiting []*admission.Ticket
		collect := func() {
			kept := waiting[:0]
			for _, ticket := range waiting {
				select {
				case decision := <-ticket.Decided:
					if decision == admission.Admitted {
						running++
					}
				default:
					kept = append(kept, ticket)
				}
			}
			waiting = kept
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(0, 10).Draw(t, "pause") * millis
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				decision, ticket := limiter.Acquire(now, now+rapid.Int64Range(1, 100).Draw(t, "left")*millis, bounds)
				switch decision {
				case admission.Admitted:
					running++
				case admission.Waiting:
					waiting = append(waiting, ticket)
				}
			case 2:
				if running > 0 {
					running--
					limiter.Release(now, 5*millis)
				}
			case 3:
				if len(waiting) > 0 && limiter.Abandon(waiting[0]) {
					waiting = waiting[1:]
				}
			}
			collect()
			if running > bounds.Limit || running != limiter.InFlight() || int64(len(waiting)) != limiter.Waiting() {
				t.Fatalf("running %d (limiter %d) of %d, waiting %d (limiter %d)",
					running, limiter.InFlight(), bounds.Limit, len(waiting), limiter.Waiting())
			}
			if len(waiting) > 0 && running < bounds.Limit {
				t.Fatalf("%d calls wait although only %d of %d run", len(waiting), running, bounds.Limit)
			}
		}
	})
}

// TestNoSlotIsLostUnderConcurrency guards against slots that are lost in a race: a
// service without slots never admits another call.
func TestNoSlotIsLostUnderConcurrency(t *testing.T) {
	var limiter admission.Limiter
	bounds := admission.Bounds{Limit: 3, MaxWait: 1e18}
	var clock, highest atomic.Int64
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 500 {
				decision, ticket := limiter.Acquire(clock.Add(1), 0, bounds)
				if decision == admission.Waiting {
					decision = <-ticket.Decided
				}
				if decision != admission.Admitted {
					continue
				}
				if n := limiter.InFlight(); n > highest.Load() {
					highest.Store(n)
				}
				limiter.Release(clock.Add(1), 1)
			}
		})
	}
	group.Wait()
	assert.Equal(t, limiter.InFlight(), int64(0))
	assert.Equal(t, limiter.Waiting(), int64(0))
	assert.Assert(t, highest.Load() <= 3)
}

// simulate runs a limiter on simulated time: each admitted call takes 10 ms and 8 run
// at a time, so that the capacity is 800 calls/s. It returns the number of calls of
// each phase that completed within their deadline of 60 ms.
func simulate(perSecond [3]int64, phase int64) [3]int64 {
	const service, deadline = 10 * millis, 60 * millis
	type run struct{ arrived, ends int64 }
	type waiter struct {
		ticket  *admission.Ticket
		arrived int64
	}
	var limiter admission.Limiter
	var running []run
	var waiting []waiter
	var goodput [3]int64
	bounds := admission.Bounds{Limit: 8, MaxWait: 40 * millis}
	pending := int64(0)
	for now := int64(0); now < 3*phase; now += millis {
		kept := running[:0]
		ended := 0
		for _, r := range running {
			if r.ends > now {
				kept = append(kept, r)
				continue
			}
			ended++
			if r.ends-r.arrived <= deadline {
				goodput[r.arrived/phase]++
			}
		}
		running = kept
		for range ended {
			limiter.Release(now+1, service)
		}
		for pending += perSecond[now/phase]; pending >= 1000; pending -= 1000 {
			decision, ticket := limiter.Acquire(now+1, now+deadline, bounds)
			switch decision {
			case admission.Admitted:
				running = append(running, run{now, now + service})
			case admission.Waiting:
				waiting = append(waiting, waiter{ticket, now})
			}
		}
		queued := waiting[:0]
		for _, w := range waiting {
			select {
			case decision := <-w.ticket.Decided:
				if decision == admission.Admitted {
					running = append(running, run{w.arrived, now + service})
				}
			default:
				queued = append(queued, w)
			}
		}
		waiting = queued
	}
	return goodput
}

// TestGoodputHoldsDuringOverloadAndRecovers guards against a queue that serves only
// calls that are already late, during an overload and after it.
func TestGoodputHoldsDuringOverloadAndRecovers(t *testing.T) {
	const phase = 5_000 * millis
	goodput := simulate([3]int64{400, 2400, 400}, phase)
	assert.Assert(t, goodput[0] >= 400*5*99/100, goodput)
	assert.Assert(t, goodput[1] >= 800*5*95/100, goodput)
	assert.Assert(t, goodput[2] >= 400*5*98/100, goodput)
}

// TestShedsEarlyWhenTheDeadlineCannotBeMet guards against slots taken by calls that
// cannot complete before their deadline.
func TestShedsEarlyWhenTheDeadlineCannotBeMet(t *testing.T) {
	var limiter admission.Limiter
	bounds := admission.Bounds{Limit: 1, MaxWait: 100 * millis}
	decision, _ := limiter.Acquire(1, 0, bounds)
	assert.Equal(t, decision, admission.Admitted)
	limiter.Release(2, 20*millis)
	decision, _ = limiter.Acquire(3, 0, bounds)
	assert.Equal(t, decision, admission.Admitted)
	decision, _ = limiter.Acquire(4, 10*millis, bounds)
	assert.Equal(t, decision, admission.ShedDeadline)
	decision, _ = limiter.Acquire(4, 90*millis, bounds)
	assert.Equal(t, decision, admission.Waiting)
	decision, _ = limiter.Acquire(5, 0, admission.Bounds{Limit: 1})
	assert.Equal(t, decision, admission.ShedFull)
}

// TestServesNewestFirstUnderLongOverload guards against serving the oldest call first
// during a long overload, which would make every call late.
func TestServesNewestFirstUnderLongOverload(t *testing.T) {
	var limiter admission.Limiter
	bounds := admission.Bounds{Limit: 2, MaxWait: 10 * millis}
	for range 2 {
		limiter.Acquire(1, 0, bounds)
	}
	_, first := limiter.Acquire(2, 0, bounds)
	_, second := limiter.Acquire(9*millis, 0, bounds)
	_, third := limiter.Acquire(11*millis, 0, bounds)
	assert.Equal(t, <-first.Decided, admission.ShedExpired)
	limiter.Release(12*millis, millis)
	assert.Equal(t, <-third.Decided, admission.Admitted)
	assert.Equal(t, len(second.Decided), 0)
}
