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

// errOtherEra means that the store answered a read of changes in another era than that of
// the copy. The answer lacks what was written between the older copy from which the store
// returned and the version since which the changes were read.
var errOtherEra = eris.New("the store has returned from an older copy")

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
func (w *watcher) readChanges(ctx context.Context, after feed.Position, wait time.Duration, backoff feed.Backoff) {
	read := tableRead{table: w.table, source: storeSource, after: after, began: w.edge.now(), wait: wait}
	w.readStore(ctx, read, backoff, func(ctx context.Context) (feed.Batch, error) {
		batch, err := w.edge.store.Changes(ctx, w.table, after.Version, wait)
		if err == nil && batch.Era != after.Era {
			return feed.Batch{Era: batch.Era, Bytes: batch.Bytes}, errOtherEra
		}
		return batch, err
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
	if errors.Is(err, ErrHistoryGone) || errors.Is(err, errOtherEra) {
		w.edge.log.Info("store no longer has the changes since this version; reading the whole table", "table", w.table,
			"after", read.after.Version, "era", read.after.Era, "reason", err.Error())
		w.edge.counters.recordStoreCall(w.table, nil)
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
		batch.Age = w.edge.storeState.ResponseAge(now, read.began, batch)
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
	before := w.mirror.Position()
	if before.Before(w.announced.position) {
		announcedAt = w.announced.at
	}
	applied := w.mirror.Apply(now, batch)
	confirmedAt := w.mirror.ConfirmedAt()
	w.mu.Unlock()
	w.logApplied(batch, before, applied, source)
	if applied.NewEra {
		w.edge.storeReturned(now)
	}
	if applied.Refused && source == storeSource {
		w.nextStoreReadAt = now + int64(refusedReadDelay)
	}
	if len(applied.Changes) == 0 && !first {
		return
	}
	w.nextStoreReadAt = now + int64(changeCoalesceDelay)
	event := tableEvent{
		table: w.table, rows: applied.Changes, storeRecoveredAt: w.edge.storeState.RecoveredAt(), source: source, era: batch.Era,
		receivedAt: now, announcedAt: announcedAt, confirmedAt: confirmedAt,
	}
	select {
	case w.edge.events <- event:
	case <-ctx.Done():
	}
}

// readPeer reads the changes of the table from another gateway, or the whole table if
// there is no copy yet. It reports whether the copy became newer.
func (w *watcher) readPeer(ctx context.Context, address string, known bool) bool {
	w.mu.Lock()
	after := w.mirror.Position()
	query := tableQuery{full: !known, after: after}
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
		w.edge.storeState.RecordPeerRecovery(w.edge.now() - batch.RecoveryAge)
	}
	w.applyBatch(ctx, batch, address)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mirror.Loaded() && (!known || after.Before(w.mirror.Position()))
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
	switch {
	case query.full, query.eraUnknown && w.mirror.EraChanged():
		batch = w.mirror.FullBatch(now)
	default:
		if query.eraUnknown {
			query.after.Era = w.mirror.Position().Era
		}
		batch = w.mirror.ChangesSince(now, query.after)
	}
	if ended := w.edge.storeState.RecoveredAt(); ended != 0 {
		batch.RecoveryAge = now - ended
	}
	return batch, w.mirror.Value(query.base), true
}

func (e *Edge) storeFailed(now int64, table feed.Table, err error, backoff feed.Backoff) {
	if e.storeState.RecordFailure(now, backoff) {
		e.log.Warn("lost the store; the last view stays in force", "table", table, "error", err)
	}
}

func (e *Edge) storeSucceeded(now int64) {
	if e.storeState.RecordSuccess(now) {
		e.log.Info("reached the store again")
		select {
		case e.storeReached <- struct{}{}:
		default:
		}
	}
}
