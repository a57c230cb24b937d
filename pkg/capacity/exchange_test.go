package capacity

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/membership"
	"balsamhill/pkg/peer"
	"balsamhill/pkg/peer/peerpb"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/routing"
)

// fleet is a set of running exchanges that have each other in their VM list.
type fleet struct {
	exchanges []*peer.Exchange
	endpoints []*endpoint
	stop      func()
}

func peerAddress(i int) string {
	return fmt.Sprintf("10.30.%d.%d:8082", i/250, i%250+1)
}

// startFleet starts n gateways, half of them in each region. It returns when each has a
// session with all others.
func startFleet(tb testing.TB, n int, handler peer.Handler) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	f := &fleet{stop: func() { cancel(); running.Wait() }}
	network := newNetwork()
	var vms []platform.VM
	for i := range n {
		vms = append(vms, platform.VM{ID: gatewayID(i), Role: platform.RoleGateway, Region: regionOf(i),
			Address: peerAddress(i), State: platform.VMLive})
		f.endpoints = append(f.endpoints, network.listen(peerAddress(i), regionOf(i)))
	}
	for i := range n {
		exchange := peer.New(peer.Config{
			Self: membership.Gateway{ID: gatewayID(i), Incarnation: 1_780_000_000_000_000,
				Region: regionOf(i), Peer: peerAddress(i)},
			Network:       f.endpoints[i],
			Handler:       handler,
			CurrentPreset: func() (uint64, []byte) { return 1000, []byte("{}") },
			State:         func() membership.State { return membership.StateReady },
			Seed:          uint64(i),
		})
		exchange.ApplyList(vms)
		f.exchanges = append(f.exchanges, exchange)
		running.Go(func() { exchange.Run(ctx) })
	}
	limit := time.Now().Add(20 * time.Second)
	for !f.connected() {
		if time.Now().After(limit) {
			f.stop()
			tb.Fatal("the gateways did not connect")
		}
		time.Sleep(50 * time.Millisecond)
	}
	return f
}

func (f *fleet) connected() bool {
	for _, exchange := range f.exchanges {
		for _, status := range exchange.Status() {
			if !status.Connected {
				return false
			}
		}
	}
	return true
}

// sent returns the total bytes and writes of all gateways to the local or the remote
// region.
func (f *fleet) sent(choose func(*endpoint) *traffic) (bytes, writes float64) {
	for _, e := range f.endpoints {
		t := choose(e)
		bytes += float64(t.bytes.Load())
		writes += float64(t.writes.Load())
	}
	return bytes, writes
}

// sessions returns the number of sessions opened, counted at both ends, and the number
// closed because the peer did not respond.
func (f *fleet) sessions() (opened, unresponsive uint64) {
	for _, exchange := range f.exchanges {
		opened += exchange.Counters().Opened.Load()
		unresponsive += exchange.Counters().Unresponsive.Load()
	}
	return opened, unresponsive
}

func localTraffic(e *endpoint) *traffic  { return &e.local }
func remoteTraffic(e *endpoint) *traffic { return &e.remote }

// BenchmarkCapacityExchange runs idle fleets. It reports for each gateway the bytes
// sent (before TLS), the CPU time and the memory, and the CPU time of closing all
// sessions at the same time. The longest run covers one interval of the heartbeats
// between regions.
func BenchmarkCapacityExchange(b *testing.B) {
	for _, run := range []struct {
		gateways int
		window   time.Duration
	}{{12, 7 * time.Second}, {24, 3 * time.Second}, {48, membership.RemoteInterval + time.Second}} {
		b.Run(fmt.Sprintf("gateways=%d", run.gateways), func(b *testing.B) {
			for range b.N {
				measureFleet(b, run.gateways, run.window)
			}
		})
	}
}

func measureFleet(b *testing.B, n int, window time.Duration) {
	heap, goroutines := heapBytes(), runtime.NumGoroutine()
	f := startFleet(b, n, peer.Handler{})
	defer f.stop()
	// Duplicate sessions, opened from both ends at the start, are closed during this
	// time.
	time.Sleep(time.Second)
	localBytes, localWrites := f.sent(localTraffic)
	remoteBytes, remoteWrites := f.sent(remoteTraffic)
	opened, unresponsive := f.sessions()
	cpuUsed, start := cpuTime(b), time.Now()
	time.Sleep(window)
	seconds := time.Since(start).Seconds()
	cpuUsed = cpuTime(b) - cpuUsed
	localBytes, localWrites = sentSince(f, localTraffic, localBytes, localWrites)
	remoteBytes, remoteWrites = sentSince(f, remoteTraffic, remoteBytes, remoteWrites)
	openedAfter, unresponsiveAfter := f.sessions()
	b.ReportMetric(float64(openedAfter-opened)/seconds, "opened/s")
	b.ReportMetric(float64(unresponsiveAfter-unresponsive)/seconds, "silent/s")
	gatewaySeconds := float64(n) * seconds
	b.ReportMetric(100*cpuUsed.Seconds()/gatewaySeconds, "%core/gateway")
	b.ReportMetric(localBytes/gatewaySeconds, "near-B/s/gateway")
	b.ReportMetric(localWrites/gatewaySeconds, "near-writes/s/gateway")
	if window >= membership.RemoteInterval {
		b.ReportMetric(remoteBytes/gatewaySeconds, "far-B/s/gateway")
		b.ReportMetric(remoteWrites/gatewaySeconds, "far-writes/s/gateway")
	}
	sessionEnds := float64(n * (n - 1))
	b.ReportMetric(float64(heapBytes()-heap)/sessionEnds, "B/session")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/sessionEnds, "goroutines/session")
	cpuUsed = cpuTime(b)
	f.stop()
	b.ReportMetric((cpuTime(b)-cpuUsed).Seconds()*1000/sessionEnds, "stop-ms-processor/session")
}

func sentSince(f *fleet, choose func(*endpoint) *traffic, bytes, writes float64) (float64, float64) {
	nowBytes, nowWrites := f.sent(choose)
	return nowBytes - bytes, nowWrites - writes
}

// loadModel simulates the load statistics of one gateway's servers in virtual time.
type loadModel struct {
	random  *rand.Rand
	servers []*routing.Server
	// rate is the number of calls per second that this gateway sends to each server.
	rate     float64
	inFlight []int64
}

const (
	designCallsPerSecond = 73_000
	// meanCallSeconds is the mean time of a call in seconds, as in docs/MEASUREMENTS.md.
	meanCallSeconds      = 0.005
	summaryRounds        = 100
	summaryPeriodSeconds = 0.25
)

// newLoadModel distributes the calls of the design size evenly over the gateways and
// over the servers in the region of each.
func newLoadModel(gateways int) *loadModel {
	m := &loadModel{random: rand.New(rand.NewPCG(1, 2))}
	for _, vm := range serverList(size{servers: 910, services: 47}) {
		m.servers = append(m.servers, &routing.Server{ID: vm.ID, Region: vm.Region, Stats: &routing.Stats{}})
	}
	m.rate = designCallsPerSecond / float64(gateways) / float64(len(m.servers)/2)
	m.inFlight = make([]int64, len(m.servers))
	return m
}

// nextPeriod advances by one period and returns the loads of all servers.
func (m *loadModel) nextPeriod(withLatency bool) []*peerpb.ServerLoad {
	var loads []*peerpb.ServerLoad
	for i, server := range m.servers {
		if server.Region == localRegion {
			m.advance(i, server.Stats)
		}
		load := &peerpb.ServerLoad{ServerId: server.ID, InFlight: server.Stats.InFlight()}
		if withLatency {
			load.Latency = server.Stats.Latency()
		}
		loads = append(loads, load)
	}
	return loads
}

func (m *loadModel) advance(i int, stats *routing.Stats) {
	for range m.inFlight[i] {
		stats.End()
	}
	for range m.poisson(m.rate * summaryPeriodSeconds) {
		// Log-normal with sigma 1 and the mean callTime.
		stats.Success(1, int64(meanCallSeconds*1e9*math.Exp(m.random.NormFloat64()-0.5)))
	}
	m.inFlight[i] = m.poisson(m.rate * meanCallSeconds)
	for range m.inFlight[i] {
		stats.Start()
	}
}

func (m *loadModel) poisson(mean float64) int64 {
	count, limit := int64(0), math.Exp(-mean)
	for p := m.random.Float64(); p > limit; p *= m.random.Float64() {
		count++
	}
	return count
}

// BenchmarkCapacitySummaries reports the bytes per second of server summaries to one
// neighbour at the call rate of the design size, with latencies and without. The sender
// has one neighbour in its region.
func BenchmarkCapacitySummaries(b *testing.B) {
	for _, gateways := range fleetSizes {
		for _, withLatency := range []bool{true, false} {
			figures := measureSummaries(b, gateways, withLatency)
			b.Run(fmt.Sprintf("gateways=%d/latency=%v", gateways, withLatency), func(b *testing.B) { report(b, figures) })
		}
	}
}

func measureSummaries(b *testing.B, gateways int, withLatency bool) map[string]float64 {
	var entries, frames atomic.Int64
	f := startFleet(b, 3, peer.Handler{Summary: func(_ string, loads []*peerpb.ServerLoad) {
		entries.Add(int64(len(loads)))
		frames.Add(1)
	}})
	defer f.stop()
	model := newLoadModel(gateways)
	// The first summary contains all servers; the averages are stable after 20 rounds.
	shareNext := func() {
		before := frames.Load()
		f.exchanges[0].ShareSummary(model.nextPeriod(withLatency))
		for wait := 0; frames.Load() == before && wait < 100; wait++ {
			time.Sleep(100 * time.Microsecond)
		}
	}
	for range 20 {
		shareNext()
	}
	bytesBefore, entriesBefore, framesBefore := f.endpoints[0].local.bytes.Load(), entries.Load(), frames.Load()
	for range summaryRounds {
		shareNext()
	}
	seconds := summaryRounds * summaryPeriodSeconds
	return map[string]float64{
		"B/s/neighbour":       float64(f.endpoints[0].local.bytes.Load()-bytesBefore) / seconds,
		"entries/s/neighbour": float64(entries.Load()-entriesBefore) / seconds,
		"frames/s/neighbour":  float64(frames.Load()-framesBefore) / seconds,
	}
}

// Guards the measurement: the gateways of a fleet must connect in both regions, and
// their traffic must be counted by region.
func TestFleetConnects(t *testing.T) {
	f := startFleet(t, 4, peer.Handler{})
	defer f.stop()
	for _, e := range f.endpoints {
		assert.Assert(t, e.local.bytes.Load() > 0 && e.remote.bytes.Load() > 0)
	}
}
