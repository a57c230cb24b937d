// Package contact tells whether a gateway reaches its servers. It observes the connections to
// servers that are opened through it, and opens those by which package reachability verifies
// that all links are cut or are back. Package edge uses it.
package contact

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"balsamhill/pkg/reachability"
	"balsamhill/pkg/serverconn"
)

// checkInterval is how often due checks are looked for while there is reason to make any.
const checkInterval = 20 * time.Millisecond

// Config configures a Monitor.
type Config struct {
	// Dial opens connections to servers.
	Dial serverconn.DialFunc
	// Servers returns the servers of the current snapshot.
	Servers func() []reachability.Server
	// Now returns nanoseconds on the gateway's monotonic clock.
	Now     func() int64
	Log     *slog.Logger
	Metrics *metrics.Set
	// Changed is called in the goroutine of Run when the gateway becomes isolated, and when it
	// reaches servers again. lostAt is when the first failure of the isolation began.
	Changed func(isolated bool, lostAt int64)
}

// Monitor is the contact of a gateway with its servers. Its methods are safe for concurrent use.
type Monitor struct {
	config Config
	// heardAt is the time of the last bytes from any server.
	heardAt  atomic.Int64
	isolated atomic.Bool
	// wake says that a connection or a request failed or, while isolated, that one succeeded.
	wake   chan struct{}
	checks *metrics.Counter
	losses *metrics.Counter

	mu      sync.Mutex
	tracker reachability.Tracker
}

// NewMonitor returns a monitor that takes the servers for reachable.
func NewMonitor(config Config) *Monitor {
	return &Monitor{
		config: config,
		wake:   make(chan struct{}, 1),
		checks: config.Metrics.NewCounter("balsamhill_contact_checks_total"),
		losses: config.Metrics.NewCounter("balsamhill_contact_losses_total"),
	}
}

// Isolated reports whether the gateway cannot open a connection to any server.
func (m *Monitor) Isolated() bool {
	return m.isolated.Load()
}

// Doubtful reports whether servers that failed at this gateway may have failed because of its own
// links.
func (m *Monitor) Doubtful() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Heard(m.heardAt.Load())
	return m.tracker.Doubtful()
}

// ProbeFailed records that a probe that was sent at sentAt got no response.
func (m *Monitor) ProbeFailed(address string, sentAt int64) {
	m.mu.Lock()
	m.tracker.Heard(m.heardAt.Load())
	m.tracker.Unanswered(address, sentAt)
	m.mu.Unlock()
	m.wakeUp()
}

// Dial is a serverconn.DialFunc that observes the connections that it opens.
func (m *Monitor) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	startedAt := m.config.Now()
	opened, err := m.config.Dial(ctx, network, address)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			m.recordConnect(address, startedAt, false)
		}
		return nil, err
	}
	m.recordConnect(address, startedAt, true)
	return &conn{Conn: opened, monitor: m}, nil
}

func (m *Monitor) recordConnect(address string, startedAt int64, connected bool) {
	now := m.config.Now()
	m.mu.Lock()
	if connected {
		m.tracker.Connected(now, address, startedAt)
	} else {
		m.tracker.ConnectFailed(now, address, startedAt)
	}
	m.mu.Unlock()
	if !connected || m.isolated.Load() {
		m.wakeUp()
	}
}

func (m *Monitor) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run makes the checks that are due until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	for {
		select {
		case <-m.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if m.step(ctx) {
			timer.Reset(checkInterval)
		} else {
			timer.Stop()
		}
	}
}

// step starts the checks that are due, and reports whether there may be more soon.
func (m *Monitor) step(ctx context.Context) bool {
	now := m.config.Now()
	servers := m.config.Servers()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m.mu.Lock()
	m.tracker.Heard(m.heardAt.Load())
	due := m.tracker.Check(now, servers, random)
	state, _ := m.tracker.State()
	lostAt := m.tracker.LostAt()
	pending := m.tracker.Pending()
	m.mu.Unlock()
	for _, server := range due {
		m.checks.Inc()
		go m.check(ctx, server.Address)
	}
	m.applyState(now, state, lostAt)
	return pending
}

// check connects to a server and closes the connection.
func (m *Monitor) check(ctx context.Context, address string) {
	checked, err := m.Dial(ctx, "tcp", address)
	if err != nil {
		m.config.Log.Debug("server does not accept a connection", "address", address, "error", err)
		return
	}
	// Nothing was sent, so that nothing can be lost.
	_ = checked.Close()
}

// applyState logs and reports that the gateway became isolated or no longer is.
func (m *Monitor) applyState(now int64, state reachability.State, lostAt int64) {
	isolated := state == reachability.Isolated
	if m.isolated.Swap(isolated) == isolated {
		return
	}
	took := time.Duration(now - lostAt).String()
	if isolated {
		m.losses.Inc()
		m.config.Log.Warn("no server can be reached; calls go to other gateways", "sinceFirstFailure", took)
	} else {
		m.config.Log.Info("servers can be reached again", "sinceFirstFailure", took)
	}
	m.config.Changed(isolated, lostAt)
}

// conn records when bytes arrive.
type conn struct {
	net.Conn
	monitor *Monitor
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.monitor.heardAt.Store(c.monitor.config.Now())
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("the connection has no socket")
	}
	return inner.SyscallConn()
}
