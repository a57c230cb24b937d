package httpplatform

import (
	"context"
	"net"
	"sync/atomic"
)

// traffic counts what a client moved over its connections, with HTTP headers and
// without the overhead of TCP.
type traffic struct {
	sent, received atomic.Uint64
}

// Bytes returns how many bytes the client sent and received since its start.
func (c *Client) Bytes() (sent, received uint64) {
	return c.traffic.sent.Load(), c.traffic.received.Load()
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// count makes all connections of a dialer count.
func (t *traffic) count(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: conn, traffic: t}, nil
	}
}
