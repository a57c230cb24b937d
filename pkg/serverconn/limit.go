package serverconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
)

// ErrTooManyConnections means that no connection was opened because the process has as many as it
// may have.
var ErrTooManyConnections = eris.New("as many connections are open as the descriptors of the machine allow")

// LimitDial returns a function that opens connections like dial, at most limit at a time.
func LimitDial(dial DialFunc, limit int) DialFunc {
	var open atomic.Int64
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if open.Add(1) > int64(limit) {
			open.Add(-1)
			return nil, ErrTooManyConnections
		}
		c, err := dial(ctx, network, address)
		if err != nil {
			open.Add(-1)
			return nil, err
		}
		return &limitedConn{Conn: c, closed: func() { open.Add(-1) }}, nil
	}
}

// limitedConn counts as open until it is closed.
type limitedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// SyscallConn implements syscall.Conn.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("the connection has no descriptor")
	}
	return inner.SyscallConn()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}
