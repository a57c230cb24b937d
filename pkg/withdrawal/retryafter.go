package withdrawal

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxRetryAfterBytes bounds the text of a number of seconds.
	maxRetryAfterBytes = 32
	// maxPause bounds the time for which a server may ask.
	maxPause = 24 * time.Hour
)

// ParseRetryAfter parses the values of the header field Retry-After: one number of seconds,
// which may have a fraction. Unlike RFC 9110 it accepts no date, because the clocks of
// servers differ. ok is false if the field is present and cannot be read; without the
// field, pause is 0.
func ParseRetryAfter(header http.Header) (pause time.Duration, ok bool) {
	values := header["Retry-After"]
	if len(values) == 0 {
		return 0, true
	}
	text := strings.TrimSpace(values[0])
	// ParseFloat also reads hexadecimal numbers.
	if len(values) > 1 || len(text) > maxRetryAfterBytes || strings.ContainsAny(text, "xXpP_") {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxPause.Seconds()) {
		return 0, false
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}
