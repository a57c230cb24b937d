package gateway

import (
	"sync/atomic"
	"time"
)

// storeClock estimates the store's clock from its answers.
type storeClock struct {
	last atomic.Pointer[storeReading]
}

type storeReading struct {
	store time.Time
	// at carries the own monotonic clock.
	at time.Time
}

// observe takes the store's clock from an answer; the zero time is ignored.
func (c *storeClock) observe(store time.Time) {
	if !store.IsZero() {
		c.last.Store(&storeReading{store: store, at: time.Now()})
	}
}

// known reports whether the store has answered.
func (c *storeClock) known() bool {
	return c.last.Load() != nil
}

// now returns the estimate, or the own wall clock before the first answer. It is
// late by the time that the answer took.
func (c *storeClock) now() time.Time {
	reading := c.last.Load()
	if reading == nil {
		return time.Now()
	}
	return reading.store.Add(time.Since(reading.at))
}
