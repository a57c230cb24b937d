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
	// defaultMaxDelay is the bound on configurations and leaving servers if the
	// platform does not say.
	defaultMaxDelay = 2500 * time.Millisecond
	// longPollWaitPercent of the bound is how long a reader lets the store wait for
	// changes. Each answer confirms the table, so it bounds the age of the view.
	longPollWaitPercent = 48
	// otherGroupMaxAgePercent of the bound is the age of the tables of the group that reads
	// from which the readers of the others read the store themselves. It is above
	// readerWaitPercent by the time that a confirmation takes to all relays.
	otherGroupMaxAgePercent = 60
	// maxTableAgePercent of the bound is the age from which a gateway reads the store
	// itself; the rest is for that read.
	maxTableAgePercent = 76
	// storeCallTimeout is added to the wait for the store's answer.
	storeCallTimeout = 600 * time.Millisecond
	// peerTimeout bounds a read of changes from another gateway, and tableTimeout one
	// of a whole table, from a gateway or from the store: a table of 300 servers
	// takes a tenth of a second on a link of 10 Mbit/s that nothing else uses.
	peerTimeout      = 400 * time.Millisecond
	fullTableTimeout = 1500 * time.Millisecond
	// peerRetryDelay is the pause after a failed read from another gateway.
	peerRetryDelay = 300 * time.Millisecond
	// ageCheckInterval is how often a follower looks at the age of its view.
	ageCheckInterval = 100 * time.Millisecond
	// changeCoalesceDelay is the time between a change and the next read of the store.
	changeCoalesceDelay = 150 * time.Millisecond
	// startPeerPollInterval is how often a gateway that has just started looks for a peer that
	// holds the table, and startWait how long it looks before it reads the store
	// itself, counted from its start.
	startPeerPollInterval = 10 * time.Millisecond
	startPeerTimeout      = 1500 * time.Millisecond
)

// setTableAges derives the ages of the tables from the bounds of the platform.
func (e *Edge) setTableAges(limits Limits) {
	maxDelay := min(limits.MaxConfigDelay, limits.MaxDrainDelay)
	if maxDelay <= 0 {
		maxDelay = defaultMaxDelay
	}
	e.longPollWait = maxDelay * longPollWaitPercent / 100
	e.otherGroupMaxAge = maxDelay * otherGroupMaxAgePercent / 100
	e.maxTableAge = maxDelay * maxTableAgePercent / 100
}

// watcher follows one table.
type watcher struct {
	edge  *Edge
	table feed.Table
	index int
	// wake is signalled when a peer holds changes that this gateway lacks.
	wake chan struct{}

	// nextStoreReadAt is when the store is read again after a change, so that changes in
	// quick succession come in one answer.
	nextStoreReadAt int64
	// nextPeerReadAt is when peers are asked again after a failure.
	nextPeerReadAt int64

	mu     sync.Mutex
	mirror feed.Mirror
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

// step does one read if it is due and returns the time to the next look.
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
	reader := w.edge.isStoreReader(now)
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

// mayLongPoll reports whether the reader may let the store wait for changes: the answer
// must come before the others think that their view is too old.
func (w *watcher) mayLongPoll(state feed.TableState) bool {
	return !w.edge.storeState.unreachable() && state.Age+int64(w.edge.longPollWait) <= int64(w.edge.maxTableAge)
}

// awaitsPeerTable reports whether a gateway that has just started leaves the first
// read to another one. Weak machines do, because large fleets have many of them.
func (e *Edge) awaitsPeerTable(now int64) bool {
	if e.self.HighCapacity || now-int64(time.Second) > int64(startPeerTimeout) {
		return false
	}
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	return !e.membersLoaded.Load() || !e.peers.IsInitialReader()
}

func jitter(maxJitter time.Duration) time.Duration {
	return rand.N(maxJitter)
}

func (w *watcher) state(now int64) (feed.TableState, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mirror.State(now), w.mirror.Loaded()
}

// confirm takes in what a peer holds and wakes the watcher if it holds more.
func (w *watcher) confirm(now int64, state feed.TableState) {
	w.mu.Lock()
	behind := w.mirror.Confirm(now, state)
	w.mu.Unlock()
	if !behind {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// readFullTable reads the whole table.
func (w *watcher) readFullTable(ctx context.Context, backoff feed.Backoff) time.Duration {
	began := w.edge.now()
	callCtx, cancel := context.WithTimeout(ctx, fullTableTimeout)
	defer cancel()
	batch, err := w.edge.store.Read(callCtx, w.table)
	return w.handleStoreResponse(ctx, began, batch, err, backoff)
}

// readChanges reads what is new in the table.
func (w *watcher) readChanges(ctx context.Context, after uint64, wait time.Duration,
	pauses feed.Backoff,
) time.Duration {
	began := w.edge.now()
	callCtx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	batch, err := w.edge.store.Changes(callCtx, w.table, after, wait)
	if errors.Is(err, ErrHistoryGone) {
		w.edge.log.Info("the store forgot its history; reading the whole table", "table", w.table, "after", after)
		return w.readFullTable(ctx, pauses)
	}
	return w.handleStoreResponse(ctx, began, batch, err, pauses)
}

func (w *watcher) handleStoreResponse(ctx context.Context, began int64, batch feed.Batch, err error,
	pauses feed.Backoff,
) time.Duration {
	now := w.edge.now()
	w.edge.counters.recordStoreCall(w.table, err)
	if err != nil {
		if ctx.Err() == nil {
			w.edge.storeFailed(now, w.table, err, pauses)
		}
		return 0
	}
	w.edge.storeSucceeded(now)
	w.applyBatch(ctx, batch, "store")
	return 0
}

// applyBatch applies a batch and hands the changes to the control loop.
func (w *watcher) applyBatch(ctx context.Context, batch feed.Batch, source string) {
	now := w.edge.now()
	w.mu.Lock()
	first := !w.mirror.Loaded()
	rows := w.mirror.Apply(now, batch)
	w.mu.Unlock()
	if len(rows) == 0 && !first {
		return
	}
	w.nextStoreReadAt = now + int64(changeCoalesceDelay)
	event := tableEvent{table: w.table, rows: rows, storeRecoveredAt: w.edge.storeState.recoveredAt(), source: source}
	select {
	case w.edge.events <- event:
	case <-ctx.Done():
	}
}

// readPeer reads what is new in the table from another gateway, or all of it if
// nothing is known. It reports whether the view got newer.
func (w *watcher) readPeer(ctx context.Context, address string, after uint64, known bool) bool {
	timeout := peerTimeout
	query := "?after=" + strconv.FormatUint(after, 10)
	if !known {
		timeout = fullTableTimeout
		query = ""
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	batch, err := fetchTable(callCtx, address, w.table, query)
	w.edge.counters.recordPeerRead(err)
	if err != nil {
		w.edge.log.Debug("gateway did not hand over a table", "table", w.table, "gateway", address, "error", err)
		return false
	}
	if batch.OutageEnded > 0 {
		w.edge.storeState.recordPeerRecovery(w.edge.now() - batch.OutageEnded)
	}
	w.applyBatch(ctx, batch, address)
	state, nowKnown := w.state(w.edge.now())
	return nowKnown && (!known || state.AsOf > after)
}

// batchFor returns the changes after a version for another gateway, or the whole
// table if it holds none.
func (w *watcher) batchFor(version uint64, full bool) (feed.Batch, bool) {
	now := w.edge.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.mirror.Loaded() {
		return feed.Batch{}, false
	}
	batch := w.mirror.FullBatch(now)
	if !full {
		batch = w.mirror.ChangesSince(now, version)
	}
	if ended := w.edge.storeState.recoveredAt(); ended != 0 {
		batch.OutageEnded = now - ended
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
