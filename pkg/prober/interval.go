package prober

import (
	"math"
	"time"
)

const (
	// MinInterval is how old the report of a busy server may grow before the next
	// probe; fresher ones are worth less than their probes.
	MinInterval = 30 * time.Millisecond
	// MaxInterval is the same for a server without calls: reports fade with a
	// half-life of about this time, so that older ones say little when calls come.
	MaxInterval = 250 * time.Millisecond
	// busyInFlight is the mean number of requests at a server from which its report
	// is kept at MinInterval.
	busyInFlight = 1.0
	// allowedShare is the part of the allowed probes that is used, because gateways
	// may disagree for a moment about who measures a server.
	allowedShare = 0.6
)

// Interval returns how old the reports of a service's servers may grow whose mean
// number of requests in flight is given. AllowedPerSecond is how often a server may
// be probed, 0 for no limit. Reports decide where calls go and whether one in flight
// gets a hedge. The cost of old ones grows with these calls and with the interval,
// that of probes with the inverse of the interval, so that their sum is least at an
// interval that falls with the square root of the calls.
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
