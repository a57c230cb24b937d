// Package callerconn accepts the connections of an http.Server and keeps them within limits: their
// number, the memory of request heads, and the time for heads and pauses. Package connlimit
// decides which connection is closed; this package does the I/O. The gateways of both daemons use
// it at each of their listeners.
package callerconn

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"balsamhill/pkg/connlimit"
)

// sweepInterval is how often connections are closed whose time is over, and closed ones are logged.
const sweepInterval = time.Second

// Config configures a Guard.
type Config struct {
	// Name is the listener in logs and metrics.
	Name string
	// Rules returns the limits that apply now.
	Rules func() connlimit.Rules
	// Refuse answers a request that is refused because too many calls are in flight.
	Refuse  http.HandlerFunc
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Guard keeps the connections of one listener within limits.
type Guard struct {
	config  Config
	started time.Time

	mu    sync.Mutex
	table *connlimit.Table
	conns map[*connlimit.Conn]*conn
	// unlogged counts the connections that were closed since the last log line.
	unlogged map[connlimit.Reason]int

	lingering atomic.Int64
	// closing holds a value for each connection that was closed for another one and that the server
	// still works on.
	closing chan struct{}
	// placeWanted says that a new connection waits for a place, placeFree receives a value when there
	// may be one.
	placeWanted bool
	placeFree   chan struct{}
}

// New returns a guard without connections.
func New(config Config) *Guard {
	g := &Guard{
		config: config, started: time.Now(), table: connlimit.NewTable(),
		conns: make(map[*connlimit.Conn]*conn), unlogged: make(map[connlimit.Reason]int),
		closing: make(chan struct{}, maxClosing), placeFree: make(chan struct{}, 1),
	}
	config.Metrics.NewGauge(fmt.Sprintf(`balsamhill_connections{listener=%q}`, config.Name), func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.table.Len())
	})
	return g
}

// now returns nanoseconds on the monotonic clock, starting at 1 s because 0 means "never".
func (g *Guard) now() int64 {
	return int64(time.Since(g.started) + time.Second)
}

// protect makes a server, before it serves, report its connections and requests to the guard.
func (g *Guard) protect(server *http.Server) {
	server.Handler = g.handler(server.Handler)
	server.ConnState = g.connState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, guarded(c))
	}
	// The guard ends pauses and heads that take too long, by limits that may change.
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
}

// connKey is the context key of the *conn of a request.
type connKey struct{}

// guarded returns the connection below c that the guard accepted, nil if there is none.
func guarded(c net.Conn) *conn {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	found, _ := c.(*conn)
	return found
}

// connState learns when all responses of a connection have been sent. The connection is closed then
// if a new one waits for a place.
func (g *Guard) connState(c net.Conn, state http.ConnState) {
	found := guarded(c)
	if found == nil || state != http.StateIdle {
		return
	}
	g.mu.Lock()
	g.table.SetIdle(g.now(), found.entry)
	yields := g.placeWanted && g.conns[found.entry] != nil
	if yields {
		g.table.Close(found.entry)
		g.remove(found.entry, connlimit.Crowded)
		g.signalPlace()
	}
	g.mu.Unlock()
	if yields {
		_ = found.Conn.Close()
	}
}

// signalPlace tells a new connection that there may be a place for it. The caller holds mu.
func (g *Guard) signalPlace() {
	if !g.placeWanted {
		return
	}
	g.placeWanted = false
	select {
	case g.placeFree <- struct{}{}:
	default:
	}
}

// run closes connections whose time is over, until ctx is done.
func (g *Guard) run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.sweep()
		case <-ctx.Done():
			return
		}
	}
}

func (g *Guard) sweep() {
	rules := g.config.Rules()
	expired := make(map[*conn]connlimit.Reason)
	g.mu.Lock()
	for entry, reason := range g.table.Expired(g.now(), rules) {
		expired[g.remove(entry, reason)] = reason
	}
	closedNow, open := g.unlogged, g.table.Len()
	g.unlogged = make(map[connlimit.Reason]int)
	g.mu.Unlock()
	for c, reason := range expired {
		c.refuse(reason)
		_ = c.Conn.Close()
	}
	for reason, count := range closedNow {
		g.config.Log.Info("connections closed", "listener", g.config.Name, "reason", string(reason), "count", count,
			"open", open, "maxConnections", rules.MaxConnections, "maxHeadBytes", rules.MaxHeadBytes)
	}
}

// remove forgets a connection that the table has closed, and counts it. The caller holds mu.
func (g *Guard) remove(entry *connlimit.Conn, reason connlimit.Reason) *conn {
	c := g.conns[entry]
	delete(g.conns, entry)
	g.count(reason)
	return c
}

// removeAll removes several connections for the same reason. The caller holds mu.
func (g *Guard) removeAll(entries []*connlimit.Conn, reason connlimit.Reason) []*conn {
	var removed []*conn
	for _, entry := range entries {
		removed = append(removed, g.remove(entry, reason))
	}
	return removed
}

// count counts a connection that is closed. The caller holds mu.
func (g *Guard) count(reason connlimit.Reason) {
	g.unlogged[reason]++
	g.config.Metrics.GetOrCreateCounter(fmt.Sprintf(`balsamhill_connections_closed_total{listener=%q,reason=%q}`,
		g.config.Name, reason)).Inc()
}
