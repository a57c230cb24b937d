package feed

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMirrorsAgreeWithTable guards against a copy that differs from the table at
// the version that it claims to hold, whether it follows the store or another
// copy, misses answers, or reads the table anew after the history was lost.
func TestMirrorsAgreeWithTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &oracle{history: map[uint64]map[string]uint64{0: {}}}
		reader, follower := &Mirror{}, &Mirror{}
		now := int64(1e9)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				table.write(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "delete"))
			},
			"read all": func(*rapid.T) {
				reader.Apply(now, Batch{Rows: table.live(), Full: true, AsOf: table.version})
			},
			"read changes": func(*rapid.T) {
				if reader.Loaded() {
					reader.Apply(now, Batch{Rows: table.after(reader.AsOf()), AsOf: table.version})
				}
			},
			"an old answer arrives": func(t *rapid.T) {
				version := rapid.Uint64Range(0, table.version).Draw(t, "version")
				reader.Apply(now, Batch{Rows: nil, AsOf: min(version, reader.AsOf())})
			},
			"follow": func(*rapid.T) {
				switch {
				case !reader.Loaded():
					return
				case follower.Loaded():
					follower.Apply(now, reader.ChangesSince(now, follower.AsOf()))
				default:
					follower.Apply(now, reader.FullBatch(now))
				}
				// Also true for a table that was empty when the reader read it.
				assert.Assert(t, follower.Loaded())
				assert.Assert(t, follower.AsOf() >= reader.AsOf())
			},
			"compare marks": func(*rapid.T) {
				follower.Confirm(now, reader.State(now))
			},
			"": func(t *rapid.T) {
				now += 1e6
				for _, mirror := range []*Mirror{reader, follower} {
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

// oracle is the table with its whole history.
type oracle struct {
	version uint64
	rows    map[string]Row
	history map[uint64]map[string]uint64
}

func (o *oracle) write(key string, remove bool) {
	if o.rows == nil {
		o.rows = map[string]Row{}
	}
	if old, ok := o.rows[key]; remove && (!ok || old.Deleted) {
		return
	}
	o.version++
	o.rows[key] = Row{Key: key, Version: o.version, Deleted: remove}
	now := map[string]uint64{}
	for key, row := range o.rows {
		if !row.Deleted {
			now[key] = row.Version
		}
	}
	o.history[o.version] = now
}

func (o *oracle) after(version uint64) []Row {
	var rows []Row
	for _, row := range o.rows {
		if row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows
}

func (o *oracle) live() []Row {
	var rows []Row
	for _, row := range o.rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows
}

// TestConfirmationAges guards against a view that counts as fresh because a peer
// with an old view repeated it.
func TestConfirmationAges(t *testing.T) {
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
