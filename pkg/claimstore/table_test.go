package claimstore

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/memtable"
)

// faults are probabilities of faults of the fake table, in percent.
type faults struct {
	// Down refuses calls, Lost loses answers after the write, Late lets an
	// unanswered write take effect up to 20 s later, ReadFail fails reads.
	Down, Lost, Late, ReadFail int
	// SlowMillis is the longest delay of a call, each way.
	SlowMillis int
	// Reject is a row whose transactions the table refuses as malformed.
	Reject string
}

// fakeTable is an in-memory table service that all stores of a test share.
type fakeTable struct {
	mu      sync.Mutex
	rng     *rand.Rand
	version uint64
	rows    map[string]platform.Row
	commits int
	pending sync.WaitGroup
}

func newFakeTable(seed uint64) *fakeTable {
	return &fakeTable{rng: rand.New(rand.NewPCG(seed, 1)), rows: make(map[string]platform.Row)}
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
	var conflicts []platform.Row
	for _, check := range txn.Checks {
		row := f.rows[check.Key]
		if row.Deleted {
			row = platform.Row{}
		}
		if row.Version != check.Version {
			row.Key = check.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return platform.CommitResult{Status: platform.CommitConflict, Conflicts: conflicts, Time: time.Now()}
	}
	f.version++
	for _, w := range txn.Writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: f.version, Deleted: w.Delete}
	}
	return platform.CommitResult{Status: platform.CommitApplied, Version: f.version, Time: time.Now()}
}

// changed returns the rows with a version above after, tombstones included.
func (f *fakeTable) changed(prefix string, after uint64, limit int) platform.ReadResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	result := platform.ReadResult{Next: f.version, Time: time.Now()}
	for key, row := range f.rows {
		if row.Version > after && strings.HasPrefix(key, prefix) {
			result.Rows = append(result.Rows, row)
		}
	}
	sort.Slice(result.Rows, func(i, j int) bool { return result.Rows[i].Version < result.Rows[j].Version })
	for limit < len(result.Rows) && result.Rows[limit].Version == result.Rows[limit-1].Version {
		limit++
	}
	if limit < len(result.Rows) {
		result.Rows, result.More = result.Rows[:limit], true
		result.Next = result.Rows[limit-1].Version
	}
	return result
}

// existing returns the rows that the filter accepts, in key order.
func (f *fakeTable) existing(accept func(key string) bool) platform.ReadResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	result := platform.ReadResult{Time: time.Now()}
	for key, row := range f.rows {
		if !row.Deleted && accept(key) {
			result.Rows = append(result.Rows, row)
		}
	}
	sort.Slice(result.Rows, func(i, j int) bool { return result.Rows[i].Key < result.Rows[j].Key })
	return result
}

// link is one gateway's access to the table, with its faults and a gate at which
// the gateway can be paused before and after each call.
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

// delay waits for one way of a call and reports false if the context ended.
func (l *link) delay(ctx context.Context) bool {
	// The odd part keeps events apart that would else happen at one instant.
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

// read performs a read with faults. The answer may be old when it arrives.
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
	wanted := make(map[string]bool)
	for _, key := range keys {
		wanted[key] = true
	}
	return l.read(ctx, func() platform.ReadResult {
		return l.table.existing(func(key string) bool { return wanted[key] })
	})
}

func (l *link) Scan(ctx context.Context, prefix, after string, limit int) (platform.ReadResult, error) {
	return l.read(ctx, func() platform.ReadResult {
		result := l.table.existing(func(key string) bool { return key > after && strings.HasPrefix(key, prefix) })
		if len(result.Rows) > limit {
			result.Rows, result.More = result.Rows[:limit], true
		}
		return result
	})
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
