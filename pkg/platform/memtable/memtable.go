// Package memtable implements an in-memory table with the semantics of
// platform.Table. It does no I/O, reads no clock and injects no faults; packages
// standin and platformtest add those. The cost of a read is proportional to the
// rows that it returns, not to the size of the table.
package memtable

import (
	"bytes"
	"slices"
	"sort"
	"strings"

	"balsamhill/pkg/platform"
)

// minCompactLength is the minimum length of the log for compaction.
const minCompactLength = 1024

// Table is not safe for concurrent use. Values of returned rows must not be
// modified.
type Table struct {
	version uint64
	// rows holds tombstones as well.
	rows map[string]platform.Row
	// live indexes the keys of rows that are not tombstones.
	live keyIndex
	// log lists writes in commit order. An entry is superseded once its row
	// is written again.
	log        []logEntry
	superseded int
}

type logEntry struct {
	version uint64
	key     string
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: make(map[string]platform.Row)}
}

// Version returns the sequence number of the last commit.
func (t *Table) Version() uint64 {
	return t.version
}

// Get returns the existing rows of the keys in key order.
func (t *Table) Get(keys ...string) []platform.Row {
	keys = slices.Clone(keys)
	slices.Sort(keys)
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range slices.Compact(keys) {
		row, ok := t.rows[key]
		if ok && !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows
}

// Scan returns up to limit rows with the prefix whose keys are greater than after,
// and whether there are more. A limit of 0 means no limit.
func (t *Table) Scan(prefix, after string, limit int) (rows []platform.Row, more bool) {
	t.live.ascend(prefix, after, func(key string) bool {
		if !strings.HasPrefix(key, prefix) {
			return false
		}
		if limit > 0 && len(rows) == limit {
			more = true
			return false
		}
		rows = append(rows, t.rows[key])
		return true
	})
	return rows, more
}

// Changes returns, in commit order, rows with the prefix and a version greater than
// after, the value of after for the next call, and whether there are more rows. Rows
// of one transaction share a version and are never split between calls, because the
// position is a version; the result may therefore exceed the limit.
func (t *Table) Changes(prefix string, after uint64, limit int) (rows []platform.Row, next uint64, more bool) {
	start := sort.Search(len(t.log), func(i int) bool { return t.log[i].version > after })
	for _, entry := range t.log[start:] {
		if !strings.HasPrefix(entry.key, prefix) || t.rows[entry.key].Version != entry.version {
			continue
		}
		if limit > 0 && len(rows) >= limit && rows[len(rows)-1].Version != entry.version {
			return rows, rows[len(rows)-1].Version, true
		}
		rows = append(rows, t.rows[entry.key])
	}
	return rows, t.version, false
}

// DropValues removes the values of rows that Changes returned.
func DropValues(rows []platform.Row) {
	for i := range rows {
		rows[i].Value = nil
	}
}

// Commit applies a transaction and returns its version, or the current state of
// the rows whose checks failed.
func (t *Table) Commit(txn platform.Txn) (version uint64, conflicts []platform.Row) {
	for _, check := range txn.Checks {
		row := t.rows[check.Key]
		if row.Deleted {
			row = platform.Row{}
		}
		if row.Version != check.Version {
			row.Key = check.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return 0, conflicts
	}
	t.version++
	for _, write := range txn.Writes {
		t.write(write)
	}
	t.compact()
	return t.version, nil
}

func (t *Table) write(write platform.Write) {
	before, existed := t.rows[write.Key]
	row := platform.Row{Key: write.Key, Version: t.version, Deleted: write.Delete}
	if !write.Delete {
		row.Value = bytes.Clone(write.Value)
	}
	t.rows[write.Key] = row
	// A key that one transaction writes twice appears in the log once.
	if before.Version != t.version {
		t.log = append(t.log, logEntry{version: t.version, key: write.Key})
		if existed {
			t.superseded++
		}
	}
	wasLive := existed && !before.Deleted
	if !wasLive && !write.Delete {
		t.live.insert(write.Key)
	}
	if wasLive && write.Delete {
		t.live.remove(write.Key)
	}
}

// compact removes superseded entries once they make up half of the log, so that the
// amortized cost per write is constant.
func (t *Table) compact() {
	if len(t.log) < minCompactLength || t.superseded*2 < len(t.log) {
		return
	}
	t.log = slices.DeleteFunc(t.log, func(entry logEntry) bool {
		return t.rows[entry.key].Version != entry.version
	})
	t.superseded = 0
}
