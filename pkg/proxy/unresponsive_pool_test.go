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

// Guards against a pool of silent connections that delays one caller after the
// other: the first call that meets one of them closes the others.
func TestSilentPoolDelaysOneCall(t *testing.T) {
	const pooled = 8
	var forgotten atomic.Bool
	var swallowed atomic.Int64
	var together sync.WaitGroup
	together.Add(pooled)
	var warming atomic.Int64
	server := startRawServer(t, func(conn net.Conn) {
		old := !forgotten.Load()
		reader := bufio.NewReader(conn)
		for {
			_, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if old && forgotten.Load() {
				swallowed.Add(1)
				_, _ = io.Copy(io.Discard, reader)
				return
			}
			if old && warming.Add(1) <= pooled {
				// All answers wait for each other, so that each call has a connection.
				together.Done()
				together.Wait()
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	b := newTestProxy(t, testConfig{limits: func(classes map[preset.Class]preset.Limits) {
		allowExtraAttempts(classes)
		limits := classes[preset.ClassFetch]
		limits.HedgePercent = 0
		classes[preset.ClassFetch] = limits
	}}, server)
	client := newClient(t, false)
	var group sync.WaitGroup
	for range pooled {
		group.Go(func() { do(t, client, newRequest(t, "GET", b.url+"/fetch", nil)) })
	}
	group.Wait()
	forgotten.Store(true)
	for range 2 * pooled {
		got := do(t, client, newRequest(t, "GET", b.url+"/fetch", nil))
		assert.Equal(t, got.status, 200)
	}
	assert.Equal(t, swallowed.Load(), int64(1))
}
