package retry

import (
	"strconv"
	"time"
)

// Deadline returns the time by which the header of the response must have arrived, 0
// for no limit. callerMillis is the caller's timeout in milliseconds, in decimal or
// empty; it can only shorten the timeout of the class. Invalid values are
// ignored, because an intermediate proxy may have written them and the timeout of the
// class always applies.
func Deadline(arrived int64, classTimeout time.Duration, callerMillis string) int64 {
	timeout := classTimeout
	requested, ok := parseMillis(callerMillis)
	if ok && (timeout <= 0 || requested < timeout) {
		timeout = requested
	}
	if timeout <= 0 {
		return 0
	}
	return arrived + int64(timeout)
}

// maxTimeoutMillis bounds timeouts so that the sum of clock and timeout cannot
// overflow.
const maxTimeoutMillis = int64(30*24*time.Hour) / int64(time.Millisecond)

func parseMillis(text string) (time.Duration, bool) {
	if text == "" {
		return 0, false
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 {
		return 0, false
	}
	return time.Duration(min(millis, maxTimeoutMillis)) * time.Millisecond, true
}

// RemainingMillis returns the timeout in milliseconds to send to the server: the time until
// the deadline, rounded down so that the deadline never moves later from hop to hop.
// It returns false if less than 1 ms remains or there is no deadline.
func RemainingMillis(now, deadline int64) (int64, bool) {
	if deadline == 0 {
		return 0, false
	}
	millis := (deadline - now) / int64(time.Millisecond)
	return millis, millis > 0
}

// Expired reports whether the deadline has passed.
func Expired(now, deadline int64) bool {
	return deadline != 0 && now >= deadline
}

// maxFirstByteTimeout bounds how long an unresponsive connection delays a caller
// before another server is tried. It leaves most of a fetch's usual deadline of 5 s to
// the second attempt.
const maxFirstByteTimeout = 2 * time.Second

// FirstByteTimeout returns how long the first attempt of a call may wait for the first
// byte of the response while a second attempt is possible: half of the time until the
// deadline, at most 2 s. The last attempt may use all of the remaining time.
func FirstByteTimeout(now, deadline int64) time.Duration {
	if deadline == 0 {
		return maxFirstByteTimeout
	}
	return max(0, min(maxFirstByteTimeout, time.Duration(deadline-now)/2))
}
