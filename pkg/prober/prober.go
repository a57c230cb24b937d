// Package prober decides which servers to probe, and when. A Prober plans the probes for
// package gateway within a grant, the rate of probes that package budget allows this
// gateway; package edge uses only Interval and divides the servers among the gateways. The
// callers send the probes. This package does no I/O and reads no clock: times are
// nanoseconds on the gateway's monotonic clock.
package prober

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// StaleAfter is the age of a server's last load report from which a probe is worth
	// its cost. routing.Stats weights reports with a half-life of 50 ms, so that an older
	// one is practically useless; servers with traffic report far more often.
	StaleAfter = time.Second
	// MaxInFlight bounds the probes in flight of one service.
	MaxInFlight = 32
)

// Server is a server that may receive calls.
type Server struct {
	ID string
	// ReportedAt is the time of the last load report, 0 if there was none.
	ReportedAt int64
}

// Prober plans the probes of one service. It is not safe for concurrent use.
type Prober struct {
	random   *rand.Rand
	servers  map[string]*schedule
	inFlight int
}

// schedule holds the times of one server's probes.
type schedule struct {
	// intervalStart is the time from which the interval to the next probe counts, 0
	// without a grant.
	intervalStart int64
	// sentAt is the time of the last probe, 0 if none.
	sentAt int64
	// probing says that a probe is in flight.
	probing bool
}

// New returns a prober that has sent no probe yet.
func New(random *rand.Rand) *Prober {
	return &Prober{random: random, servers: make(map[string]*schedule)}
}

// Stale reports whether the last load report of the server is at least StaleAfter old.
func Stale(now int64, server Server) bool {
	return now-server.ReportedAt >= int64(StaleAfter)
}

// ProbeNeeded reports whether any server needs a probe, so that a grant is held only
// while it is used.
func ProbeNeeded(now int64, servers []Server) bool {
	return slices.ContainsFunc(servers, func(s Server) bool { return Stale(now, s) })
}

// Next returns the servers to probe now, those with the oldest reports first. A server
// with a probe in flight is left out. rate is the granted number of probes per second
// of each server. Done must be called once for each returned server.
func (p *Prober) Next(now int64, servers []Server, rate float64) []string {
	p.removeUnlisted(servers)
	if rate <= 0 {
		p.resetIntervals()
		return nil
	}
	interval := int64(float64(time.Second) / rate)
	var due []Server
	for _, server := range servers {
		s := p.scheduleOf(now, server.ID, interval)
		if !s.probing && now-s.intervalStart >= interval && Stale(now, server) {
			due = append(due, server)
		}
	}
	slices.SortFunc(due, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.ReportedAt, b.ReportedAt), cmp.Compare(a.ID, b.ID))
	})
	due = due[:max(0, min(len(due), MaxInFlight-p.inFlight))]
	ids := make([]string, 0, len(due))
	for _, server := range due {
		s := p.servers[server.ID]
		s.intervalStart = now
		s.sentAt = now
		s.probing = true
		p.inFlight++
		ids = append(ids, server.ID)
	}
	return ids
}

// Done records the end of a probe, whatever its result.
func (p *Prober) Done(id string) {
	p.inFlight--
	if s := p.servers[id]; s != nil {
		s.probing = false
	}
}

// scheduleOf returns the schedule of a server. Under a new grant it starts at a random
// point of the interval, so that gateways with equal grants do not probe at the same
// time.
func (p *Prober) scheduleOf(now int64, id string, interval int64) *schedule {
	s := p.servers[id]
	if s == nil {
		s = &schedule{}
		p.servers[id] = s
	}
	if s.intervalStart == 0 {
		s.intervalStart = max(s.sentAt, now-p.random.Int64N(max(1, interval)))
	}
	return s
}

func (p *Prober) resetIntervals() {
	for _, s := range p.servers {
		s.intervalStart = 0
	}
}

// removeUnlisted removes the schedules of servers that are no longer listed.
func (p *Prober) removeUnlisted(servers []Server) {
	if len(p.servers) <= len(servers) {
		return
	}
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
	}
	for id := range p.servers {
		if !listed[id] {
			delete(p.servers, id)
		}
	}
}
