// Package peer exchanges messages between gateways: heartbeats, presets, drain
// notices, suspicions, summaries of servers and key queries. It holds one
// multiplexed session with each known gateway. The gateway package creates the
// Exchange and handles what peers send; this package decides which peer gets which
// message, but adopts no preset and changes no server itself.
package peer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/peer/peerpb"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/tlsfiles"
)

// tickInterval is the time between checks of timeouts and due messages.
const tickInterval = 100 * time.Millisecond

// maxUnregistered bounds the accepted connections that have not sent their first
// heartbeat.
const maxUnregistered = 64

// Handler receives the peers' messages. Its functions are called from several
// goroutines and must return soon. If a function is nil, its messages are ignored.
type Handler struct {
	// Preset receives a document. Its revision is as stated by the peer.
	Preset func(peer string, revision uint64, document []byte)
	Drain  func(peer string, drain Drain)
	// Summary receives the servers whose values changed since the peer's last
	// summary. A new session starts with all servers, spread over several calls.
	// Servers that are not listed are unchanged; a server that the peer no longer
	// has is listed once with zeros.
	Summary func(peer string, loads []*peerpb.ServerLoad)
	// Joined is called when a session with the peer starts, before any summary of
	// it. Lost is called when the session ends or a newer one replaces it.
	Joined    func(peer string)
	Lost      func(peer string)
	Suspicion func(peer string, fingerprint crashguard.Fingerprint, server crashguard.Server)
	// HasAttempt answers key queries. If it is nil, the reply is that there may be
	// an attempt.
	HasAttempt func(service, key string) bool
}

// Config configures an Exchange.
type Config struct {
	// Self is this gateway; State and Revision in it are ignored.
	Self    membership.Gateway
	Network Network
	// TLS is nil for sessions without TLS.
	TLS     *tlsfiles.Loader
	Seeds   []string
	Handler Handler
	// CurrentPreset returns the revision in force and its document, or 0 and nil if
	// there is none.
	CurrentPreset func() (uint64, []byte)
	State         func() membership.State
	Link          Link
	Log           *slog.Logger
	Seed          uint64
}

// Exchange holds one gateway's sessions with its peers. Create it with New and run
// it with Run. It is safe for concurrent use.
type Exchange struct {
	config   Config
	started  time.Time
	counters *Counters
	// unregistered holds one entry per accepted connection without a heartbeat.
	unregistered chan struct{}
	queries      queries

	// eventOrder serializes the calls of Joined, Lost and Summary, so that they come
	// in the order of the events. It is locked before mu and held while the handler
	// runs.
	eventOrder sync.Mutex

	// mu protects the fields below.
	mu       sync.Mutex
	random   *rand.Rand
	view     *membership.View
	sessions map[string]*session
	dials    map[string]*dialState
	// seedIDs maps the address of a seed to the ID of the gateway found there.
	seedIDs   map[string]string
	storeDown bool
	// revisionKnown holds the peers whose revision is known; see mayAdopt.
	revisionKnown     map[string]bool
	fetch             presetFetch
	seen              seenNotices
	suspicionSequence uint64

	summaries summaries
}

// New returns an exchange; Run starts it.
func New(config Config) *Exchange {
	if config.Link == nil {
		config.Link = unlimitedLink{}
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Exchange{
		config:        config,
		started:       time.Now(),
		counters:      newCounters(),
		unregistered:  make(chan struct{}, maxUnregistered),
		queries:       newQueries(),
		random:        rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation)),
		view:          membership.NewView(config.Self),
		sessions:      make(map[string]*session),
		dials:         make(map[string]*dialState),
		seedIDs:       make(map[string]string),
		revisionKnown: make(map[string]bool),
		fetch:         presetFetch{failedAt: make(map[string]int64)},
		seen:          make(seenNotices),

		summaries: newSummaries(int64(time.Second)),
	}
}

// now returns nanoseconds on the monotonic clock. It starts at 1 s because 0 means
// "never".
func (e *Exchange) now() int64 {
	return int64(time.Since(e.started) + time.Second)
}

// Run accepts and dials peers until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() { e.accept(ctx, &group) })
	group.Go(func() { e.runQueries(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		e.runTick(ctx, &group)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			_ = e.config.Network.Close()
			e.closeAll()
			return
		}
	}
}

func (e *Exchange) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sessions {
		s.close()
	}
}

// runTick closes unresponsive sessions, sends due heartbeats and dials missing
// peers.
func (e *Exchange) runTick(ctx context.Context, group *sync.WaitGroup) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.view.Expire(now)
	e.seen.expire(now)
	e.closeUnresponsive(now)
	e.sendHeartbeats(now)
	e.dialMissing(ctx, now, group)
	for _, s := range e.sessions {
		e.countBytes(s)
	}
}

// closeUnresponsive closes sessions whose heartbeats stopped. Their peers are
// dialled again.
func (e *Exchange) closeUnresponsive(now int64) {
	for id, s := range e.sessions {
		if now-s.lastHeartbeatAt.Load() > int64(e.view.SessionTimeout(id)) {
			e.counters.Unresponsive.Add(1)
			s.close()
		}
	}
}

// ApplyRows applies a complete read of the gateway rows; see membership.View.
// storeTime is the store's clock at the read.
func (e *Exchange) ApplyRows(storeTime time.Time, rows []membership.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.ApplyRows(e.now(), storeTime, rows)
}

// RecordFeedRead records a complete read of the claims that began the given time
// ago.
func (e *Exchange) RecordFeedRead(ago time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.RecordClaimsRead(e.now() - int64(ago))
}

// ApplyList applies the platform's list of VMs.
func (e *Exchange) ApplyList(vms []platform.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.ApplyList(vms)
}

// MarkStoreUnreachable records that a read of the preset in force failed. From then
// on a gateway without a preset may adopt one from its peers; see mayAdopt.
func (e *Exchange) MarkStoreUnreachable() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeDown = true
	e.requestPreset(e.now())
}

// IsRelay reports whether this gateway is a relay, one of the gateways of its region
// that exchange notices and presets with other regions.
func (e *Exchange) IsRelay() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.IsRelay(e.now())
}

// Counters returns the exchange's counters.
func (e *Exchange) Counters() *Counters {
	return e.counters
}
