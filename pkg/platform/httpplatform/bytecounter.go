package httpplatform

import (
	"context"
	"net"
	"sync/atomic"
)

// byteCounter counts the bytes that a client sent and received over its
// connections, with HTTP headers and without the overhead of TCP.
type byteCounter struct {
	sent, received atomic.Uint64
}

// Bytes returns the number of bytes sent and received since the client was created.
func (c *Client) Bytes() (sent, received uint64) {
	return c.transferred.sent.Load(), c.transferred.received.Load()
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(uint64(n))
	return n, err
}

// wrapDial returns a dial function whose connections count their bytes.
func (t *byteCounter) wrapDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: conn, counter: t}, nil
	}
}
