package routing

// Headroom says whether a server can take one more call.
type Headroom int

const (
	// HeadroomFree means that the call would start at once without slowing down
	// other calls.
	HeadroomFree Headroom = iota
	// HeadroomTight means that the call would slow down other calls, or wait at the
	// server for a short time.
	HeadroomTight
	// HeadroomNone means that the server has reached its limit of requests.
	HeadroomNone
)

// queuePerSlot is how many calls per slot may wait at a server that does not slow
// down when it is full. The next slot becomes free long before such a queue has
// drained.
const queuePerSlot = 0.5

// HeadroomOf returns the headroom of a server for one more call. saturationFactor is
// the factor by which calls take longer when all slots are taken.
func (v *ServiceView) HeadroomOf(server *Server, now int64, saturationFactor float64) Headroom {
	return headroomFor(v.InFlightWith(server, now), float64(slotsOf(server, v.Slots)), saturationFactor)
}

// inFlightLimits returns the number of requests up to which a server is not slowed
// down (free), and the number that it should not exceed (tight). If saturationFactor
// is so large that taking the last slot lowers the throughput of the server, no
// queue is allowed there.
func inFlightLimits(slots, saturationFactor float64) (free, tight float64) {
	if saturationFactor*(slots-1) > slots {
		return max(1, slots-1), slots
	}
	return slots, slots * (1 + queuePerSlot)
}

func headroomFor(inFlight, slots, saturationFactor float64) Headroom {
	free, tight := inFlightLimits(slots, saturationFactor)
	switch {
	case inFlight <= free:
		return HeadroomFree
	case inFlight <= tight:
		return HeadroomTight
	default:
		return HeadroomNone
	}
}

// maxByteCost bounds in nanoseconds the cost of the bytes of a call that goes to a
// remote server only because the local ones are full. Beyond it, the bytes cost
// more than serving the call gains.
const maxByteCost = 1e9

// withinLimits reports whether a server meets pick.MaxLatency, stays below
// maxByteCost and has headroom.
func withinLimits(server *Server, pick Pick, means serviceMeans, cost float64) bool {
	byteCost := server.ByteNanos * float64(pick.Bytes)
	if byteCost > maxByteCost || cost-byteCost > float64(pick.MaxLatency) {
		return false
	}
	inFlight := server.Stats.blendedInFlight(pick.Now, means.inFlight) + 1
	return headroomFor(inFlight, float64(slotsOf(server, pick.Slots)), pick.SaturationFactor) != HeadroomNone
}

// similarCostRatio is the ratio of expected costs up to which other servers count
// as equivalent to the chosen one.
const similarCostRatio = 1.5

// SpareSlots returns how many calls the servers whose expected cost is similar to
// that of the chosen one can take without being slowed down.
func (v *ServiceView) SpareSlots(chosen *Server, pick Pick) float64 {
	pick.Slots = v.Slots
	means := meansOf(v.All, pick.Now)
	limit := similarCostRatio * expectedCost(chosen, pick, means)
	spare := 0.0
	for _, server := range v.All {
		if !server.Stats.MaySend(pick.Now) || expectedCost(server, pick, means) > limit {
			continue
		}
		free, _ := inFlightLimits(float64(slotsOf(server, v.Slots)), pick.SaturationFactor)
		spare += max(0, free-server.Stats.blendedInFlight(pick.Now, means.inFlight))
	}
	return spare
}

// checksPerFreeSlot is how many times a waiting call sees the same free slot until
// a load report shows that the slot is taken.
const checksPerFreeSlot = 5

// SlotProbability returns the probability with which a call takes one of the spare
// slots while competing calls wait for them at this gateway and at others, which
// hold the same reports. On average, about one call takes each slot. A call that is
// waiting checks several times while a slot is free, so that its probability per
// check is lower.
func SlotProbability(spareSlots, competingCalls float64, waiting bool) float64 {
	probability := spareSlots / (1 + competingCalls)
	if waiting {
		probability /= checksPerFreeSlot
	}
	return min(1, probability)
}
