// Package policybench compares the policies of package routing, together with the
// health and control systems, in a discrete-event simulation. Servers are fakes with
// slots and a queue. Each gateway runs its own control.State and chooses from the
// snapshots that it publishes, so each has its own outdated view. The network has
// constant latencies. Only benchmarks and tests use the package.
package policybench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Deployment holds the constants of one deployment (design, section 1.2).
type Deployment struct {
	Name string
	// Domain, Region and Caller are one-way latencies.
	Domain, Region, Caller time.Duration
	// Servers is the number of instances of the service in both regions together.
	Servers int
	// ProbeCost is the server time that one probe takes.
	ProbeCost time.Duration
}

// Signline is the deployment with the service lesson-library. The design states no
// cost of a probe for it; the cost of a new connection is assumed.
func Signline() Deployment {
	return Deployment{
		Name: "signline", Domain: 500 * time.Microsecond, Region: 30 * time.Millisecond,
		Caller: 3 * time.Millisecond, Servers: 20, ProbeCost: time.Millisecond,
	}
}

// Vaihtosilta is the deployment with the service profiili.
func Vaihtosilta() Deployment {
	return Deployment{
		Name: "vaihtosilta", Domain: 1500 * time.Microsecond, Region: 30 * time.Millisecond,
		Caller: time.Millisecond, Servers: 15, ProbeCost: 6 * time.Millisecond,
	}
}

const (
	slots = 4
	// queueLimit is the number of queued requests at which a server responds with
	// 503.
	queueLimit = 32
	// meanService and sigmaService give log-normal service times with a heavy
	// tail: the 99th percentile is 6.2 times the mean.
	meanService  = 5 * time.Millisecond
	sigmaService = 1.0
	// sameDomain is the one-way latency within a failure domain.
	sameDomain = 100 * time.Microsecond
	// warmupTime is the time that a server takes to become warm after its start.
	// coldStartFactor is its slowdown at the start.
	warmupTime      = 2 * time.Second
	coldStartFactor = 5.0
	// failFastTime is the time after which a failing server responds with 500.
	failFastTime = 100 * time.Microsecond
)

type event struct {
	at  int64
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// clock is the virtual time and the queue of events.
type clock struct {
	now    int64
	seq    uint64
	events eventHeap
}

func (c *clock) after(delay time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + int64(delay), seq: c.seq, run: run})
}

func (c *clock) runUntil(end int64) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}

// status is the result of an attempt on a server.
type status int

const (
	succeeded status = iota
	failed
	shed
)

// reply is a response as the gateway receives it. A negative inFlight means that it
// contains no load report.
type reply struct {
	status   status
	inFlight int64
	draining bool
}

// job is one attempt or probe on a server.
type job struct {
	serviceTime float64
	cancelled   bool
	done        func(reply)
}

// server is a fake server with slots and a first-in-first-out queue.
type server struct {
	clock       *clock
	id          string
	region      string
	domain      string
	incarnation uint64
	busy        int
	queue       []*job
	// outstanding counts attempts that are sent and have no response yet. The ideal
	// policy uses it.
	outstanding    int
	slowdownFactor float64
	slowdownUntil  int64
	coldSince      int64
	failing        bool
	draining       bool
	down           bool
	drainSince     int64
}

// slowdown returns the factor by which service times are longer than usual now.
func (s *server) slowdown() float64 {
	slowdown := 1.0
	if s.clock.now < s.slowdownUntil {
		slowdown = s.slowdownFactor
	}
	if s.coldSince > 0 {
		age := float64(s.clock.now-s.coldSince) / float64(warmupTime)
		slowdown *= max(1, coldStartFactor-(coldStartFactor-1)*age)
	}
	return slowdown
}

// runTime returns the time that a job takes if it starts now. The end of a slowdown
// affects running jobs; its start affects only jobs that start later.
func (s *server) runTime(serviceTime float64) time.Duration {
	slowdown := s.slowdown()
	remaining := float64(s.slowdownUntil - s.clock.now)
	if remaining > 0 && serviceTime*slowdown > remaining {
		return time.Duration(remaining + serviceTime - remaining/slowdown)
	}
	return time.Duration(serviceTime * slowdown)
}

func (s *server) reply(status status) reply {
	return reply{status: status, inFlight: int64(s.busy + len(s.queue)), draining: s.draining}
}

func (s *server) arrive(j *job) {
	switch {
	case s.down:
		j.done(reply{status: failed, inFlight: -1})
	case s.failing:
		s.clock.after(failFastTime, func() { j.done(s.reply(failed)) })
	case s.busy < slots:
		s.start(j)
	case len(s.queue) >= queueLimit:
		j.done(s.reply(shed))
	default:
		s.queue = append(s.queue, j)
	}
}

func (s *server) start(j *job) {
	s.busy++
	s.clock.after(s.runTime(j.serviceTime), func() { s.finish(j) })
}

func (s *server) finish(j *job) {
	s.busy--
	j.done(s.reply(succeeded))
	for len(s.queue) > 0 && s.busy < slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if next.cancelled {
			continue
		}
		s.start(next)
	}
}

func drawServiceTime(random *rand.Rand) float64 {
	mu := math.Log(float64(meanService)) - sigmaService*sigmaService/2
	return math.Exp(mu + sigmaService*random.NormFloat64())
}
