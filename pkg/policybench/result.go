package policybench

import (
	"slices"
	"time"
)

// Result is what one run measured after the warm-up.
type Result struct {
	latencies []time.Duration
	// before and after hold the latencies before an overload and from
	// recoveryTime after it.
	before, after []time.Duration
	offered       int
	succeeded     int
	attempts      int
	retries       int
	hedges        int
	lateWork      int
	remote        int
	inOverload    int
	probeTime     time.Duration
	linkBytes     int
	// Goodput is the rate of successful calls as a share of the capacity, during
	// the overload if there is one.
	Goodput float64
	// ProbeShare is the share of server time spent on probes, LinkShare the share
	// of the link used for measuring.
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

// TracedAttempt is what was true, and what the gateway believed, when an attempt
// was sent.
type TracedAttempt struct {
	Server string
	// After is the time since the arrival of the call.
	After time.Duration
	Work  time.Duration
	// Present is the number of other attempts at the server or on the way there,
	// Least the lowest such number of any server of its region.
	Present, Least int
	// Estimated is what the gateway believed of Present.
	Estimated float64
	// Age is the age of the last load report, Average the average latency.
	Age, Average time.Duration
	// Slow is the server's slowness, 1 for none.
	Slow float64
}

const (
	recoveryTime = 2 * time.Second
	// overloadSettle is left out at the start of an overload, while queues fill.
	overloadSettle = time.Second
	linkBytesPerS  = 30e6 / 8
	tracedCalls    = 40
	// lateAfter is the time after which a leaving server must get no new work.
	lateAfter = 5 * time.Second
)

func (r *Result) offer(now int64) {
	if now >= start+int64(warmUp) {
		r.offered++
	}
}

func (r *Result) countAttempt(run *run, a *attempt) {
	r.attempts++
	s := a.server
	if s.drainSince > 0 && run.clock.now-s.drainSince > int64(lateAfter) {
		r.lateWork++
	}
	if s.region != "" && len(run.gateways) > 0 && a.target != nil && a.target.NetworkLatency >= int64(2*run.deployment.Region) {
		r.remote++
	}
}

func (r *Result) record(run *run, c *call, latency time.Duration, ok bool) {
	if c.arrived < start+int64(warmUp) {
		return
	}
	if !ok {
		return
	}
	r.succeeded++
	since := time.Duration(c.arrived - start)
	end := time.Duration(run.clock.now - start)
	w := run.workload
	if w.OverloadUntil > 0 {
		switch {
		case since < w.OverloadFrom:
			r.before = append(r.before, latency)
		case since >= w.OverloadUntil+recoveryTime:
			r.after = append(r.after, latency)
		}
		if end >= w.OverloadFrom+overloadSettle && end < w.OverloadUntil {
			r.inOverload++
		}
	}
	r.latencies = append(r.latencies, latency)
	r.trace(c, latency)
}

// trace keeps the slowest calls.
func (r *Result) trace(c *call, latency time.Duration) {
	if len(r.Slowest) == tracedCalls && latency <= r.Slowest[tracedCalls-1].Latency {
		return
	}
	t := Trace{Arrived: time.Duration(c.arrived - start), Latency: latency, Gateway: c.gateway.id}
	for _, a := range c.attempts {
		t.Attempts = append(t.Attempts, a.traced)
	}
	r.Slowest = append(r.Slowest, t)
	slices.SortFunc(r.Slowest, func(a, b Trace) int { return int(b.Latency - a.Latency) })
	r.Slowest = r.Slowest[:min(tracedCalls, len(r.Slowest))]
}

func (r *Result) close(run *run) {
	slices.Sort(r.latencies)
	slices.Sort(r.before)
	slices.Sort(r.after)
	w := run.workload
	measured := w.Length - warmUp
	r.Goodput = float64(r.succeeded) / measured.Seconds() / run.capacity()
	if w.OverloadUntil > 0 {
		window := w.OverloadUntil - w.OverloadFrom - overloadSettle
		r.Goodput = float64(r.inOverload) / window.Seconds() / run.capacity()
	}
	serverTime := w.Length.Seconds() * float64(len(run.servers)*slots)
	r.ProbeShare = r.probeTime.Seconds() / serverTime
	r.LinkShare = float64(r.linkBytes) / (w.Length.Seconds() * linkBytesPerS)
}

// Quantile returns a latency of successful calls, q between 0 and 1.
func (r *Result) Quantile(q float64) time.Duration {
	return quantile(r.latencies, q)
}

// Recovery is the 99th percentile from recoveryTime after the overload on,
// divided by the one before it. It is 0 without an overload.
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

// traceAttempt describes an attempt that is about to be sent.
func traceAttempt(run *run, c *call, a *attempt) TracedAttempt {
	now := run.clock.now
	traced := TracedAttempt{
		Server: a.server.id, After: time.Duration(now - c.arrived), Work: time.Duration(a.job.work),
		Present: a.server.onTheWay, Least: a.server.onTheWay, Slow: a.server.factor(),
	}
	for _, other := range run.servers {
		if other.region == a.server.region {
			traced.Least = min(traced.Least, other.onTheWay)
		}
	}
	if a.target != nil {
		traced.Estimated = a.target.Stats.EstimatedInFlight(now)
		traced.Age = time.Duration(now - a.target.Stats.ReportedAt())
		traced.Average = time.Duration(a.target.Stats.Latency())
	}
	return traced
}
