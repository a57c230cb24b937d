package health

import "time"

const (
	// slowStartDuration is how long a server that is new or back from an ejection takes
	// to get its full share of work.
	slowStartDuration = 10 * time.Second
	// minSlowStartWeight is the first weight; with less, a server would not get the
	// calls that warm it up.
	minSlowStartWeight = 0.1
)

// SlowStartWeight returns the weight of a server that joined or recovered at a
// time, between minSlowStartWeight and 1. Time 0 means that it needs no slow start.
func SlowStartWeight(now, since int64) float64 {
	if since == 0 {
		return 1
	}
	progress := float64(now-since) / float64(slowStartDuration)
	return min(1, max(minSlowStartWeight, progress))
}
