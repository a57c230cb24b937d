package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/gossip"
	"balsamhill/pkg/tablecodec"
)

const (
	// defaultMaxDelay replaces the smaller one of Limits.MaxConfigDelay and MaxDrainDelay
	// if the platform does not set it.
	defaultMaxDelay = 2500 * time.Millisecond
	// The next three values are percentages of the smaller one of Limits.MaxConfigDelay
	// and MaxDrainDelay.
	//
	// longPollWaitPercent is how long a reader long-polls the store for changes. Each
	// response confirms the table, so this bounds the age of the reader's copy.
	longPollWaitPercent = 48
	// otherGroupMaxAgePercent is the age of the tables of the reading group beyond which
	// the readers of the other groups read the store themselves. It exceeds
	// longPollWaitPercent by the time that a confirmation takes to reach all relays.
	otherGroupMaxAgePercent = 60
	// maxTableAgePercent is the age of a copy beyond which a gateway reads the store
	// itself; the rest of the limit is for that read.
	maxTableAgePercent = 76
	// peerTimeout is how long a gateway may take to begin a response, and how long a
	// response may make no progress.
	peerTimeout = 400 * time.Millisecond
	// peerRetryDelay is the minimum delay after a failed read from a gateway before it is
	// read from again.
	peerRetryDelay = 300 * time.Millisecond
	// ageCheckInterval is how often a gateway that does not long-poll the store checks
	// the age of its copy.
	ageCheckInterval = 100 * time.Millisecond
	// fallbackBytesPerSecond is the rate at which a gateway is expected to read from the
	// store. maxFallbackDelay bounds the delay that follows from it; see fallbackDelay.
	fallbackBytesPerSecond = 2 << 20
	maxFallbackDelay       = 5 * time.Second
	// peerPreferenceDelay is how long after the announcement of a change a read of the
	// store may still end before the gateway reads from a peer instead.
	peerPreferenceDelay = 200 * time.Millisecond
	// refusedReadDelay is the delay after a response of the store that was older than the
	// copy.
	refusedReadDelay = 500 * time.Millisecond
	// changeCoalesceDelay is the delay between a change and the next read of the store,
	// so that one response carries several changes in quick succession.
	changeCoalesceDelay = 150 * time.Millisecond
	// startPeerPollInterval is how often a gateway without a copy checks whether a peer
	// holds the table. After startPeerTimeout, counted from its start, it reads the store
	// itself.
	startPeerPollInterval = 10 * time.Millisecond
	startPeerTimeout      = 1500 * time.Millisecond
)

// setTableAges derives the limits on the age of tables from those of the platform.
func (e *Edge) setTableAges(limits Limits) {
	maxDelay := min(limits.MaxConfigDelay, limits.MaxDrainDelay)
	if maxDelay <= 0 {
		maxDelay = defaultMaxDelay
	}
	e.longPollWait = maxDelay * longPollWaitPercent / 100
	e.otherGroupMaxAge = maxDelay * otherGroupMaxAgePercent / 100
	e.maxTableAge = maxDelay * maxTableAgePercent / 100
}

// watcher keeps the copy of one table up to date.
type watcher struct {
	edge  *Edge
	table feed.Table
	index int
	// wake receives a value when a peer holds changes that this gateway lacks.
	wake chan struct{}

	// nextStoreReadAt is the earliest time of the next read of the store; see
	// changeCoalesceDelay.
	nextStoreReadAt int64
	// delayLoggedUntil is the end of the delay that logDelayedRead has logged last.
	delayLoggedUntil int64
	// failedUntil holds the gateways from which a read has failed, by address, and when
	// they may be read from again.
	failedUntil map[string]int64
	client      tableClient

	encodings tablecodec.Cache

	mu     sync.Mutex
	mirror feed.Mirror
	// announced is the newest change that a peer has announced.
	announced announcement
	// storeRead is the read of the store in progress, the zero value if there is none.
	storeRead storeReadInProgress
}

// storeReadInProgress is a read of the store that ends early if a peer has the change
// sooner.
type storeReadInProgress struct {
	began  int64
	cancel context.CancelCauseFunc
}

// announcement is a change of a table of which a gateway was notified.
type announcement struct {
	// position is that of the change, at the time of the first notice.
	position feed.Position
	at       int64
}

// earlierConfigs is how many replaced configurations a gateway with high capacity keeps.
// Others, which serve few reads, keep none.
const earlierConfigs = 3

func newWatcher(e *Edge, table feed.Table, index int) *watcher {
	earlier := 0
	if e.self.HighCapacity {
		earlier = earlierConfigs
	}
	return &watcher{
		edge: e, table: table, index: index, wake: make(chan struct{}, 1), mirror: feed.NewMirror(earlier, e.rankFunction(table)),
		failedUntil: make(map[string]int64), client: tableClient{table: table},
	}
}

func (w *watcher) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		delay := w.step(ctx)
		timer.Reset(delay)
		select {
		case <-timer.C:
		case <-w.wake:
		case <-ctx.Done():
			return
		}
	}
}

// step makes one read if it is due and returns the delay until the next step.
func (w *watcher) step(ctx context.Context) time.Duration {
	now := w.edge.now()
	state, known := w.state(now)
	source, ok := w.newestSource(now)
	behind := ok && (!known || source.State.Newer(state))
	if behind && w.mayReadPeer(source.State) {
		if w.readPeer(ctx, source.Address, known) {
			return 0
		}
		w.failedUntil[source.Address] = w.edge.now() + int64(peerRetryDelay+jitter(peerRetryDelay))
	}
	reader := w.edge.longPollsStore(now)
	switch {
	case !known && w.edge.awaitsPeerTable(now):
		return startPeerPollInterval
	case known && now < w.nextStoreReadAt:
		return time.Duration(w.nextStoreReadAt - now)
	case known && !reader && state.Age <= int64(w.edge.maxTableAge+w.fallbackDelay(now)):
		return ageCheckInterval
	}
	backoff := w.edge.storeBackoff(known, reader)
	if wait := w.edge.storeState.RetryDelay(now, backoff); wait > 0 {
		w.logDelayedRead(now, wait, state, known, reader)
		return min(wait, ageCheckInterval)
	}
	position := w.position()
	switch {
	case !known:
		w.readFullTable(ctx, backoff)
	case reader && w.mayLongPoll(state):
		w.readChanges(ctx, position, w.edge.longPollWait, backoff)
	default:
		w.readChanges(ctx, position, 0, backoff)
	}
	return 0
}

// mayReadPeer reports whether the newer copy of a peer is read in place of the store: it was
// confirmed recently, or the store does not respond. In an outage all copies grow old, and the
// gateways serve with them.
func (w *watcher) mayReadPeer(state feed.TableState) bool {
	return state.Age < int64(w.edge.maxTableAge) || w.edge.storeState.Unreachable()
}

// fallbackDelay returns how much longer than maxTableAge this gateway waits for a peer that
// has the table. The gateways of a group read the store themselves one after the other, each
// after the time that the reads of those before it take, if one change moves a large
// value: together they would saturate the link to the store.
func (w *watcher) fallbackDelay(now int64) time.Duration {
	w.mu.Lock()
	_, value := w.mirror.LargestValue()
	w.mu.Unlock()
	if len(value) == 0 {
		return 0
	}
	w.edge.peersMu.Lock()
	before := w.edge.peers.StoreReadersBefore(now, !w.edge.storeState.Unreachable())
	w.edge.peersMu.Unlock()
	readTime := time.Duration(len(value)) * time.Second / fallbackBytesPerSecond
	return min(time.Duration(before)*readTime, maxFallbackDelay)
}

// newestSource returns the gateway from which the table is read if it is newer there.
func (w *watcher) newestSource(now int64) (gossip.TableSource, bool) {
	maps.DeleteFunc(w.failedUntil, func(_ string, until int64) bool { return now >= until })
	w.edge.peersMu.Lock()
	defer w.edge.peersMu.Unlock()
	return w.edge.peers.NewestTable(now, w.index, func(address string) bool { return w.failedUntil[address] != 0 })
}

// mayLongPoll reports whether the reader may long-poll the store: the response must
// arrive before the copies of the other gateways exceed maxTableAge.
func (w *watcher) mayLongPoll(state feed.TableState) bool {
	return !w.edge.storeState.Unreachable() && state.Age+int64(w.edge.longPollWait) <= int64(w.edge.maxTableAge)
}

// outpaced reports whether a change that was announced during the read is still missing after
// peerPreferenceDelay. If the change was announced before the read, a read from the peer has
// failed already.
func (r storeReadInProgress) outpaced(now, announcedAt int64) bool {
	return r.cancel != nil && announcedAt > r.began && now-announcedAt >= int64(peerPreferenceDelay)
}

// awaitsPeerTable reports whether this gateway, which has just started, waits for a peer to
// read the table from the store first. Only gateways without high capacity do, because
// a large deployment has many of them.
func (e *Edge) awaitsPeerTable(now int64) bool {
	if e.self.HighCapacity || now-int64(time.Second) > int64(startPeerTimeout) {
		return false
	}
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	return !e.membersLoaded.Load() || !e.peers.IsInitialReader()
}

// jitter returns a random duration below maxJitter.
func jitter(maxJitter time.Duration) time.Duration {
	return rand.N(maxJitter)
}

func (w *watcher) state(now int64) (feed.TableState, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mirror.State(now), w.mirror.Loaded()
}

func (w *watcher) position() feed.Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mirror.Position()
}

// rankFunction returns the function that ranks the rows of a table: configurations by
// their revision, so that an older one from a store that returned from an older copy does
// not replace the newest one. Rows of other tables have no rank.
func (e *Edge) rankFunction(table feed.Table) func(feed.Row) uint64 {
	if table != feed.Config {
		return nil
	}
	return e.codec.ConfigRevision
}

// storeReturned records that the store returned from an older copy: entries of servers may
// be missing until they are written again, and the gateways' own rows may be lost.
func (e *Edge) storeReturned(now int64) {
	e.storeState.RecordReturn(now)
	select {
	case e.membersLost <- struct{}{}:
	default:
	}
}

// confirm applies the table state of a peer, given by its ID, and wakes the watcher if
// the peer holds changes that this gateway lacks. It ends a slow read of the store in
// favor of the peer.
func (w *watcher) confirm(now int64, state feed.TableState, peer string) {
	if state.Loaded() && w.edge.storeState.RecordPeerResponse(now-state.Age) {
		w.edge.log.Info("store responds to another gateway again", "gateway", peer, "responseAge", time.Duration(state.Age).String())
	}
	w.mu.Lock()
	behind := w.mirror.Confirm(now, state)
	change := feed.Position{Era: state.Era, Version: state.LastChange, Rank: state.Rank}
	first := behind && w.announced.position.Before(change)
	if first {
		w.announced = announcement{position: change, at: now}
	}
	held := w.mirror.Position()
	if behind && state.Age < int64(w.edge.maxTableAge) && w.storeRead.outpaced(now, w.announced.at) {
		w.storeRead.cancel(errPeerIsFaster)
	}
	w.mu.Unlock()
	if !behind {
		return
	}
	if first {
		w.edge.logTable(w.table, "newer table announced", "gateway", peer, "change", state.LastChange,
			"era", state.Era, "heldAsOf", held.Version, "heldEra", held.Era, "peerAge", time.Duration(state.Age).String())
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
