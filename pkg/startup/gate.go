// Package startup delays the calls that arrive at a gateway before it can serve them.
package startup

import (
	"context"
	"sync"
	"time"
)

// MaxWait is how long after its start a gateway delays calls while it has no routes
// and servers. Reading both tables over the link between regions takes 0.1 to 0.3 s. A
// caller that is refused retries later than that and has used up one of its attempts.
const MaxWait = 400 * time.Millisecond

// Gate delays calls until the gateway has its routes and servers. It is safe for
// concurrent use.
type Gate struct {
	opened chan struct{}
	once   sync.Once
	// Deadline is when calls no longer wait.
	Deadline time.Time
}

// NewGate returns a gate that is closed.
func NewGate() *Gate {
	return &Gate{opened: make(chan struct{}), Deadline: time.Now().Add(MaxWait)}
}

// Open releases all waiting calls.
func (g *Gate) Open() {
	g.once.Do(func() { close(g.opened) })
}

// Wait returns when the gate is open, the deadline has passed or ctx is done because the
// caller closed the connection.
func (g *Gate) Wait(ctx context.Context) {
	select {
	case <-g.opened:
		return
	default:
	}
	left := time.Until(g.Deadline)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-g.opened:
	case <-timer.C:
	case <-ctx.Done():
	}
}
