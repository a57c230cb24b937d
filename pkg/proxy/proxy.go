// Package proxy is the traffic path: it accepts callers' requests, chooses a
// server from the published snapshot and streams both bodies, with net/http on
// both sides.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// Config is what a Proxy needs.
type Config struct {
	// Routes applies while the snapshot has no routes of its own.
	Routes *routing.RouteTable
	// Protocol is nil for the headers of docs/TRAFFIC.md.
	Protocol Protocol
	// ResponseBufferBytes is how many bytes of an answer are read before it is passed on.
	// An answer that ends within them and breaks off counts as a failed attempt.
	// 0 passes answers on as they come.
	ResponseBufferBytes int
	// ReplaceRefusals answers in place of a server that refused a call.
	ReplaceRefusals bool
	// ReplayBodyBytes is how many bytes of a streamed body are kept, so that it can be
	// sent to another server after a refusal.
	ReplayBodyBytes int
	// RetryBase returns how many attempts in 10 s the retry budget of a service
	// allows whatever the traffic. It may be nil, for one.
	RetryBase func() float64
	// Gateways returns how many gateways, with this one, see the same load reports.
	// It may be nil, for one.
	Gateways func() float64
	// Observer may be nil.
	Observer Observer
	// Snapshot returns the published snapshot, nil before the first.
	Snapshot func() *routing.Snapshot
	// Servers carries requests to servers.
	Servers Servers
	// AwaitStart returns when the gateway knows its routes and servers, or when a call
	// is no longer to wait for them. It may be nil; calls then never wait.
	AwaitStart func(context.Context)
	// Now returns nanoseconds on the gateway's monotonic clock, the same that
	// the control loop uses.
	Now func() int64
	// Metrics counts outcomes.
	Metrics *Metrics
	// Claims is asked about calls with an idempotency key. Without it such calls
	// are refused, because nothing would keep them from running twice, unless
	// ForwardUnclaimed is set.
	Claims Claims
	// ForwardUnclaimed sends calls with a key without a claim if Claims is nil.
	// This gateway then sends each call at most once, but a call that the caller
	// sends again runs again. It is meant for tests and trials.
	ForwardUnclaimed bool
	// CrashGuard may be nil; no request is then held back.
	CrashGuard CrashGuard
	// TrustedProxies are the addresses whose forwarding headers are kept.
	TrustedProxies []netip.Prefix
}

// Proxy is an http.Handler for callers' requests.
type Proxy struct {
	config   Config
	inFlight atomic.Int64
	// services maps names to *service. Entries are created on first use; the
	// names come from the settings, so the map is bounded.
	services sync.Map
}

var _ http.Handler = (*Proxy)(nil)

// New returns a proxy.
func New(config Config) *Proxy {
	if config.Protocol == nil {
		config.Protocol = ownDialect{}
	}
	return &Proxy{config: config}
}

// InFlight returns the number of callers' requests in flight, including
// upgraded connections, which http.Server.Shutdown does not wait for.
func (p *Proxy) InFlight() int64 {
	return p.inFlight.Load()
}

// drainPoll is how often Wait looks at the requests in flight.
const drainPoll = 20 * time.Millisecond

// Wait returns when no request is in flight or the context ends. A graceful
// shutdown calls it after http.Server.Shutdown.
func (p *Proxy) Wait(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for p.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	arrived := p.config.Now()
	peer, _ := peerAddress(r.RemoteAddr)
	id := p.requestID(r)
	p.config.Protocol.SetRequestID(w.Header(), id)
	if !checkRequest(p, w, r, arrived) {
		return
	}
	if p.config.AwaitStart != nil {
		p.config.AwaitStart(r.Context())
	}
	snapshot := p.config.Snapshot()
	routes := p.config.Routes
	if snapshot != nil && snapshot.Routes != nil {
		routes = snapshot.Routes
	}
	if routes == nil {
		p.config.Metrics.notReady.Inc()
		p.refuseUnrouted(w, r, arrived, http.StatusServiceUnavailable, "the gateway does not know its routes yet")
		return
	}
	route, ok := routes.Match(r.Method, r.Host, r.URL.Path)
	if !ok {
		p.config.Metrics.noRoute.Inc()
		p.refuseUnrouted(w, r, arrived, http.StatusNotFound, "no route matches host "+r.Host+" and path "+r.URL.Path)
		return
	}
	service := chooseService(route)
	c := &call{
		proxy:     p,
		w:         w,
		r:         r,
		route:     route,
		target:    service,
		revision:  revisionOf(snapshot),
		service:   p.service(service),
		arrived:   arrived,
		peer:      peer,
		trusted:   p.trusts(peer),
		requestID: id,
		control:   http.NewResponseController(w),
	}
	c.classify()
	defer c.end()
	if snapshot == nil {
		p.config.Metrics.notReady.Inc()
		c.refuse(http.StatusServiceUnavailable, "the gateway does not know the preset in force yet")
		return
	}
	limits := snapshot.Version.Preset.Limits(route.Class)
	if route.Timeout > 0 {
		limits.TimeoutMillis = route.Timeout.Milliseconds()
	}
	c.serve(limits, snapshot.Services[service])
}

func revisionOf(snapshot *routing.Snapshot) uint64 {
	if snapshot == nil {
		return 0
	}
	return snapshot.Version.Revision
}

func chooseService(route *routing.Route) string {
	if len(route.Backends) <= 1 {
		return route.Service
	}
	random := randPool.Get().(*rand.Rand)
	defer randPool.Put(random)
	return route.ChooseService(random)
}

// classify finds out what a second run of the call would do. Calls of the
// classes booking and upload are never taken to be idempotent, whatever their
// method; see section 6 of the design.
func (c *call) classify() {
	c.upgrade = upgradeOf(c.r)
	if c.route.IdempotencyFromClass {
		c.safety = retry.NonIdempotent
		if c.route.Class == preset.ClassFetch && c.upgrade == "" {
			c.safety = retry.Idempotent
		}
		return
	}
	c.key = claimedKey(c.r)
	switch {
	case c.key != "":
		c.safety = retry.Keyed
	case c.upgrade == "" && c.route.Class == preset.ClassFetch && idempotentMethod(c.r.Method):
		c.safety = retry.Idempotent
	default:
		c.safety = retry.NonIdempotent
	}
	if c.trusted {
		c.incomingAttempt = attemptNumber(c.r.Header.Get(attemptHeader))
	}
}

func idempotentMethod(method string) bool {
	return safeMethod(method) || method == http.MethodPut || method == http.MethodDelete
}

func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// claimedKey returns the idempotency key of a call that needs a claim.
func claimedKey(r *http.Request) string {
	if safeMethod(r.Method) {
		return ""
	}
	return r.Header.Get(keyHeader)
}
