package proxy

import (
	"math/rand/v2"
	"net/http"
	"time"

	"balsamhill/pkg/routing"
)

// choose returns a server that was not tried yet, nil if there is none.
func (c *call) choose() *routing.Server {
	if c.candidateCount() == 0 {
		return nil
	}
	random := randPool.Get().(*rand.Rand)
	defer randPool.Put(random)
	return c.markTried(c.view.Choose(c.pick(random)))
}

// chooseToSend is like choose, and takes one of the requests that this gateway may send
// to the server. While no server can be reached, it returns another gateway.
func (c *call) chooseToSend() *routing.Server {
	if c.mustHandOff() {
		return c.chooseGateway()
	}
	for {
		server := c.choose()
		if server == nil || server.Stats.Take(c.proxy.config.Now()) {
			return server
		}
	}
}

// chooseWithHeadroom returns the best server, of any region, that has headroom and
// can respond within the latency target, nil if there is none. Policies other than
// LeastExpectedLatency ignore both conditions.
func (c *call) chooseWithHeadroom() *routing.Server {
	random := randPool.Get().(*rand.Rand)
	defer randPool.Put(random)
	c.tried = c.tried[:0]
	pick := c.pick(random)
	pick.MaxLatency = max(1, c.arrived+int64(c.route.LatencyTarget)-pick.Now)
	return c.markTried(c.view.Choose(pick))
}

func (c *call) markTried(server *routing.Server) *routing.Server {
	if server != nil {
		c.tried = append(c.tried, server)
	}
	return server
}

const (
	// headroomPollInterval is how often a call that waits for headroom checks again;
	// servers report their load about every 20 ms.
	headroomPollInterval = 5 * time.Millisecond
	// headroomWaitDivisor limits the wait for headroom to the route's latency target
	// divided by it.
	headroomWaitDivisor = 8
)

// chooseFirst chooses the server of the first attempt, or refuses the call. On a
// route with a latency target the call waits for a short time unless the chosen
// server is HeadroomFree and takesSlot allows the call to take a slot there: the next
// slot of the service becomes free long before the queue of one server has drained.
func (c *call) chooseFirst() *routing.Server {
	waitUntil := c.arrived + int64(c.route.LatencyTarget)/headroomWaitDivisor
	for waited := false; ; waited = true {
		server := c.choose()
		now := c.proxy.config.Now()
		if server == nil {
			if !c.awaitReturn(now) {
				return nil
			}
			continue
		}
		headroom := routing.HeadroomFree
		if c.route.LatencyTarget > 0 {
			headroom = c.view.HeadroomOf(server, now, c.service.serviceTime.SaturationFactor())
		}
		switch {
		case headroom == routing.HeadroomFree && c.takesSlot(server, waited):
			if server.Stats.Take(now) {
				return server
			}
		case now >= waitUntil && headroom == routing.HeadroomTight:
			if server.Stats.Take(now) {
				return server
			}
		case now >= waitUntil:
			if server = c.chooseWithHeadroom(); server != nil && server.Stats.Take(now) {
				return server
			}
			c.releaseCrashGuard()
			c.proxy.config.Metrics.serversFull.Inc()
			c.refuse(http.StatusServiceUnavailable, "all servers of "+c.serviceName+" are full")
			return nil
		}
		if !c.awaitServer(headroomPollInterval) {
			return nil
		}
	}
}

// awaitServer waits before the next choice. It refuses the call and returns false if the
// caller left.
func (c *call) awaitServer(wait time.Duration) bool {
	c.tried = c.tried[:0]
	c.service.waitingForHeadroom.Add(1)
	connected := c.sleep(wait)
	c.service.waitingForHeadroom.Add(-1)
	if !connected {
		c.releaseCrashGuard()
		c.refuse(http.StatusServiceUnavailable, "the caller left")
	}
	return connected
}

// refuseUnchosen refuses a call for which no server could be chosen for its first
// attempt. If there are servers, all of them are withdrawn or at the limits that they
// named.
func (c *call) refuseUnchosen() {
	switch {
	case c.candidateCount() == 0:
		c.refuseWithoutServer()
	case c.view.AllWithdrawn(c.proxy.config.Now()):
		c.refuseWithdrawn()
	default:
		c.refuseAtLimit()
	}
}

// takesSlot decides at random whether the call takes one of the server's spare
// slots, so that calls that wait at the same time, here and at other gateways, do
// not all take the same one; see routing.SlotProbability.
func (c *call) takesSlot(server *routing.Server, waited bool) bool {
	competing := float64(c.service.waitingForHeadroom.Load())
	if c.proxy.config.GatewayCount != nil {
		competing *= c.proxy.config.GatewayCount()
	}
	// What this gateway may send to a server with a limit is not shared with others.
	if c.route.LatencyTarget <= 0 || competing == 0 || server.Stats.Gate.Limited() {
		return true
	}
	random := randPool.Get().(*rand.Rand)
	defer randPool.Put(random)
	spareSlots := c.view.SpareSlots(server, c.pick(random))
	return random.Float64() < routing.SlotProbability(spareSlots, competing, waited)
}

// sleep waits for the given time, or until the context of the attempts ends, and
// reports whether it waited to the end. That context ends when the caller leaves,
// unless the call was detached from its caller.
func (c *call) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.baseContext.Done():
		return false
	}
}

// pick returns the properties of the call that the balancing policy uses.
func (c *call) pick(random *rand.Rand) routing.Pick {
	return routing.Pick{
		Rand:             random,
		Now:              c.proxy.config.Now(),
		Tried:            c.tried,
		ServiceTime:      c.service.serviceTime.EstimateNanos(),
		SaturationFactor: c.service.serviceTime.SaturationFactor(),
		Bytes:            typicalResponseBytes + max(0, c.r.ContentLength),
	}
}

// typicalResponseBytes stands for the response and both headers in the cost of
// sending the call to a distant server.
const typicalResponseBytes = 2 << 10
