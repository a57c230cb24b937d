// Package platformtest provides an in-memory fake of platform.Table with fault
// injection for tests of the packages that use a table. It is deterministic: it
// starts no goroutine, and its clock is a field that the test sets.
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

// CommitFault says what happens to one commit.
type CommitFault int

const (
	// CommitOK handles the commit normally.
	CommitOK CommitFault = iota
	// LoseResponse carries the commit out and returns CommitUnknown.
	LoseResponse
	// LoseRequest does not carry the commit out and returns CommitUnknown.
	LoseRequest
	// RefuseCommit returns CommitNotApplied.
	RefuseCommit
	// DelayCommit returns CommitUnknown; the commit is carried out, with its
	// checks, by a later ApplyDelayed.
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
	// Before is called at the start of each call, if set, without any lock: it may
	// use the table itself, for example to let another writer act in between.
	Before func(call Call)
	// Now is the store's clock, which answers carry. It never moves by itself; set
	// it only while no call runs.
	Now time.Time

	mu         sync.Mutex
	table      *memtable.Table
	down       bool
	faults     []CommitFault
	readFaults []bool
	delayed    []platform.Txn
}

var _ platform.Table = (*Table)(nil)

// New returns an empty table whose clock shows a fixed time.
func New() *Table {
	return &Table{Now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), table: memtable.New()}
}

// SetDown starts or ends an outage: reads fail, and commits are not applied.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// FailCommits appends faults for the next commits, one each; later ones are
// handled normally. Commits during an outage use none up.
func (t *Table) FailCommits(faults ...CommitFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

// FailReads says for the next reads, one each, whether they fail with
// platform.ErrUnavailable; later ones are handled normally.
func (t *Table) FailReads(fails ...bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readFaults = append(t.readFaults, fails...)
}

// ClearFaults ends the outage and forgets faults that were not used up. Delayed
// commits stay delayed.
func (t *Table) ClearFaults() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down, t.faults, t.readFaults = false, nil, nil
}

// ApplyDelayed carries out the commits of DelayCommit in their order. It returns
// how many passed their checks.
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

// Put stores a row directly, without faults.
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
