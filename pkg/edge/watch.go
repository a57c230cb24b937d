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
	// defaultBound is the bound on configurations and leaving servers if the
	// platform does not say.
	defaultBound = 2500 * time.Millisecond
	// readerWaitPercent of the bound is how long a reader lets the store wait for
	// changes. Each answer confirms the table, so it bounds the age of the view.
	readerWaitPercent = 48
	// othersPercent of the bound is the age of the tables of the group that reads
	// from which the readers of the others read the store themselves. It is above
	// readerWaitPercent by the time that a confirmation takes to all relays.
	othersPercent = 60
	// stalePercent of the bound is the age from which a gateway reads the store
	// itself; the rest is for that read.
	stalePercent = 76
	// callTimeout is added to the wait for the store's answer.
	callTimeout = 600 * time.Millisecond
	// peerTimeout bounds a read of changes from another gateway, and tableTimeout one
	// of a whole table, from a gateway or from the store: a table of 300 servers
	// takes a tenth of a second on a link of 10 Mbit/s that nothing else uses.
	peerTimeout  = 400 * time.Millisecond
	tableTimeout = 1500 * time.Millisecond
	// peerBackoff is the pause after a failed read from another gateway.
	peerBackoff = 300 * time.Millisecond
	// watchPause is how often a follower looks at the age of its view.
	watchPause = 100 * time.Millisecond
	// changePause is the time between a change and the next read of the store.
	changePause = 150 * time.Millisecond
	// startPause is how often a gateway that has just started looks for a peer that
	// holds the table, and startWait how long it looks before it reads the store
	// itself, counted from its start.
	startPause = 10 * time.Millisecond
	startWait  = 1500 * time.Millisecond
)

// setBounds derives the ages of the tables from the bounds of the platform.
func (e *Edge) setBounds(terms Limits) {
	bound := min(terms.MaxConfigDelay, terms.MaxDrainDelay)
	if bound <= 0 {
		bound = defaultBound
	}
	e.readerWait = bound * readerWaitPercent / 100
	e.othersAge = bound * othersPercent / 100
	e.staleAge = bound * stalePercent / 100
}

// watcher follows one table.
type watcher struct {
	edge  *Edge
	table feed.Table
	index int
	// wake is signalled when a peer holds changes that this gateway lacks.
	wake chan struct{}

	// readAfter is when the store is read again after a change, so that changes in
	// quick succession come in one answer.
	readAfter int64
	// peerAfter is when peers are asked again after a failure.
	peerAfter int64

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
		pause := w.step(ctx)
		timer.Reset(pause)
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
	mark, known := w.mark(now)
	address, newest, ok := w.edge.newestPeer(now, w.index)
	behind := ok && (!known || newest.LastChange > mark.AsOf)
	if behind && newest.Age < int64(w.edge.staleAge) && now >= w.peerAfter {
		if w.readPeer(ctx, address, mark.AsOf, known) {
			return 0
		}
		w.peerAfter = w.edge.now() + int64(peerBackoff+jitter(peerBackoff))
	}
	reader := w.edge.isReader(now)
	switch {
	case !known && w.edge.waitsForPeer(now):
		return startPause
	case known && now < w.readAfter:
		return time.Duration(w.readAfter - now)
	case known && !reader && !behind && mark.Age <= int64(w.edge.staleAge):
		return watchPause
	}
	pauses := w.edge.pauses(known, reader)
	if wait := w.edge.storeView.wait(now, pauses); wait > 0 {
		return min(wait, watchPause)
	}
	switch {
	case !known:
		return w.readStore(ctx, pauses)
	case reader && w.waits(mark):
		return w.changes(ctx, mark.AsOf, w.edge.readerWait, pauses)
	default:
		return w.changes(ctx, mark.AsOf, 0, pauses)
	}
}

// waits reports whether the reader may let the store wait for changes: the answer
// must come before the others think that their view is too old.
func (w *watcher) waits(mark feed.TableState) bool {
	return !w.edge.storeView.unreachable() && mark.Age+int64(w.edge.readerWait) <= int64(w.edge.staleAge)
}

// waitsForPeer reports whether a gateway that has just started leaves the first
// read to another one. Weak machines do, because large fleets have many of them.
func (e *Edge) waitsForPeer(now int64) bool {
	if e.self.HighCapacity || now-int64(time.Second) > int64(startWait) {
		return false
	}
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	return !e.membersRead.Load() || !e.peers.IsInitialReader()
}

func jitter(most time.Duration) time.Duration {
	return rand.N(most)
}

func (w *watcher) mark(now int64) (feed.TableState, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mirror.State(now), w.mirror.Loaded()
}

// confirm takes in what a peer holds and wakes the watcher if it holds more.
func (w *watcher) confirm(now int64, mark feed.TableState) {
	w.mu.Lock()
	behind := w.mirror.Confirm(now, mark)
	w.mu.Unlock()
	if !behind {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// readStore reads the whole table.
func (w *watcher) readStore(ctx context.Context, pauses feed.Backoff) time.Duration {
	began := w.edge.now()
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	batch, err := w.edge.store.Read(callCtx, w.table)
	return w.finish(ctx, began, batch, err, pauses)
}

// changes reads what is new in the table.
func (w *watcher) changes(ctx context.Context, after uint64, wait time.Duration,
	pauses feed.Backoff,
) time.Duration {
	began := w.edge.now()
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	batch, err := w.edge.store.Changes(callCtx, w.table, after, wait)
	if errors.Is(err, ErrHistoryGone) {
		w.edge.log.Info("the store forgot its history; reading the whole table", "table", w.table, "after", after)
		return w.readStore(ctx, pauses)
	}
	return w.finish(ctx, began, batch, err, pauses)
}

func (w *watcher) finish(ctx context.Context, began int64, batch feed.Batch, err error,
	pauses feed.Backoff,
) time.Duration {
	now := w.edge.now()
	w.edge.counters.storeCall(w.table, err)
	if err != nil {
		if ctx.Err() == nil {
			w.edge.storeFailed(now, w.table, err, pauses)
		}
		return 0
	}
	w.edge.storeSucceeded(now)
	w.take(ctx, batch, "store")
	return 0
}

// take applies a batch and hands the changes to the control loop.
func (w *watcher) take(ctx context.Context, batch feed.Batch, source string) {
	now := w.edge.now()
	w.mu.Lock()
	first := !w.mirror.Loaded()
	rows := w.mirror.Apply(now, batch)
	w.mu.Unlock()
	if len(rows) == 0 && !first {
		return
	}
	w.readAfter = now + int64(changePause)
	event := tableEvent{table: w.table, rows: rows, outageEnded: w.edge.storeView.lastOutage(), source: source}
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
		timeout = tableTimeout
		query = ""
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	batch, err := fetchFromPeer(callCtx, address, w.table, query)
	w.edge.counters.peerRead(err)
	if err != nil {
		w.edge.log.Debug("gateway did not hand over a table", "table", w.table, "gateway", address, "error", err)
		return false
	}
	if batch.OutageEnded > 0 {
		w.edge.storeView.heardOutage(w.edge.now() - batch.OutageEnded)
	}
	w.take(ctx, batch, address)
	mark, nowKnown := w.mark(w.edge.now())
	return nowKnown && (!known || mark.AsOf > after)
}

// batchFor returns the changes after a version for another gateway, or the whole
// table if it holds none.
func (w *watcher) batchFor(version uint64, whole bool) (feed.Batch, bool) {
	now := w.edge.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.mirror.Loaded() {
		return feed.Batch{}, false
	}
	batch := w.mirror.FullBatch(now)
	if !whole {
		batch = w.mirror.ChangesSince(now, version)
	}
	if ended := w.edge.storeView.lastOutage(); ended != 0 {
		batch.OutageEnded = now - ended
	}
	return batch, true
}

func (e *Edge) storeFailed(now int64, table feed.Table, err error, pauses feed.Backoff) {
	if e.storeView.failed(now, pauses) {
		e.log.Warn("lost the store; the last view stays in force", "table", table, "error", err)
	}
}

func (e *Edge) storeSucceeded(now int64) {
	if e.storeView.succeeded(now) {
		e.log.Info("reached the store again")
	}
}
