package proxy

import "time"

// initStallTimer prepares the timer that cancels an attempt whose server reads
// nothing from a streamed body for the idle timeout. The timer runs only while no
// read from the caller is in flight.
func (b *requestBody) initStallTimer(cancel func()) {
	if !b.present || b.buffered != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stallTimer != nil {
		b.stallTimer.Stop()
	}
	b.stallTimer = time.AfterFunc(b.idleTimeout, cancel)
	b.stallTimer.Stop()
}

// responseProgressed restarts the idle timeout of the request body after progress of
// the response body: the timeout applies only while neither makes progress.
func (b *requestBody) responseProgressed() {
	if !b.present || b.buffered != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.atEOF || b.closed:
	case b.readInFlight:
		_ = b.call.control.SetReadDeadline(time.Now().Add(b.idleTimeout))
	case b.stallTimer != nil && b.readErr == nil:
		b.stallTimer.Reset(b.idleTimeout)
	}
}

// progressedWithin reports whether a streamed body made progress within the last idle
// duration.
func (b *requestBody) progressedWithin(idle time.Duration) bool {
	if !b.present || b.buffered != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.lastProgress) < idle
}
