package edge

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// listenerCloseDelay is how long the listener stays open after readiness fails. The
	// balancer in front checks readiness once a second and stops sending after two
	// failures.
	listenerCloseDelay = 2300 * time.Millisecond
	// exitReserve is the part of the grace period that is left for the exit of the
	// process.
	exitReserve = 300 * time.Millisecond
	// answerReserve is the part of the grace period before that for sending the answers of
	// calls that end at their deadlines.
	answerReserve = 100 * time.Millisecond
	// stallCheckInterval is long enough to read the requests that are waiting in sockets.
	// maxStallChecks bounds the wait: in the worst case a CPU quota stalls the
	// process for most of each 100 ms, so all checks together take at most a second.
	stallCheckInterval = 10 * time.Millisecond
	maxStallChecks     = 10
)

// serveTraffic serves callers and returns after the graceful shutdown. The other
// goroutines of Run keep running until then.
func (e *Edge) serveTraffic(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- e.traffic.Serve(e.trafficListener, nil) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return e.shutDown(context.WithoutCancel(ctx))
}

// shutDown fails readiness, closes the listener after listenerCloseDelay and waits for the
// requests in flight. Connections of callers stay open until the listener closes, because
// a caller may send a request at any time; each response asks its caller to close the
// connection. Calls that might not end within the grace period are refused from the start.
func (e *Edge) shutDown(ctx context.Context) error {
	startedAt := time.Now()
	exitAt := startedAt.Add(e.limits.Load().ShutdownGracePeriod - exitReserve)
	e.endsAt.Store(e.now() + int64(time.Until(exitAt)-answerReserve))
	e.stopping.Store(true)
	e.log.Info("graceful shutdown started", "inFlight", e.proxy.InFlight())
	time.Sleep(listenerCloseDelay)
	waitWhileStalled(time.Now, time.Sleep)
	ctx, cancel := context.WithDeadline(ctx, exitAt)
	defer cancel()
	err := e.traffic.Shutdown(ctx)
	err = errors.Join(err, e.proxy.Wait(ctx))
	e.log.Info("graceful shutdown complete", "inFlight", e.proxy.InFlight(), "took", time.Since(startedAt))
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// waitWhileStalled returns after an interval in which the process was not stalled, or
// after maxStallChecks intervals. A request that arrives during a stall has not been read
// yet, and http.Server.Shutdown would close its connection as idle.
func waitWhileStalled(now func() time.Time, sleep func(time.Duration)) {
	for range maxStallChecks {
		before := now()
		sleep(stallCheckInterval)
		if now().Sub(before) < 2*stallCheckInterval {
			return
		}
	}
}

// connectionCloseHandler asks callers to close their connections while the gateway shuts
// down.
func (e *Edge) connectionCloseHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
