package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"balsamhill/pkg/feed"
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
	// storeCallTimeout bounds a call to the store, in addition to a long poll's wait.
	storeCallTimeout = 600 * time.Millisecond
	// peerTimeout bounds a read of changes from another gateway, fullTableTimeout a read
	// of a full table from a gateway or from the store. A table of 300 servers takes
	// 0.1 s on an otherwise idle link of 10 Mbit/s.
	peerTimeout      = 400 * time.Millisecond
	fullTableTimeout = 1500 * time.Millisecond
	// peerRetryDelay is the minimum delay after a failed read from another gateway.
	peerRetryDelay = 300 * time.Millisecond
	// ageCheckInterval is how often a gateway that does not long-poll the store checks
	// the age of its copy.
	ageCheckInterval = 100 * time.Millisecond
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
	// nextPeerReadAt is the earliest time of the next read from a peer after a failure.
	nextPeerReadAt int64

	mu     sync.Mutex
	mirror feed.Mirror
	// announced is the newest change that a peer has announced.
	announced announcement
}

// announcement is a change of a table of which a gateway was notified.
type announcement struct {
	// version is the version of the change, at the time of the first notice.
	version uint64
	at      int64
}

func newWatcher(e *Edge, table feed.Table, index int) *watcher {
	return &watcher{edge: e, table: table, index: index, wake: make(chan struct{}, 1)}
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
	address, newest, ok := w.edge.freshestPeer(now, w.index)
	behind := ok && (!known || newest.LastChange > state.AsOf)
	if behind && newest.Age < int64(w.edge.maxTableAge) && now >= w.nextPeerReadAt {
		if w.readPeer(ctx, address, state.AsOf, known) {
			return 0
		}
		w.nextPeerReadAt = w.edge.now() + int64(peerRetryDelay+jitter(peerRetryDelay))
	}
	reader := w.edge.longPollsStore(now)
	switch {
	case !known && w.edge.awaitsPeerTable(now):
		return startPeerPollInterval
	case known && now < w.nextStoreReadAt:
		return time.Duration(w.nextStoreReadAt - now)
	case known && !reader && !behind && state.Age <= int64(w.edge.maxTableAge):
		return ageCheckInterval
	}
	backoff := w.edge.storeBackoff(known, reader)
	if wait := w.edge.storeState.retryDelay(now, backoff); wait > 0 {
		return min(wait, ageCheckInterval)
	}
	switch {
	case !known:
		return w.readFullTable(ctx, backoff)
	case reader && w.mayLongPoll(state):
		return w.readChanges(ctx, state.AsOf, w.edge.longPollWait, backoff)
	default:
		return w.readChanges(ctx, state.AsOf, 0, backoff)
	}
}

// mayLongPoll reports whether the reader may long-poll the store: the response must
// arrive before the copies of the other gateways exceed maxTableAge.
func (w *watcher) mayLongPoll(state feed.TableState) bool {
	return !w.edge.storeState.unreachable() && state.Age+int64(w.edge.longPollWait) <= int64(w.edge.maxTableAge)
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

// confirm applies the table state of a peer, given by its ID, and wakes the watcher if
// the peer holds changes that this gateway lacks.
func (w *watcher) confirm(now int64, state feed.TableState, peer string) {
	w.mu.Lock()
	behind := w.mirror.Confirm(now, state)
	first := behind && state.LastChange > w.announced.version
	if first {
		w.announced = announcement{version: state.LastChange, at: now}
	}
	held := w.mirror.AsOf()
	w.mu.Unlock()
	if !behind {
		return
	}
	if first {
		w.edge.logTable(w.table, "newer table announced", "gateway", peer, "change", state.LastChange,
			"heldAsOf", held, "peerAge", time.Duration(state.Age).String())
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// readFullTable reads the whole table from the store.
func (w *watcher) readFullTable(ctx context.Context, backoff feed.Backoff) time.Duration {
	began := w.edge.now()
	callCtx, cancel := context.WithTimeout(ctx, fullTableTimeout)
	defer cancel()
	batch, err := w.edge.store.Read(callCtx, w.table)
	return w.handleStoreResponse(ctx, tableRead{table: w.table, source: storeSource, began: began}, batch, err, backoff)
}

// readChanges reads the changes after a version from the store, which may delay its
// response by wait.
func (w *watcher) readChanges(ctx context.Context, after uint64, wait time.Duration,
	backoff feed.Backoff,
) time.Duration {
	began := w.edge.now()
	callCtx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	batch, err := w.edge.store.Changes(callCtx, w.table, after, wait)
	if errors.Is(err, ErrHistoryGone) {
		w.edge.log.Info("store no longer has the changes since this version; reading the whole table", "table", w.table, "after", after)
		return w.readFullTable(ctx, backoff)
	}
	read := tableRead{table: w.table, source: storeSource, after: after, began: began, wait: wait}
	return w.handleStoreResponse(ctx, read, batch, err, backoff)
}

func (w *watcher) handleStoreResponse(ctx context.Context, read tableRead, batch feed.Batch, err error,
	backoff feed.Backoff,
) time.Duration {
	now := w.edge.now()
	w.edge.counters.recordStoreCall(w.table, err)
	w.edge.recordRead(ctx, read, batch, err)
	if err != nil {
		if ctx.Err() == nil {
			w.edge.storeFailed(now, w.table, err, backoff)
		}
		return 0
	}
	w.edge.storeSucceeded(now)
	w.applyBatch(ctx, batch, storeSource)
	return 0
}

// applyBatch applies a batch to the copy and passes the changed rows to the control loop.
func (w *watcher) applyBatch(ctx context.Context, batch feed.Batch, source string) {
	now := w.edge.now()
	w.mu.Lock()
	first := !w.mirror.Loaded()
	rows := w.mirror.Apply(now, batch)
	announced := w.announced
	confirmedAt := w.mirror.ConfirmedAt()
	w.mu.Unlock()
	if len(rows) == 0 && !first {
		return
	}
	w.nextStoreReadAt = now + int64(changeCoalesceDelay)
	event := tableEvent{
		table: w.table, rows: rows, storeRecoveredAt: w.edge.storeState.recoveredAt(), source: source,
		receivedAt: now, announcedAt: announced.at, confirmedAt: confirmedAt,
	}
	select {
	case w.edge.events <- event:
	case <-ctx.Done():
	}
}

// readPeer reads the changes of the table from another gateway, or the whole table if
// there is no copy yet. It reports whether the copy became newer.
func (w *watcher) readPeer(ctx context.Context, address string, after uint64, known bool) bool {
	timeout := peerTimeout
	query := "?after=" + strconv.FormatUint(after, 10)
	if !known {
		timeout = fullTableTimeout
		query = ""
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	read := tableRead{table: w.table, source: address, after: after, began: w.edge.now()}
	batch, err := fetchTable(callCtx, address, w.table, query)
	w.edge.counters.recordPeerRead(err)
	w.edge.recordRead(ctx, read, batch, err)
	if err != nil {
		return false
	}
	if batch.RecoveryAge > 0 {
		w.edge.storeState.recordPeerRecovery(w.edge.now() - batch.RecoveryAge)
	}
	w.applyBatch(ctx, batch, address)
	state, nowKnown := w.state(w.edge.now())
	return nowKnown && (!known || state.AsOf > after)
}

// batchFor returns the batch for another gateway: the changes after a version, or the
// whole table if full is set. It returns false if there is no copy yet.
func (w *watcher) batchFor(after uint64, full bool) (feed.Batch, bool) {
	now := w.edge.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.mirror.Loaded() {
		return feed.Batch{}, false
	}
	batch := w.mirror.FullBatch(now)
	if !full {
		batch = w.mirror.ChangesSince(now, after)
	}
	if ended := w.edge.storeState.recoveredAt(); ended != 0 {
		batch.RecoveryAge = now - ended
	}
	return batch, true
}

func (e *Edge) storeFailed(now int64, table feed.Table, err error, backoff feed.Backoff) {
	if e.storeState.recordFailure(now, backoff) {
		e.log.Warn("lost the store; the last view stays in force", "table", table, "error", err)
	}
}

func (e *Edge) storeSucceeded(now int64) {
	if e.storeState.recordSuccess(now) {
		e.log.Info("reached the store again")
	}
}
