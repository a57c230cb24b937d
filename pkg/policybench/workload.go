package policybench

import (
	"math/rand/v2"
	"time"
)

// Workload defines the load and the disturbances of one run.
type Workload struct {
	Name string
	// Load is the offered load as a share of the capacity of all servers.
	Load float64
	// Shift redraws the call rate and the shares of the gateways every
	// shiftInterval.
	Shift bool
	// Disturb starts the disturbances; nil for none.
	Disturb func(*run)
	// OverloadFrom and OverloadUntil limit a phase with a load of overloadShare.
	OverloadFrom, OverloadUntil time.Duration
	// Length is the virtual time of the run, defaultLength if 0.
	Length time.Duration
}

const (
	shiftInterval = 5 * time.Millisecond
	warmupLength  = 2 * time.Second
	defaultLength = 10 * time.Second
	overloadShare = 1.2
)

// Workloads returns all workloads.
func Workloads() []Workload {
	return []Workload{
		{Name: "steady-50", Load: 0.5},
		{Name: "steady-70", Load: 0.7},
		{Name: "steady-85", Load: 0.85},
		{Name: "steady-95", Load: 0.95},
		{Name: "shift-85", Load: 0.85, Shift: true},
		{Name: "noisy-70", Load: 0.7, Disturb: noisyNeighbours},
		{Name: "straggler-70", Load: 0.7, Disturb: stragglers},
		{Name: "cold-70", Load: 0.7, Disturb: coldStarts},
		{Name: "drain-60", Load: 0.6, Disturb: drains, Length: 16 * time.Second},
		{Name: "failfast-60", Load: 0.6, Disturb: failFast},
		{
			Name: "overload-120", Load: 0.7, Length: 13 * time.Second,
			OverloadFrom: 4 * time.Second, OverloadUntil: 8 * time.Second,
		},
	}
}

// noisyNeighbours slows each server down by a factor of 3 to 10 for 10 to 500 ms, on
// average every 2 s.
func noisyNeighbours(r *run) {
	for _, s := range r.servers {
		var next func()
		next = func() {
			length := 10*time.Millisecond + time.Duration(r.random.Int64N(int64(490*time.Millisecond)))
			s.slowdownFactor = 3 + 7*r.random.Float64()
			s.slowdownUntil = r.clock.now + int64(length)
			r.clock.after(exponential(r.random, 2*time.Second)+length, next)
		}
		r.clock.after(exponential(r.random, 2*time.Second), next)
	}
}

// stragglers slows a tenth of the servers down by a factor of 10 for 4 s.
func stragglers(r *run) {
	r.clock.after(4*time.Second, func() {
		for i, s := range r.servers {
			if i%10 == 3 {
				s.slowdownFactor = 10
				s.slowdownUntil = r.clock.now + int64(4*time.Second)
			}
		}
	})
}

// coldStarts replaces a tenth of the servers by new incarnations at the same time.
// Their requests in flight end normally.
func coldStarts(r *run) {
	r.clock.after(4*time.Second, func() {
		for i, s := range r.servers {
			if i%10 == 3 {
				s.incarnation++
				s.coldSince = r.clock.now
			}
		}
		r.publishList()
	})
}

// drains makes a fifth of the servers drain: they announce it in each response, exit
// 6 s later and return as new incarnations 1 s after that.
func drains(r *run) {
	r.clock.after(3*time.Second, func() {
		for i, s := range r.servers {
			if i%5 != 3 {
				continue
			}
			s.draining = true
			s.drainSince = r.clock.now
			r.clock.after(6*time.Second, func() { s.down = true })
			r.clock.after(7*time.Second, func() {
				s.down, s.draining, s.drainSince = false, false, 0
				s.incarnation++
				s.coldSince = r.clock.now
				r.publishList()
			})
		}
		r.publishList()
	})
}

// failFast makes a tenth of the servers respond with 500 immediately for 4 s.
func failFast(r *run) {
	r.clock.after(4*time.Second, func() {
		for i, s := range r.servers {
			if i%10 != 3 {
				continue
			}
			s.failing = true
			r.clock.after(4*time.Second, func() { s.failing = false })
		}
	})
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}
