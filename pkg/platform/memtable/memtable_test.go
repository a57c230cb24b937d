package memtable

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/platform"
)

// naive is the oracle: every read walks all rows.
type naive struct {
	version uint64
	rows    map[string]platform.Row
}

func (n *naive) commit(txn platform.Txn) {
	n.version++
	for _, w := range txn.Writes {
		n.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: n.version, Deleted: w.Delete}
	}
}

func (n *naive) selectRows(keep func(platform.Row) bool, less func(a, b platform.Row) int) []string {
	var rows []platform.Row
	for _, row := range n.rows {
		if keep(row) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, less)
	return text(rows)
}

func byKey(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) }

func byVersion(a, b platform.Row) int { return int(a.Version) - int(b.Version) }

func text(rows []platform.Row) []string {
	var lines []string
	for _, row := range rows {
		lines = append(lines, fmt.Sprintf("%s=%s@%d %v", row.Key, row.Value, row.Version, row.Deleted))
	}
	return lines
}

var keys = rapid.StringMatching(`[abc]/[a-z]`)

func drawTxn(t *rapid.T) platform.Txn {
	var txn platform.Txn
	// One write per key: the order within a transaction is not defined.
	for i, key := range rapid.SliceOfNDistinct(keys, 1, 4, rapid.ID).Draw(t, "keys") {
		if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			txn.Writes = append(txn.Writes, platform.Write{Key: key, Delete: true})
			continue
		}
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: []byte{byte('0' + i)}})
	}
	return txn
}

// Guards against an index or a log that loses, repeats or reorders rows, and
// against a feed position that skips rows.
func TestTableAgainstNaiveOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, oracle := New(), &naive{rows: make(map[string]platform.Row)}
		for range rapid.IntRange(0, 60).Draw(t, "commits") {
			txn := drawTxn(t)
			_, conflicts := table.Commit(txn)
			assert.Equal(t, len(conflicts), 0)
			oracle.commit(txn)
		}
		prefix := rapid.SampledFrom([]string{"", "a/", "b/", "a/k", "z"}).Draw(t, "prefix")
		limit := rapid.IntRange(1, 5).Draw(t, "limit")

		var scanned []platform.Row
		for after, more := "", true; more; {
			var rows []platform.Row
			rows, more = table.Scan(prefix, after, limit)
			assert.Assert(t, len(rows) <= limit)
			scanned = append(scanned, rows...)
			if more {
				after = rows[len(rows)-1].Key
			}
		}
		want := oracle.selectRows(func(r platform.Row) bool { return !r.Deleted && strings.HasPrefix(r.Key, prefix) }, byKey)
		assert.DeepEqual(t, text(scanned), want)

		start := rapid.Uint64Range(0, oracle.version).Draw(t, "after")
		var fed []platform.Row
		for after, more := start, true; more; {
			var rows []platform.Row
			rows, after, more = table.Changes(prefix, after, limit)
			fed = append(fed, rows...)
		}
		assert.Assert(t, slices.IsSortedFunc(fed, byVersion))
		want = oracle.selectRows(func(r platform.Row) bool { return r.Version > start && strings.HasPrefix(r.Key, prefix) }, byKey)
		slices.SortFunc(fed, byKey)
		assert.DeepEqual(t, text(fed), want)
	})
}

// Guards against checks that pass on outdated, deleted or absent rows.
func TestCommitChecks(t *testing.T) {
	table := New()
	commit := func(version uint64, write platform.Write) []platform.Row {
		_, conflicts := table.Commit(platform.Txn{
			Checks: []platform.Check{{Key: write.Key, Version: version}}, Writes: []platform.Write{write},
		})
		return conflicts
	}
	assert.Equal(t, len(commit(0, platform.Write{Key: "k", Value: []byte("1")})), 0)
	assert.Equal(t, commit(0, platform.Write{Key: "k"})[0].Version, uint64(1))
	assert.Equal(t, len(commit(1, platform.Write{Key: "k", Delete: true})), 0)
	assert.Equal(t, commit(2, platform.Write{Key: "k"})[0].Version, uint64(0))
	assert.Equal(t, len(commit(0, platform.Write{Key: "k", Value: []byte("2")})), 0)
	assert.DeepEqual(t, text(table.Get("k", "absent", "k")), []string{"k=2@3 false"})
}

// Guards against a log that grows with the number of writes instead of the
// number of rows, and against chunks that grow without bound.
func TestLogStaysInProportionToRows(t *testing.T) {
	table := New()
	for i := range 200_000 {
		table.Commit(platform.Txn{Writes: []platform.Write{{Key: fmt.Sprintf("row/%d", i%100)}}})
	}
	assert.Assert(t, len(table.log) <= compactFrom, "%d entries for 100 rows", len(table.log))
	for _, chunk := range table.live.chunks {
		assert.Assert(t, len(chunk) <= chunkKeys)
	}
}

// Cost per row of a full scan and of a full feed; it must not grow with the size.
func BenchmarkRead(b *testing.B) {
	for _, size := range []int{1_000, 100_000} {
		table := New()
		for i := range size {
			table.Commit(platform.Txn{Writes: []platform.Write{{Key: fmt.Sprintf("row/%d", i)}}})
		}
		b.Run(fmt.Sprintf("rows=%d", size), func(b *testing.B) {
			for b.Loop() {
				for after, more := "", true; more; {
					var rows []platform.Row
					rows, more = table.Scan("row/", after, 500)
					after = rows[len(rows)-1].Key
				}
				for after, more := uint64(0), true; more; {
					_, after, more = table.Changes("row/", after, 500)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/row")
		})
	}
}
