package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["drain-segments"] = playDrain
}

// segmentBody is a body whose only segment becomes available after a delay, like the output of a
// recorder that hands out its recording in segments. It is sent in chunks.
type segmentBody struct {
	left  []byte
	delay time.Duration
}

func (s *segmentBody) Read(p []byte) (int, error) {
	time.Sleep(s.delay)
	s.delay = 0
	if len(s.left) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.left)
	s.left = s.left[n:]
	return n, nil
}

const (
	// drainLimit is the bound drainMs.
	drainLimit     = 2500 * time.Millisecond
	drainInstances = 8
	// drainLeaving is how many of the instances leave.
	drainLeaving = 4
	drainUploads = 40
	uploadBytes  = 60_000
	// minSegment and maxSegment bound the time of the recording in a segment.
	minSegment = 2700 * time.Millisecond
	maxSegment = 3300 * time.Millisecond
	// drainServes is how long an instance that leaves goes on serving after the store has
	// acknowledged the removal of its entry.
	drainServes = drainLimit + 600*time.Millisecond
)

// playDrain takes away half of the instances of a service while callers upload recordings that they
// send segment by segment.
func playDrain(d *deployment, trouble bool) verdict {
	const service = "asiakirjat"
	d.writeConfig(1, []route{{service: service, kind: "upload", timeoutMs: 6000, targetMs: 1000}})
	var instances []*instance
	for n := range drainInstances {
		i := &instance{
			id: fmt.Sprintf("i-doc-%03d", n+1), service: service, zone: zones[n%2],
			address: fmt.Sprintf("%s.%d:%d", d.block, 100+n, serverPort),
			work:    func(*http.Request) time.Duration { return 350 * time.Millisecond },
		}
		d.startInstance(i)
		instances = append(instances, i)
	}
	d.startGateways(2, "uus-a", "uus-b")
	time.Sleep(stablePeriod + time.Second)
	var calls sync.WaitGroup
	var mu sync.Mutex
	var results []result
	for n := range drainUploads {
		calls.Go(func() {
			segment := minSegment + time.Duration(n)*(maxSegment-minSegment)/drainUploads
			body := &segmentBody{left: bytes.Repeat([]byte("document "), uploadBytes/9), delay: segment}
			r := d.newCaller(n).send(d.gateways[n%2], request{
				id: newID(), method: http.MethodPost, path: "/asiakirjat/form", reader: body, deadline: 6 * time.Second,
			})
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		})
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		for _, i := range instances[:drainLeaving] {
			i.leave()
			time.AfterFunc(drainServes, i.stop)
		}
	}
	calls.Wait()
	late, lost := 0, 0
	for _, a := range d.arrivals() {
		if !a.removedAt.IsZero() && a.at.Sub(a.removedAt) > drainLimit {
			late++
		}
	}
	statuses := map[int]int{}
	for _, r := range results {
		statuses[r.status]++
		for _, run := range d.runsOf(r.id) {
			if !run.done {
				lost++
			}
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d uploads, answers by status %v; %d reached an instance later than %s after the acknowledgement, %d were cut off at an instance",
		len(results), statuses, late, drainLimit, lost)}
}
