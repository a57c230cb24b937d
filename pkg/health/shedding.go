package health

import (
	"math"
	"time"
)

// Shedding tracks the share of calls that a server sheds (503). Shedding lowers the
// weight of the server and never ejects it.
type Shedding struct {
	lastCounts Counts
	updatedAt  int64
	ratio      float64
}

const (
	// sheddingHalfLife is the half-life of the shed ratio. It is long enough to smooth
	// bursts, and short enough for the weight to recover within 2 s after an overload.
	sheddingHalfLife = 500 * time.Millisecond
	// minSheddingWeight is the lowest weight, so that a server that sheds every call
	// still receives calls that show when it stops shedding.
	minSheddingWeight = 0.1
	// fullSampleOutcomes is the number of outcomes from which a sample has its full
	// weight.
	fullSampleOutcomes = 10
	// negligibleRatio is the ratio below which the ratio is set to 0, so that a
	// recovered server gets weight 1.
	negligibleRatio = 0.005
)

// Update updates the shed ratio with the outcomes since the previous update.
func (s *Shedding) Update(now int64, counts Counts) {
	sheds := float64(counts.Sheds - s.lastCounts.Sheds)
	total := sheds + float64(counts.Successes-s.lastCounts.Successes) + float64(counts.Failures-s.lastCounts.Failures)
	elapsed := float64(max(0, now-s.updatedAt))
	s.lastCounts = counts
	s.updatedAt = now
	if sheds == 0 && s.ratio == 0 {
		return
	}
	sampleWeight := 1 - math.Exp2(-elapsed/float64(sheddingHalfLife))
	sample := 0.0
	if total > 0 {
		sampleWeight *= min(1, total/fullSampleOutcomes)
		sample = sheds / total
	}
	s.ratio += sampleWeight * (sample - s.ratio)
	if s.ratio < negligibleRatio {
		s.ratio = 0
	}
}

// Weight returns the share of calls that the server receives, between
// minSheddingWeight and 1.
func (s *Shedding) Weight() float64 {
	return min(1, max(minSheddingWeight, 1-s.ratio))
}
