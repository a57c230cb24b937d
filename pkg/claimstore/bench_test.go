package claimstore

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/platform"
)

func newTestConfig() Config {
	return Config{Gateway: "g", Incarnation: 1, Now: func() int64 { return 1 }, Metrics: metrics.NewSet(), DigestKeys: 1024}
}

// delayedTable is a table that responds after a fixed delay.
type delayedTable struct {
	platform.Table
	table *fakeTable
	time  time.Duration
}

func (r delayedTable) Commit(_ context.Context, txn platform.Txn) platform.CommitResult {
	time.Sleep(r.time)
	return r.table.apply(txn)
}

// BenchmarkClaims reports claims and claim transactions per second for different
// numbers of concurrent calls, with a store that responds in 2 ms (own region) or
// 62 ms (other region).
func BenchmarkClaims(b *testing.B) {
	for _, trip := range []time.Duration{2 * time.Millisecond, 62 * time.Millisecond} {
		for _, callers := range []int{1, 8, 64, 512} {
			b.Run(fmt.Sprintf("store=%v/calls=%d", trip, callers), func(b *testing.B) {
				benchmarkClaims(b, trip, callers)
			})
		}
	}
}

func benchmarkClaims(b *testing.B, trip time.Duration, callers int) {
	table := newFakeTable(1)
	config := newTestConfig()
	started := time.Now()
	config.Now = func() int64 { return int64(time.Since(started) + time.Second) }
	config.Table = delayedTable{table: table, time: trip}
	store := New(config)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { store.runClaims(ctx) })
	b.ResetTimer()
	var next, claimed atomic.Int64
	var calls sync.WaitGroup
	for range callers {
		calls.Go(func() {
			for {
				i := next.Add(1)
				if i > int64(b.N) {
					return
				}
				if store.Claim(ctx, callOf(fmt.Sprint(i))).Kind == claim.Dispatch {
					claimed.Add(1)
				}
			}
		})
	}
	calls.Wait()
	b.StopTimer()
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(claimed.Load())/seconds, "claims/s")
	b.ReportMetric(float64(table.commits)/seconds, "writes/s")
	b.ReportMetric(float64(claimed.Load())/float64(table.commits), "claims/write")
	cancel()
	group.Wait()
}

// BenchmarkOpenAttemptsMemory reports the memory of open attempts in bytes per
// 1,000 keys.
func BenchmarkOpenAttemptsMemory(b *testing.B) {
	const keys = 100_000
	for range b.N {
		openAttempts := claim.NewOpenAttempts()
		before := heap()
		for i := range keys {
			id := claim.IDOf(service, fmt.Sprint(i))
			openAttempts.Add(id)
			openAttempts.AddClaim(id, fmt.Sprintf("gateway-1/1780000000000000/%d", i))
		}
		b.ReportMetric(float64(heap()-before)/(keys/1000), "bytes/1000keys")
		runtime.KeepAlive(openAttempts)
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
