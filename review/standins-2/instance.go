package main

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	instanceSlots     = 4
	instanceQueue     = 16
	heartbeatInterval = 1500 * time.Millisecond
	// expiryIntervals is after how many heartbeats of silence the store removes an entry.
	expiryIntervals = 3
)

// instance is a stand-in of an instance: one start of one server process.
type instance struct {
	d       *deployment
	id      string
	service string
	zone    string
	address string
	// born is when the instance started by the clock of its machine.
	born time.Time
	// work returns how long a request takes once it has a slot.
	work func(r *http.Request) time.Duration
	// crashes reports whether a request crashes the instance when it begins to run.
	crashes func(r *http.Request, body []byte) bool
	// pause is the Retry-After of rejections while rejecting is set.
	pause     time.Duration
	rejecting atomic.Bool
	// clockBehind is how far the clock of the instance's machine is behind.
	clockBehind time.Duration
	// wrap returns the listener of the instance with a fault; nil for none.
	wrap func(net.Listener) net.Listener

	server  *http.Server
	slots   chan struct{}
	running atomic.Int64
	waiting atomic.Int64
	seq     atomic.Int64
	dead    atomic.Bool
	// silent says that the instance leaves and writes no more heartbeats, draining that it has
	// reported that it drains.
	silent, draining atomic.Bool
	// beganAt is when it last began to run a request, in Unix milliseconds.
	beganAt atomic.Int64
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// removedAt is when the store acknowledged the removal of the entry of an instance that
	// leaves without reporting that it drains.
	removedAt time.Time
}

// startInstance starts an instance and registers it.
func (d *deployment) startInstance(i *instance) {
	listener, err := net.Listen("tcp", i.address)
	for attempt := 0; err != nil && attempt < 20; attempt++ {
		time.Sleep(50 * time.Millisecond)
		listener, err = net.Listen("tcp", i.address)
	}
	if err != nil {
		fail("instance cannot listen: %v", err)
	}
	i.d = d
	if i.wrap != nil {
		listener = i.wrap(listener)
	}
	i.born = time.Now().Add(-i.clockBehind)
	if i.work == nil {
		i.work = func(*http.Request) time.Duration { return 100 * time.Millisecond }
	}
	i.slots = make(chan struct{}, instanceSlots)
	i.conns = map[net.Conn]struct{}{}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	i.server = &http.Server{Handler: i, ConnState: i.trackConn}
	go func() { _ = i.server.Serve(listener) }()
	i.register()
	go i.heartbeat()
	d.record("instance %s of %s starts at %s", i.id, i.service, i.address)
}

func (i *instance) trackConn(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew:
		i.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(i.conns, conn)
	}
}

func (i *instance) register() {
	state := "ready"
	if i.draining.Load() {
		state = "draining"
	}
	i.d.store.put("servers", i.id, map[string]any{
		"address": i.address, "born": i.born.UnixMilli(),
		"info":   map[string]any{"service": i.service, "version": "v1", "zone": i.zone, "slots": instanceSlots},
		"status": map[string]any{"state": state, "seq": i.seq.Add(1), "warmupLeftMs": 0},
	})
}

func (i *instance) heartbeat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-i.ctx.Done():
			return
		}
		if !i.silent.Load() {
			i.register()
		}
	}
}

// leave removes the entry of the instance, which goes on serving until stop is called and says in all
// its answers that it leaves.
func (i *instance) leave() {
	i.silent.Store(true)
	i.d.store.put("servers", i.id, nil)
	i.mu.Lock()
	i.removedAt = time.Now()
	i.mu.Unlock()
	i.d.record("instance %s leaves: the store acknowledged that its entry is removed", i.id)
}

// drain reports that the instance drains. It says in all its answers that it leaves, and goes on
// serving until stop is called.
func (i *instance) drain() {
	i.draining.Store(true)
	i.register()
	i.d.record("instance %s: the store acknowledged that it drains", i.id)
}

// stop ends the process of an instance that has left.
func (i *instance) stop() {
	if i.dead.Swap(true) {
		return
	}
	i.cancel()
	_ = i.server.Close()
	i.d.record("instance %s ends", i.id)
}

// leftAt returns when the entry was removed, the zero time if the instance does not leave.
func (i *instance) leftAt() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.removedAt
}

func (i *instance) leaving() bool {
	return i.silent.Load() || i.draining.Load()
}

// sayLeaving adds the header by which an instance that leaves says so.
func (i *instance) sayLeaving(header http.Header) {
	if i.leaving() {
		header.Set("Server-Leaving", "1")
	}
}

// crash ends the process at once: all its connections are reset and it says nothing more. The
// store removes its entry after three heartbeats of silence.
func (i *instance) crash() {
	if i.dead.Swap(true) {
		return
	}
	i.cancel()
	i.mu.Lock()
	for conn := range i.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	i.mu.Unlock()
	_ = i.server.Close()
	i.d.record("instance %s crashes", i.id)
	time.AfterFunc(expiryIntervals*heartbeatInterval, func() { i.d.store.put("servers", i.id, nil) })
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	header := w.Header()
	header.Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", i.running.Load(), i.waiting.Load(), instanceSlots))
	i.sayLeaving(header)
	if r.URL.Path == "/health" {
		header.Set("Instance-Id", i.id)
		if i.leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	header.Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != i.id {
		header.Set("Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.d.requestReached(id, i, arrived, i.leftAt())
	if i.rejecting.Load() {
		header.Set("Not-Executed", "1")
		header.Set("Retry-After", fmt.Sprintf("%.1f", i.pause.Seconds()))
		w.WriteHeader(http.StatusServiceUnavailable)
		i.d.record("request %s: rejected by %s with Retry-After", id, i.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if i.waiting.Add(1) > instanceQueue {
		i.waiting.Add(-1)
		i.d.record("request %s: %s is full and rejects it", id, i.id)
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case i.slots <- struct{}{}:
		i.waiting.Add(-1)
	case <-r.Context().Done():
		i.waiting.Add(-1)
		return
	}
	defer func() { <-i.slots }()
	i.running.Add(1)
	defer i.running.Add(-1)
	i.beganAt.Store(time.Now().UnixMilli())
	i.d.requestRuns(id, i)
	if i.crashes != nil && i.crashes(r, body) {
		i.d.record("request %s begins to run at %s and crashes it", id, i.id)
		i.crash()
		return
	}
	timer := time.NewTimer(i.work(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		i.d.record("request %s: the connection to %s was closed while it was at work", id, i.id)
		return
	case <-i.ctx.Done():
		return
	}
	i.sayLeaving(header)
	answer := answerTo(id, r.URL.RequestURI(), body)
	header.Set("Response-Signature", fmt.Sprintf("%s.%08x", i.id, crc32.ChecksumIEEE(answer)))
	i.d.requestDone(id, i)
	_, _ = w.Write(answer)
}

// answerTo is the body of the answer to a request.
func answerTo(id, uri string, body []byte) []byte {
	return fmt.Appendf(nil, "%s %s %d %08x\n", id, uri, len(body), crc32.ChecksumIEEE(body))
}
