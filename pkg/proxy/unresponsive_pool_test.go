package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/preset"
)

// TestUnresponsivePoolDelaysOneCall guards against a pool of unresponsive connections
// that delays one caller after the other: the first call that uses one of them closes
// the others.
func TestUnresponsivePoolDelaysOneCall(t *testing.T) {
	const pooled = 8
	var unresponsive atomic.Bool
	var unanswered atomic.Int64
	var barrier sync.WaitGroup
	barrier.Add(pooled)
	var responses atomic.Int64
	server := startRawServer(t, func(conn net.Conn) {
		openedBefore := !unresponsive.Load()
		reader := bufio.NewReader(conn)
		for {
			_, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if openedBefore && unresponsive.Load() {
				unanswered.Add(1)
				_, _ = io.Copy(io.Discard, reader)
				return
			}
			if openedBefore && responses.Add(1) <= pooled {
				// The first responses wait for each other, so that each call gets its
				// own connection.
				barrier.Done()
				barrier.Wait()
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p := newTestProxy(t, testConfig{limits: func(classes map[preset.Class]preset.Limits) {
		allowExtraAttempts(classes)
		limits := classes[preset.ClassFetch]
		limits.HedgePercent = 0
		classes[preset.ClassFetch] = limits
	}}, server)
	client := newClient(t, false)
	var group sync.WaitGroup
	for range pooled {
		group.Go(func() { do(t, client, newRequest(t, "GET", p.url+"/fetch", nil)) })
	}
	group.Wait()
	unresponsive.Store(true)
	for range 2 * pooled {
		got := do(t, client, newRequest(t, "GET", p.url+"/fetch", nil))
		assert.Equal(t, got.status, 200)
	}
	assert.Equal(t, unanswered.Load(), int64(1))
}
