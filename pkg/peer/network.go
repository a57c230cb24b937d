package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"balsamhill/pkg/tlsfiles"
)

const (
	// dialTimeout bounds the TCP connect, and again the TLS handshake. Both together
	// need four round trips between regions, which take 240 ms.
	dialTimeout = 1500 * time.Millisecond
	// keepAliveIdle is the idle time after which TCP keep-alive probes start.
	keepAliveIdle = 2 * time.Second
)

// Network opens and accepts connections between gateways.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Accept waits for the next connection. It fails after Close.
	Accept() (net.Conn, error)
	Close() error
}

// TCP is the Network that gateways use in production.
type TCP struct {
	listener net.Listener
	dialer   net.Dialer
}

// NewTCP returns a network that accepts on the listener.
func NewTCP(listener net.Listener) *TCP {
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 3}
	return &TCP{listener: listener, dialer: net.Dialer{KeepAliveConfig: keepAlive}}
}

// Dial opens a connection.
func (t *TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, "tcp", address)
}

// Accept waits for a connection.
func (t *TCP) Accept() (net.Conn, error) {
	return t.listener.Accept()
}

// Close closes the listener.
func (t *TCP) Close() error {
	return t.listener.Close()
}

// countedConn counts the bytes below TLS, which are the bytes that cross the link.
type countedConn struct {
	net.Conn
	sent, received atomic.Uint64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(uint64(n))
	return n, err
}

// secure runs the TLS handshake. Without certificate files it returns the connection
// unchanged, which settings allow on loopback addresses only.
func secure(ctx context.Context, conn net.Conn, files *tlsfiles.Loader, dialled bool) (net.Conn, error) {
	if files == nil {
		return conn, nil
	}
	var secured *tls.Conn
	if dialled {
		secured = tls.Client(conn, files.PeerClientConfig())
	} else {
		secured = tls.Server(conn, files.PeerServerConfig())
	}
	return secured, secured.HandshakeContext(ctx)
}
