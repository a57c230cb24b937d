package feed

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMirrorsMatchTable guards against a copy that differs from the table at the
// version that it claims to hold, whether it reads the store or another copy,
// misses responses, or reads the table again after the history was lost.
func TestMirrorsMatchTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &referenceTable{history: map[uint64]map[string]uint64{0: {}}}
		storeCopy, peerCopy := &Mirror{}, &Mirror{}
		now := int64(1e9)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				table.write(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "delete"))
			},
			"read all": func(*rapid.T) {
				storeCopy.Apply(now, Batch{Rows: table.live(), Full: true, AsOf: table.version})
			},
			"read changes": func(*rapid.T) {
				if storeCopy.Loaded() {
					storeCopy.Apply(now, Batch{Rows: table.changesSince(storeCopy.AsOf()), AsOf: table.version})
				}
			},
			"an old response arrives": func(t *rapid.T) {
				version := rapid.Uint64Range(0, table.version).Draw(t, "version")
				storeCopy.Apply(now, Batch{Rows: nil, AsOf: min(version, storeCopy.AsOf())})
			},
			"follow copy": func(*rapid.T) {
				switch {
				case !storeCopy.Loaded():
					return
				case peerCopy.Loaded():
					peerCopy.Apply(now, storeCopy.ChangesSince(now, peerCopy.Position()))
				default:
					peerCopy.Apply(now, storeCopy.FullBatch(now))
				}
				// This also holds for a table that was empty when the first copy
				// read it.
				assert.Assert(t, peerCopy.Loaded())
				assert.Assert(t, peerCopy.AsOf() >= storeCopy.AsOf())
			},
			"compare states": func(*rapid.T) {
				peerCopy.Confirm(now, storeCopy.State(now))
			},
			"": func(t *rapid.T) {
				now += 1e6
				for _, mirror := range []*Mirror{storeCopy, peerCopy} {
					assert.DeepEqual(t, mirror.contents(), table.history[mirror.AsOf()])
				}
			},
		})
	})
}

func (m *Mirror) contents() map[string]uint64 {
	contents := map[string]uint64{}
	for key, row := range m.rows {
		if !row.Deleted {
			contents[key] = row.Version
		}
	}
	return contents
}

// referenceTable is the table with its whole history.
type referenceTable struct {
	version uint64
	rows    map[string]Row
	history map[uint64]map[string]uint64
}

func (r *referenceTable) write(key string, remove bool) {
	if r.rows == nil {
		r.rows = map[string]Row{}
	}
	if old, ok := r.rows[key]; remove && (!ok || old.Deleted) {
		return
	}
	r.version++
	r.rows[key] = Row{Key: key, Version: r.version, Deleted: remove}
	contents := map[string]uint64{}
	for key, row := range r.rows {
		if !row.Deleted {
			contents[key] = row.Version
		}
	}
	r.history[r.version] = contents
}

func (r *referenceTable) changesSince(version uint64) []Row {
	var rows []Row
	for _, row := range r.rows {
		if row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows
}

func (r *referenceTable) live() []Row {
	var rows []Row
	for _, row := range r.rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows
}

// TestConfirmationKeepsPeerAge guards against a copy that counts as fresh because
// a peer with an old copy confirmed it.
func TestConfirmationKeepsPeerAge(t *testing.T) {
	m := &Mirror{}
	m.Apply(10e9, Batch{Full: true, AsOf: 5})
	assert.Equal(t, m.Confirm(12e9, TableState{LastChange: 5, AsOf: 6, Age: 3e9}), false)
	assert.Equal(t, m.ConfirmedAt(), int64(10e9))
	assert.Equal(t, m.Confirm(12e9, TableState{LastChange: 5, AsOf: 6, Age: 1e9}), false)
	assert.Equal(t, m.ConfirmedAt(), int64(11e9))
	assert.Equal(t, m.AsOf(), uint64(6))
	assert.Equal(t, m.Confirm(12e9, TableState{LastChange: 7, AsOf: 8}), true)
	assert.Equal(t, m.AsOf(), uint64(6))
}

// TestTableAtVersionZeroIsKnown guards against an empty table, read before the first write to
// the store, that is taken for one that was not read: its reader would be no source for others,
// and the state of a gateway that has not read it would confirm the copy.
func TestTableAtVersionZeroIsKnown(t *testing.T) {
	var reader, other Mirror
	assert.Assert(t, !other.Confirm(10e9, reader.State(10e9)), "neither has read the table")
	reader.Apply(10e9, Batch{Full: true})
	assert.Assert(t, other.Confirm(10e9, reader.State(10e9)), "the reader has the table")
	assert.Assert(t, !reader.Confirm(12e9, other.State(1e9)))
	assert.Equal(t, reader.ConfirmedAt(), int64(10e9))
	other.Apply(13e9, reader.FullBatch(13e9))
	assert.Assert(t, !other.Confirm(14e9, TableState{ReadEmpty: true, Age: 1e9}))
	assert.Equal(t, other.ConfirmedAt(), int64(13e9))
}
