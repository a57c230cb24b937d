package prober

import (
	"math"
	"time"
)

const (
	// MinReportAge is the age of its load report at which a busy server is probed again;
	// probing it earlier gains less than it costs.
	MinReportAge = 30 * time.Millisecond
	// MaxReportAge is the age of its load report at which a server without calls is probed
	// again. The policy LeastExpectedLatency weights reports with a half-life of about
	// this time, so that older ones are of little use when calls arrive.
	MaxReportAge = 250 * time.Millisecond
	// busyInFlight is the mean number of requests at a server from which MinReportAge
	// applies.
	busyInFlight = 1.0
	// allowedShare is the part of the allowed probes that is used, because gateways
	// may temporarily disagree about which of them probes a server.
	allowedShare = 0.6
)

// Interval returns the age at which the load reports of a service's servers are renewed
// by a probe. inFlight is the mean number of requests in flight at these servers, and
// maxProbesPerSecond is how often a server may be probed, 0 for no limit.
//
// The interval is inversely proportional to the square root of the number of calls.
// Reports determine which server a call is sent to and whether a call in flight is
// hedged, so the cost of outdated reports grows with the number of these calls and with
// the interval. The cost of probes grows with the inverse of the interval. At this
// interval their sum is lowest.
func Interval(inFlight, maxProbesPerSecond float64) time.Duration {
	lowerBound := MinReportAge
	if maxProbesPerSecond > 0 {
		lowerBound = max(lowerBound, time.Duration(float64(time.Second)/(allowedShare*maxProbesPerSecond)))
	}
	if inFlight <= 0 {
		return max(lowerBound, MaxReportAge)
	}
	interval := float64(MinReportAge) * math.Sqrt(busyInFlight/inFlight)
	return max(lowerBound, time.Duration(min(interval, float64(MaxReportAge))))
}
