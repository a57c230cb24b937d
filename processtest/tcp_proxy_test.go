package processtest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// tcpProxy is a TCP proxy that can close connections, or drop their data as a
// middlebox does after it has lost their state.
type tcpProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []*proxiedConn
}

// proxiedConn is one proxied connection.
type proxiedConn struct {
	caller, server net.Conn
	// blackholed makes the proxy drop what both ends send.
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
		// The other end must not detect that this one is closed.
		return
	}
	_ = to.Close()
	_ = from.Close()
}

// blackholeAll drops all further data of the open connections. New connections are not
// affected. It returns the number of connections.
func (p *tcpProxy) blackholeAll() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.blackholed.Store(true)
	}
	return len(p.conns)
}

// closeAll closes the open connections.
func (p *tcpProxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.caller.Close()
		_ = conn.server.Close()
	}
	p.conns = nil
}
