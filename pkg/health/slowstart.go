package health

import "time"

const (
	// slowStartDuration is the time until a server that is new, or whose ejection
	// ended, receives its full share of calls.
	slowStartDuration = 10 * time.Second
	// minSlowStartWeight is the initial weight. With a lower one, the server would not
	// receive the calls that warm it up.
	minSlowStartWeight = 0.1
)

// SlowStartWeight returns the weight of a server that joined, or whose ejection ended, at
// the time since. It is between minSlowStartWeight and 1. A time of 0 means that the
// server needs no slow start.
func SlowStartWeight(now, since int64) float64 {
	if since == 0 {
		return 1
	}
	progress := float64(now-since) / float64(slowStartDuration)
	return min(1, max(minSlowStartWeight, progress))
}
