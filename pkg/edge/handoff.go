package edge

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
	// handoffConnections bounds the connections of one gateway to another for handed off calls.
	handoffConnections = 256
	// handoffSuspension is how long a gateway that declined a call, or did not respond to it,
	// is chosen only if there is no other one.
	handoffSuspension = time.Second
)

// handoffs chooses the gateways to which calls are handed off while this gateway reaches no
// server, and sends the calls.
type handoffs struct {
	edge       *Edge
	transports *serverconn.Transports

	mu sync.Mutex
	// gateways holds the gateways to which calls were handed off, by ID.
	gateways map[string]*handoffGateway
}

// handoffGateway is a gateway to which calls were handed off.
type handoffGateway struct {
	entry          *routing.Server
	suspendedUntil int64
}

var _ proxy.Handoff = (*handoffs)(nil)

func newHandoffs(e *Edge) *handoffs {
	return &handoffs{
		edge: e, gateways: make(map[string]*handoffGateway),
		transports: serverconn.NewShared(serverconn.SharedConfig{
			Dial: serverconn.Dial, Connections: handoffConnections, Idle: idleTimeout, FreshIdle: nonRepeatableIdleTimeout,
		}),
	}
}

// Required implements proxy.Handoff.
func (h *handoffs) Required() bool {
	return h.edge.contact.Isolated()
}

// possible reports whether there is a gateway that may take calls.
func (h *handoffs) possible() bool {
	return len(h.known()) > 0
}

// known returns the gateways that may take calls.
func (h *handoffs) known() []gossip.HandoffCandidate {
	e := h.edge
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	return e.peers.HandoffCandidates(e.now())
}

// Choose implements proxy.Handoff.
func (h *handoffs) Choose(tried []*routing.Server) *routing.Server {
	known := h.known()
	now := h.edge.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forgetUnknown(known)
	var entries []*routing.Server
	var candidates []handoff.Candidate
	for _, k := range known {
		g := h.gateway(k.Gateway)
		if slices.Contains(tried, g.entry) {
			continue
		}
		entries = append(entries, g.entry)
		candidates = append(candidates, handoff.Candidate{
			ID: k.Gateway.ID, Heard: k.Heard,
			SameRegion: k.Gateway.Region == h.edge.settings.Region, SameDomain: k.Gateway.FailureDomain == h.edge.settings.FailureDomain,
			InFlight: g.entry.Stats.InFlight(), SuspendedUntil: g.suspendedUntil,
		})
	}
	chosen := handoff.Choose(now, candidates, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if chosen < 0 {
		return nil
	}
	return entries[chosen]
}

// gateway returns the state of a gateway. The caller holds mu.
func (h *handoffs) gateway(described gossip.Gateway) *handoffGateway {
	g := h.gateways[described.ID]
	if g == nil || g.entry.Incarnation != described.Incarnation || g.entry.Address != described.Address {
		g = &handoffGateway{entry: &routing.Server{
			ID: described.ID, Address: described.Address, Region: described.Region, FailureDomain: described.FailureDomain,
			Incarnation: described.Incarnation, Gateway: true, Stats: &routing.Stats{},
		}}
		h.gateways[described.ID] = g
	}
	return g
}

// forgetUnknown forgets the gateways that may no longer take calls. The caller holds mu.
func (h *handoffs) forgetUnknown(known []gossip.HandoffCandidate) {
	for id := range h.gateways {
		if !slices.ContainsFunc(known, func(k gossip.HandoffCandidate) bool { return k.Gateway.ID == id }) {
			delete(h.gateways, id)
		}
	}
}

// Failed implements proxy.Handoff.
func (h *handoffs) Failed(gateway *routing.Server) {
	now := h.edge.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.gateways[gateway.ID]; g != nil && g.entry == gateway {
		g.suspendedUntil = now + int64(handoffSuspension)
	}
}

// RoundTrip implements proxy.Handoff.
func (h *handoffs) RoundTrip(fresh bool, request *http.Request) (*http.Response, error) {
	return h.transports.RoundTrip("", fresh, request)
}
