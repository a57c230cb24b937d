package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/retry"
)

// FuzzDeadline guards against a caller's header that lengthens the timeout of the class
// or makes the deadline overflow.
func FuzzDeadline(f *testing.F) {
	for _, seed := range []string{"", "0", "-1", "700", "9223372036854775807", "99999999999999999999", "1e3", " 5"} {
		f.Add(seed, int64(5*time.Second), int64(time.Hour))
		f.Add(seed, int64(0), int64(time.Hour))
	}
	f.Fuzz(func(t *testing.T, header string, timeout, arrived int64) {
		// A process does not run for 100 years, and settings bound timeouts.
		if timeout < 0 || timeout > int64(30*24*time.Hour) || arrived < 1 || arrived > int64(100*365*24*time.Hour) {
			return
		}
		deadline := retry.Deadline(arrived, time.Duration(timeout), header)
		if deadline == 0 {
			assert.Equal(t, timeout, int64(0))
			return
		}
		assert.Assert(t, deadline > arrived, deadline)
		if timeout > 0 {
			assert.Assert(t, deadline <= arrived+timeout, deadline)
		}
		remaining, ok := retry.RemainingMillis(arrived, deadline)
		assert.Assert(t, !ok || remaining*int64(time.Millisecond) <= deadline-arrived)
	})
}
