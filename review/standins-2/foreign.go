package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["foreign-entry"] = playForeign
}

const (
	// foreignTraffic is how long the requesters send, foreignAfter when the other writer writes.
	foreignTraffic = 60 * time.Second
	foreignAfter   = 4 * time.Second
)

// playForeign lets another writer overwrite the entries of the instances of a service once. Each
// instance writes its own entry again with its next heartbeat.
func playForeign(d *deployment, trouble bool) verdict {
	d.writeConfig(1, []route{
		{service: "profiili", kind: "safe", timeoutMs: 2500, targetMs: 600},
		{service: "sijoitus", kind: "unsafe", timeoutMs: 3000, targetMs: 800},
	})
	var desk []*instance
	for n, service := range []string{"profiili", "profiili", "profiili", "sijoitus", "sijoitus", "sijoitus"} {
		i := &instance{
			id: fmt.Sprintf("i-%s-%03d", service[:3], n+1), service: service, zone: zones[n%2],
			address: fmt.Sprintf("%s.%d:%d", d.block, 100+n, serverPort),
			work:    func(*http.Request) time.Duration { return 250 * time.Millisecond },
		}
		d.startInstance(i)
		if service == "sijoitus" {
			desk = append(desk, i)
		}
	}
	d.startGateways(2, "uus-a", "uus-b")
	time.Sleep(stablePeriod + time.Second)
	var mu sync.Mutex
	sent, served := map[string]int{}, map[string]int{}
	var calls sync.WaitGroup
	for n := range 10 {
		calls.Go(func() {
			c := d.newCaller(n)
			for end := time.Now().Add(foreignTraffic); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				id := newID()
				q := request{id: id, method: http.MethodGet, path: "/profiili/pupil?id=" + id, deadline: 5 * time.Second}
				kind := "lookups"
				if n%2 == 0 {
					kind = "confirmations"
					q = request{id: id, method: http.MethodPost, path: "/sijoitus/confirm", body: bytes.Repeat([]byte(id), 20), deadline: 6 * time.Second}
				}
				r := c.send(d.gateways[n/2%2], q)
				mu.Lock()
				sent[kind]++
				if r.err == nil && r.status == http.StatusOK {
					served[kind]++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(foreignAfter)
	if trouble {
		for _, i := range desk {
			d.store.put("servers", i.id, map[string]any{
				"address": i.address, "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": "sijoitus-koe", "version": "v1", "zone": i.zone, "slots": instanceSlots},
				"status": map[string]any{"state": "ready", "seq": 1, "warmupLeftMs": 0},
			})
			d.record("another writer overwrites the entry of %s with one of a service that the configuration does not name", i.id)
		}
	}
	calls.Wait()
	share := func(kind string) float64 { return float64(served[kind]) / float64(max(1, sent[kind])) }
	all := float64(served["lookups"]+served["confirmations"]) / float64(max(1, sent["lookups"]+sent["confirmations"]))
	return verdict{share("confirmations") < all/4, fmt.Sprintf("served: %d of %d lookups, %d of %d confirmations",
		served["lookups"], sent["lookups"], served["confirmations"], sent["confirmations"])}
}
