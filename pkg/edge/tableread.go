package edge

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/feed"
)

// errPeerIsFaster is the cause with which a read of the store is canceled because another
// gateway already holds the change.
var errPeerIsFaster = eris.New("another gateway holds the change already")

// beginStoreRead returns the context of a read of the store. The function that it returns
// must be called when the read has ended.
func (w *watcher) beginStoreRead(ctx context.Context, began int64) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeRead = storeReadInProgress{began: began, cancel: cancel}
	return ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.storeRead = storeReadInProgress{}
		cancel(nil)
	}
}

// readFullTable reads the whole table from the store.
func (w *watcher) readFullTable(ctx context.Context, backoff feed.Backoff) {
	read := tableRead{table: w.table, source: storeSource, began: w.edge.now()}
	w.readStore(ctx, read, backoff, func(ctx context.Context) (feed.Batch, error) {
		return w.edge.store.Read(ctx, w.table)
	})
}

// readChanges reads the changes after a version from the store, which may delay its
// response by wait.
func (w *watcher) readChanges(ctx context.Context, after uint64, wait time.Duration, backoff feed.Backoff) {
	read := tableRead{table: w.table, source: storeSource, after: after, began: w.edge.now(), wait: wait}
	w.readStore(ctx, read, backoff, func(ctx context.Context) (feed.Batch, error) {
		return w.edge.store.Changes(ctx, w.table, after, wait)
	})
}

// readStore makes a read of the store and applies its result. If the store no longer has the
// changes, it reads the whole table.
func (w *watcher) readStore(ctx context.Context, read tableRead, backoff feed.Backoff,
	makeRead func(context.Context) (feed.Batch, error),
) {
	readContext, end := w.beginStoreRead(ctx, read.began)
	batch, err := makeRead(readContext)
	if err != nil && errors.Is(context.Cause(readContext), errPeerIsFaster) {
		err = errPeerIsFaster
	}
	end()
	if errors.Is(err, ErrHistoryGone) {
		w.edge.log.Info("store no longer has the changes since this version; reading the whole table", "table", w.table, "after", read.after)
		w.readFullTable(ctx, backoff)
		return
	}
	w.handleStoreResponse(ctx, read, batch, err, backoff)
}

// handleStoreResponse applies the result of a read of the store, and records whether the
// store was reached.
func (w *watcher) handleStoreResponse(ctx context.Context, read tableRead, batch feed.Batch, err error,
	backoff feed.Backoff,
) {
	now := w.edge.now()
	if err == nil {
		batch.Age = w.edge.storeState.responseAge(now, read.began, batch)
	}
	w.edge.counters.recordStoreCall(w.table, err)
	w.edge.recordRead(ctx, read, batch, err)
	switch {
	case err == nil:
		w.edge.storeSucceeded(now)
		w.applyBatch(ctx, batch, storeSource)
	case ctx.Err() == nil && !errors.Is(err, errPeerIsFaster):
		w.edge.storeFailed(now, w.table, err, backoff)
	}
}

// applyBatch applies a batch to the copy and passes the changed rows to the control loop.
func (w *watcher) applyBatch(ctx context.Context, batch feed.Batch, source string) {
	now := w.edge.now()
	w.mu.Lock()
	first := !w.mirror.Loaded()
	announcedAt := int64(0)
	if w.announced.version > w.mirror.AsOf() {
		announcedAt = w.announced.at
	}
	rows := w.mirror.Apply(now, batch)
	confirmedAt := w.mirror.ConfirmedAt()
	w.mu.Unlock()
	if len(rows) == 0 && !first {
		return
	}
	w.nextStoreReadAt = now + int64(changeCoalesceDelay)
	event := tableEvent{
		table: w.table, rows: rows, storeRecoveredAt: w.edge.storeState.recoveredAt(), source: source,
		receivedAt: now, announcedAt: announcedAt, confirmedAt: confirmedAt,
	}
	select {
	case w.edge.events <- event:
	case <-ctx.Done():
	}
}

// readPeer reads the changes of the table from another gateway, or the whole table if
// there is no copy yet. It reports whether the copy became newer.
func (w *watcher) readPeer(ctx context.Context, address string, after uint64, known bool) bool {
	query := tableQuery{full: !known, after: after}
	w.mu.Lock()
	query.base, query.baseValue = w.mirror.LargestValue()
	w.mu.Unlock()
	read := tableRead{table: w.table, source: address, after: after, began: w.edge.now()}
	batch, err := w.client.read(ctx, address, query)
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

// batchFor returns the batch for another gateway and the value relative to which it can
// be compressed, nil for none. It returns false if there is no copy yet.
func (w *watcher) batchFor(query tableQuery) (batch feed.Batch, baseValue []byte, ok bool) {
	now := w.edge.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.mirror.Loaded() {
		return feed.Batch{}, nil, false
	}
	if query.full {
		batch = w.mirror.FullBatch(now)
	} else {
		batch = w.mirror.ChangesSince(now, query.after)
	}
	if ended := w.edge.storeState.recoveredAt(); ended != 0 {
		batch.RecoveryAge = now - ended
	}
	return batch, w.mirror.Value(query.base), true
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
