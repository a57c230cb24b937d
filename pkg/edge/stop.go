package edge

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// listenerCloseDelay is how long the listener stays open after readiness fails: the
	// balancer asks once a second and gives up after two failures.
	listenerCloseDelay = 2300 * time.Millisecond
	// exitReserve is kept of the time to stop for the end of the process.
	exitReserve = 300 * time.Millisecond
	// stallCheckInterval is a moment long enough for waiting requests to be read, and
	// settleTries bounds the moments: a processor quota holds a process up for most
	// of each 100 ms at worst, so they take a second at most.
	stallCheckInterval = 10 * time.Millisecond
	maxStallChecks     = 10
)

// serveTraffic serves callers and returns after the graceful shutdown. The other
// parts stay up until then.
func (e *Edge) serveTraffic(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- e.traffic.Serve(e.trafficListener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return e.shutDown(context.WithoutCancel(ctx))
}

// shutDown stops new work and waits for the requests in flight. Connections of
// callers stay open until the notice is over, because a caller may send a
// request at any moment; each answer asks its caller to leave.
func (e *Edge) shutDown(ctx context.Context) error {
	startedAt := time.Now()
	e.stopping.Store(true)
	e.log.Info("graceful shutdown started", "inFlight", e.proxy.InFlight())
	time.Sleep(listenerCloseDelay)
	waitWhileStalled(time.Now, time.Sleep)
	ctx, cancel := context.WithDeadline(ctx, startedAt.Add(e.limits.Load().ShutdownGracePeriod-exitReserve))
	defer cancel()
	err := e.traffic.Shutdown(ctx)
	err = errors.Join(err, e.proxy.Wait(ctx))
	e.log.Info("graceful shutdown complete", "inFlight", e.proxy.InFlight(), "took", time.Since(startedAt))
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// waitWhileStalled returns after a moment in which the process was not held up. A request
// that arrived while it was has not been read yet, and the server closes its
// connection as idle.
func waitWhileStalled(now func() time.Time, sleep func(time.Duration)) {
	for range maxStallChecks {
		before := now()
		sleep(stallCheckInterval)
		if now().Sub(before) < 2*stallCheckInterval {
			return
		}
	}
}

// connectionCloseHandler asks callers to leave while the gateway shuts down.
func (e *Edge) connectionCloseHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
