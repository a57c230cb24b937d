package routing

import "sync/atomic"

const (
	// workWeight is the weight of a sample in the moving average of the work.
	workWeight = 0.05
	// usualCrowding is the factor assumed for a service of which little is known:
	// some servers slow down when their last slot is taken.
	usualCrowding = 1.4
	// maxCrowding bounds the factor, so that a few stray samples cannot upset it.
	maxCrowding = 3.0
	// crowdingDoubt is the number of samples that usualCrowding counts for.
	crowdingDoubt = 4
	// steadyPace is the ratio of two paces from which a server's speed has changed
	// too much during a call for it to be compared with others.
	steadyPace = 1.3
)

// ServiceTimeSample describes an answered call.
type ServiceTimeSample struct {
	// Nanos is the time to the answer without the distance.
	Nanos int64
	// SlowdownBefore and SlowdownAfter are what the server reported before the call was
	// sent and with the answer, 0 if it did not.
	SlowdownBefore, SlowdownAfter float64
	// InFlightBefore and InFlightAfter are the requests at the server with this one, as
	// known before it was sent and as reported with its answer.
	InFlightBefore, InFlightAfter float64
	Slots                         int
}

// ServiceTimeEstimator estimates how long the calls of a service take on an idle server at its
// usual pace, and how much longer on a server with all slots taken. It is safe
// for concurrent use and takes no lock; a lost update of an average is harmless.
type ServiceTimeEstimator struct {
	nanos atomic.Int64
	// roomy and crowded are the work on servers with two slots or more to spare,
	// and with all slots taken but no queue.
	roomy, crowded average
}

// average is a mean of all samples that turns into a moving one.
type average struct {
	mean, count atomic.Int64
}

func (a *average) add(sample int64) {
	count := a.count.Add(1)
	weight := max(1/float64(count), workWeight)
	old := a.mean.Load()
	a.mean.Store(old + int64(weight*float64(sample-old)))
}

// Observe takes an answered call in. Only calls at servers that report their pace
// are samples.
func (w *ServiceTimeEstimator) Observe(sample ServiceTimeSample) {
	if sample.SlowdownAfter == 0 {
		return
	}
	nanos := int64(float64(max(0, sample.Nanos)) / sample.SlowdownAfter)
	old := w.nanos.Load()
	if old == 0 {
		w.nanos.Store(nanos)
	} else {
		w.nanos.Store(old + int64(workWeight*float64(nanos-old)))
	}
	if !sample.steady() {
		return
	}
	slots := float64(sample.Slots)
	switch {
	case sample.InFlightBefore > slots+0.5 || sample.InFlightAfter > slots:
	case sample.InFlightBefore > slots-0.5 && sample.InFlightAfter > slots-1:
		w.crowded.add(nanos)
	case sample.InFlightBefore <= slots-1.5 && sample.InFlightAfter <= slots-1:
		w.roomy.add(nanos)
	}
}

func (s *ServiceTimeSample) steady() bool {
	return s.SlowdownBefore > 0 && s.SlowdownBefore < steadyPace*s.SlowdownAfter && s.SlowdownAfter < steadyPace*s.SlowdownBefore
}

// EstimateNanos returns the expected time of a call on an idle server at its usual pace,
// 0 before the first sample.
func (w *ServiceTimeEstimator) EstimateNanos() int64 {
	return w.nanos.Load()
}

// SaturationFactor returns the factor by which calls take longer on a server with all
// slots taken, at least 1.
func (w *ServiceTimeEstimator) SaturationFactor() float64 {
	roomy := w.roomy.mean.Load()
	samples := float64(min(w.roomy.count.Load(), w.crowded.count.Load()))
	if roomy <= 0 {
		return usualCrowding
	}
	measured := min(max(1, float64(w.crowded.mean.Load())/float64(roomy)), maxCrowding)
	return (samples*measured + crowdingDoubt*usualCrowding) / (samples + crowdingDoubt)
}
