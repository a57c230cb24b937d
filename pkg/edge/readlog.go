package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/transfer"
)

// storeSource is the source of tables that were read from the store. Other sources are
// addresses of gateways.
const storeSource = "store"

// tableRead describes a read of a table, for its log line and metrics.
type tableRead struct {
	table feed.Table
	// source is storeSource or the address of a gateway.
	source string
	// after is the position since which the changes were read, the zero value for the
	// whole table.
	after feed.Position
	began int64
	// wait is how long the store may have waited for a change.
	wait time.Duration
}

// recordRead logs and counts a read that has ended. Responses without changes, and reads
// that a shutdown ended, are not logged.
func (e *Edge) recordRead(ctx context.Context, read tableRead, batch feed.Batch, err error) {
	took := time.Duration(e.now() - read.began)
	result := readResult(err)
	e.counters.recordTableRead(read, result, took, batch.Bytes)
	if ctx.Err() != nil || errors.Is(err, ErrHistoryGone) {
		return
	}
	if err != nil {
		e.logTable(read.table, "table read failed", "source", read.source, "after", read.after.Version, "era", read.after.Era, "result", result,
			"took", took.String(), "wait", read.wait.String(), "bytes", batch.Bytes, "error", err.Error())
		return
	}
	if len(batch.Rows) == 0 {
		return
	}
	e.logTable(read.table, "table read", "source", read.source, "after", read.after.Version, "asOf", batch.AsOf, "era", batch.Era,
		"took", took.String(), "wait", read.wait.String(), "bytes", batch.Bytes, "full", batch.Full,
		"age", time.Duration(batch.Age).String())
}

// logApplied logs what a batch did to the copy beside changing rows.
func (w *watcher) logApplied(batch feed.Batch, before feed.Position, applied feed.Applied, source string) {
	if applied.Refused && len(batch.Rows) > 0 {
		w.edge.log.Info("table is not newer than the copy", "table", w.table, "source", source, "asOf", batch.AsOf, "era", batch.Era,
			"heldAsOf", before.Version, "heldEra", before.Era)
	}
	if applied.NewEra {
		w.edge.log.Warn("store has returned from an older copy", "table", w.table, "source", source, "asOf", batch.AsOf, "era", batch.Era,
			"heldAsOf", before.Version, "heldEra", before.Era, "changed", len(applied.Changes), "kept", len(applied.Kept))
	}
	for _, row := range applied.Kept {
		w.edge.log.Info("configuration is not newer; the one in force stays", "revision", w.edge.codec.ConfigRevision(row),
			"inForce", before.Rank, "source", source, "rowVersion", row.Version, "era", batch.Era)
	}
}

// logDelayedRead logs once for each delay that a read of the store is due and waits for it.
func (w *watcher) logDelayedRead(now int64, wait time.Duration, state feed.TableState, known, reader bool) {
	if now < w.delayLoggedUntil {
		return
	}
	w.delayLoggedUntil = now + int64(wait)
	w.edge.log.Info("read of the store is delayed after a failed call", "table", w.table, "wait", wait.String(),
		"known", known, "age", time.Duration(state.Age).String(), "reader", reader)
}

// logTable logs an event of a table. Those of the configuration are always logged; the
// entries of servers change too often for that.
func (e *Edge) logTable(table feed.Table, message string, fields ...any) {
	fields = append(fields, "table", table)
	if table == feed.Config {
		e.log.Info(message, fields...)
		return
	}
	e.log.Debug(message, fields...)
}

// readResult returns the value of the metric label "result" of a read.
func readResult(err error) string {
	var operation *net.OpError
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, errPeerIsFaster):
		return "superseded"
	case errors.Is(err, transfer.ErrStalled), errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, ErrReadRefused):
		return "refused"
	case errors.As(err, &operation) && operation.Op == "dial":
		return "unreachable"
	default:
		return "broken"
	}
}

// recordTableRead counts a read and its bytes. The duration of a long poll is not recorded
// because it includes the wait.
func (c *counters) recordTableRead(read tableRead, result string, took time.Duration, bytes int64) {
	source := storeSource
	if read.source != storeSource {
		source = "gateway"
	}
	labels := fmt.Sprintf(`{table=%q,source=%q`, read.table, source)
	c.set.GetOrCreateCounter("balsamhill_table_read_bytes_total" + labels + "}").Add(int(bytes))
	if read.wait == 0 {
		c.set.GetOrCreateHistogram(fmt.Sprintf("balsamhill_table_read_seconds%s,result=%q}", labels, result)).
			Update(took.Seconds())
	}
}
