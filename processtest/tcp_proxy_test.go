package processtest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// relay is a TCP relay that can cut connections or make them silent, as a
// middlebox does that has lost track of them.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	pairs    []*relayedPair
}

// relayedPair is one relayed connection.
type relayedPair struct {
	caller, server net.Conn
	// silent makes the relay swallow what both ends send.
	silent atomic.Bool
}

func startTCPRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: listener, target: target}
	go r.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		r.cutAll()
	})
	return r
}

func (r *relay) address() string {
	return r.listener.Addr().String()
}

func (r *relay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		pair := &relayedPair{caller: caller, server: server}
		r.mu.Lock()
		r.pairs = append(r.pairs, pair)
		r.mu.Unlock()
		go pair.copy(server, caller)
		go pair.copy(caller, server)
	}
}

func (p *relayedPair) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.silent.Load() {
			_, writeErr := to.Write(buffer[:n])
			if writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			break
		}
	}
	if p.silent.Load() {
		// The other end must not learn that this one has gone.
		return
	}
	_ = to.Close()
	_ = from.Close()
}

// silenceAll makes the connections that are open now swallow everything. New
// connections work. It returns how many were silenced.
func (r *relay) silenceAll() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pair := range r.pairs {
		pair.silent.Store(true)
	}
	return len(r.pairs)
}

// cutAll closes the connections that are open now.
func (r *relay) cutAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pair := range r.pairs {
		_ = pair.caller.Close()
		_ = pair.server.Close()
	}
	r.pairs = nil
}
