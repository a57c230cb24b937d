package claimstore

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/platform/standin"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	// The bytes are counted first, because the client may have received them before
	// Write returns.
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// feedBytes returns the bytes that one read of the feed takes over HTTP, after the
// given number of calls were claimed and resolved with response bodies of the given
// size.
func feedBytes(t testing.TB, calls, body int) int64 {
	t.Helper()
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(http.Handler(standin.New()))
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	client := httpplatform.New(server.URL)
	defer client.Close()
	started := time.Now()
	config := newTestConfig()
	config.Gateway = "gateway-erongo-3"
	config.Incarnation = 1_780_000_000_000_000_000
	config.Now = func() int64 { return int64(time.Since(started) + time.Second) }
	config.Table = client
	store := New(config)
	reader := New(func() Config { c := newTestConfig(); c.Table = client; return c }())
	// The first read opens the connection.
	reader.readFeed(t.Context())
	for i := range calls {
		call := callOf(fmt.Sprint("key-", i))
		call.Fingerprint = 1<<63 + uint64(i)
		pending := claim.NewPending(call, store.owner(store.newClaimID()), 0)
		result := store.commit(t.Context(), claim.ClaimTxn([]claim.Pending{pending}, started), time.Second)
		ticket := claim.Ticket{
			Service: call.Service, Key: call.Key, ClaimID: pending.Owner.ClaimID,
			RowVersion: result.Version, Fingerprint: call.Fingerprint,
		}
		response := &claim.RecordedResponse{Status: 201, Body: make([]byte, body)}
		done := claim.NewResolution(ticket, pending.Owner, claim.Result{Kind: claim.ResultDone, Response: response})
		store.commit(t.Context(), claim.ResolutionTxn([]claim.Resolution{done}, started), time.Second)
	}
	before := bytes.Load()
	reader.readFeed(t.Context())
	assert.Equal(t, reader.counters.feedErrors.Get(), uint64(0))
	assert.Assert(t, calls == 0 || reader.digest.Has(claim.IDOf(service, "key-0")))
	return bytes.Load() - before
}

// TestFeedSizeIsBounded guards against a feed whose size depends on the recorded
// responses, and against one that takes more than 0.5 % of the link in a region
// with nine gateways at 10 calls/s. It assumes that the feed returns each call
// twice, as claimed and as resolved.
func TestFeedSizeIsBounded(t *testing.T) {
	const calls, rate, writes = 20, 10, 2
	idle := feedBytes(t, 0, 0)
	each := (feedBytes(t, calls, claim.MaxResponseBytes) - idle) / calls
	assert.Assert(t, remoteGateways*(idle+writes*rate*each) < linkBytes/200, "%d bytes and %d for each claim", idle, each)
}

// BenchmarkFeed reports the bytes of one read of the feed without claims, the bytes
// for each claim, and the share of a link of 30 Mbit/s that nine gateways take if
// each reads each claim once.
func BenchmarkFeed(b *testing.B) {
	for _, body := range []int{0, 1 << 10, 16 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("answer=%d", body), func(b *testing.B) {
			const calls = 100
			var idle, busy int64
			for range b.N {
				idle, busy = feedBytes(b, 0, 0), feedBytes(b, calls, body)
			}
			each := float64(busy-idle) / calls
			b.ReportMetric(float64(idle), "bytes/idle-read")
			b.ReportMetric(each, "bytes/claim")
			for _, rate := range []float64{10, 100} {
				total := remoteGateways * (float64(idle) + rate*each)
				b.ReportMetric(total, fmt.Sprintf("bytes/s@%v", rate))
				b.ReportMetric(100*total/linkBytes, fmt.Sprintf("%%link@%v", rate))
			}
		})
	}
}

const (
	remoteGateways = 9
	// linkBytes is the capacity of a link of 30 Mbit/s in bytes per second.
	linkBytes = 30e6 / 8
)
