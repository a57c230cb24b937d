package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["gone-paused"] = playGone
}

// playGone lets callers leave while all instances of a service want no work for a moment.
func playGone(d *deployment, trouble bool) verdict {
	const service = "asiakirjat"
	d.writeConfig(1, []route{{service: service, kind: "upload", timeoutMs: 6000, targetMs: 1000}})
	var instances []*instance
	for n := range 4 {
		i := &instance{
			id: fmt.Sprintf("i-doc-%03d", n+1), service: service, zone: zones[n%2], pause: 1200 * time.Millisecond,
			address: fmt.Sprintf("%s.%d:%d", d.block, 100+n, serverPort),
		}
		d.startInstance(i)
		instances = append(instances, i)
	}
	d.startGateways(2, "uus-a", "uus-b")
	time.Sleep(stablePeriod + time.Second)
	body := bytes.Repeat([]byte("document "), 60_000/9)
	var left sync.Map
	var sent atomic.Int64
	var calls sync.WaitGroup
	for range 5 {
		for _, i := range instances {
			i.rejecting.Store(true)
		}
		// These learn from each instance that it wants a pause.
		for n := range 12 {
			calls.Go(func() {
				d.newCaller(n).send(d.gateways[n%2], request{id: newID(), method: http.MethodPost, path: "/asiakirjat/form", body: body, deadline: 6 * time.Second})
			})
		}
		time.Sleep(400 * time.Millisecond)
		for _, i := range instances {
			i.rejecting.Store(false)
		}
		for n := range 12 {
			calls.Go(func() {
				q := request{id: newID(), method: http.MethodPost, path: "/asiakirjat/form", body: body, deadline: 6 * time.Second}
				if trouble {
					q.leaveAfter = 200 * time.Millisecond
				}
				sent.Add(1)
				r := d.newCaller(20+n).send(d.gateways[n%2], q)
				if r.err != nil {
					left.Store(q.id, time.Now())
				}
			})
		}
		time.Sleep(3 * time.Second)
	}
	calls.Wait()
	late := 0
	for _, a := range d.arrivals() {
		if at, ok := left.Load(a.id); ok && a.at.Sub(at.(time.Time)) > 500*time.Millisecond {
			late++
		}
	}
	return verdict{late > 3, fmt.Sprintf("%d uploads; %d reached an instance over half a second after their caller had left", sent.Load(), late)}
}
