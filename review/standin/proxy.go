package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// storeProxy is the path from one gateway to the store. While it is cut, it accepts
// connections and delivers nothing.
type storeProxy struct {
	listener net.Listener
	target   string
	cut      atomic.Bool
	mu       sync.Mutex
	open     map[net.Conn]bool
}

func newStoreProxy(target string) (*storeProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storeProxy{listener: listener, target: target, open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *storeProxy) address() string { return p.listener.Addr().String() }

func (p *storeProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		p.mu.Lock()
		p.open[conn], p.open[target] = true, true
		p.mu.Unlock()
		go p.copy(target, conn)
		go p.copy(conn, target)
	}
}

// copy delivers what one end sends to the other. What is sent while the path is cut is
// held up and delivered when it heals, as by a partition.
func (p *storeProxy) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.open, to)
		delete(p.open, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for p.cut.Load() {
			time.Sleep(time.Millisecond)
		}
		if n > 0 {
			_, writeErr := to.Write(buffer[:n])
			if writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *storeProxy) close() {
	p.cut.Store(false)
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		_ = conn.Close()
	}
}
