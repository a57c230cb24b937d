// Package proxy is the traffic path of a gateway. It receives callers' requests,
// chooses a server from the published snapshot and streams both bodies, with
// net/http on both sides. The gateway sets it up with a Config and serves it as an
// http.Handler. It does not decide which servers are usable and does not access the
// store: the snapshot, claims and the crash guard come through the Config.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"balsamhill/pkg/handoff"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// Config configures a Proxy.
type Config struct {
	// Routes applies while the snapshot has no routes.
	Routes *routing.RouteTable
	// Protocol defines the headers between callers, gateways and servers. Nil
	// selects the headers that docs/TRAFFIC.md specifies.
	Protocol Protocol
	// ResponseBufferBytes is how many bytes of a response body are read before the
	// response is forwarded. A response that breaks off within them is a failed
	// attempt. 0 forwards responses without buffering.
	ResponseBufferBytes int
	// TimeoutIncludesBody says that the time of a call ends with the whole response and
	// not with its header. A response whose rest has not arrived by then is truncated.
	TimeoutIncludesBody bool
	// ReplaceRejections sends a refusal of the gateway in place of the response of a
	// server that rejected the call.
	ReplaceRejections bool
	// ReplayBodyBytes is how many bytes of a streamed request body are kept, so that
	// the body can be sent to another server after a rejection.
	ReplayBodyBytes int
	// RetryBase returns how many retries the budget of a service allows within
	// retry.WindowNanos in addition to the percentage of its calls. It may be nil; the
	// budget then allows at least one.
	RetryBase func() float64
	// GatewayCount returns how many gateways, including this one, use the same load
	// reports. It may be nil, for one.
	GatewayCount func() float64
	// Observer receives events about calls. It may be nil.
	Observer Observer
	// EndsAt returns the time on the clock of Now at which the gateway ends even if calls are
	// in flight, 0 while no end is planned. It may be nil, for never.
	EndsAt func() int64
	// Snapshot returns the published snapshot, nil before the first one.
	Snapshot func() *routing.Snapshot
	// Transport sends requests to servers.
	Transport ServerTransport
	// AwaitReady blocks until the gateway has routes and servers, or until a call
	// should no longer wait for them. It may be nil; calls then never wait.
	AwaitReady func(context.Context)
	// Now returns nanoseconds on the gateway's monotonic clock, which the control
	// loop also uses.
	Now func() int64
	// Metrics counts outcomes.
	Metrics *Metrics
	// Claims decides on calls with an idempotency key. If it is nil, such calls are
	// refused, because nothing would prevent them from running twice, unless
	// ForwardUnclaimed is set.
	Claims Claims
	// ForwardUnclaimed sends calls with a key without a claim if Claims is nil. This
	// gateway then sends each call at most once, but a call that the caller resends
	// runs again. It is meant for tests and trials.
	ForwardUnclaimed bool
	// CrashGuard limits how many servers one request can crash. It may be nil; no
	// request is then blocked.
	CrashGuard CrashGuard
	// Handoff hands calls off while no server can be reached. It may be nil; such calls then
	// fail.
	Handoff Handoff
	// GatewayID is the ID of this gateway in calls that it hands off.
	GatewayID string
	// KeepBytes reports whether the call with a context may keep so many more bytes of its bodies
	// until it ends. An essential call cannot go on without them. It may be nil, for no bound.
	KeepBytes func(ctx context.Context, bytes int, essential bool) bool
	// TrustedProxies are the addresses whose forwarding headers are kept.
	TrustedProxies []netip.Prefix
}

// ServerTransport sends requests to the servers of services. Implementations call
// httptrace.ClientTrace.GotConn before they write a request; a request without that
// call counts as never written.
//
// Connections are ordinary or fresh. A fresh connection is new or carried a response
// within the last 500 ms or serverconn.SharedConfig.FreshIdle, so that it is
// unlikely to have become unresponsive. Calls that are not idempotent use only fresh
// connections.
type ServerTransport interface {
	// RoundTrip sends one request, on a fresh connection if fresh is set.
	RoundTrip(service string, fresh bool, request *http.Request) (*http.Response, error)
	// CloseIdle closes the idle ordinary connections of a service, at most once a
	// second, after one of them turned out to be unresponsive.
	CloseIdle(service string)
}

// Proxy is an http.Handler for callers' requests.
type Proxy struct {
	config   Config
	inFlight atomic.Int64
	// services maps names to *service. Entries are created on first use; the names
	// come from the settings, so the map is bounded.
	services sync.Map
}

var _ http.Handler = (*Proxy)(nil)

// New returns a proxy.
func New(config Config) *Proxy {
	if config.Protocol == nil {
		config.Protocol = defaultProtocol{}
	}
	return &Proxy{config: config}
}

// InFlight returns the number of callers' requests in flight, including upgraded
// connections, for which http.Server.Shutdown does not wait.
func (p *Proxy) InFlight() int64 {
	return p.inFlight.Load()
}

// drainPollInterval is how often Wait checks the number of requests in flight.
const drainPollInterval = 20 * time.Millisecond

// Wait returns when no request is in flight or the context ends. A graceful
// shutdown calls it after http.Server.Shutdown.
func (p *Proxy) Wait(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
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
	p.serve(w, r, nil)
}

// serve processes a call. received describes the call if another gateway handed it off, else nil.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, received *handoff.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	arrived := p.config.Now()
	peer, _ := peerAddress(r.RemoteAddr)
	if received != nil {
		peer = received.Caller
	}
	id := p.requestID(r)
	p.config.Protocol.SetRequestID(w.Header(), id)
	if !checkRequest(p, w, r, arrived) {
		return
	}
	if p.config.AwaitReady != nil {
		p.config.AwaitReady(r.Context())
	}
	snapshot := p.config.Snapshot()
	routes := p.config.Routes
	if snapshot != nil && snapshot.Routes != nil {
		routes = snapshot.Routes
	}
	if routes == nil {
		p.config.Metrics.notReady.Inc()
		p.refuseUnrouted(w, r, arrived, revisionOf(snapshot), http.StatusServiceUnavailable, "the gateway does not know its routes yet")
		return
	}
	route, ok := routes.Match(r.Method, r.Host, r.URL.Path)
	if !ok {
		p.config.Metrics.noRoute.Inc()
		p.refuseUnrouted(w, r, arrived, revisionOf(snapshot), http.StatusNotFound, "no route matches host "+r.Host+" and path "+r.URL.Path)
		return
	}
	serviceName := chooseService(route)
	c := &call{
		proxy:       p,
		w:           w,
		r:           r,
		route:       route,
		serviceName: serviceName,
		revision:    revisionOf(snapshot),
		service:     p.service(serviceName),
		arrived:     arrived,
		peer:        peer,
		trusted:     p.trustsPeer(peer) || received != nil,
		received:    received,
		requestID:   id,
		control:     http.NewResponseController(w),
	}
	c.classifySafety()
	defer c.cleanUp()
	if snapshot == nil {
		p.config.Metrics.notReady.Inc()
		c.refuse(http.StatusServiceUnavailable, "the gateway does not know the preset in force yet")
		return
	}
	limits := snapshot.Version.Preset.Limits(route.Class)
	if route.Timeout > 0 {
		limits.TimeoutMillis = route.Timeout.Milliseconds()
	}
	c.serve(limits, snapshot.Services[serviceName])
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

// classifySafety determines whether the call may run more than once. Calls of the
// classes booking and upload are never treated as idempotent, whatever their
// method; see section 6 of docs/design.md.
func (c *call) classifySafety() {
	c.upgrade = requestedUpgrade(c.r)
	if c.route.IdempotencyFromClass {
		c.safety = retry.NonIdempotent
		if c.route.Class == preset.ClassFetch && c.upgrade == "" {
			c.safety = retry.Idempotent
		}
		return
	}
	c.idempotencyKey = claimedKey(c.r)
	switch {
	case c.idempotencyKey != "":
		c.safety = retry.Keyed
	case c.upgrade == "" && c.route.Class == preset.ClassFetch && idempotentMethod(c.r.Method):
		c.safety = retry.Idempotent
	default:
		c.safety = retry.NonIdempotent
	}
	if c.trusted {
		c.incomingAttempt = parseAttemptNumber(c.r.Header.Get(attemptHeader))
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
