package prober

import (
	"math"
	"time"
)

const (
	// MinInterval is the age of the load report of a busy server at which it is probed
	// again; more recent reports gain less than their probes cost.
	MinInterval = 30 * time.Millisecond
	// MaxInterval is the same for a server without calls. The weight of reports decays
	// with a half-life of about this time, so that older ones are of little use when
	// calls arrive.
	MaxInterval = 250 * time.Millisecond
	// busyInFlight is the mean number of requests at a server from which MinInterval
	// applies.
	busyInFlight = 1.0
	// allowedShare is the part of the allowed probes that is used, because gateways
	// may temporarily disagree about which of them probes a server.
	allowedShare = 0.6
)

// Interval returns the age at which the load reports of a service's servers are renewed
// by a probe. inFlight is the mean number of requests in flight at these servers, and
// allowedPerSecond is how often a server may be probed, 0 for no limit. Reports
// determine which server a call is sent to and whether a call in flight is hedged. The
// cost of outdated reports grows with the number of these calls and with the interval,
// and the cost of probes with the inverse of the interval. Their sum is therefore
// lowest at an interval that is inversely proportional to the square root of the
// number of calls.
func Interval(inFlight, allowedPerSecond float64) time.Duration {
	lowerBound := MinInterval
	if allowedPerSecond > 0 {
		lowerBound = max(lowerBound, time.Duration(float64(time.Second)/(allowedShare*allowedPerSecond)))
	}
	if inFlight <= 0 {
		return max(lowerBound, MaxInterval)
	}
	interval := float64(MinInterval) * math.Sqrt(busyInFlight/inFlight)
	return max(lowerBound, time.Duration(min(interval, float64(MaxInterval))))
}
