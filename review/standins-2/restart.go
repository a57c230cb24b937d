package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["leaving-restart"] = playLeavingRestart
}

const (
	// clockDifference is how far the clocks of the machines of the restarted instances are behind.
	clockDifference = 2 * time.Second
	// restartTraffic is how long the requesters send.
	restartTraffic = 75 * time.Second
	// restartWork is how long a confirmation takes.
	restartWork = 1700 * time.Millisecond
)

// playLeavingRestart restarts the instances of a service in turn, under their IDs.
func playLeavingRestart(d *deployment, trouble bool) verdict {
	d.writeConfig(1, []route{
		{service: "profiili", kind: "safe", timeoutMs: 2500, targetMs: 600},
		{service: "sijoitus", kind: "unsafe", timeoutMs: 3000, targetMs: 800},
	})
	newInstance := func(n int, service string) *instance {
		i := &instance{
			id: fmt.Sprintf("i-%s-%03d", service[:3], n+1), service: service, zone: zones[n%2],
			address: fmt.Sprintf("%s.%d:%d", d.block, 100+n, serverPort),
			work:    func(*http.Request) time.Duration { return 250 * time.Millisecond },
		}
		if service == "sijoitus" {
			i.work = func(*http.Request) time.Duration { return restartWork }
			i.clockBehind = clockDifference
		}
		d.startInstance(i)
		return i
	}
	for n := range 6 {
		newInstance(n, "profiili")
	}
	var desk []*instance
	for n := 6; n < 9; n++ {
		desk = append(desk, newInstance(n, "sijoitus"))
	}
	d.startGateways(2, "uus-a", "uus-b")
	time.Sleep(stablePeriod + time.Second)
	var mu sync.Mutex
	sent, served := map[string]int{}, map[string]int{}
	var calls sync.WaitGroup
	for n := range 9 {
		calls.Go(func() {
			c := d.newCaller(n)
			for end := time.Now().Add(restartTraffic); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				id := newID()
				q := request{id: id, method: http.MethodGet, path: "/profiili/pupil?id=" + id, deadline: 5 * time.Second}
				kind := "lookups"
				if n < 4 {
					kind = "confirmations"
					q = request{id: id, method: http.MethodPost, path: "/sijoitus/confirm", body: bytes.Repeat([]byte(id), 20), deadline: 6 * time.Second}
				}
				r := c.send(d.gateways[n%2], q)
				mu.Lock()
				sent[kind]++
				if r.err == nil && r.status == http.StatusOK {
					served[kind]++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for n, i := range desk {
			// The instance is in use: it has just begun to run a request.
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if time.Now().UnixMilli()-i.beganAt.Load() < 200 {
					break
				}
			}
			i.drain()
			time.Sleep(drainLimit + 100*time.Millisecond)
			i.stop()
			time.Sleep(100 * time.Millisecond)
			newInstance(6+n, "sijoitus")
			time.Sleep(500 * time.Millisecond)
		}
	}
	calls.Wait()
	share := func(kind string) float64 { return float64(served[kind]) / float64(max(1, sent[kind])) }
	all := float64(served["lookups"]+served["confirmations"]) / float64(max(1, sent["lookups"]+sent["confirmations"]))
	return verdict{share("confirmations") < all/4, fmt.Sprintf("served: %d of %d lookups, %d of %d confirmations",
		served["lookups"], sent["lookups"], served["confirmations"], sent["confirmations"])}
}
