// Package policybench measures the policies of package routing together with
// the health and control systems, in virtual time. Servers are small fakes with
// slots and a queue; each gateway runs its own control.State and picks from the
// snapshots that it publishes, so every gateway has its own stale view. The
// network has constant latencies. The package holds no production code.
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

// Signline is the deployment with the service lesson-library. The design gives
// no cost of a probe there; the cost of a new connection is assumed.
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
	// queueLimit is the number of waiting requests from which a server answers 503.
	queueLimit = 32
	// meanService and sigmaService give log-normal service times with a heavy
	// tail: the 99th percentile is 6.2 times the mean.
	meanService  = 5 * time.Millisecond
	sigmaService = 1.0
	// sameDomain is the one-way latency within a failure domain.
	sameDomain = 100 * time.Microsecond
	// warmupTime is how long a started server takes to become warm; coldFactor is
	// how much slower it is at the start.
	warmupTime      = 2 * time.Second
	coldStartFactor = 5.0
	// failFastTime is how long a failing server takes to answer 500.
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

// clock is virtual time with a queue of events.
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

// status is what a server answers.
type status int

const (
	succeeded status = iota
	failed
	shed
)

// reply is an answer as the gateway sees it.
type reply struct {
	status   status
	inFlight int64
	draining bool
}

// job is one attempt or probe at a server.
type job struct {
	serviceTime float64
	cancelled   bool
	done        func(reply)
}

// server is a fake with slots and a first-in-first-out queue.
type server struct {
	clock       *clock
	id          string
	region      string
	domain      string
	incarnation uint64
	busy        int
	queue       []*job
	// outstanding counts attempts sent and not yet answered, for the ideal policy.
	outstanding    int
	slowdownFactor float64
	slowdownUntil  int64
	coldSince      int64
	failing        bool
	draining       bool
	down           bool
	drainSince     int64
}

// slowdown is how many times slower than normal the server is now.
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

// runTime returns how long work takes when it starts now. A slow time ends
// for running work too; it does not begin for it.
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
