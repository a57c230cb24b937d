// Package delay estimates how long messages were on the way, so that the receiver knows
// the real age of what they say. Messages wait in queues of links and in the socket of a
// receiver that is paused. The package does no I/O, starts no goroutine and reads no clock.
package delay

import "time"

const (
	// window is the minimum length of a window of an Estimate. Messages of a sender whose
	// clock stood still count as delayed for up to two windows.
	window = 3 * time.Second
	// minWindowMessages is the minimum number of messages in a window, so that a few
	// delayed messages do not become the reference.
	minWindowMessages = 8
)

// Estimate estimates how much longer the messages of one sender take than the fastest of its
// recent ones. The clocks of sender and receiver may differ. The zero value has no reference
// yet: the first message counts as not delayed. It is not safe for concurrent use.
type Estimate struct {
	windowStart int64
	// current and previous are the smallest differences between the time of receipt and the
	// time of sending in the current window and in the one before it.
	current, previous int64
	// messages is the number of messages in the current window.
	messages int
}

// Record records a message and returns its delay. now is in nanoseconds on the clock of the
// receiver, sentAt on that of the sender.
func (e *Estimate) Record(now, sentAt int64) time.Duration {
	difference := now - sentAt
	switch {
	case e.messages == 0:
		e.windowStart, e.current, e.previous = now, difference, difference
	case now-e.windowStart >= int64(window) && e.messages >= minWindowMessages:
		e.windowStart, e.current, e.previous, e.messages = now, difference, e.current, 0
	default:
		e.current = min(e.current, difference)
	}
	e.messages++
	return time.Duration(difference - min(e.current, e.previous))
}
