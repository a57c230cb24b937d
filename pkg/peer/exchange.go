// Package peer exchanges messages between gateways: heartbeats, presets, drain
// notices, suspicions, summaries of servers and key queries, over one
// multiplexed session with each known gateway.
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

// tick is the interval of the exchange's own timers.
const tick = 100 * time.Millisecond

// maxUnknown bounds the accepted connections whose peer is not known yet.
const maxUnknown = 64

// Handler receives what peers send. Its functions are called from several
// goroutines and must return soon. Functions that are nil ignore the message.
type Handler struct {
	// Preset gets a document whose revision the peer claims.
	Preset func(peer string, revision uint64, document []byte)
	Drain  func(peer string, drain Drain)
	// Summary gets values that changed since the peer's last summary. All servers
	// are told at first, but not in one call; those not named are unchanged. A
	// server that the peer no longer has is told once with zeros.
	Summary func(peer string, loads []*peerpb.ServerLoad)
	// Joined is called when a session of the peer starts, before its summaries,
	// and Lost when the last one ended or another one takes its place.
	Joined    func(peer string)
	Lost      func(peer string)
	Suspicion func(peer string, fingerprint crashguard.Fingerprint, serverID string)
	// HasAttempt answers key queries. Without it the answer is that there may be
	// an attempt.
	HasAttempt func(service, key string) bool
}

// Config assembles an Exchange.
type Config struct {
	// Self is this gateway; State and Revision in it are ignored.
	Self    membership.Gateway
	Network Network
	// TLS is nil for sessions without TLS.
	TLS     *tlsfiles.Loader
	Seeds   []string
	Handler Handler
	// CurrentPreset returns the revision in force and its document, 0 and nil if none.
	CurrentPreset func() (uint64, []byte)
	State         func() membership.State
	Link          Link
	Log           *slog.Logger
	Seed          uint64
}

// Exchange is the exchange of one gateway with its peers. Create it with New
// and run it with Run. It is safe for concurrent use.
type Exchange struct {
	config   Config
	started  time.Time
	counters *Counters
	unknown  chan struct{}
	queries  queries

	// order makes the calls of Joined, Lost and Summary come in the order of what
	// they report. It is taken before mu and held while the handler runs.
	order sync.Mutex

	mu       sync.Mutex
	random   *rand.Rand
	view     *membership.View
	sessions map[string]*session
	dials    map[string]*dial
	// seedIDs holds the gateways that answered at a seed's address.
	seedIDs   map[string]string
	storeDown bool
	// answered holds the peers that told their revision, for the start rule.
	answered map[string]bool
	asks     asks
	seen     seenNotices
	sequence uint64

	summaries summaries
}

// New returns an exchange that is not running yet.
func New(config Config) *Exchange {
	if config.Link == nil {
		config.Link = unlimitedLink{}
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Exchange{
		config:   config,
		started:  time.Now(),
		counters: newCounters(),
		unknown:  make(chan struct{}, maxUnknown),
		queries:  newQueries(),
		random:   rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation)),
		view:     membership.NewView(config.Self),
		sessions: make(map[string]*session),
		dials:    make(map[string]*dial),
		seedIDs:  make(map[string]string),
		answered: make(map[string]bool),
		asks:     asks{failed: make(map[string]int64)},
		seen:     make(seenNotices),

		summaries: newSummaries(int64(time.Second)),
	}
}

// now returns nanoseconds on the monotonic clock; 0 means "never".
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
	ticker := time.NewTicker(tick)
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

// runTick does everything that depends on time.
func (e *Exchange) runTick(ctx context.Context, group *sync.WaitGroup) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.view.Expire(now)
	e.seen.expire(now)
	e.closeSilent(now)
	e.sendHeartbeats(now)
	e.dialMissing(ctx, now, group)
	for _, s := range e.sessions {
		e.countBytes(s)
	}
}

// closeSilent ends sessions without heartbeats; they are dialled again.
func (e *Exchange) closeSilent(now int64) {
	for id, s := range e.sessions {
		if now-s.heardAt.Load() > int64(e.view.HeartbeatTimeout(id)) {
			e.counters.Unresponsive.Add(1)
			s.close()
		}
	}
}

// ApplyRows takes a complete read of the gateway rows; see membership.View.
func (e *Exchange) ApplyRows(storeTime time.Time, rows []membership.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.ApplyRows(e.now(), storeTime, rows)
}

// RecordFeedRead records that all claims were read; the read began the given time ago.
func (e *Exchange) RecordFeedRead(ago time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.RecordFeedRead(e.now() - int64(ago))
}

// ApplyList takes the platform's list.
func (e *Exchange) ApplyList(vms []platform.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.ApplyList(vms)
}

// MarkStoreUnreachable says that a read of the preset in force failed. From then on
// a gateway without a preset adopts one from its peers by the start rule.
func (e *Exchange) MarkStoreUnreachable() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeDown = true
	e.askForPreset(e.now())
}

// IsRelay reports whether this gateway exchanges gossip across the link.
func (e *Exchange) IsRelay() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.IsRelay(e.now())
}

// Counters returns the exchange's counters.
func (e *Exchange) Counters() *Counters {
	return e.counters
}
