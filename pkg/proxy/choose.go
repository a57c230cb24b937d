package proxy

import (
	"math/rand/v2"
	"net/http"
	"time"

	"balsamhill/pkg/routing"
)

// choose returns a server that was not tried yet, nil if there is none.
func (c *call) choose() *routing.Server {
	if c.candidates() == 0 {
		return nil
	}
	random := randPool.Get().(*rand.Rand)
	defer randPool.Put(random)
	return c.chosen(c.view.Choose(c.pick(random)))
}

// chooseWithRoom returns the best server that has room and can answer in time, nil
// if there is none. It may be one in another region.
func (c *call) chooseWithRoom() *routing.Server {
	random := randPool.Get().(*rand.Rand)
	defer randPool.Put(random)
	c.tried = c.tried[:0]
	pick := c.pick(random)
	pick.MaxLatency = max(1, c.arrived+int64(c.route.LatencyTarget)-pick.Now)
	return c.chosen(c.view.Choose(pick))
}

func (c *call) chosen(server *routing.Server) *routing.Server {
	if server != nil {
		c.tried = append(c.tried, server)
	}
	return server
}

const (
	// roomPoll is how often a call that waits for a free slot looks again; loads
	// are reported about every 20 ms.
	roomPoll = 5 * time.Millisecond
	// roomShare is the share of a route's target that a call may wait for room.
	roomShare = 8
)

// chooseFirst chooses the server of the first attempt, or refuses the call. On a
// route with a target the call waits for a while if no server has a free slot: the
// next slot of a service becomes free long before the queue of one server is
// worked off.
func (c *call) chooseFirst() *routing.Server {
	limit := c.arrived + int64(c.route.LatencyTarget)/roomShare
	for waits := false; ; waits = true {
		server := c.choose()
		if server == nil {
			c.leaveGuard()
			c.refuseWithoutServer()
			return nil
		}
		now := c.proxy.config.Now()
		room := routing.HeadroomFree
		if c.route.LatencyTarget > 0 {
			room = c.view.HeadroomOf(server, now, c.service.work.SaturationFactor())
		}
		switch {
		case room == routing.HeadroomFree && c.takesSlot(server, waits):
			return server
		case now >= limit && room == routing.HeadroomTight:
			return server
		case now >= limit:
			if server = c.chooseWithRoom(); server != nil {
				return server
			}
			c.leaveGuard()
			c.proxy.config.Metrics.full.Inc()
			c.refuse(http.StatusServiceUnavailable, "all servers of "+c.target+" are full")
			return nil
		}
		c.tried = c.tried[:0]
		c.service.waiting.Add(1)
		there := c.pause(roomPoll)
		c.service.waiting.Add(-1)
		if !there {
			c.leaveGuard()
			c.refuse(http.StatusServiceUnavailable, "the caller left")
			return nil
		}
	}
}

// takesSlot decides whether a call takes one of the free slots in view; see
// routing.SlotProbability.
func (c *call) takesSlot(server *routing.Server, waits bool) bool {
	rivals := float64(c.service.waiting.Load())
	if c.proxy.config.Gateways != nil {
		rivals *= c.proxy.config.Gateways()
	}
	if c.route.LatencyTarget <= 0 || rivals == 0 {
		return true
	}
	random := randPool.Get().(*rand.Rand)
	defer randPool.Put(random)
	spare := c.view.SpareSlots(server, c.pick(random))
	return random.Float64() < routing.SlotProbability(spare, rivals, waits)
}

// pause waits and reports whether the caller is still there.
func (c *call) pause(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.base.Done():
		return false
	}
}

// pick describes the call to the policy.
func (c *call) pick(random *rand.Rand) routing.Pick {
	return routing.Pick{
		Rand:             random,
		Now:              c.proxy.config.Now(),
		Tried:            c.tried,
		ServiceTime:      c.service.work.EstimateNanos(),
		SaturationFactor: c.service.work.SaturationFactor(),
		Bytes:            usualAnswerBytes + max(0, c.r.ContentLength),
	}
}

// usualAnswerBytes stands for the answer and both headers when the price of the
// distance is weighed.
const usualAnswerBytes = 2 << 10
