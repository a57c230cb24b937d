// Package handoffconn hands off calls to other gateways. It keeps the connections to them and counts
// the calls in flight; package handoff chooses among them. Package edge sets it up.
package handoffconn

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"balsamhill/pkg/gossip"
	"balsamhill/pkg/handoff"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/serverconn"
)

const (
	// connections bounds the connections of one gateway to another.
	connections = 256
	// idleTimeout and freshIdleTimeout are the idle timeouts of ordinary and of fresh
	// connections; see proxy.ServerTransport.
	idleTimeout      = 4 * time.Second
	freshIdleTimeout = 500 * time.Millisecond
	// suspension is how long a gateway that declined a call, or did not respond to it, is the
	// last choice, or none if it was not heard lately; see handoff.Choose.
	suspension = time.Second
)

// Config configures a Sender.
type Config struct {
	// Region and FailureDomain are those of this gateway.
	Region, FailureDomain string
	// Dial opens connections to gateways.
	Dial serverconn.DialFunc
	// Refused is called when a gateway sends what is no response.
	Refused serverconn.RefusalFunc
	// Required reports whether this gateway reaches no server.
	Required func() bool
	// Known returns the gateways that may take calls.
	Known func(now int64) []gossip.HandoffCandidate
	// Now returns nanoseconds on the gateway's monotonic clock.
	Now func() int64
}

// Sender chooses the gateways to which calls are handed off, and sends the calls. Its methods are
// safe for concurrent use.
type Sender struct {
	config     Config
	transports *serverconn.Transports

	mu sync.Mutex
	// gateways holds the gateways to which calls were handed off, by ID.
	gateways map[string]*gateway
}

// gateway is a gateway to which calls were handed off.
type gateway struct {
	entry          *routing.Server
	suspendedUntil int64
}

var _ proxy.Handoff = (*Sender)(nil)

// NewSender returns a sender without connections.
func NewSender(config Config) *Sender {
	return &Sender{
		config: config, gateways: make(map[string]*gateway),
		transports: serverconn.NewShared(serverconn.SharedConfig{
			Dial: config.Dial, Connections: connections, Idle: idleTimeout, FreshIdle: freshIdleTimeout,
			Refused: config.Refused,
		}),
	}
}

// Required implements proxy.Handoff.
func (s *Sender) Required() bool {
	return s.config.Required()
}

// Possible reports whether there is a gateway that may take calls.
func (s *Sender) Possible() bool {
	return len(s.config.Known(s.config.Now())) > 0
}

// CloseIdleConnections closes the connections without a call in flight.
func (s *Sender) CloseIdleConnections() {
	s.transports.CloseIdleConnections()
}

// Choose implements proxy.Handoff.
func (s *Sender) Choose(tried []*routing.Server) *routing.Server {
	now := s.config.Now()
	known := s.config.Known(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetUnknown(known)
	var entries []*routing.Server
	var candidates []handoff.Candidate
	for _, k := range known {
		g := s.stateOf(k.Gateway)
		if slices.Contains(tried, g.entry) {
			continue
		}
		entries = append(entries, g.entry)
		candidates = append(candidates, handoff.Candidate{
			Heard:      k.Heard,
			SameRegion: k.Gateway.Region == s.config.Region, SameDomain: k.Gateway.FailureDomain == s.config.FailureDomain,
			InFlight: g.entry.Stats.InFlight(), SuspendedUntil: g.suspendedUntil,
		})
	}
	chosen := handoff.Choose(now, candidates, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if chosen < 0 {
		return nil
	}
	return entries[chosen]
}

// stateOf returns the state of a gateway. The caller holds mu.
func (s *Sender) stateOf(described gossip.Gateway) *gateway {
	g := s.gateways[described.ID]
	if g == nil || g.entry.Incarnation != described.Incarnation || g.entry.Address != described.Address {
		g = &gateway{entry: &routing.Server{
			ID: described.ID, Address: described.Address, Region: described.Region, FailureDomain: described.FailureDomain,
			Incarnation: described.Incarnation, Gateway: true, Stats: &routing.Stats{},
		}}
		s.gateways[described.ID] = g
	}
	return g
}

// forgetUnknown forgets the gateways that may no longer take calls. The caller holds mu.
func (s *Sender) forgetUnknown(known []gossip.HandoffCandidate) {
	for id := range s.gateways {
		if !slices.ContainsFunc(known, func(k gossip.HandoffCandidate) bool { return k.Gateway.ID == id }) {
			delete(s.gateways, id)
		}
	}
}

// Lost implements proxy.Handoff.
func (s *Sender) Lost(gateway *routing.Server) bool {
	return !slices.ContainsFunc(s.config.Known(s.config.Now()), func(k gossip.HandoffCandidate) bool {
		return k.Heard && k.Gateway.ID == gateway.ID && k.Gateway.Incarnation == gateway.Incarnation
	})
}

// Failed implements proxy.Handoff.
func (s *Sender) Failed(failed *routing.Server) {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.gateways[failed.ID]; g != nil && g.entry == failed {
		g.suspendedUntil = now + int64(suspension)
	}
}

// RoundTrip implements proxy.Handoff.
func (s *Sender) RoundTrip(fresh bool, request *http.Request) (*http.Response, error) {
	return s.transports.RoundTrip("", fresh, request)
}
