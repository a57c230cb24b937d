package capacity

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

var errNetwork = errors.New("memory network")

// traffic counts the bytes and writes of one gateway to its peers in one region.
type traffic struct {
	bytes, writes atomic.Int64
}

// network connects exchanges within this process. Connections have unbounded buffers,
// so that a write never blocks.
type network struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

func newNetwork() *network {
	return &network{endpoints: make(map[string]*endpoint)}
}

// endpoint implements peer.Network for one gateway.
type endpoint struct {
	network       *network
	region        string
	conns         chan net.Conn
	closed        chan struct{}
	once          sync.Once
	local, remote traffic
}

func (n *network) listen(address, region string) *endpoint {
	e := &endpoint{network: n, region: region, conns: make(chan net.Conn, 256), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[address] = e
	return e
}

// Dial implements peer.Network.
func (e *endpoint) Dial(ctx context.Context, address string) (net.Conn, error) {
	e.network.mu.Lock()
	target := e.network.endpoints[address]
	e.network.mu.Unlock()
	if target == nil {
		return nil, errNetwork
	}
	forward, backward := newPipe(), newPipe()
	dialed := &conn{in: backward, out: forward, sent: e.trafficTo(target.region)}
	accepted := &conn{in: forward, out: backward, sent: target.trafficTo(e.region)}
	select {
	case target.conns <- accepted:
		return dialed, nil
	case <-target.closed:
	case <-ctx.Done():
	}
	return nil, errNetwork
}

func (e *endpoint) trafficTo(region string) *traffic {
	if region == e.region {
		return &e.local
	}
	return &e.remote
}

// Accept implements peer.Network.
func (e *endpoint) Accept() (net.Conn, error) {
	select {
	case c := <-e.conns:
		return c, nil
	case <-e.closed:
		return nil, errNetwork
	}
}

// Close implements peer.Network.
func (e *endpoint) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

// conn is one end of a connection.
type conn struct {
	in, out *pipe
	sent    *traffic
}

func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *conn) Write(p []byte) (int, error) {
	c.sent.bytes.Add(int64(len(p)))
	c.sent.writes.Add(1)
	return c.out.write(p)
}

func (c *conn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

func (c *conn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *conn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *conn) SetDeadline(time.Time) error      { return nil }
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// pipe is one direction of a connection.
type pipe struct {
	mu       sync.Mutex
	readable *sync.Cond
	data     []byte
	closed   bool
}

func newPipe() *pipe {
	p := &pipe{}
	p.readable = sync.NewCond(&p.mu)
	return p
}

func (p *pipe) write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, io.ErrClosedPipe
	}
	p.data = append(p.data, data...)
	p.readable.Signal()
	return len(data), nil
}

func (p *pipe) read(buffer []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.data) == 0 {
		if p.closed {
			return 0, io.EOF
		}
		p.readable.Wait()
	}
	n := copy(buffer, p.data)
	p.data = p.data[n:]
	return n, nil
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.readable.Broadcast()
}
