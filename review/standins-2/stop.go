package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["stop-silent"] = playStop
}

// playStop stops a gateway with SIGTERM while instances work on fetches that take a while.
func playStop(d *deployment, trouble bool) verdict {
	const service = "profiili"
	d.writeConfig(1, []route{{service: service, kind: "safe", timeoutMs: 6000, targetMs: 1000}})
	work := func(*http.Request) time.Duration { return 2300 * time.Millisecond }
	for n := range 8 {
		d.startInstance(&instance{
			id: fmt.Sprintf("i-pro-%03d", n+1), service: service, zone: zones[n%2], work: work,
			address: fmt.Sprintf("%s.%d:%d", d.block, 100+n, serverPort),
		})
	}
	d.startGateways(2, "uus-a", "uus-b")
	time.Sleep(stablePeriod + time.Second)
	var calls sync.WaitGroup
	var mu sync.Mutex
	var results []result
	for n := range 12 {
		calls.Go(func() {
			id := newID()
			r := d.newCaller(n).send(d.gateways[0], request{id: id, method: http.MethodGet, path: "/profiili/pupil?id=" + id, deadline: 6 * time.Second})
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		})
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		d.gateways[0].terminate()
	}
	calls.Wait()
	if trouble {
		d.gateways[0].awaitEnd()
	}
	broken := 0
	for _, r := range results {
		if !r.signed && len(d.runsOf(r.id)) > 0 {
			broken++
		}
	}
	return verdict{broken > 0, fmt.Sprintf("%d fetches, %d were broken off at an instance at work and got an answer of the gateway or none", len(results), broken)}
}
