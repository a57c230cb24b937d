package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/peer/peerpb"
)

const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// higherIDDialDelay is how long the gateway with the higher ID of a pair waits
	// for the other one to dial, so that a pair rarely opens two sessions.
	higherIDDialDelay = 2 * time.Second
	// stableSessionAge is the duration of a session after which the backoff is reset.
	stableSessionAge = 10 * time.Second
	// simultaneousWindow is the age up to which two sessions of a pair count as opened at
	// the same time.
	simultaneousWindow = time.Second
	// acceptRetryDelay is the delay after a failed Accept.
	acceptRetryDelay = 100 * time.Millisecond
)

// errNoHeartbeat is returned for sessions that ended before a first heartbeat
// registered them.
var errNoHeartbeat = eris.New("session ended before the first heartbeat")

// dialState holds the attempts to dial one address.
type dialState struct {
	running  bool
	failures int
	nextAt   int64
}

// backoff returns the jittered delay before the next attempt.
func (e *Exchange) backoff(failures int) time.Duration {
	limit := min(maxBackoff, minBackoff<<min(failures, 10))
	return minBackoff + time.Duration(e.random.Int64N(int64(limit-minBackoff)+1))
}

// missingAddresses returns the addresses of all known gateways and seeds that have
// no session. The value is true if the peer is expected to dial first.
func (e *Exchange) missingAddresses() map[string]bool {
	missing := make(map[string]bool)
	for _, g := range e.view.KnownGateways() {
		if g.Peer != "" && e.sessions[g.ID] == nil {
			missing[g.Peer] = g.ID < e.config.Self.ID
		}
	}
	for _, address := range e.config.Seeds {
		id := e.seedIDs[address]
		if id != e.config.Self.ID && (id == "" || e.sessions[id] == nil) {
			missing[address] = false
		}
	}
	// When VMs are replaced, their addresses may be assigned to other VMs. An
	// address that now belongs to this gateway or to one with a session must not be
	// dialled on behalf of its previous gateway.
	delete(missing, e.config.Self.Peer)
	for _, g := range e.view.KnownGateways() {
		if e.sessions[g.ID] != nil {
			delete(missing, g.Peer)
		}
	}
	return missing
}

// dialMissing dials the missing addresses whose backoff has elapsed.
func (e *Exchange) dialMissing(ctx context.Context, now int64, group *sync.WaitGroup) {
	missing := e.missingAddresses()
	for address := range e.dials {
		if _, ok := missing[address]; !ok && !e.dials[address].running {
			delete(e.dials, address)
		}
	}
	for address, peerDials := range missing {
		d := e.dials[address]
		if d == nil {
			d = &dialState{nextAt: now}
			if peerDials {
				d.nextAt += int64(higherIDDialDelay)
			}
			e.dials[address] = d
		}
		if d.running || now < d.nextAt {
			continue
		}
		d.running = true
		group.Go(func() { e.dial(ctx, address, d) })
	}
}

// dial opens a connection and serves the session until it ends.
func (e *Exchange) dial(ctx context.Context, address string, d *dialState) {
	startedAt := e.now()
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := e.config.Network.Dial(dialContext, address)
	cancel()
	if err == nil {
		err = e.serve(ctx, conn, true, address)
	} else {
		e.counters.DialFailures.Add(1)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	d.running = false
	d.failures++
	if err == nil && now-startedAt > int64(stableSessionAge) {
		d.failures = 0
	}
	d.nextAt = now + int64(e.backoff(d.failures))
}

// accept serves incoming connections until ctx ends.
func (e *Exchange) accept(ctx context.Context, group *sync.WaitGroup) {
	for {
		conn, err := e.config.Network.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case e.unregistered <- struct{}{}:
			group.Go(func() { _ = e.serve(ctx, conn, false, "") })
		default:
			e.counters.Refused.Add(1)
			_ = conn.Close()
		}
	}
}

// serve runs one session until it ends. It returns nil if the peer followed the
// protocol.
func (e *Exchange) serve(ctx context.Context, conn net.Conn, dialled bool, address string) error {
	release := sync.OnceFunc(func() {
		if !dialled {
			<-e.unregistered
		}
	})
	defer release()
	counted := &countedConn{Conn: conn}
	handshakeContext, cancel := context.WithTimeout(ctx, dialTimeout)
	secured, err := secure(handshakeContext, counted, e.config.TLS, dialled)
	cancel()
	if err != nil {
		e.counters.Refused.Add(1)
		_ = conn.Close()
		return err
	}
	s, err := newSession(counted, secured, dialled, address)
	if err != nil {
		_ = conn.Close()
		return err
	}
	defer s.close()
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	firstHeartbeatTimer := time.AfterFunc(firstHeartbeatTimeout, s.close)
	defer firstHeartbeatTimer.Stop()
	s.send(e.heartbeatFrame(true, nil), true)
	var writers sync.WaitGroup
	writers.Go(func() { s.write(s.urgent) })
	writers.Go(func() { s.write(s.bulk) })
	err = s.read(func(frame *peerpb.Frame) error {
		return e.handle(s, frame, func() { firstHeartbeatTimer.Stop(); release() })
	})
	writers.Wait()
	return e.sessionEnded(s, err)
}

// sessionEnded removes a session and returns the peer's protocol error, nil if
// there was none.
func (e *Exchange) sessionEnded(s *session, err error) error {
	if err != nil {
		e.counters.BadFrames.Add(1)
		e.config.Log.Warn("peer sent invalid data", "peer", s.id, "error", err.Error())
	}
	e.eventOrder.Lock()
	defer e.eventOrder.Unlock()
	e.mu.Lock()
	registered := s.id != ""
	current := registered && e.sessions[s.id] == s
	if registered {
		e.countBytes(s)
	}
	if current {
		delete(e.sessions, s.id)
	}
	e.mu.Unlock()
	if !registered && err == nil {
		e.counters.Refused.Add(1)
		return errNoHeartbeat
	}
	if current && e.config.Handler.Lost != nil {
		e.config.Handler.Lost(s.id)
	}
	return err
}
