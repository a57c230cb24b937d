package serverconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"balsamhill/pkg/responsecheck"
)

const (
	// ConnectTimeout is how long opening a connection to a server may take.
	ConnectTimeout = 250 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 4 * time.Second
)

// DialFunc opens a connection to a server, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

var dialer = &net.Dialer{
	Timeout:         ConnectTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
	Control: func(_, _ string, raw syscall.RawConn) error {
		return SetUserTimeout(raw, userTimeout)
	},
}

// Dial is the DialFunc of the network.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// SetUserTimeout sets how long sent bytes may stay unacknowledged on a connection;
// 0 means the kernel's default.
func SetUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Conn counts the writes of which the kernel accepted at least one byte, so
// that an attempt can determine whether any byte of its request was written. On a connection of
// HTTP/1.x it also checks the responses.
type Conn struct {
	net.Conn
	// multiplexed connections (HTTP/2) carry several requests at a time.
	multiplexed bool
	closed      atomic.Bool
	writes      atomic.Int64
	// userTimeoutOff reports whether the TCP user timeout is disabled.
	userTimeoutOff atomic.Bool

	// reportRefusal is called once if the server sends what is no response. It may be nil.
	reportRefusal func(*responsecheck.Error)
	// mu guards the fields below.
	mu sync.Mutex
	// checked says that a request was announced.
	checked bool
	stream  responsecheck.Stream
}

// NewConn returns a connection without writes.
func NewConn(conn net.Conn, multiplexed bool) *Conn {
	return &Conn{Conn: conn, multiplexed: multiplexed}
}

// Write implements net.Conn. The count is raised before the write, so that a reader
// during the write assumes that bytes were written.
func (c *Conn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if refusal := c.sending(); refusal != nil {
		return 0, refusal
	}
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// Writes returns the number of writes so far.
func (c *Conn) Writes() int64 {
	return c.writes.Load()
}

// Multiplexed reports whether the connection carries several requests at a time (HTTP/2).
func (c *Conn) Multiplexed() bool {
	return c.multiplexed
}

// Close implements net.Conn. No byte is written after it returns.
func (c *Conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// SetUserTimeoutOff disables the TCP user timeout for streamed bodies. Linux also
// applies it to a receiver that acknowledges but does not read for 4 s, which a
// busy server may do during an upload. The idle timeout of the class applies
// instead.
func (c *Conn) SetUserTimeoutOff(off bool) {
	if c.userTimeoutOff.Load() == off {
		return
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	timeout := userTimeout
	if off {
		timeout = 0
	}
	if SetUserTimeout(raw, timeout) == nil {
		c.userTimeoutOff.Store(off)
	}
}
