// Package platformtest provides in-memory fakes of platform.Table and
// platform.Platform with fault injection, for tests of the packages that use them.
// The fakes are deterministic: they start no goroutine, and their clock is a field
// that the test sets.
package platformtest

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/memtable"
)

// CommitFault is the fault injected into one commit.
type CommitFault int

const (
	// CommitOK injects no fault.
	CommitOK CommitFault = iota
	// LoseResponse applies the commit and returns CommitUnknown.
	LoseResponse
	// LoseRequest does not apply the commit and returns CommitUnknown.
	LoseRequest
	// RefuseCommit does not apply the commit and returns CommitNotApplied.
	RefuseCommit
	// DelayCommit returns CommitUnknown. A later ApplyDelayed evaluates the checks
	// and applies the commit.
	DelayCommit
)

// Call describes one call of the table.
type Call struct {
	// Method is "Get", "Scan", "Changes" or "Commit".
	Method string
	// Txn is set for Commit.
	Txn platform.Txn
}

// Table implements platform.Table. It is safe for concurrent use.
type Table struct {
	// Before, if set, runs at the start of each call. No lock is held, so it may use
	// the table, for example to simulate a concurrent writer.
	Before func(call Call)
	// Now is the store's clock, which is part of each result. It advances only when
	// the test sets it, which must not happen during a call.
	Now time.Time

	mu         sync.Mutex
	table      *memtable.Table
	down       bool
	faults     []CommitFault
	readFaults []bool
	delayed    []platform.Txn
}

var _ platform.Table = (*Table)(nil)

// New returns an empty table whose clock is set to a fixed time.
func New() *Table {
	return &Table{Now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), table: memtable.New()}
}

// SetDown starts or ends an outage: reads fail, and commits are not applied.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// FailCommits queues one fault for each of the next commits. Commits after these
// have no fault. Commits during an outage do not consume faults.
func (t *Table) FailCommits(faults ...CommitFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

// FailReads queues for each of the next reads whether it fails with
// platform.ErrUnavailable. Reads after these do not fail.
func (t *Table) FailReads(fails ...bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readFaults = append(t.readFaults, fails...)
}

// ClearFaults ends the outage and discards all queued faults. Delayed commits remain
// delayed.
func (t *Table) ClearFaults() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down, t.faults, t.readFaults = false, nil, nil
}

// ApplyDelayed applies the commits that DelayCommit held back, in their order. It
// returns how many passed their checks.
func (t *Table) ApplyDelayed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	applied := 0
	for _, txn := range t.delayed {
		_, conflicts := t.table.Commit(txn)
		if len(conflicts) == 0 {
			applied++
		}
	}
	t.delayed = nil
	return applied
}

// Put stores a row directly, bypassing faults.
func (t *Table) Put(key string, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Commit(platform.Txn{Writes: []platform.Write{{Key: key, Value: value}}})
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, keys ...string) (platform.ReadResult, error) {
	return t.read(ctx, "Get", func() platform.ReadResult {
		return platform.ReadResult{Rows: t.table.Get(keys...)}
	})
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) (platform.ReadResult, error) {
	return t.read(ctx, "Scan", func() platform.ReadResult {
		rows, more := t.table.Scan(prefix, after, limit)
		return platform.ReadResult{Rows: rows, More: more}
	})
}

// Changes implements platform.Table.
func (t *Table) Changes(ctx context.Context, prefix string, after uint64, limit int, options ...platform.ChangesOption) (platform.ReadResult, error) {
	return t.read(ctx, "Changes", func() platform.ReadResult {
		rows, next, more := t.table.Changes(prefix, after, limit)
		if slices.Contains(options, platform.KeysOnly) {
			memtable.DropValues(rows)
		}
		return platform.ReadResult{Rows: rows, Next: next, More: more}
	})
}

func (t *Table) read(ctx context.Context, method string, f func() platform.ReadResult) (platform.ReadResult, error) {
	t.before(Call{Method: method})
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil {
		return platform.ReadResult{}, eris.Wrapf(platform.ErrUnavailable, "%v", ctx.Err())
	}
	if t.down {
		return platform.ReadResult{}, eris.Wrap(platform.ErrUnavailable, "outage")
	}
	fails := len(t.readFaults) > 0 && t.readFaults[0]
	t.readFaults = t.readFaults[min(1, len(t.readFaults)):]
	if fails {
		return platform.ReadResult{}, eris.Wrap(platform.ErrUnavailable, "failed read")
	}
	result := f()
	result.Time = t.Now
	return result, nil
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) platform.CommitResult {
	t.before(Call{Method: "Commit", Txn: txn})
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil {
		return platform.CommitResult{Status: platform.CommitNotApplied, Err: eris.Wrapf(platform.ErrUnavailable, "%v", ctx.Err())}
	}
	if t.down {
		return platform.CommitResult{Status: platform.CommitNotApplied, Err: eris.Wrap(platform.ErrUnavailable, "outage")}
	}
	unknown := platform.CommitResult{Status: platform.CommitUnknown, Err: eris.Wrap(platform.ErrUnavailable, "lost")}
	switch t.nextFault() {
	case RefuseCommit:
		return platform.CommitResult{Status: platform.CommitNotApplied, Err: eris.Wrap(platform.ErrUnavailable, "refused")}
	case LoseRequest:
		return unknown
	case DelayCommit:
		t.delayed = append(t.delayed, txn)
		return unknown
	case LoseResponse:
		t.table.Commit(txn)
		return unknown
	}
	version, conflicts := t.table.Commit(txn)
	if len(conflicts) > 0 {
		return platform.CommitResult{Status: platform.CommitConflict, Conflicts: conflicts, Time: t.Now}
	}
	return platform.CommitResult{Status: platform.CommitApplied, Version: version, Time: t.Now}
}

func (t *Table) nextFault() CommitFault {
	if len(t.faults) == 0 {
		return CommitOK
	}
	fault := t.faults[0]
	t.faults = t.faults[1:]
	return fault
}

func (t *Table) before(call Call) {
	if t.Before != nil {
		t.Before(call)
	}
}
