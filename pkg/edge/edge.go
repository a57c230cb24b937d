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

	"balsamhill/pkg/callerconn"
	"balsamhill/pkg/connlimit"
	"balsamhill/pkg/contact"
	"balsamhill/pkg/control"
	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/feed"
	"balsamhill/pkg/gossip"
	"balsamhill/pkg/handoffconn"
	"balsamhill/pkg/machine"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/registry"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/serverconn"
	"balsamhill/pkg/startup"
	"balsamhill/pkg/storestate"
)

const (
	// eventQueueSize bounds the table events that wait for the control loop.
	eventQueueSize = 256
	// domainRoundTripNanos and regionRoundTripNanos are the round-trip times to another
	// failure domain and to another region.
	domainRoundTripNanos = 2e6
	regionRoundTripNanos = 62e6
	// connectionsPerServer bounds the connections of one gateway to one server. It is
	// enough for a server that runs a few requests at once and queues about twice as many.
	connectionsPerServer = 16
	// idleTimeout applies to requests that may be repeated, nonRepeatableIdleTimeout to
	// all others. Both are below the idle timeouts of servers; see serverconn.SharedConfig.
	idleTimeout              = 4 * time.Second
	nonRepeatableIdleTimeout = 500 * time.Millisecond
	// responseBufferBytes is how much of a response is buffered before it is forwarded;
	// longer responses are streamed.
	responseBufferBytes = 64 << 10
	// replayBodyBytes is how much of an upload is kept for an attempt at a second server.
	replayBodyBytes = 1 << 20
	// crashedServersToBlock is the number of servers, or of runs of a server, whose
	// connections must break while they run a request before that request is refused.
	// Connections also break for other reasons, but rarely three times for the same request.
	crashedServersToBlock = 3
	// crashSuspicion is how long a crash of a server counts against a request.
	crashSuspicion = time.Minute
	// minCrashBlock and maxCrashBlock bound how long a request that crashes servers is
	// refused before it is tried again; see crashLimits. crashMemory is how long it is
	// remembered after that.
	minCrashBlock = 30 * time.Second
	maxCrashBlock = time.Minute
	crashMemory   = time.Hour
)

// highCapacityCPUShare is the share of a core from which a VM probes servers and reads
// the store on behalf of other gateways.
const highCapacityCPUShare = 0.3

// indexedSnapshot is a snapshot and its servers by gossip.ServerKey.
type indexedSnapshot struct {
	snapshot *routing.Snapshot
	byKey    map[uint32]*routing.Server
	// leaving holds the servers that leave according to their responses.
	leaving []*routing.Server
}

func newIndexedSnapshot(snapshot *routing.Snapshot) *indexedSnapshot {
	indexed := &indexedSnapshot{
		snapshot: snapshot, byKey: make(map[uint32]*routing.Server, len(snapshot.ServersByID)), leaving: leavingServers(snapshot),
	}
	for id, server := range snapshot.ServersByID {
		indexed.byKey[gossip.ServerKey(id)] = server
	}
	return indexed
}

// Edge is a gateway. Create it with New and run it with Run.
type Edge struct {
	settings *Settings
	// longPollWait, otherGroupMaxAge and maxTableAge are derived from Limits by
	// setTableAges; the ...Percent constants in watch.go explain them.
	longPollWait, otherGroupMaxAge, maxTableAge time.Duration
	// limits are those of the settings that were read last.
	limits  atomic.Pointer[Limits]
	store   Store
	codec   Codec
	log     *slog.Logger
	started time.Time
	self    gossip.Gateway

	// state and servers are accessed only by the control goroutine.
	state   *control.State
	servers *registry.Registry
	events  chan tableEvent
	// linksRestored receives, when servers can be reached again, when the links were lost.
	linksRestored chan int64
	// configReceipt is accessed only by the control goroutine.
	configReceipt configReceipt

	snapshot atomic.Pointer[routing.Snapshot]
	// indexed is the current snapshot with an index for incoming load reports.
	indexed       atomic.Pointer[indexedSnapshot]
	serversLoaded atomic.Bool
	startup       *startup.Gate
	stopping      atomic.Bool
	// endsAt is when the last calls must have ended, 0 before the shutdown.
	endsAt     atomic.Int64
	storeState storestate.State
	watchers   []*watcher

	peersMu sync.Mutex
	peers   *gossip.Peers
	// assignment determines which servers this gateway probes.
	assignment atomic.Pointer[gossip.Assignment]
	assignedAt atomic.Int64
	// regionCount is the number of regions in Settings.Regions.
	regionCount int
	// regionSize is the number of known gateways of the region, including this one.
	regionSize atomic.Int64
	// livePeers is the number of live gateways of the group, without this one.
	livePeers atomic.Int64
	// isRelay is set while this gateway exchanges load reports with other groups; see
	// relay.go.
	isRelay atomic.Bool
	// announcePending is set when a peer may lack the description of this gateway; the
	// next message carries it.
	announcePending atomic.Bool
	// membersLoaded is set once the addresses of the other gateways were read.
	membersLoaded atomic.Bool
	// membersLost receives a value when the store may have lost the table Members.
	membersLost chan struct{}
	// storeReached receives a value when a call has reached the store again.
	storeReached chan struct{}
	directory    gossip.Directory

	serverLimits *serverLimits

	guard *crashguard.Guard
	proxy *proxy.Proxy
	// dialServer opens the connections to servers, those for probes too.
	dialServer serverconn.DialFunc
	contact    *contact.Monitor
	handoffs   *handoffconn.Sender
	transport  *serverconn.Transports
	// ordinaryResponses counts successful first-attempt responses, of which a sample is
	// logged.
	ordinaryResponses atomic.Uint64
	probeTransport    *serverconn.CheckedTransport
	metrics           *metrics.Set
	counters          *counters

	trafficListener   net.Listener
	readyListener     net.Listener
	peerListener      net.Listener
	bootstrapListener net.Listener
	datagrams         *net.UDPConn
	traffic           *callerconn.Server
	// shares is what each part may use of the machine, requestLimits are those of requests
	// according to the configuration.
	shares        connlimit.Shares
	requestLimits atomic.Pointer[connlimit.Requests]
}

// New creates a gateway and opens its listeners.
func New(s *Settings, store Store, codec Codec, log *slog.Logger) (*Edge, error) {
	started := time.Now()
	shares := connlimit.Divide(machine.Usable(s.Capacity, log))
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
			HighCapacity:  s.CPUShare >= highCapacityCPUShare,
			TakesHandoffs: true,
		},
		state: control.NewState(control.Config{
			GatewayID: s.ID, Region: s.Region, FailureDomain: s.FailureDomain,
			DomainLatency: domainRoundTripNanos, RegionLatency: regionRoundTripNanos,
		}),
		servers:       registry.New(s.Regions),
		regionCount:   countRegions(s.Regions),
		events:        make(chan tableEvent, eventQueueSize),
		linksRestored: make(chan int64, 1),
		membersLost:   make(chan struct{}, 1),
		storeReached:  make(chan struct{}, 1),
		startup:       startup.NewGate(),
		metrics:       metrics.NewSet(),
		dialServer:    serverconn.Dial,
		shares:        shares,
	}
	e.requestLimits.Store(&connlimit.DefaultRequests)
	e.contact = contact.NewMonitor(contact.Config{
		Dial: e.dial, Servers: e.contactServers, Now: e.now, Log: log, Metrics: e.metrics, Changed: e.contactChanged,
	})
	refused := serverconn.RecordRefusals(e.metrics, log)
	e.transport = serverconn.NewShared(serverconn.SharedConfig{
		Dial: serverconn.LimitDial(e.contact.Dial, shares.Servers), Connections: connectionsPerServer, Idle: idleTimeout, FreshIdle: nonRepeatableIdleTimeout,
		Refused: refused,
	})
	e.limits.Store(&s.Limits)
	e.setTableAges(s.Limits)
	e.peers = gossip.NewPeers(e.self)
	e.counters = newCounters(e.metrics)
	e.serverLimits = newServerLimits(e)
	e.handoffs = handoffconn.NewSender(handoffconn.Config{
		Region: s.Region, FailureDomain: s.FailureDomain, Required: e.contact.Isolated, Known: e.handoffCandidates, Now: e.now,
		Dial: serverconn.LimitDial(serverconn.Dial, shares.Gateways), Refused: refused,
	})
	e.probeTransport = serverconn.NewProbes(e.contact.Dial, refused)
	for index, table := range feed.Tables() {
		e.watchers = append(e.watchers, newWatcher(e, table, index))
	}
	e.guard = crashguard.NewWithLimits(crashLimits(s.ID))
	e.proxy = proxy.New(proxy.Config{
		CrashGuard:          e.guard,
		Protocol:            codec.Protocol(),
		Snapshot:            e.snapshot.Load,
		AwaitReady:          e.startup.Wait,
		Transport:           e.transport,
		Now:                 e.now,
		Metrics:             proxy.NewMetrics(e.metrics),
		ResponseBufferBytes: responseBufferBytes,
		TimeoutIncludesBody: true,
		ReplayBodyBytes:     replayBodyBytes,
		ReplaceRejections:   true,
		RetryBase:           e.retryBurstShare,
		EndsAt:              e.endsAt.Load,
		GatewayCount:        func() float64 { return float64(1 + e.livePeers.Load()) },
		Observer:            observer{e},
		Handoff:             e.handoffs,
		GatewayID:           s.ID,
		KeepBytes:           callerconn.KeepBytes,
	})
	e.traffic = e.newServer("callers", e.shares.Callers, e.connectionCloseHandler(e.proxy))
	return e, e.listen()
}

// dial opens a connection to a server.
func (e *Edge) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return e.dialServer(ctx, network, address)
}

// crashLimits returns the limits of the crash guard. The blocks of the gateways have different
// lengths, so that they do not all try a request again at the same moment.
func crashLimits(gatewayID string) crashguard.Limits {
	spread := time.Duration(gossip.KeyOf(gatewayID) % uint64(maxCrashBlock-minCrashBlock))
	return crashguard.Limits{
		Servers: crashedServersToBlock, SuspicionDuration: crashSuspicion,
		BlockDuration: minCrashBlock + spread, Memory: crashMemory,
	}
}

// now returns nanoseconds since the start on the monotonic clock. It starts at 1 s
// because a time of 0 means "never" in the packages that this one calls.
func (e *Edge) now() int64 {
	return int64(time.Since(e.started) + time.Second)
}

const (
	// minGatewayCount is the minimum number of gateways among which the burst of the
	// retry budget is divided, because a gateway may not have discovered all others yet.
	minGatewayCount = 24
	// unknownGatewayFactor compensates for gateways of this region that were not
	// discovered, and for regions that are larger than this one.
	unknownGatewayFactor = 1.25
)

// retryBurstShare returns this gateway's share of the burst of the retry budget. The
// shares of all gateways add up to less than the burst without coordination.
func (e *Edge) retryBurstShare() float64 {
	gateways := float64(e.regionSize.Load()) * float64(e.regionCount) * unknownGatewayFactor
	return e.limits.Load().RetryBurst / max(minGatewayCount, gateways)
}

// countRegions returns the number of distinct regions in a map from failure domain to
// region.
func countRegions(regionOf map[string]string) int {
	regions := make(map[string]bool)
	for _, region := range regionOf {
		regions[region] = true
	}
	return len(regions)
}

// Run serves callers until ctx is done, then shuts down gracefully: it returns when the
// requests in flight are complete or the grace period is over.
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
	addServer := func(server *callerconn.Server, listener net.Listener) {
		group.Add(func() error { return server.Serve(listener, nil) }, func(error) { _ = server.Close() })
	}
	addLoop(e.runControl)
	for _, w := range e.watchers {
		addLoop(w.run)
	}
	addLoop(e.runMembership)
	addLoop(e.contact.Run)
	addLoop(e.runSender)
	addLoop(e.runProber)
	group.Add(func() error { e.runReceiver(); return nil }, func(error) { _ = e.datagrams.Close() })
	addServer(e.newServer("ready", e.shares.Auxiliary, e.readyHandler()), e.readyListener)
	addServer(e.newServer("gateways", e.shares.Gateways, e.peerHandler()), e.peerListener)
	if e.settings.MetricsPort != 0 {
		addLoop(e.serveMetrics)
	}
	if e.bootstrapListener != nil {
		addServer(e.newServer("bootstrap", e.shares.Bootstrap, e.bootstrapHandler()), e.bootstrapListener)
	}
	group.Add(func() error { return e.serveTraffic(ctx) }, func(error) { _ = e.traffic.Close() })
	err := group.Run()
	e.transport.CloseIdleConnections()
	e.handoffs.CloseIdleConnections()
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Reload adopts the limits of new settings. Those that are part of the preset apply from
// the next version of the configuration on. Changed addresses need a restart.
func (e *Edge) Reload(s *Settings) {
	old := e.limits.Swap(&s.Limits)
	e.log.Info("settings read again", "changed", *old != s.Limits)
}

// ready reports whether the gateway can serve callers: it has a configuration and the list of
// servers, reaches a server or a gateway that may, and is not shutting down.
func (e *Edge) ready() bool {
	return e.snapshot.Load() != nil && e.serversLoaded.Load() && !e.stopping.Load() &&
		(!e.contact.Isolated() || e.handoffs.Possible())
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
