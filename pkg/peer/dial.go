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
	backoffLeast = 200 * time.Millisecond
	backoffMost  = 5 * time.Second
	// higherDelay is how long the gateway of a pair with the higher ID leaves the
	// dialling to the other one, so that a pair rarely opens two sessions.
	higherDelay = 2 * time.Second
	// stableAfter is the life of a session after which the backoff starts anew.
	stableAfter = 10 * time.Second
	// raceWindow is the age up to which two sessions of a pair count as opened at
	// the same time.
	raceWindow = time.Second
	// acceptPause bounds the retries if the listener cannot accept.
	acceptPause = 100 * time.Millisecond
)

// errNotHello ends sessions that the peer did not open properly.
var errNotHello = eris.New("session ended before the first heartbeat")

// dial is the state of dialling one address.
type dial struct {
	running  bool
	failures int
	nextAt   int64
}

// backoff returns the jittered delay before the next attempt.
func (e *Exchange) backoff(failures int) time.Duration {
	longest := min(backoffMost, backoffLeast<<min(failures, 10))
	return backoffLeast + time.Duration(e.random.Int64N(int64(longest-backoffLeast)+1))
}

// wantedAddresses returns the addresses of all known gateways and seeds without
// a session. The value says that the other side of the pair should dial.
func (e *Exchange) wantedAddresses() map[string]bool {
	wanted := make(map[string]bool)
	for _, g := range e.view.KnownGateways() {
		if g.Peer != "" && e.sessions[g.ID] == nil {
			wanted[g.Peer] = g.ID < e.config.Self.ID
		}
	}
	for _, address := range e.config.Seeds {
		id := e.seedIDs[address]
		if id != e.config.Self.ID && (id == "" || e.sessions[id] == nil) {
			wanted[address] = false
		}
	}
	// Addresses pass to other VMs when VMs are replaced. One that answers as
	// another gateway must not be dialled for the gateway that had it before.
	delete(wanted, e.config.Self.Peer)
	for _, g := range e.view.KnownGateways() {
		if e.sessions[g.ID] != nil {
			delete(wanted, g.Peer)
		}
	}
	return wanted
}

// dialMissing starts the dials that are due.
func (e *Exchange) dialMissing(ctx context.Context, now int64, group *sync.WaitGroup) {
	wanted := e.wantedAddresses()
	for address := range e.dials {
		if _, ok := wanted[address]; !ok && !e.dials[address].running {
			delete(e.dials, address)
		}
	}
	for address, leaveToPeer := range wanted {
		d := e.dials[address]
		if d == nil {
			d = &dial{nextAt: now}
			if leaveToPeer {
				d.nextAt += int64(higherDelay)
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
func (e *Exchange) dial(ctx context.Context, address string, d *dial) {
	opened := e.now()
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
	if err == nil && now-opened > int64(stableAfter) {
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
			time.Sleep(acceptPause)
			continue
		}
		select {
		case e.unknown <- struct{}{}:
			group.Go(func() { _ = e.serve(ctx, conn, false, "") })
		default:
			e.counters.Refused.Add(1)
			_ = conn.Close()
		}
	}
}

// serve runs one session to its end. It returns nil if the peer behaved.
func (e *Exchange) serve(ctx context.Context, conn net.Conn, dialled bool, address string) error {
	release := sync.OnceFunc(func() {
		if !dialled {
			<-e.unknown
		}
	})
	defer release()
	counted := &countedConn{Conn: conn}
	handshake, cancel := context.WithTimeout(ctx, dialTimeout)
	secured, err := secure(handshake, counted, e.config.TLS, dialled)
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
	hello := time.AfterFunc(helloTimeout, s.close)
	defer hello.Stop()
	s.send(e.heartbeatFrame(true, nil), true)
	var writers sync.WaitGroup
	writers.Go(func() { s.write(s.urgent) })
	writers.Go(func() { s.write(s.bulk) })
	err = s.read(func(frame *peerpb.Frame) error {
		return e.handle(s, frame, func() { hello.Stop(); release() })
	})
	writers.Wait()
	return e.ended(s, err)
}

// ended removes a session and reports how the peer behaved.
func (e *Exchange) ended(s *session, err error) error {
	if err != nil {
		e.counters.BadFrames.Add(1)
		e.config.Log.Warn("peer sent invalid data", "peer", s.id, "error", err.Error())
	}
	e.order.Lock()
	defer e.order.Unlock()
	e.mu.Lock()
	known := s.id != ""
	current := known && e.sessions[s.id] == s
	if known {
		e.countBytes(s)
	}
	if current {
		delete(e.sessions, s.id)
	}
	e.mu.Unlock()
	if !known && err == nil {
		e.counters.Refused.Add(1)
		return errNotHello
	}
	if current && e.config.Handler.Lost != nil {
		e.config.Handler.Lost(s.id)
	}
	return err
}
