package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["extra-bytes"] = playExtraBytes
}

const (
	// extraShare is the share of the instances that send extra bytes, and extraRate that of their
	// answers that are followed by such bytes.
	extraShare = 0.6
	extraRate  = 0.03
	// extraTraffic is how long the requesters send.
	extraTraffic = 40 * time.Second
)

// extraBytes follow a complete answer. They belong to no request.
const extraBytes = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"

// extraConn is a connection on which extra bytes follow some answers. They are late: they are on the
// wire only when the next answer is due.
type extraConn struct {
	net.Conn
	pending atomic.Bool
	sent    *atomic.Int64
}

func (c *extraConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(p)
	}
	if c.pending.Swap(false) {
		c.sent.Add(1)
		if _, err := c.Conn.Write([]byte(extraBytes)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.pending.Store(bytes.Contains(p, []byte("Response-Signature:")) && rand.Float64() < extraRate)
	return n, err
}

type extraListener struct {
	net.Listener
	sent *atomic.Int64
}

func (l *extraListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &extraConn{Conn: conn, sent: l.sent}, nil
}

// playExtraBytes lets some instances send bytes after complete answers.
func playExtraBytes(d *deployment, trouble bool) verdict {
	const service, count = "sijoitus", 8
	d.writeConfig(1, []route{{service: service, kind: "unsafe", timeoutMs: 3000, targetMs: 800}})
	var extras atomic.Int64
	for n := range count {
		i := &instance{
			id: fmt.Sprintf("i-sij-%03d", n+1), service: service, zone: zones[n%2],
			address: fmt.Sprintf("%s.%d:%d", d.block, 100+n, serverPort),
			work:    func(*http.Request) time.Duration { return 250 * time.Millisecond },
		}
		if trouble && float64(n) < extraShare*count-1 {
			i.wrap = func(listener net.Listener) net.Listener { return &extraListener{Listener: listener, sent: &extras} }
		}
		d.startInstance(i)
	}
	d.startGateways(2, "uus-a", "uus-b")
	time.Sleep(stablePeriod + time.Second)
	var mu sync.Mutex
	statuses := map[string]int{}
	wrong := 0
	var calls sync.WaitGroup
	for n := range 12 {
		calls.Go(func() {
			c := d.newCaller(n)
			for end := time.Now().Add(extraTraffic); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				id := newID()
				r := c.send(d.gateways[n%2], request{
					id: id, method: http.MethodPost, path: "/sijoitus/confirm", body: bytes.Repeat([]byte(id), 20), deadline: 6 * time.Second,
				})
				runs := d.runsOf(id)
				mu.Lock()
				statuses[fmt.Sprint(r.status)]++
				// No instance answers any request with 500.
				if r.status == http.StatusInternalServerError && len(runs) > 0 {
					wrong++
				}
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	return verdict{wrong > 0, fmt.Sprintf("answers by status %v; %d times bytes after an answer; %d requests that ran well got status 500 from such bytes",
		statuses, extras.Load(), wrong)}
}
