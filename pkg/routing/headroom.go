package routing

// Headroom says how a server can take one more call.
type Headroom int

const (
	// HeadroomFree means that the call starts at once and slows nothing down.
	HeadroomFree Headroom = iota
	// HeadroomTight means that the call would slow the server down, or wait there for
	// a short time.
	HeadroomTight
	// HeadroomNone means that the server has as much work as it should have.
	HeadroomNone
)

// queuePerSlot is how many calls per slot may wait at a server that does not slow
// down when it is full. The next slot becomes free long before that queue is
// worked off.
const queuePerSlot = 0.5

// HeadroomOf returns the room on a server for calls that take longer by the factor
// crowding when all slots are taken. Where that factor is so large that the server
// gets less done with its last slot taken, calls never wait at the server.
func (v *ServiceView) HeadroomOf(server *Server, now int64, crowding float64) Headroom {
	return roomFor(v.InFlightWith(server, now), float64(slotsOf(server, v.Slots)), crowding)
}

// comfort returns how many requests a server can have without being slowed down,
// and how many it should have at most.
func comfort(slots, crowding float64) (free, tight float64) {
	if crowding*(slots-1) > slots {
		return max(1, slots-1), slots
	}
	return slots, slots * (1 + queuePerSlot)
}

func roomFor(after, slots, crowding float64) Headroom {
	free, tight := comfort(slots, crowding)
	switch {
	case after <= free:
		return HeadroomFree
	case after <= tight:
		return HeadroomTight
	default:
		return HeadroomNone
	}
}

// mostBytePrice bounds in nanoseconds the price of the bytes of a call that goes
// to a distant server only because near ones are full. Beyond it the bytes cost
// more than the call is worth.
const mostBytePrice = 1e9

// fits reports whether a server meets pick.MaxLatency.
func fits(server *Server, pick Pick, mean means, expected float64) bool {
	price := server.ByteNanos * float64(pick.Bytes)
	if price > mostBytePrice || expected-price > float64(pick.MaxLatency) {
		return false
	}
	after := server.Stats.loadNow(pick.Now, mean.load) + 1
	return roomFor(after, float64(slotsOf(server, pick.Slots)), pick.SaturationFactor) != HeadroomNone
}

// similarTime is the ratio of expected times up to which servers are as good as
// the best one.
const similarTime = 1.5

// SpareSlots returns how many calls the servers that are about as good as the chosen
// one can take without being slowed down.
func (v *ServiceView) SpareSlots(chosen *Server, pick Pick) float64 {
	pick.Slots = v.Slots
	mean := meanOf(v.All, pick.Now)
	limit := similarTime * pacedTime(chosen, pick, mean)
	spare := 0.0
	for _, server := range v.All {
		if pacedTime(server, pick, mean) > limit {
			continue
		}
		free, _ := comfort(float64(slotsOf(server, v.Slots)), pick.SaturationFactor)
		spare += max(0, free-server.Stats.loadNow(pick.Now, mean.load))
	}
	return spare
}

// slotVisible is for how many looks of a waiting call a free slot is seen, until
// the load report of its server shows that it is taken.
const slotVisible = 5

// SlotProbability returns the probability with which a call takes one of the spare
// slots in view while other calls, the rivals, wait for them at this and other
// gateways, which see the same reports. It leaves about one call for each slot.
// A call that waits looks several times while a slot is in view.
func SlotProbability(spare, rivals float64, waits bool) float64 {
	chance := spare / (1 + rivals)
	if waits {
		chance /= slotVisible
	}
	return min(1, chance)
}
