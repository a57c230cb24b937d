package edge

import (
	"context"
	"sync"
	"time"
)

// maxStartupWait is how long after its start a gateway lets calls wait for its routes and
// servers. Over the link between regions both tables take 0.1 to 0.3 s; a caller that
// is refused comes back later than that, and has one try less.
const maxStartupWait = 400 * time.Millisecond

// startupGate lets calls wait until the gateway knows its routes and servers. It is safe
// for concurrent use.
type startupGate struct {
	opened   chan struct{}
	once     *sync.Once
	deadline time.Time
}

func newStartupGate() startupGate {
	return startupGate{opened: make(chan struct{}), once: &sync.Once{}, deadline: time.Now().Add(maxStartupWait)}
}

// open ends the waiting.
func (s *startupGate) open() {
	s.once.Do(func() { close(s.opened) })
}

// wait returns when the gateway knows its routes and servers, startHold is over or
// the caller left.
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
