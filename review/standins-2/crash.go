package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["crash-chunks"] = func(d *deployment, trouble bool) verdict { return playCrash(d, trouble, chunkedPoison) }
	cases["crash-query"] = func(d *deployment, trouble bool) verdict { return playCrash(d, trouble, queryPoison) }
	cases["crash-restart"] = playCrashRestart
}

// allowedRetries is how many retries of a request that crashes instances may reach instances later
// than stablePeriod after the third crash.
const allowedRetries = 3

// poisonCaller is the number of the caller whose request crashes instances.
const poisonCaller = 50

// backAfter is how long a crashed instance takes until it is back.
const backAfter = 2 * time.Second

// crashFleet holds the instances of a service that are started again after crashes.
type crashFleet struct {
	d       *deployment
	service string
	crashes func(r *http.Request, body []byte) bool
	work    time.Duration
	starts  atomic.Int64

	mu        sync.Mutex
	crashedAt []time.Time
	stopped   bool
}

// start starts an instance, and another one at its address some time after it has crashed.
func (f *crashFleet) start(number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	i := &instance{
		id: fmt.Sprintf("i-%s-%03d", f.service, f.starts.Add(1)), service: f.service, zone: zones[number%2],
		address: fmt.Sprintf("%s.%d:%d", f.d.block, 100+number, serverPort),
		work:    func(*http.Request) time.Duration { return f.work },
	}
	i.crashes = func(r *http.Request, body []byte) bool {
		if !f.crashes(r, body) {
			return false
		}
		f.mu.Lock()
		f.crashedAt = append(f.crashedAt, time.Now())
		f.mu.Unlock()
		time.AfterFunc(backAfter, func() { f.start(number) })
		return true
	}
	f.d.startInstance(i)
}

func (f *crashFleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
}

// thirdCrash returns when the request had crashed three instances.
func (f *crashFleet) thirdCrash() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashedAt) < 3 {
		return time.Time{}, false
	}
	return f.crashedAt[2], true
}

// poison makes the request that crashes instances; it is sent again and again with the same
// method, path, query and body.
type poison struct {
	service, kind string
	// make returns the request for one send.
	make func(id string) request
	// is recognises the request.
	is func(r *http.Request, body []byte) bool
	// beside returns another request of the same caller, which does no harm; nil for none.
	beside func(id string) request
}

const crashBody = "crash "

// poisonBody is the body of uploads that crash instances: about 6 KB.
var poisonBody = []byte(strings.Repeat(crashBody, 1000))

func isPoisonBody(_ *http.Request, body []byte) bool { return bytes.Equal(body, poisonBody) }

// recorder is a body that becomes available in pieces, like the output of a recorder. Where one
// piece ends and the next begins differs from send to send; the bytes do not.
type recorder struct{ left []byte }

func (r *recorder) Read(p []byte) (int, error) {
	if len(r.left) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.left[:min(len(r.left), 200+rand.IntN(1200))])
	r.left = r.left[n:]
	time.Sleep(5 * time.Millisecond)
	return n, nil
}

// chunkedPoison is an upload that is sent in chunks.
var chunkedPoison = poison{
	service: "asiakirjat", kind: "upload",
	make: func(id string) request {
		return request{id: id, method: http.MethodPost, path: "/asiakirjat/form", reader: &recorder{poisonBody}, deadline: 6 * time.Second}
	},
	is: isPoisonBody,
}

// lengthPoison is the same upload with a length.
var lengthPoison = poison{
	service: "asiakirjat", kind: "upload",
	make: func(id string) request {
		return request{id: id, method: http.MethodPost, path: "/asiakirjat/form", body: poisonBody, deadline: 6 * time.Second}
	},
	is: isPoisonBody,
}

// queryPoison is a fetch whose query makes the difference; the same caller makes other fetches with
// the same path.
var queryPoison = poison{
	service: "profiili", kind: "safe",
	make: func(id string) request {
		return request{id: id, method: http.MethodGet, path: "/profiili/status?pupil=4711", deadline: 5 * time.Second}
	},
	is: func(r *http.Request, _ []byte) bool { return r.URL.RawQuery == "pupil=4711" },
	beside: func(id string) request {
		return request{id: id, method: http.MethodGet, path: "/profiili/status?pupil=" + id, deadline: 5 * time.Second}
	},
}

// crashInstances is the number of instances of the service, and crashGateways that of gateways.
const (
	crashInstances = 8
	crashGateways  = 3
)

// playCrash lets a request crash instances again and again, sent once a second by the same caller.
func playCrash(d *deployment, trouble bool, p poison) verdict {
	fleet := &crashFleet{d: d, service: p.service, crashes: p.is, work: 250 * time.Millisecond}
	d.writeConfig(1, []route{{service: p.service, kind: p.kind, timeoutMs: 6000, targetMs: 1000}})
	for n := range crashInstances {
		fleet.start(n)
	}
	d.startGateways(crashGateways, "uus-a", "uus-b")
	time.Sleep(stablePeriod + time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	others := &tally{}
	for n := range 8 {
		callers.Go(func() { d.callOften(n, p, others, stop) })
	}
	if p.beside != nil {
		same := d.newCaller(poisonCaller)
		callers.Go(func() { d.callBeside(same, p, stop) })
	}
	ids := map[string]bool{}
	same := d.newCaller(poisonCaller)
	for n := range 40 {
		time.Sleep(time.Second)
		if !trouble {
			continue
		}
		id := newID()
		ids[id] = true
		callers.Go(func() { same.send(d.gateways[n%crashGateways], p.make(id)) })
	}
	close(stop)
	callers.Wait()
	fleet.stop()
	return fleet.verdict(ids, others, func(string) bool { return true })
}

// tally counts what became of the requests of the other callers.
type tally struct {
	served, failed, lost atomic.Int64
}

func (t *tally) add(d *deployment, r result) {
	if r.err == nil && r.status == http.StatusOK {
		t.served.Add(1)
		return
	}
	t.failed.Add(1)
	for _, run := range d.runsOf(r.id) {
		if !run.done {
			t.lost.Add(1)
			return
		}
	}
}

// callOften sends requests of another caller, which do no harm, over all gateways by turns.
func (d *deployment) callOften(number int, p poison, t *tally, stop chan struct{}) {
	c := d.newCaller(number)
	for n := number; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+rand.IntN(200)) * time.Millisecond):
		}
		q := request{id: newID(), method: http.MethodPost, path: "/" + p.service + "/form", body: bytes.Repeat([]byte("sound "), 5000), deadline: 6 * time.Second}
		if p.kind == "safe" {
			q = request{id: q.id, method: http.MethodGet, path: "/" + p.service + "/profile?pupil=" + q.id, deadline: 5 * time.Second}
		}
		t.add(d, c.send(d.gateways[n%len(d.gateways)], q))
	}
}

// callBeside sends the harmless requests of the caller whose other request crashes instances.
func (d *deployment) callBeside(c *caller, p poison, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		c.send(d.gateways[n%len(d.gateways)], p.beside(newID()))
	}
}

// verdict counts the retries that reached instances later than stablePeriod after the third crash
// and were sent by machines in touch.
func (f *crashFleet) verdict(ids map[string]bool, others *tally, inTouch func(id string) bool) verdict {
	rest := fmt.Sprintf("other callers: %d served, %d not, %d of these cut off at an instance",
		others.served.Load(), others.failed.Load(), others.lost.Load())
	third, ok := f.thirdCrash()
	if !ok {
		return verdict{false, "fewer than three crashes; " + rest}
	}
	late := 0
	for _, r := range f.d.arrivals() {
		if ids[r.id] && r.at.Sub(third) > stablePeriod && inTouch(r.id) {
			late++
		}
	}
	f.mu.Lock()
	crashes := len(f.crashedAt)
	f.mu.Unlock()
	return verdict{late > allowedRetries, fmt.Sprintf(
		"%d sends of the request, %d crashes, %d retries reached instances later than %s after the third crash, %d allowed; %s",
		len(ids), crashes, late, stablePeriod, allowedRetries, rest)}
}

// playCrashRestart stops and starts the gateways in turn after a request has crashed three
// instances and is held back.
func playCrashRestart(d *deployment, trouble bool) verdict {
	p := lengthPoison
	fleet := &crashFleet{d: d, service: p.service, crashes: p.is, work: 250 * time.Millisecond}
	d.writeConfig(1, []route{{service: p.service, kind: p.kind, timeoutMs: 6000, targetMs: 1000}})
	for n := range crashInstances {
		fleet.start(n)
	}
	d.startGateways(crashGateways, "uus-a", "uus-b")
	time.Sleep(stablePeriod + time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	others := &tally{}
	for n := range 8 {
		callers.Go(func() { d.callOften(n, p, others, stop) })
	}
	var mu sync.Mutex
	ids := map[string]bool{}
	touched := map[string]bool{}
	same := d.newCaller(poisonCaller)
	callers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			g := d.gateways[n%crashGateways]
			id := newID()
			mu.Lock()
			ids[id] = true
			touched[id] = g.steady()
			mu.Unlock()
			callers.Go(func() { same.send(g, p.make(id)) })
		}
	})
	time.Sleep(12 * time.Second)
	for _, g := range d.gateways {
		if trouble {
			g.terminate()
			g.awaitEnd()
			g.start()
			g.awaitReady()
		}
		time.Sleep(stablePeriod + 12*time.Second)
	}
	close(stop)
	callers.Wait()
	fleet.stop()
	mu.Lock()
	defer mu.Unlock()
	return fleet.verdict(ids, others, func(id string) bool { return touched[id] })
}
