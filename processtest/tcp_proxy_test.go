package processtest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// tcpProxy is a TCP tcpProxy that can cut connections or make them silent, as a
// middlebox does that has lost track of them.
type tcpProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []*proxiedConn
}

// proxiedConn is one relayed connection.
type proxiedConn struct {
	caller, server net.Conn
	// blackholed makes the relay swallow what both ends send.
	blackholed atomic.Bool
}

func startTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &tcpProxy{listener: listener, target: target}
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.closeAll()
	})
	return p
}

func (p *tcpProxy) address() string {
	return p.listener.Addr().String()
}

func (p *tcpProxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		conn := &proxiedConn{caller: caller, server: server}
		p.mu.Lock()
		p.conns = append(p.conns, conn)
		p.mu.Unlock()
		go conn.copy(server, caller)
		go conn.copy(caller, server)
	}
}

func (p *proxiedConn) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.blackholed.Load() {
			_, writeErr := to.Write(buffer[:n])
			if writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			break
		}
	}
	if p.blackholed.Load() {
		// The other end must not learn that this one has gone.
		return
	}
	_ = to.Close()
	_ = from.Close()
}

// blackholeAll makes the connections that are open now swallow everything. New
// connections work. It returns how many were silenced.
func (p *tcpProxy) blackholeAll() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.blackholed.Store(true)
	}
	return len(p.conns)
}

// closeAll closes the connections that are open now.
func (p *tcpProxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.caller.Close()
		_ = conn.server.Close()
	}
	p.conns = nil
}
