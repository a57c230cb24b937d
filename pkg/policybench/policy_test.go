package policybench

import (
	"flag"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// benchSeed fixes arrivals, service times and disturbances of all runs.
const benchSeed = 20261204

// parallelRuns bounds the simulations that run concurrently.
const parallelRuns = 4

type resultsKey struct{ deployment, workload string }

var resultsCache = make(map[resultsKey]map[string]*Result)

// resultsOf returns the results of all policies under a workload. It runs them once
// per process, because the testing package calls a benchmark several times and the
// ratios need the baselines.
func resultsOf(deployment Deployment, workload Workload) map[string]*Result {
	key := resultsKey{deployment.Name, workload.Name}
	if results, ok := resultsCache[key]; ok {
		return results
	}
	results := make(map[string]*Result)
	var mutex sync.Mutex
	var group sync.WaitGroup
	tokens := make(chan struct{}, parallelRuns)
	for _, policy := range Policies() {
		group.Go(func() {
			tokens <- struct{}{}
			defer func() { <-tokens }()
			result := Run(deployment, workload, policy, benchSeed)
			mutex.Lock()
			defer mutex.Unlock()
			results[policy.Name] = result
		})
	}
	group.Wait()
	resultsCache[key] = results
	return results
}

func policyNamed(name string) Policy {
	for _, policy := range Policies() {
		if policy.Name == name {
			return policy
		}
	}
	panic("no policy " + name)
}

func BenchmarkPolicy(b *testing.B) {
	for _, deployment := range []Deployment{Signline(), Vaihtosilta()} {
		for _, workload := range Workloads() {
			for _, policy := range Policies() {
				b.Run(deployment.Name+"/"+workload.Name+"/"+policy.Name, func(b *testing.B) {
					report(b, deployment, workload, policy)
				})
			}
		}
	}
}

// traceFlag makes benchmarks print the slowest calls of their policies.
var traceFlag = flag.Bool("policy.trace", false, "print the slowest calls of each run")

func report(b *testing.B, deployment Deployment, workload Workload, policy Policy) {
	// There is no loop over b.N: the metrics of a run in virtual time do not depend
	// on it.
	results := resultsOf(deployment, workload)
	result, ideal, roundRobin := results[policy.Name], results["ideal"], results["round-robin"]
	if *traceFlag && b.N == 1 {
		for _, trace := range result.Slowest {
			b.Logf("%+v", trace)
		}
	}
	millis := func(q float64) float64 { return result.Quantile(q).Seconds() * 1e3 }
	ratio := func(to *Result, q float64) float64 {
		return float64(result.Quantile(q)) / float64(to.Quantile(q))
	}
	calls := float64(max(1, result.attempts-result.retries-result.hedges))
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(millis(0.5), "p50-ms")
	b.ReportMetric(millis(0.99), "p99-ms")
	b.ReportMetric(millis(0.999), "p99.9-ms")
	b.ReportMetric(ratio(ideal, 0.99), "p99/ideal")
	b.ReportMetric(ratio(ideal, 0.999), "p99.9/ideal")
	b.ReportMetric(ratio(roundRobin, 0.99), "p99/rr")
	b.ReportMetric(100*float64(result.succeeded)/float64(max(1, result.offered)), "ok-%")
	b.ReportMetric(100*result.Goodput, "goodput-%")
	b.ReportMetric(100*result.ProbeShare, "probe-%")
	b.ReportMetric(100*result.LinkShare, "link-%")
	b.ReportMetric(float64(result.linkBytes), "link-B")
	b.ReportMetric(100*float64(result.retries)/calls, "retry-%")
	b.ReportMetric(100*float64(result.hedges)/calls, "hedge-%")
	b.ReportMetric(100*float64(result.remote)/calls, "remote-%")
	if workload.OverloadUntil > 0 {
		b.ReportMetric(result.Recovery(), "recovery-x")
	}
	if workload.Name == "drain-60" {
		b.ReportMetric(float64(result.lateAttempts), "late-work")
	}
}

// Guards against figures that differ between runs with the same seed: the series in
// docs/MEASUREMENTS.md could then not be compared.
func TestRunIsReproducible(t *testing.T) {
	workload := Workload{Name: "short", Load: 0.8, Shift: true, Length: warmupLength + warmupLength/2, Disturb: noisyNeighbours}
	policy := policyNamed("hot-cold-hedged")
	first := Run(Vaihtosilta(), workload, policy, benchSeed)
	second := Run(Vaihtosilta(), workload, policy, benchSeed)
	assert.DeepEqual(t, first.latencies, second.latencies)
	assert.Assert(t, len(first.latencies) > 1000)
}
