package attempts_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/attempts"
)

// TestHedgeIsInTime guards against a hedge whose response is expected after the deadline, or after
// the latency target of a call that runs as expected.
func TestHedgeIsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const start = int64(1e9)
		serviceTime := rapid.Int64Range(1, 1e9).Draw(t, "serviceTime")
		progress := attempts.NewProgress(start, serviceTime)
		now := start
		for range rapid.IntRange(1, 10).Draw(t, "updates") {
			now += rapid.Int64Range(0, 1e9).Draw(t, "elapsed")
			progress.Update(now, rapid.Float64Range(0, 10).Draw(t, "slowdown"))
		}
		expected := rapid.Int64Range(1, 2e9).Draw(t, "expected")
		target := start + rapid.Int64Range(1, 4e9).Draw(t, "target")
		deadline := target + rapid.Int64Range(0, 4e9).Draw(t, "deadline")
		if progress.HedgeHelps(expected, target, deadline) {
			assert.Assert(t, now+expected <= deadline)
		}
	})
}

// TestCallOnSlowServerIsHedged guards against a call that waits for a server that has become slow.
func TestCallOnSlowServerIsHedged(t *testing.T) {
	const serviceTime, target, deadline = 100, 300, 2000
	progress := attempts.NewProgress(1, serviceTime)
	progress.Update(21, 1)
	assert.Assert(t, !progress.Late(target))
	progress.Update(41, 20)
	assert.Assert(t, progress.Late(target))
	assert.Assert(t, progress.HedgeHelps(serviceTime, target, deadline))
	assert.Assert(t, !progress.HedgeHelps(3*serviceTime, target, deadline))
}
