package gateway

import (
	"sync/atomic"
	"time"
)

// storeClock estimates the store's clock from the times in its responses.
type storeClock struct {
	last atomic.Pointer[storeReading]
}

type storeReading struct {
	store time.Time
	// readAt is when the response arrived; it includes the monotonic clock.
	readAt time.Time
}

// observe records the store's clock of a response. The zero time is ignored.
func (c *storeClock) observe(store time.Time) {
	if !store.IsZero() {
		c.last.Store(&storeReading{store: store, readAt: time.Now()})
	}
}

// known reports whether the store has responded.
func (c *storeClock) known() bool {
	return c.last.Load() != nil
}

// now returns the estimate, or this machine's wall clock before the first response. The
// estimate lags by the time that the response took to arrive.
func (c *storeClock) now() time.Time {
	reading := c.last.Load()
	if reading == nil {
		return time.Now()
	}
	return reading.store.Add(time.Since(reading.readAt))
}
