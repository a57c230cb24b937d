package routing

import "sync/atomic"

const (
	// sampleWeight is the weight of one sample in the moving averages.
	sampleWeight = 0.05
	// defaultSaturationFactor is the factor assumed for a service with few samples:
	// some servers slow down when their last slot is taken.
	defaultSaturationFactor = 1.4
	// maxSaturationFactor bounds the estimate against outliers.
	maxSaturationFactor = 3.0
	// priorSamples is the number of samples that defaultSaturationFactor counts for.
	priorSamples = 4
	// maxSlowdownRatio is the ratio between the slowdowns before and after a call
	// from which the call is left out of the saturation factor: the speed of its
	// server changed too much for a comparison with other calls.
	maxSlowdownRatio = 1.3
)

// ServiceTimeSample describes a call that received a response.
type ServiceTimeSample struct {
	// Nanos is the time to the response without the network latency.
	Nanos int64
	// SlowdownBefore and SlowdownAfter are the slowdowns that the server reported
	// before the call was sent and with the response, 0 if it reported none.
	SlowdownBefore, SlowdownAfter float64
	// InFlightBefore and InFlightAfter are the requests at the server including this
	// one, as estimated before it was sent and as reported with the response.
	InFlightBefore, InFlightAfter float64
	Slots                         int
}

// ServiceTimeEstimator estimates how long the calls of a service take on an idle
// server without slowdown, and by which factor they take longer on a server with
// all slots taken. It is safe for concurrent use and takes no lock; a lost update
// of an average is harmless.
type ServiceTimeEstimator struct {
	nanos atomic.Int64
	// unsaturated is the service time on servers with at least two spare slots,
	// saturated that on servers with all slots taken but no queue.
	unsaturated, saturated average
}

// average is the mean of all samples at first, and a moving average once
// 1/sampleWeight samples were added.
type average struct {
	mean, count atomic.Int64
}

func (a *average) add(sample int64) {
	count := a.count.Add(1)
	weight := max(1/float64(count), sampleWeight)
	old := a.mean.Load()
	a.mean.Store(old + int64(weight*float64(sample-old)))
}

// Observe adds a sample. Calls to servers that do not report a slowdown are
// ignored.
func (e *ServiceTimeEstimator) Observe(sample ServiceTimeSample) {
	if sample.SlowdownAfter == 0 {
		return
	}
	nanos := int64(float64(max(0, sample.Nanos)) / sample.SlowdownAfter)
	old := e.nanos.Load()
	if old == 0 {
		e.nanos.Store(nanos)
	} else {
		e.nanos.Store(old + int64(sampleWeight*float64(nanos-old)))
	}
	if !sample.slowdownIsStable() {
		return
	}
	slots := float64(sample.Slots)
	switch {
	case sample.InFlightBefore > slots+0.5 || sample.InFlightAfter > slots:
	case sample.InFlightBefore > slots-0.5 && sample.InFlightAfter > slots-1:
		e.saturated.add(nanos)
	case sample.InFlightBefore <= slots-1.5 && sample.InFlightAfter <= slots-1:
		e.unsaturated.add(nanos)
	}
}

func (s *ServiceTimeSample) slowdownIsStable() bool {
	return s.SlowdownBefore > 0 && s.SlowdownBefore < maxSlowdownRatio*s.SlowdownAfter && s.SlowdownAfter < maxSlowdownRatio*s.SlowdownBefore
}

// EstimateNanos returns the expected time of a call on an idle server without
// slowdown, 0 before the first sample.
func (e *ServiceTimeEstimator) EstimateNanos() int64 {
	return e.nanos.Load()
}

// SaturationFactor returns the factor by which calls take longer on a server with
// all slots taken, at least 1.
func (e *ServiceTimeEstimator) SaturationFactor() float64 {
	unsaturated := e.unsaturated.mean.Load()
	samples := float64(min(e.unsaturated.count.Load(), e.saturated.count.Load()))
	if unsaturated <= 0 {
		return defaultSaturationFactor
	}
	measured := min(max(1, float64(e.saturated.mean.Load())/float64(unsaturated)), maxSaturationFactor)
	return (samples*measured + priorSamples*defaultSaturationFactor) / (samples + priorSamples)
}
