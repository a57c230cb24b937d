package capacity

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
)

// gatewayCase describes a gateway process with simulated peers.
type gatewayCase struct {
	size     size
	gateways int
	// entries is the number of servers in each summary of a neighbour; 0 means that
	// neighbours send no summaries.
	entries int
	probes  bool
}

func (c gatewayCase) String() string {
	return fmt.Sprintf("%s/entries=%d/probes=%v", c.size.withGateways(c.gateways), c.entries, c.probes)
}

const (
	// settleTime is the time for opening sessions and for the first reads.
	settleTime = 2 * time.Second
	idleWindow = 10 * time.Second
)

// BenchmarkCapacityGateway runs idle gateway processes concurrently and reports the
// resource usage of each. The numbers of entries are those that
// BenchmarkCapacitySummaries measures at the call rate of the design size.
func BenchmarkCapacityGateway(b *testing.B) {
	design := sizes[len(sizes)-1]
	cases := []gatewayCase{
		{size: sizes[0], gateways: 1}, {size: sizes[1], gateways: 1}, {size: design, gateways: 1},
		{size: design, gateways: 12}, {size: design, gateways: 48}, {size: design, gateways: 150},
		{size: design, gateways: 12, entries: 280}, {size: design, gateways: 48, entries: 114},
		{size: design, gateways: 48, probes: true},
	}
	daemon := buildDaemon(b)
	servedVMs := serveVMs(b, serverList(design), http.HandlerFunc(respondToCall))
	figures := make([]map[string]float64, len(cases))
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var group sync.WaitGroup
	for i, c := range cases {
		vms := serverList(c.size)
		if c.probes {
			vms = servedVMs
		}
		p := startCase(ctx, b, daemon, c, vms)
		group.Go(func() { figures[i] = p.measureIdle(b) })
	}
	group.Wait()
	for i, c := range cases {
		b.Run(c.String(), func(b *testing.B) { report(b, figures[i]) })
	}
}

func startCase(ctx context.Context, b *testing.B, daemon string, c gatewayCase, vms []platform.VM) *process {
	probePath := ""
	if c.probes {
		probePath = "/load"
	}
	p := startProcess(b, daemon, c.size, vms, probePath, c.gateways)
	peers := &fakePeers{address: p.peerAddress}
	if c.entries > 0 {
		peers.summary = newSummaryFrame(b, c.entries)
	}
	peers.start(ctx, c.gateways)
	return p
}

func (p *process) measureIdle(b *testing.B) map[string]float64 {
	time.Sleep(settleTime)
	p.platform.requests.takeCounts()
	before, start := p.metrics(b), time.Now()
	time.Sleep(idleWindow)
	after, seconds := p.metrics(b), time.Since(start).Seconds()
	calls, bytes := p.platform.requests.takeCounts()
	rate := func(name string) float64 { return (after[name] - before[name]) / seconds }
	responseBytes := 0
	for _, count := range bytes {
		responseBytes += count
	}
	return map[string]float64{
		"%core":             100 * rate("process_cpu_seconds_total"),
		"RSS-MB":            after["process_resident_memory_bytes"] / 1e6,
		"goroutines":        after["go_goroutines"],
		"list-B/s":          float64(bytes["/vms"]) / seconds,
		"rows-B/s":          float64(bytes["/table/scan"]) / seconds,
		"platform-B/s":      float64(responseBytes) / seconds,
		"reads/s":           float64(calls["/table/get"]+calls["/table/scan"]) / seconds,
		"list-reads/s":      float64(calls["/vms"]) / seconds,
		"writes/s":          float64(calls["/table/commit"]) / seconds,
		"probes/s":          rate("balsamhill_probes_total"),
		"silent-closes/s":   rate("balsamhill_peer_sessions_silent_total"),
		"status-B":          float64(len(p.get(b, "/status"))),
		"peers-connected":   after["balsamhill_peers_connected"],
		"peer-B/s-in+out":   rate("balsamhill_peer_bytes_total"),
		"adopted-presets":   after["balsamhill_preset_adoptions_total"],
		"platform-errors/s": rate("balsamhill_platform_errors_total"),
	}
}

// respondToCall handles a call on a server: it responds immediately with 1 KiB and a
// load report.
func respondToCall(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Endpoint-Load-Metrics", "TEXT named_metrics.in_flight=1, application_utilization=0.2")
	_, _ = io.WriteString(w, responseBody)
}

var responseBody = strings.Repeat("x", 1<<10)

const (
	callerCount = 64
	callWindow  = 3 * time.Second
	// latencyPairs is the number of pairs of calls, one sent directly to the server
	// and one through the gateway.
	latencyPairs = 2000
)

// BenchmarkCapacityCalls sends calls through one gateway process, for each size up to
// the design size. It reports the CPU time of the gateway per call, its memory, and
// the latency that it adds at low load.
func BenchmarkCapacityCalls(b *testing.B) {
	daemon := buildDaemon(b)
	for _, s := range sizes {
		vms := serveVMs(b, serverList(s), http.HandlerFunc(respondToCall))
		p := startProcess(b, daemon, s, vms, "", 1)
		time.Sleep(settleTime)
		figures := p.measureCalls(b, s)
		p.measureLatency(b, s, vms[0].Address, figures)
		b.Run(s.String(), func(b *testing.B) { report(b, figures) })
	}
}

func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}
}

// sendCall sends one call and returns its duration.
func sendCall(client *http.Client, url string) (time.Duration, error) {
	start := time.Now()
	response, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return time.Since(start), err
}

func (p *process) measureCalls(b *testing.B, s size) map[string]float64 {
	client := newCaller()
	defer client.CloseIdleConnections()
	idle := p.metrics(b)
	var count, failed atomic.Int64
	var group sync.WaitGroup
	start := time.Now()
	for range callerCount {
		group.Go(func() {
			for time.Since(start) < callWindow {
				_, err := sendCall(client, p.traffic+"/"+serviceName(rand.IntN(s.services))+"/x")
				count.Add(1)
				if err != nil {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	seconds := time.Since(start).Seconds()
	busy := p.metrics(b)
	used := busy["process_cpu_seconds_total"] - idle["process_cpu_seconds_total"]
	return map[string]float64{
		"calls/s":           float64(count.Load()) / seconds,
		"failed":            float64(failed.Load()),
		"µs-processor/call": used / float64(count.Load()) * 1e6,
		"RSS-MB":            busy["process_resident_memory_bytes"] / 1e6,
		"idle-RSS-MB":       idle["process_resident_memory_bytes"] / 1e6,
		"goroutines":        busy["go_goroutines"],
	}
}

func (p *process) measureLatency(b *testing.B, s size, server string, figures map[string]float64) {
	client := newCaller()
	defer client.CloseIdleConnections()
	// Reduces the chance of a garbage collection in this process during the
	// measurement.
	runtime.GC()
	var direct, proxied []time.Duration
	for i := range latencyPairs {
		path := "/" + serviceName(i%s.services) + "/x"
		elapsed, err := sendCall(client, "http://"+server+path)
		assert.NilError(b, err)
		direct = append(direct, elapsed)
		elapsed, err = sendCall(client, p.traffic+path)
		assert.NilError(b, err)
		proxied = append(proxied, elapsed)
	}
	for _, quantile := range []int{50, 99} {
		d, t := percentileMicros(direct, quantile), percentileMicros(proxied, quantile)
		figures[fmt.Sprintf("direct-p%d-µs", quantile)] = d
		figures[fmt.Sprintf("added-p%d-µs", quantile)] = t - d
	}
}

// percentileMicros returns a percentile in microseconds.
func percentileMicros(values []time.Duration, percent int) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return float64(sorted[percent*(len(sorted)-1)/100].Microseconds())
}
