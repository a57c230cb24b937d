package policybench

import (
	"slices"
	"time"
)

// Result holds the figures of one run, measured after the warm-up.
type Result struct {
	latencies []time.Duration
	// before and after hold the latencies of calls that arrived before an overload
	// and of those that arrived at least recoveryTime after it.
	before, after       []time.Duration
	offered             int
	succeeded           int
	attempts            int
	retries             int
	hedges              int
	lateAttempts        int
	remote              int
	succeededInOverload int
	probeTime           time.Duration
	linkBytes           int
	// Goodput is the rate of successful calls as a share of the capacity, during
	// the overload if there is one.
	Goodput float64
	// ProbeShare is the share of server time spent on probes, LinkShare the share of
	// the link used by load reports.
	ProbeShare, LinkShare float64
	// Slowest holds the slowest calls for a trace.
	Slowest []Trace
}

// Trace describes one slow call.
type Trace struct {
	Arrived, Latency time.Duration
	Gateway          string
	Attempts         []TracedAttempt
}

// TracedAttempt compares, at the time an attempt was sent, the state of its server
// with the estimates of the gateway. Its field names are printed by the trace.
type TracedAttempt struct {
	Server string
	// After is the time since the arrival of the call.
	After time.Duration
	Work  time.Duration
	// Present is the number of other outstanding attempts on the server, Least the
	// lowest such number of all servers in its region.
	Present, Least int
	// Estimated is the estimate of Present by the gateway.
	Estimated float64
	// Age is the age of the last load report, Average the average latency.
	Age, Average time.Duration
	// Slow is the server's slowdown, 1 for none.
	Slow float64
}

const (
	recoveryTime = 2 * time.Second
	// overloadSettleTime is excluded at the start of an overload, while queues fill.
	overloadSettleTime = time.Second
	linkBytesPerSecond = 30e6 / 8
	tracedCalls        = 40
	// drainGracePeriod is the time after which a draining server must receive no new
	// attempts.
	drainGracePeriod = 5 * time.Second
)

func (r *Result) countOffered(now int64) {
	if now >= startTime+int64(warmupLength) {
		r.offered++
	}
}

func (r *Result) countAttempt(run *run, a *attempt) {
	r.attempts++
	s := a.server
	if s.drainSince > 0 && run.clock.now-s.drainSince > int64(drainGracePeriod) {
		r.lateAttempts++
	}
	if s.region != "" && len(run.gateways) > 0 && a.target != nil && a.target.NetworkLatency >= int64(2*run.deployment.Region) {
		r.remote++
	}
}

func (r *Result) record(run *run, c *call, latency time.Duration, ok bool) {
	if c.arrivedAt < startTime+int64(warmupLength) {
		return
	}
	if !ok {
		return
	}
	r.succeeded++
	since := time.Duration(c.arrivedAt - startTime)
	end := time.Duration(run.clock.now - startTime)
	w := run.workload
	if w.OverloadUntil > 0 {
		switch {
		case since < w.OverloadFrom:
			r.before = append(r.before, latency)
		case since >= w.OverloadUntil+recoveryTime:
			r.after = append(r.after, latency)
		}
		if end >= w.OverloadFrom+overloadSettleTime && end < w.OverloadUntil {
			r.succeededInOverload++
		}
	}
	r.latencies = append(r.latencies, latency)
	r.trace(c, latency)
}

// trace records a call if it is among the slowest.
func (r *Result) trace(c *call, latency time.Duration) {
	if len(r.Slowest) == tracedCalls && latency <= r.Slowest[tracedCalls-1].Latency {
		return
	}
	t := Trace{Arrived: time.Duration(c.arrivedAt - startTime), Latency: latency, Gateway: c.gateway.id}
	for _, a := range c.attempts {
		t.Attempts = append(t.Attempts, a.trace)
	}
	r.Slowest = append(r.Slowest, t)
	slices.SortFunc(r.Slowest, func(a, b Trace) int { return int(b.Latency - a.Latency) })
	r.Slowest = r.Slowest[:min(tracedCalls, len(r.Slowest))]
}

func (r *Result) summarize(run *run) {
	slices.Sort(r.latencies)
	slices.Sort(r.before)
	slices.Sort(r.after)
	w := run.workload
	measured := w.Length - warmupLength
	r.Goodput = float64(r.succeeded) / measured.Seconds() / run.capacity()
	if w.OverloadUntil > 0 {
		window := w.OverloadUntil - w.OverloadFrom - overloadSettleTime
		r.Goodput = float64(r.succeededInOverload) / window.Seconds() / run.capacity()
	}
	serverTime := w.Length.Seconds() * float64(len(run.servers)*slots)
	r.ProbeShare = r.probeTime.Seconds() / serverTime
	r.LinkShare = float64(r.linkBytes) / (w.Length.Seconds() * linkBytesPerSecond)
}

// Quantile returns the quantile q, between 0 and 1, of the latencies of successful
// calls.
func (r *Result) Quantile(q float64) time.Duration {
	return quantile(r.latencies, q)
}

// Recovery returns the 99th percentile of latencies of calls that arrive at least
// recoveryTime after the overload, divided by that before the overload. It is 0
// without an overload.
func (r *Result) Recovery() float64 {
	before := quantile(r.before, 0.99)
	if before == 0 {
		return 0
	}
	return float64(quantile(r.after, 0.99)) / float64(before)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// traceAttempt returns the trace of an attempt that is about to be sent.
func traceAttempt(run *run, c *call, a *attempt) TracedAttempt {
	now := run.clock.now
	traced := TracedAttempt{
		Server: a.server.id, After: time.Duration(now - c.arrivedAt), Work: time.Duration(a.job.serviceTime),
		Present: a.server.outstanding, Least: a.server.outstanding, Slow: a.server.slowdown(),
	}
	for _, other := range run.servers {
		if other.region == a.server.region {
			traced.Least = min(traced.Least, other.outstanding)
		}
	}
	if a.target != nil {
		traced.Estimated = a.target.Stats.EstimatedInFlight(now)
		traced.Age = time.Duration(now - a.target.Stats.ReportedAt())
		traced.Average = time.Duration(a.target.Stats.Latency())
	}
	return traced
}
