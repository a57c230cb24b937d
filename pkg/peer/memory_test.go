package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

var errUnreachable = errors.New("address not reachable in the memory network")

// memoryNet connects exchanges in one process. Each connection has unbounded buffers. A
// cut affects connections between different regions.
type memoryNet struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	// cut drops all bytes between the regions; writes still succeed.
	cut   bool
	conns []*memoryConn
}

type memoryListener struct {
	net     *memoryNet
	address string
	region  string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newMemoryNet() *memoryNet {
	return &memoryNet{listeners: make(map[string]*memoryListener)}
}

func (n *memoryNet) listen(address, region string) *memoryListener {
	l := &memoryListener{net: n, address: address, region: region,
		conns: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (n *memoryNet) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *memoryNet) separated(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut && from != to
}

func (l *memoryListener) Dial(ctx context.Context, address string) (net.Conn, error) {
	l.net.mu.Lock()
	target := l.net.listeners[address]
	l.net.mu.Unlock()
	if target == nil {
		return nil, errUnreachable
	}
	if l.net.separated(l.region, target.region) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	local, remote := memoryPipe(l.net, l.region, target.region)
	select {
	case target.conns <- remote:
		return local, nil
	case <-target.closed:
		return nil, errUnreachable
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, errUnreachable
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.address)
		l.net.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// memoryConn is one end of a connection.
type memoryConn struct {
	// Conn is nil, because only the methods below are called.
	net.Conn
	net      *memoryNet
	from, to string
	in, out  *memoryBuffer
	// dropping makes writes succeed without transferring anything.
	dropping atomic.Bool
}

func memoryPipe(n *memoryNet, a, b string) (*memoryConn, *memoryConn) {
	forward, backward := newMemoryBuffer(), newMemoryBuffer()
	left := &memoryConn{net: n, from: a, to: b, in: backward, out: forward}
	right := &memoryConn{net: n, from: b, to: a, in: forward, out: backward}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, left, right)
	return left, right
}

// dropOpenConns makes all open connections drop everything; new connections work.
func (n *memoryNet) dropOpenConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.dropping.Store(true)
	}
}

func (c *memoryConn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *memoryConn) Write(p []byte) (int, error) {
	if c.dropsWrites() {
		return len(p), nil
	}
	return c.out.write(p)
}

func (c *memoryConn) Close() error {
	c.in.close()
	if !c.dropsWrites() {
		c.out.close()
	}
	return nil
}

// dropsWrites reports whether bytes that are written now are dropped.
func (c *memoryConn) dropsWrites() bool {
	return c.dropping.Load() || c.net.separated(c.from, c.to)
}

func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// memoryBuffer is one direction of a connection.
type memoryBuffer struct {
	mu     sync.Mutex
	data   []byte
	closed bool
	wake   chan struct{}
}

func newMemoryBuffer() *memoryBuffer {
	return &memoryBuffer{wake: make(chan struct{}, 1)}
}

func (b *memoryBuffer) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *memoryBuffer) write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	b.data = append(b.data, p...)
	b.signal()
	return len(p), nil
}

func (b *memoryBuffer) read(p []byte) (int, error) {
	for {
		b.mu.Lock()
		if len(b.data) > 0 {
			n := copy(p, b.data)
			b.data = b.data[n:]
			b.mu.Unlock()
			return n, nil
		}
		closed := b.closed
		b.mu.Unlock()
		if closed {
			return 0, io.EOF
		}
		<-b.wake
	}
}

func (b *memoryBuffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.signal()
}
