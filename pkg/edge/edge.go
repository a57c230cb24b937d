package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"balsamhill/pkg/control"
	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/feed"
	"balsamhill/pkg/gossip"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/registry"
	"balsamhill/pkg/routing"
)

const (
	// eventQueue bounds the events that wait for the control loop.
	eventQueue = 256
	// domainPenalty and regionPenalty are the round trips in nanoseconds.
	domainPenalty = 2e6
	regionPenalty = 62e6
	// connectionsPerServer bounds the connections of one gateway to one server:
	// a server runs a few requests at once and queues about twice as many.
	connectionsPerServer = 16
	// idleLimit and freshIdleLimit are below the idle time-outs of servers; see
	// proxy.TransportLimits.
	idleLimit      = 4 * time.Second
	freshIdleLimit = 500 * time.Millisecond
	// bufferAnswer is how much of an answer is read before it is passed on; longer
	// ones are streamed.
	bufferAnswer = 64 << 10
	// keepBody is how much of an upload is kept for a second server.
	keepBody = 1 << 20
	// headerTimeout and callerIdle are above the limits of any configuration, so
	// that no caller that keeps to them is cut.
	headerTimeout = 10 * time.Second
	callerIdle    = 5 * time.Minute
	// crashesToBlock is the number of servers that must have broken on a request
	// before it is refused: connections also break for other reasons, and a request
	// seldom meets three of them.
	crashesToBlock = 3
	// crashBlock is how long such a request is refused.
	crashBlock = time.Minute
	// maxHeaderBytes is above the limit of any configuration.
	maxHeaderBytes = 64 << 10
)

// strongShare is the share of a core from which a machine works for others.
const strongShare = 0.3

// serverView is a snapshot with its servers by the keys of reports.
type serverView struct {
	snapshot *routing.Snapshot
	byKey    map[uint32]*routing.Server
}

func newServerView(snapshot *routing.Snapshot) *serverView {
	view := &serverView{snapshot: snapshot, byKey: make(map[uint32]*routing.Server, len(snapshot.ServersByID))}
	for id, server := range snapshot.ServersByID {
		view.byKey[gossip.ServerKey(id)] = server
	}
	return view
}

// Edge is one gateway. Create it with New and run it with Run.
type Edge struct {
	settings *Settings
	// readerWait, othersAge and staleAge follow from the bounds; see setBounds.
	readerWait, othersAge, staleAge time.Duration
	// terms are those of the last settings that were read.
	terms   atomic.Pointer[Terms]
	store   Store
	codec   Codec
	log     *slog.Logger
	started time.Time
	self    gossip.Gateway

	// The control goroutine owns state and servers.
	state   *control.State
	servers *registry.Registry
	events  chan tableEvent

	snapshot atomic.Pointer[routing.Snapshot]
	// view is the snapshot with its servers by the keys of reports.
	view      atomic.Pointer[serverView]
	listRead  atomic.Bool
	start     start
	stopping  atomic.Bool
	storeView storeView
	watchers  []*watcher

	peersMu sync.Mutex
	peers   *gossip.Peers
	// assignment says which servers this gateway measures.
	assignment atomic.Pointer[gossip.Assignment]
	assignedAt atomic.Int64
	// regionCount is the number of regions.
	regionCount int
	// regionSize is the number of known gateways of the region.
	regionSize atomic.Int64
	// groupSize is the number of live gateways that this one talks to.
	groupSize atomic.Int64
	// relay says that this gateway passes load reports between groups; see relay.go.
	relay atomic.Bool
	// greet says that there is a gateway that may know nothing of this one yet.
	greet atomic.Bool
	// membersRead says that the addresses of the other gateways were read.
	membersRead atomic.Bool
	directory   directory

	guard     *crashguard.Guard
	proxy     *proxy.Proxy
	transport *proxy.Transports
	// answered counts usual answers, for the sample of them that is logged.
	answered atomic.Uint64
	probes   *http.Transport
	metrics  *metrics.Set
	counters *counters

	trafficListener net.Listener
	readyListener   net.Listener
	feedListener    net.Listener
	meetingListener net.Listener
	datagrams       *net.UDPConn
	traffic         *http.Server
}

// New opens the listeners and prepares a gateway.
func New(s *Settings, store Store, codec Codec, log *slog.Logger) (*Edge, error) {
	started := time.Now()
	e := &Edge{
		settings: s,
		store:    store,
		codec:    codec,
		log:      log,
		started:  started,
		self: gossip.Gateway{
			ID:            s.ID,
			Incarnation:   uint64(started.UnixMilli()),
			Address:       net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPort)),
			Region:        s.Region,
			FailureDomain: s.FailureDomain,
			HighCapacity:  s.CPUShare >= strongShare,
		},
		state: control.NewState(control.Config{
			VMID: s.ID, Region: s.Region, FailureDomain: s.FailureDomain,
			DomainPenalty: domainPenalty, RegionPenalty: regionPenalty,
		}),
		servers:     registry.New(s.Regions),
		regionCount: countRegions(s.Regions),
		events:      make(chan tableEvent, eventQueue),
		start:       newStart(),
		metrics:     metrics.NewSet(),
		transport: proxy.NewSharedTransports(proxy.TransportLimits{
			Connections: connectionsPerServer, Idle: idleLimit, FreshIdle: freshIdleLimit,
		}),
	}
	e.terms.Store(&s.Terms)
	e.setBounds(s.Terms)
	e.peers = gossip.NewPeers(e.self)
	e.counters = newCounters(e.metrics)
	e.probes = newProbeTransport()
	for index, table := range feed.Tables() {
		e.watchers = append(e.watchers, newWatcher(e, table, index))
	}
	e.guard = crashguard.NewWithLimits(crashguard.Limits{Servers: crashesToBlock, Block: crashBlock})
	e.proxy = proxy.New(proxy.Config{
		CrashGuard:          e.guard,
		Protocol:            codec.Dialect(),
		Snapshot:            e.snapshot.Load,
		AwaitReady:          e.start.await,
		Transport:           e.transport,
		Now:                 e.now,
		Metrics:             proxy.NewMetrics(e.metrics),
		ResponseBufferBytes: bufferAnswer,
		ReplayBodyBytes:     keepBody,
		ReplaceRejections:   true,
		RetryBase:           e.retryBase,
		GatewayCount:        func() float64 { return float64(1 + e.groupSize.Load()) },
		Observer:            observer{e},
	})
	e.traffic = &http.Server{
		Handler:           e.closingHandler(e.proxy),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdle,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return e, e.listen()
}

func (e *Edge) listen() error {
	var err error
	e.trafficListener, err = net.Listen("tcp", e.settings.Traffic)
	if err != nil {
		return eris.Wrap(err, "open traffic listener")
	}
	e.readyListener, err = net.Listen("tcp", e.settings.Ready)
	if err != nil {
		return eris.Wrap(err, "open ready listener")
	}
	e.feedListener, err = net.Listen("tcp", e.self.Address)
	if err != nil {
		return eris.Wrap(err, "open listener for gateways")
	}
	if e.settings.BootstrapAddress != "" {
		e.meetingListener, err = net.Listen("tcp", e.settings.BootstrapAddress)
		if err != nil {
			return eris.Wrap(err, "open listener for new gateways")
		}
	}
	address, err := net.ResolveUDPAddr("udp", e.self.Address)
	if err != nil {
		return eris.Wrap(err, "address for datagrams")
	}
	e.datagrams, err = net.ListenUDP("udp", address)
	return eris.Wrap(err, "open socket for datagrams")
}

// now returns nanoseconds since the start on the monotonic clock. It starts at
// 1 s because 0 means "never" in the decision packages.
func (e *Edge) now() int64 {
	return int64(time.Since(e.started) + time.Second)
}

const (
	// fewestGateways is the least number among which the burst of the retry budget
	// is shared; a gateway may not know all others yet.
	fewestGateways = 24
	// unknownShare makes up for gateways that a gateway does not know of, in its own
	// region and where the other regions are larger.
	unknownShare = 1.25
)

// retryBase returns this gateway's share of the burst of the retry budget. The
// shares of all gateways stay below it without agreement.
func (e *Edge) retryBase() float64 {
	gateways := float64(e.regionSize.Load()) * float64(e.regionCount) * unknownShare
	return e.terms.Load().RetryBurst / max(fewestGateways, gateways)
}

// countRegions returns the number of regions that failure domains belong to.
func countRegions(regionOf map[string]string) int {
	regions := make(map[string]bool)
	for _, region := range regionOf {
		regions[region] = true
	}
	return len(regions)
}

// Run serves until ctx ends, and then until the requests in flight are complete
// or the time to stop is over.
func (e *Edge) Run(ctx context.Context) error {
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
	addServer := func(server *http.Server, listener net.Listener) {
		group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	}
	addLoop(e.runControl)
	for _, w := range e.watchers {
		addLoop(w.run)
	}
	addLoop(e.runJoin)
	addLoop(e.runSending)
	addLoop(e.runProbes)
	group.Add(func() error { e.runReceiving(); return nil }, func(error) { _ = e.datagrams.Close() })
	addServer(&http.Server{Handler: e.readyHandler(), IdleTimeout: callerIdle}, e.readyListener)
	addServer(&http.Server{Handler: e.feedHandler(), IdleTimeout: callerIdle}, e.feedListener)
	if e.settings.MetricsPort != 0 {
		addLoop(e.serveMetrics)
	}
	if e.meetingListener != nil {
		addServer(&http.Server{Handler: e.meetingHandler(), IdleTimeout: callerIdle}, e.meetingListener)
	}
	group.Add(func() error { return e.serveTraffic(ctx) }, func(error) { _ = e.traffic.Close() })
	err := group.Run()
	e.transport.CloseIdleConnections()
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Reload puts the terms of new settings in force. They count from the next
// version of the configuration on; addresses only change with a restart.
func (e *Edge) Reload(s *Settings) {
	old := e.terms.Swap(&s.Terms)
	e.log.Info("settings read again", "changed", *old != s.Terms)
}

// ready reports whether the gateway can take callers.
func (e *Edge) ready() bool {
	return e.snapshot.Load() != nil && e.listRead.Load() && !e.stopping.Load()
}

func (e *Edge) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}
