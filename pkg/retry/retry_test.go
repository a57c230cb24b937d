package retry_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/retry"
)

// TestBudgetHoldsInEveryWindow guards against a budget that is exceeded in some window:
// retries would then overload servers that are already slow.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		minAllowed := rapid.Int64Range(0, 2).Draw(t, "min allowed")
		percent := rapid.SampledFrom([]float64{0, 2, 10, 50}).Draw(t, "percent")
		budget := retry.Budget{MinAllowed: minAllowed}
		now := rapid.Int64Range(0, 30e9).Draw(t, "start")
		var calls, taken []int64
		inWindow := func(times []int64) int64 {
			first, _ := slices.BinarySearch(times, now-retry.WindowNanos+1)
			return int64(len(times) - first)
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400e6).Draw(t, "pause")
			for range rapid.IntRange(0, 30).Draw(t, "calls") {
				budget.RecordCall(now)
				calls = append(calls, now)
			}
			if !budget.Take(now, percent, 0) {
				continue
			}
			taken = append(taken, now)
			allowed := max(minAllowed, int64(float64(inWindow(calls))*percent/100))
			if used := inWindow(taken); used > allowed {
				t.Fatalf("%d extra attempts in a window that allows %d", used, allowed)
			}
		}
	})
}

// TestBudgetAllowsRatioAndMinimum guards against a budget that allows fewer retries than
// its ratio or its minimum.
func TestBudgetAllowsRatioAndMinimum(t *testing.T) {
	budget := retry.Budget{MinAllowed: 1}
	assert.Assert(t, budget.Take(1e9, 10, 0))
	assert.Assert(t, !budget.Take(2e9, 10, 0))
	assert.Assert(t, budget.Take(13e9, 10, 0))
	for range 200 {
		budget.RecordCall(30e9)
	}
	granted := 0
	for budget.Take(31e9, 10, 0) {
		granted++
	}
	assert.Equal(t, granted, 20)
}

func drawObservation(t *rapid.T) retry.Observation {
	o := retry.Observation{
		Written:  rapid.Bool().Draw(t, "written"),
		TimedOut: rapid.Bool().Draw(t, "timedOut"),
		Canceled: rapid.Bool().Draw(t, "cancelled"),
	}
	if o.Written {
		o.Status = rapid.SampledFrom([]int{0, 200, 404, 500, 502, 503}).Draw(t, "status")
		o.NotRun = rapid.IntRange(0, 3).Draw(t, "not run") == 0
	}
	return o
}

// TestNonIdempotentCallRunsAtMostOnce guards against calls that run twice, and against
// reporting a call as not run although it may have run. The expectation uses only two
// facts of each attempt: whether it was written, and whether the server guaranteed
// that it did not run.
func TestNonIdempotentCallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		safety := rapid.SampledFrom([]retry.Safety{retry.NonIdempotent, retry.Idempotent, retry.Keyed}).Draw(t, "safety")
		var log retry.AttemptLog
		mayHaveRun := 0
		for {
			o := drawObservation(t)
			if o.Written && !o.NotRun {
				mayHaveRun++
			}
			result := retry.Classify(o)
			log.Add(result)
			if !retry.MayRetry(safety, result) {
				break
			}
		}
		if safety != retry.Idempotent && mayHaveRun > 1 {
			t.Fatalf("%d attempts may have run", mayHaveRun)
		}
		if log.DidNotRun() != (mayHaveRun == 0) {
			t.Fatalf("did not run = %v after %d attempts that may have run", log.DidNotRun(), mayHaveRun)
		}
	})
}

// TestRetriesDoNotMultiplyAlongCallChain guards against retries at each level of a call
// chain, which would turn one call into 2^8 calls at its last level.
func TestRetriesDoNotMultiplyAlongCallChain(t *testing.T) {
	const depth = 8
	leafCalls := 0
	var send func(level, attempt int)
	send = func(level, attempt int) {
		if level == depth {
			leafCalls++
			return
		}
		send(level+1, retry.OutgoingAttempt(attempt, 1))
		if retry.MayAddAttempts(attempt) {
			send(level+1, retry.OutgoingAttempt(attempt, 2))
		}
	}
	send(0, 0)
	assert.Equal(t, leafCalls, depth+1)
}

// TestDeadline guards against a caller that lengthens the timeout of the class, and against
// an invalid timeout that removes it or overflows.
func TestDeadline(t *testing.T) {
	cases := []struct {
		desc   string
		class  time.Duration
		header string
		want   int64
	}{
		{"class only", time.Second, "", 1e9 + 5},
		{"caller shortens", time.Second, "20", 20e6 + 5},
		{"caller cannot lengthen", time.Second, "5000", 1e9 + 5},
		{"no class limit", 0, "20", 20e6 + 5},
		{"no limit", 0, "", 0},
		{"negative value ignored", time.Second, "-3", 1e9 + 5},
		{"malformed value ignored", time.Second, "20ms", 1e9 + 5},
		{"overflow bounded", 0, "9223372036854775807", int64(30*24*time.Hour) + 5},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			assert.Equal(t, retry.Deadline(5, c.class, c.header), c.want)
		})
	}
}

// TestDeadlineDoesNotGrowBetweenHops guards against a deadline that moves later from hop
// to hop: servers would then work on calls whose callers have given up.
func TestDeadlineDoesNotGrowBetweenHops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Int64Range(0, 1e12).Draw(t, "now")
		deadline := now + rapid.Int64Range(1, 1e11).Draw(t, "left")
		elapsed := rapid.Int64Range(0, 1e10).Draw(t, "elapsed")
		millis, ok := retry.RemainingMillis(now+elapsed, deadline)
		if ok && now+elapsed+millis*1e6 > deadline {
			t.Fatalf("%d ms extend past the deadline", millis)
		}
		timeout := retry.FirstByteTimeout(now+elapsed, deadline)
		if timeout < 0 || timeout > 2*time.Second {
			t.Fatalf("first byte timeout %v", timeout)
		}
	})
}

// TestHedgeDelayIsNearP95 guards against a wrong quantile, which sends hedges far too
// often or never.
func TestHedgeDelayIsNearP95(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var delay retry.HedgeDelay
		samples := rapid.SliceOfN(rapid.Int64Range(1000, 10_000_000), 100, 300).Draw(t, "micros")
		for _, micros := range samples {
			delay.Observe(5e9, time.Duration(micros)*time.Microsecond)
		}
		got, ok := delay.HedgeAfter(6e9)
		assert.Assert(t, ok)
		slices.Sort(samples)
		exact := time.Duration(samples[int(float64(len(samples))*0.95)]) * time.Microsecond
		if got < exact || float64(got) > float64(exact)*1.13 {
			t.Fatalf("got %v, exact %v", got, exact)
		}
	})
}

// TestHedgeDelayDropsOldSamples guards against a hedge delay that is computed from
// latencies of an earlier window.
func TestHedgeDelayDropsOldSamples(t *testing.T) {
	var delay retry.HedgeDelay
	for range 200 {
		delay.Observe(5e9, time.Second)
	}
	_, ok := delay.HedgeAfter(6e9)
	assert.Assert(t, ok)
	_, ok = delay.HedgeAfter(40e9)
	assert.Assert(t, !ok)
}
