package edge

import (
	"context"
	"sync"
	"time"
)

// maxStartupWait is how long after its start a gateway delays calls while it has no routes
// and servers. Reading both tables over the link between regions takes 0.1 to 0.3 s. A
// caller that is refused retries later than that and has used up one of its attempts.
const maxStartupWait = 400 * time.Millisecond

// startupGate delays calls until the gateway has its routes and servers. It is safe for
// concurrent use.
type startupGate struct {
	opened   chan struct{}
	once     *sync.Once
	deadline time.Time
}

func newStartupGate() startupGate {
	return startupGate{opened: make(chan struct{}), once: &sync.Once{}, deadline: time.Now().Add(maxStartupWait)}
}

// open releases all waiting calls.
func (s *startupGate) open() {
	s.once.Do(func() { close(s.opened) })
}

// wait returns when the gate is open, the deadline has passed or ctx is done because the
// caller closed the connection.
func (s *startupGate) wait(ctx context.Context) {
	select {
	case <-s.opened:
		return
	default:
	}
	left := time.Until(s.deadline)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.opened:
	case <-timer.C:
	case <-ctx.Done():
	}
}
