package contact

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"balsamhill/pkg/reachability"
)

// network is a network whose links to all servers can be cut.
type network struct {
	cut   atomic.Bool
	dials atomic.Int64
	// changes holds the arguments of Config.Changed.
	changes chan bool
}

func (n *network) dial(context.Context, string, string) (net.Conn, error) {
	n.dials.Add(1)
	if n.cut.Load() {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

func startMonitor(ctx context.Context, n *network) *Monitor {
	began := time.Now()
	n.changes = make(chan bool, 10)
	m := NewMonitor(Config{
		Dial: n.dial,
		Servers: func() []reachability.Server {
			return []reachability.Server{{Address: "a", Service: "s"}, {Address: "b", Service: "t"}, {Address: "c"}, {Address: "d"}, {Address: "e"}}
		},
		Now:     func() int64 { return int64(time.Since(began) + time.Second) },
		Log:     slog.New(slog.DiscardHandler),
		Metrics: metrics.NewSet(),
		Changed: func(isolated bool, _ int64) { n.changes <- isolated },
	})
	go m.Run(ctx)
	return m
}

// TestMonitorFindsCutAndItsEnd guards against a gateway that keeps its calls although two of its
// connections to servers and all further ones failed, or that stays isolated after the cut.
func TestMonitorFindsCutAndItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := &network{}
		m := startMonitor(ctx, n)
		n.cut.Store(true)
		for _, address := range []string{"a", "b"} {
			_, err := m.Dial(ctx, "tcp", address)
			assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED))
		}
		synctest.Wait()
		assert.Assert(t, m.Isolated())
		assert.Equal(t, <-n.changes, true)
		before := n.dials.Load()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		// Ten checks are due at the interval of 200 ms.
		assert.Assert(t, n.dials.Load()-before <= 11, "%d checks in 2 s", n.dials.Load()-before)
		n.cut.Store(false)
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		assert.Assert(t, !m.Isolated())
		assert.Equal(t, <-n.changes, false)
	})
}

// TestIdleMonitorMakesNoConnection guards against connections to servers without a reason.
func TestIdleMonitorMakesNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := &network{}
		m := startMonitor(ctx, n)
		n.cut.Store(true)
		_, err := m.Dial(ctx, "tcp", "a")
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.Equal(t, n.dials.Load(), int64(1))
		assert.Assert(t, !m.Doubtful())
	})
}
