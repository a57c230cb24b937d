package callerconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"balsamhill/pkg/connlimit"
)

const (
	// lingerTimeout is how long the rest of a refused head is read. Closing the connection at once
	// would send a reset, and the client could lose the refusal.
	lingerTimeout = 300 * time.Millisecond
	// maxLingering bounds the connections that are read on at a time.
	maxLingering = 32
	// maxClosing bounds the connections that were closed for others and whose memory the server has
	// not released, closingTimeout how long a new connection waits for that.
	maxClosing     = 16
	closingTimeout = 50 * time.Millisecond
	// placeInterval is how often a new connection looks for a place that no other one has left.
	placeInterval = 10 * time.Millisecond
	// placeTimeout is how long a new connection waits for a place while requests at servers, or
	// connections that are as new, hold all.
	placeTimeout = 200 * time.Millisecond
	// refusalTimeout bounds writing a refusal.
	refusalTimeout = 10 * time.Millisecond
)

// listener returns a listener whose connections the guard keeps within limits. encrypted says that
// TLS is used on top of them.
func (g *Guard) listener(inner net.Listener, encrypted bool) net.Listener {
	return &guardedListener{Listener: inner, guard: g, encrypted: encrypted}
}

type guardedListener struct {
	net.Listener
	guard     *Guard
	encrypted bool
}

// Accept implements net.Listener. It closes connections for which there is no place.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.open(accepted, l.encrypted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// open adds a connection, and closes another one if necessary. It waits for a place for up to
// placeTimeout, and returns nil if there is none.
func (g *Guard) open(accepted net.Conn, encrypted bool) *conn {
	deadline := time.Now().Add(placeTimeout)
	for {
		c, replaced := g.tryOpen(accepted, encrypted)
		if replaced != nil {
			g.closeForNew(replaced)
		}
		if c != nil {
			return c
		}
		if time.Now().After(deadline) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.placeWanted = false
			g.count(connlimit.Crowded)
			return nil
		}
		select {
		case <-g.placeFree:
		case <-time.After(placeInterval):
		}
	}
}

// tryOpen adds a connection, and returns the one that is closed for it, if any. It returns a nil
// connection if there is no place.
func (g *Guard) tryOpen(accepted net.Conn, encrypted bool) (c, replaced *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry, victim := g.table.Open(g.now(), g.config.Rules(), encrypted)
	if victim != nil {
		replaced = g.remove(victim, connlimit.Crowded)
	}
	if entry == nil {
		g.placeWanted = true
		return nil, replaced
	}
	c = &conn{Conn: accepted, guard: g, entry: entry, released: make(chan struct{})}
	g.conns[entry] = c
	return c, replaced
}

// closeForNew closes a connection for a new one. If the server still works on many that were closed,
// it waits for one of them, so that their memory does not add up while the processor is busy.
func (g *Guard) closeForNew(c *conn) {
	_ = c.Conn.Close()
	timer := time.NewTimer(closingTimeout)
	defer timer.Stop()
	select {
	case g.closing <- struct{}{}:
		go func() {
			<-c.released
			<-g.closing
		}()
	case <-timer.C:
	}
}

// conn is a connection that reports what it receives.
type conn struct {
	net.Conn
	guard *Guard
	entry *connlimit.Conn
	// released is closed when the server has closed the connection.
	released    chan struct{}
	releaseOnce sync.Once
}

// Read implements net.Conn. It returns io.EOF after a head that was refused.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	reason := c.guard.receive(c, p[:n])
	if reason == "" {
		return n, err
	}
	c.refuse(reason)
	c.linger(p)
	return 0, io.EOF
}

// receive records bytes that c received, and returns why c is closed because of them, if so.
func (g *Guard) receive(c *conn, data []byte) connlimit.Reason {
	g.mu.Lock()
	victims, reason := g.table.Receive(g.now(), g.config.Rules(), c.entry, data)
	closing := g.removeAll(victims, reason)
	g.mu.Unlock()
	var own connlimit.Reason
	for _, victim := range closing {
		if victim == c {
			own = reason
			continue
		}
		_ = victim.Conn.Close()
	}
	return own
}

// refusals are the responses to requests that were not read to the end of their heads.
var refusals = map[connlimit.Reason]int{
	connlimit.HeadTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	connlimit.HeadMemory:   http.StatusServiceUnavailable,
	connlimit.HeadTimeout:  http.StatusRequestTimeout,
}

// refuse responds to a request whose head is incomplete, if there is one.
func (c *conn) refuse(reason connlimit.Reason) {
	status, ok := refusals[reason]
	if !ok {
		return
	}
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: 1\r\n"
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// An error means that the client has gone or does not read.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), retryAfter)
}

// linger reads on for a short time without keeping what it reads.
func (c *conn) linger(buffer []byte) {
	defer c.guard.lingering.Add(-1)
	if c.guard.lingering.Add(1) > maxLingering {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	for {
		_, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.entry.RecordWrite(c.guard.now())
	defer c.entry.RecordWrite(0)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.table.Close(c.entry)
	delete(c.guard.conns, c.entry)
	c.guard.signalPlace()
	c.guard.mu.Unlock()
	c.releaseOnce.Do(func() { close(c.released) })
	return c.Conn.Close()
}
