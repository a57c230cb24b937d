// Package gateway assembles one gateway from the other packages: the control loop, the
// readers of the store and of the VM list, the exchange with other gateways, the proxy
// and the admin endpoints. The serve command starts it. Decisions about servers, calls
// and claims belong to the packages that it connects.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"balsamhill/pkg/callerconn"
	"balsamhill/pkg/connlimit"
	"balsamhill/pkg/control"
	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/machine"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/presetstore"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/serverconn"
	"balsamhill/pkg/settings"
)

// eventQueueSize bounds the events that wait for the control loop. When the queue is
// full, senders block; no event is dropped.
const eventQueueSize = 1024

// Gateway is one running gateway. Create it with New and run it with Run.
type Gateway struct {
	settings *settings.Settings
	platform platform.Platform
	presets  *presetstore.Store
	log      *slog.Logger
	started  time.Time
	// incarnation is the start time in microseconds since 1970.
	incarnation uint64

	state    *control.State
	events   chan control.Event
	readNow  chan struct{}
	snapshot atomic.Pointer[routing.Snapshot]
	status   atomic.Pointer[control.Status]
	stopping atomic.Bool
	// listRead says that the published snapshot takes a VM list into account, and serverKnown
	// that a published snapshot had a server that may get calls.
	listRead, serverKnown atomic.Bool

	peers      *peers
	budgets    *budgets
	storeClock storeClock

	claims *claims
	guard  crashGuard

	claimGate *claimGate
	proxy     *proxy.Proxy
	transport *serverconn.Transports
	metrics   *metrics.Set
	counters  *counters

	trafficListener net.Listener
	adminListener   net.Listener
	traffic         *callerconn.Server
	admin           *callerconn.Server
	// secureTraffic adds TLS to the listener for callers; nil without certificates.
	secureTraffic func(net.Listener) net.Listener
	// shares is what each part may use of the machine.
	shares   connlimit.Shares
	stop     chan struct{}
	stopOnce sync.Once
}

// New opens the listeners and returns a gateway; Run starts it. Addresses with port 0
// get a free port; see TrafficAddress and AdminAddress.
func New(s *settings.Settings, p platform.Platform, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{
		settings:    s,
		platform:    p,
		presets:     presetstore.New(p),
		log:         log,
		started:     time.Now(),
		incarnation: uint64(time.Now().UnixMicro()),
		events:      make(chan control.Event, eventQueueSize),
		readNow:     make(chan struct{}, 1),
		metrics:     metrics.NewSet(),
		stop:        make(chan struct{}),
		shares:      connlimit.Divide(machine.Usable(connlimit.Capacity{}, log)),

		claimGate: newClaimGate(),
	}
	g.transport = serverconn.New(s.Services, s.Peers.MaxGateways, serverconn.RecordRefusals(g.metrics, log))
	trusted, err := settings.ParsePrefixes(s.Traffic.TrustedProxies)
	if err != nil {
		return nil, err
	}
	g.counters = newCounters(g.metrics)
	g.state = control.NewState(controlConfig(s))
	addFixedServers(g.state, s)
	g.status.Store(&control.Status{})
	g.budgets = g.newBudgets()
	err = g.listen()
	if err != nil {
		return nil, err
	}
	g.peers, err = g.newPeers()
	if err != nil {
		_ = g.trafficListener.Close()
		_ = g.adminListener.Close()
		return nil, err
	}
	g.claims = g.newClaims()
	g.guard = crashGuard{Guard: crashguard.NewWithLimits(crashLimits), peers: g.peers}
	g.setPeerHooks()
	g.proxy = proxy.New(proxy.Config{
		Routes:         routeTable(s),
		Snapshot:       g.snapshot.Load,
		Transport:      g.transport,
		Now:            g.now,
		Metrics:        proxy.NewMetrics(g.metrics),
		TrustedProxies: trusted,
		Claims:         g.claims.store,
		CrashGuard:     g.guard,
		KeepBytes:      callerconn.KeepBytes,
	})
	g.traffic = g.newTrafficServer()
	g.admin = g.newAdminServer()
	g.metrics.RegisterMetricsWriter(g.writePeerMetrics)
	g.metrics.RegisterMetricsWriter(g.writePlatformMetrics)
	return g, nil
}

func (g *Gateway) listen() error {
	var err error
	g.trafficListener, err = net.Listen("tcp", g.settings.Traffic.Listen)
	if err != nil {
		return eris.Wrap(err, "open traffic listener")
	}
	g.secureTraffic, err = g.loadTrafficTLS()
	if err != nil {
		_ = g.trafficListener.Close()
		return err
	}
	g.adminListener, err = net.Listen("tcp", g.settings.Admin.Listen)
	if err != nil {
		_ = g.trafficListener.Close()
		return eris.Wrap(err, "open admin listener")
	}
	return nil
}

// TrafficAddress returns host:port of the listener for callers.
func (g *Gateway) TrafficAddress() string {
	return g.trafficListener.Addr().String()
}

// TrafficURL returns the base URL for callers.
func (g *Gateway) TrafficURL() string {
	if g.settings.Traffic.TLS != nil {
		return "https://" + g.TrafficAddress()
	}
	return "http://" + g.TrafficAddress()
}

// AdminAddress returns host:port of the listener for operators.
func (g *Gateway) AdminAddress() string {
	return g.adminListener.Addr().String()
}

// now returns nanoseconds on the monotonic clock. It starts at 1 s because 0 means
// "never" in the packages that get it.
func (g *Gateway) now() int64 {
	return int64(time.Since(g.started) + time.Second)
}

// Shutdown starts the graceful shutdown; Run returns when it is complete.
func (g *Gateway) Shutdown() {
	g.stopOnce.Do(func() { close(g.stop) })
}

// Run serves until Shutdown is called or ctx ends, and returns when all requests in
// flight are complete.
func (g *Gateway) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	addLoop := func(loop func(context.Context)) {
		loopContext, stop := context.WithCancel(background)
		group.Add(func() error {
			loop(loopContext)
			return nil
		}, func(error) { stop() })
	}
	addLoop(g.runControl)
	addLoop(g.runPresetReader)
	addLoop(g.runListReader)
	addLoop(g.runRowWriter)
	addLoop(g.runPeers)
	addLoop(g.runBudgets)
	addLoop(g.runClaimGate)
	addLoop(g.claims.run)
	addLoop(g.runGuardExpiry)
	g.addProbeLoops(addLoop)
	group.Add(func() error { return serve(g.admin, g.adminListener, nil) }, func(error) { _ = g.admin.Close() })
	group.Add(func() error { return g.serveTraffic(ctx) }, func(error) { _ = g.traffic.Close() })
	err := group.Run()
	g.transport.CloseIdleConnections()
	return err
}

func serve(server *callerconn.Server, listener net.Listener, secure func(net.Listener) net.Listener) error {
	err := server.Serve(listener, secure)
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// serveTraffic serves callers and returns after the graceful shutdown. The other parts
// of the gateway run until then, because requests in flight need them.
func (g *Gateway) serveTraffic(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- serve(g.traffic, g.trafficListener, g.secureTraffic) }()
	select {
	case err := <-failed:
		return err
	case <-g.stop:
	case <-ctx.Done():
	}
	return g.shutDownTraffic(context.WithoutCancel(ctx))
}

// shutDownTraffic goes on serving for the notice time, then stops accepting calls and
// waits without a timeout for requests in flight.
func (g *Gateway) shutDownTraffic(ctx context.Context) error {
	g.stopping.Store(true)
	g.log.Info("graceful shutdown started", "inFlight", g.proxy.InFlight())
	g.writeRow(ctx)
	// /readyz fails from here on. The balancer in front needs time to detect that before
	// the listener closes.
	time.Sleep(g.settings.Shutdown.Notice())
	// Responses now carry Connection: close, so that callers open their next connection
	// to another gateway.
	g.traffic.SetKeepAlivesEnabled(false)
	err := g.traffic.Shutdown(ctx)
	// http.Server does not wait for upgraded connections.
	err = errors.Join(err, g.proxy.Wait(ctx))
	g.log.Info("graceful shutdown complete")
	return err
}

// row returns this gateway's row for the store.
func (g *Gateway) row() membership.Row {
	status := g.status.Load()
	state := membership.StateStarting
	switch {
	case g.stopping.Load():
		state = membership.StateStopping
	case g.notReadyReason() == "":
		state = membership.StateReady
	}
	return membership.Row{
		ID:            g.settings.VM.ID,
		Incarnation:   g.incarnation,
		Region:        g.settings.VM.Region,
		FailureDomain: g.settings.VM.FailureDomain,
		Traffic:       g.TrafficAddress(),
		Admin:         g.AdminAddress(),
		Peer:          g.peers.peerAddress(),
		State:         state,
		Preset:        status.Preset,
		Revision:      status.Revision,
		InForceSince:  g.started.Add(time.Duration(status.AdoptedAt) - time.Second),
		WrittenAt:     g.storeClock.now(),
	}
}
