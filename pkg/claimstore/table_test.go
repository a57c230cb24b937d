package claimstore

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/memtable"
)

// faults are probabilities of faults of the fake table, in percent.
type faults struct {
	// Down fails calls, Lost drops responses after the write, Late lets a write
	// without a response take effect up to 20 s later, ReadFail fails reads.
	Down, Lost, Late, ReadFail int
	// SlowMillis is the maximum delay of a call in each direction.
	SlowMillis int
	// Reject is the key of a row whose transactions the table rejects as malformed.
	Reject string
}

// fakeTable is an in-memory table service that all stores of a test share.
type fakeTable struct {
	mu      sync.Mutex
	rng     *rand.Rand
	rows    *memtable.Table
	commits int
	// applied holds the transactions that were applied, in order.
	applied []platform.Txn
	pending sync.WaitGroup
}

func newFakeTable(seed uint64) *fakeTable {
	return &fakeTable{rng: rand.New(rand.NewPCG(seed, 1)), rows: memtable.New()}
}

// roll draws a number below n.
func (f *fakeTable) roll(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

func (f *fakeTable) chance(percent int) bool {
	return percent > 0 && f.roll(100) < percent
}

// apply performs a transaction.
func (f *fakeTable) apply(txn platform.Txn) platform.CommitResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	version, conflicts := f.rows.Commit(txn)
	if len(conflicts) > 0 {
		return platform.CommitResult{Status: platform.CommitConflict, Conflicts: conflicts, Time: time.Now()}
	}
	f.applied = append(f.applied, txn)
	return platform.CommitResult{Status: platform.CommitApplied, Version: version, Time: time.Now()}
}

// returnFrom lets the table return from a copy that holds only the first transactions that
// were applied. Their versions are given out again.
func (f *fakeTable) returnFrom(applied int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows = memtable.New()
	f.applied = f.applied[:applied]
	for _, txn := range f.applied {
		f.rows.Commit(txn)
	}
}

// changed returns the rows with a version above after, tombstones included.
func (f *fakeTable) changed(prefix string, after uint64, limit int) platform.ReadResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, next, more := f.rows.Changes(prefix, after, limit)
	return platform.ReadResult{Rows: rows, Next: next, More: more, Time: time.Now()}
}

// get returns the existing rows of the keys.
func (f *fakeTable) get(keys ...string) platform.ReadResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	return platform.ReadResult{Rows: f.rows.Get(keys...), Time: time.Now()}
}

// scan returns existing rows with the prefix, all of them if limit is 0.
func (f *fakeTable) scan(prefix, after string, limit int) platform.ReadResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, more := f.rows.Scan(prefix, after, limit)
	return platform.ReadResult{Rows: rows, More: more, Time: time.Now()}
}

// link is the connection of one gateway to the table, with its faults and a gate at
// which the gateway can be paused before and after each call.
type link struct {
	table  *fakeTable
	gate   func()
	mu     sync.Mutex
	faults faults
}

var _ platform.Table = (*link)(nil)

func (l *link) set(f faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

func (l *link) current() faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// delay waits for one direction of a call and reports false if the context ended.
func (l *link) delay(ctx context.Context) bool {
	// The random part separates events that would otherwise happen at the same time.
	d := time.Duration(l.table.roll(500)+1) * time.Microsecond
	if slow := l.current().SlowMillis; slow > 0 {
		d += time.Duration(l.table.roll(slow*1000)) * time.Microsecond
	}
	return sleep(ctx, d)
}

func (l *link) Commit(ctx context.Context, txn platform.Txn) platform.CommitResult {
	l.gate()
	defer l.gate()
	unknown := platform.CommitResult{Status: platform.CommitUnknown, Err: platform.ErrUnavailable}
	f := l.current()
	if l.table.chance(f.Down) || ctx.Err() != nil {
		return platform.CommitResult{Status: platform.CommitNotApplied, Err: platform.ErrUnavailable}
	}
	for _, w := range txn.Writes {
		if f.Reject != "" && w.Key == f.Reject {
			return platform.CommitResult{Status: platform.CommitNotApplied, Err: platform.ErrProtocol}
		}
	}
	if l.table.chance(f.Late) {
		after := time.Duration(l.table.roll(20_000_000)) * time.Microsecond
		l.table.pending.Go(func() {
			time.Sleep(after)
			l.table.apply(txn)
		})
		if !l.table.chance(50) {
			<-ctx.Done()
		}
		return unknown
	}
	if !l.delay(ctx) {
		if l.table.chance(50) {
			l.table.apply(txn)
		}
		return unknown
	}
	result := l.table.apply(txn)
	if l.table.chance(f.Lost) || !l.delay(ctx) {
		return unknown
	}
	return result
}

// read performs a read with faults. Its result may be outdated on arrival.
func (l *link) read(ctx context.Context, read func() platform.ReadResult) (platform.ReadResult, error) {
	l.gate()
	defer l.gate()
	f := l.current()
	if l.table.chance(max(f.Down, f.ReadFail)) || !l.delay(ctx) {
		return platform.ReadResult{}, platform.ErrUnavailable
	}
	result := read()
	if !l.delay(ctx) {
		return platform.ReadResult{}, platform.ErrUnavailable
	}
	return result, nil
}

func (l *link) Get(ctx context.Context, keys ...string) (platform.ReadResult, error) {
	return l.read(ctx, func() platform.ReadResult { return l.table.get(keys...) })
}

func (l *link) Scan(ctx context.Context, prefix, after string, limit int) (platform.ReadResult, error) {
	return l.read(ctx, func() platform.ReadResult { return l.table.scan(prefix, after, limit) })
}

func (l *link) Changes(ctx context.Context, prefix string, after uint64, limit int, options ...platform.ChangesOption) (platform.ReadResult, error) {
	return l.read(ctx, func() platform.ReadResult {
		result := l.table.changed(prefix, after, limit)
		if slices.Contains(options, platform.KeysOnly) {
			memtable.DropValues(result.Rows)
		}
		return result
	})
}
