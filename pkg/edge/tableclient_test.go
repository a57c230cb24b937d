package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/storestate"
)

// servedTable returns the address of a gateway that serves the watcher's table through
// the handler that wrap returns.
func servedTable(t *testing.T, e *Edge, wrap func(http.Handler) http.Handler) string {
	t.Helper()
	server := httptest.NewServer(wrap(e.peerHandler()))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func sameHandler(h http.Handler) http.Handler { return h }

// configTable returns the watcher of the configuration, which holds the given values.
func configTable(e *Edge, values ...string) *watcher {
	w := e.watchers[0]
	for i, value := range values {
		version := uint64(i + 1)
		row := feed.Row{Key: "config", Value: []byte(value), Version: version}
		w.mirror.Apply(e.now(), feed.Batch{Rows: []feed.Row{row}, AsOf: version, Full: i == 0})
	}
	return w
}

// cutOnce ends the first response after some bytes.
func cutOnce(bytes int) func(http.Handler) http.Handler {
	var done atomic.Bool
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !done.CompareAndSwap(false, true) {
				next.ServeHTTP(w, r)
				return
			}
			next.ServeHTTP(&cutWriter{ResponseWriter: w, left: bytes}, r)
			panic(http.ErrAbortHandler)
		})
	}
}

// cutWriter passes on the first bytes of a response and drops the rest.
type cutWriter struct {
	http.ResponseWriter
	left int
}

func (w *cutWriter) Write(p []byte) (int, error) {
	n := min(len(p), w.left)
	w.left -= n
	_, err := w.ResponseWriter.Write(p[:n])
	if w.left == 0 {
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
	return len(p), err
}

// TestCutOffTableReadIsResumed guards against reads that start again from nothing whenever
// the connection breaks, so that a large table never arrives; the next read may be from
// another gateway.
func TestCutOffTableReadIsResumed(t *testing.T) {
	text := randomText(100_000)
	first, second := idleEdge(t, "first"), idleEdge(t, "second")
	configTable(first, text)
	configTable(second, text)
	broken := servedTable(t, first, cutOnce(60_000))
	other := servedTable(t, second, sameHandler)
	client := tableClient{table: feed.Config}
	query := tableQuery{full: true}
	batch, err := client.read(context.Background(), broken, query)
	assert.Assert(t, err != nil)
	assert.Equal(t, batch.Bytes, int64(60_000))
	batch, err = client.read(context.Background(), other, query)
	assert.NilError(t, err)
	assert.Assert(t, batch.Bytes < 45_000, "%d bytes", batch.Bytes)
	assert.Equal(t, string(batch.Rows[0].Value), text)
}

// TestResumedReadOfChangedTableStartsAgain guards against a body that is joined from two
// versions of a table.
func TestResumedReadOfChangedTableStartsAgain(t *testing.T) {
	e := idleEdge(t, "source")
	configTable(e, randomText(100_000))
	address := servedTable(t, e, cutOnce(60_000))
	client := tableClient{table: feed.Config}
	_, err := client.read(context.Background(), address, tableQuery{full: true})
	assert.Assert(t, err != nil)
	text := randomText(100_001)
	configTable(e, "", text)
	batch, err := client.read(context.Background(), address, tableQuery{full: true})
	assert.NilError(t, err)
	assert.Equal(t, string(batch.Rows[0].Value), text)
}

// TestChangesAreRelativeToHeldValue guards against a reader that gets changes relative to a
// value that it does not hold, and against changes that are not relative although both
// gateways hold the value.
func TestChangesAreRelativeToHeldValue(t *testing.T) {
	values := make([]string, 6)
	for i := range values {
		values[i] = fmt.Sprint(i, " ", randomText(50_000))
	}
	e := idleEdge(t, "source")
	configTable(e, values...)
	address := servedTable(t, e, sameHandler)
	newest := values[len(values)-1]
	for held := range values {
		t.Run(fmt.Sprint("version ", held+1), func(t *testing.T) {
			client := tableClient{table: feed.Config}
			query := tableQuery{
				after: feed.Position{Version: uint64(held + 1), Rank: uint64(held)}, base: feed.Base{Key: "config", Version: uint64(held + 1), Rank: uint64(held)}, baseValue: []byte(values[held]),
			}
			batch, err := client.read(context.Background(), address, query)
			assert.NilError(t, err)
			if held == len(values)-1 {
				assert.Equal(t, len(batch.Rows), 0)
				return
			}
			assert.Equal(t, string(batch.Rows[0].Value), newest)
			kept := held >= len(values)-1-earlierConfigs
			assert.Equal(t, batch.Bytes < 1_000, kept, "%d bytes", batch.Bytes)
		})
	}
}

// TestOlderBuildsExchangeTables guards against gateways of different builds that cannot
// read tables from each other while a fleet is upgraded.
func TestOlderBuildsExchangeTables(t *testing.T) {
	e := idleEdge(t, "source")
	configTable(e, "7")
	old := servedTable(t, e, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del("Accept")
			next.ServeHTTP(w, r)
		})
	})
	client := tableClient{table: feed.Config}
	batch, err := client.read(context.Background(), old, tableQuery{full: true})
	assert.NilError(t, err)
	assert.Equal(t, string(batch.Rows[0].Value), "7")
	assert.Equal(t, batch.AsOf, uint64(1))
	assert.Equal(t, batch.Full, true)
}

// TestSilentGatewayIsLeft guards against a gateway that waits for another one that accepted
// the connection and then went silent.
func TestSilentGatewayIsLeft(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	began := time.Now()
	client := tableClient{table: feed.Config}
	_, err = client.read(context.Background(), listener.Addr().String(), tableQuery{full: true})
	assert.Equal(t, readResult(err), "timeout")
	assert.Assert(t, time.Since(began) < 4*peerTimeout)
}

// delayedWriter sends the header of a response at once and its body after a delay.
type delayedWriter struct {
	http.ResponseWriter
	delay time.Duration
}

func (w *delayedWriter) Write(p []byte) (int, error) {
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	time.Sleep(w.delay)
	return w.ResponseWriter.Write(p)
}

// TestAgeOfTableIncludesTransfer guards against a gateway that takes its copy for newer than
// it is because the transfer took long: it would notice too late that it misses changes.
func TestAgeOfTableIncludesTransfer(t *testing.T) {
	const transferTime = 300 * time.Millisecond
	e := idleEdge(t, "source")
	configTable(e, "7")
	address := servedTable(t, e, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(&delayedWriter{ResponseWriter: w, delay: transferTime}, r)
		})
	})
	client := tableClient{table: feed.Config}
	batch, err := client.read(context.Background(), address, tableQuery{full: true})
	assert.NilError(t, err)
	assert.Assert(t, batch.Age >= int64(transferTime), "age %s", time.Duration(batch.Age))
}

// TestDelayedStoreResponseIsOld guards against a copy that counts as just confirmed although
// the response waited in the socket of a paused gateway.
func TestDelayedStoreResponseIsOld(t *testing.T) {
	const waited = int64(3 * time.Second)
	var state storestate.State
	at := func(now, sentAt int64) int64 {
		return state.ResponseAge(now, now-int64(time.Minute), feed.Batch{SentAt: sentAt, Age: 5})
	}
	assert.Equal(t, at(10e9, 100e9), int64(5))
	assert.Equal(t, at(11e9+waited, 101e9), waited)
	// The age cannot exceed the time since the request, also if the store's clock was reset.
	assert.Equal(t, state.ResponseAge(20e9, 19e9, feed.Batch{SentAt: 1}), int64(1e9))
}
