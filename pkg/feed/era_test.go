package feed

import (
	"fmt"
	"maps"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// returningTable is a table of a store that may return from an older copy of itself.
type returningTable struct {
	era, version uint64
	rows         map[string]Row
	// history holds the rows at each version of each era.
	history map[Position]map[string]Row
	writes  int
}

func newReturningTable() *returningTable {
	table := &returningTable{era: 1, rows: map[string]Row{}, history: map[Position]map[string]Row{}}
	table.record()
	return table
}

func (r *returningTable) record() {
	r.history[Position{Era: r.era, Version: r.version}] = maps.Clone(r.rows)
}

// write writes a row; its value differs from all others.
func (r *returningTable) write(key string, remove bool) {
	r.writes++
	r.version++
	r.rows[key] = Row{Key: key, Value: fmt.Append(nil, r.writes), Version: r.version, Deleted: remove}
	r.record()
}

// returnFrom lets the store return from its copy at a version of the current era.
func (r *returningTable) returnFrom(version uint64) {
	for v := range version + 1 {
		r.history[Position{Era: r.era + 1, Version: v}] = r.history[Position{Era: r.era, Version: v}]
	}
	r.rows = maps.Clone(r.history[Position{Era: r.era, Version: version}])
	r.era++
	r.version = version
	r.record()
}

func (r *returningTable) batch(full bool, after uint64) Batch {
	batch := Batch{Full: full, Era: r.era, AsOf: r.version}
	for _, row := range r.rows {
		if full && row.Deleted || !full && row.Version <= after {
			continue
		}
		batch.Rows = append(batch.Rows, row)
	}
	return batch
}

func liveValues(rows map[string]Row) map[string]string {
	values := map[string]string{}
	for key, row := range rows {
		if !row.Deleted {
			values[key] = string(row.Value)
		}
	}
	return values
}

// TestCopiesMatchReturningStore guards against a copy that differs from the table at the
// era and version that it claims to hold, for any order of reads, delayed responses,
// messages, restarts and returns of the store.
func TestCopiesMatchReturningStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newReturningTable()
		copies := []*Mirror{{}, {}, {}}
		now := int64(1e9)
		var delayed []Batch
		draw := func(t *rapid.T) (*Mirror, *Mirror) {
			i := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
			return copies[i], copies[(i+rapid.IntRange(1, len(copies)-1).Draw(t, "other"))%len(copies)]
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				table.write(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key")), rapid.Bool().Draw(t, "delete"))
			},
			"return": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "returns") == 0 {
					table.returnFrom(rapid.Uint64Range(0, table.version).Draw(t, "version"))
				}
			},
			"read": func(t *rapid.T) {
				m, _ := draw(t)
				full := !m.Loaded() || m.AsOf() > table.version || rapid.Bool().Draw(t, "full")
				batch := table.batch(full, m.AsOf())
				if rapid.IntRange(0, 2).Draw(t, "delayed") == 0 {
					delayed = append(delayed, batch)
					return
				}
				m.Apply(now, batch)
			},
			"delayed response": func(t *rapid.T) {
				if len(delayed) == 0 {
					return
				}
				m, _ := draw(t)
				batch := delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "response")]
				// A response of changes answers a read from the version that the copy holds.
				if batch.Full {
					m.Apply(now, batch)
				}
			},
			"follow": func(t *rapid.T) {
				m, other := draw(t)
				switch {
				case !other.Loaded():
				case m.Loaded():
					m.Apply(now, other.ChangesSince(now, m.Position()))
				default:
					m.Apply(now, other.FullBatch(now))
				}
			},
			"compare": func(t *rapid.T) {
				m, other := draw(t)
				behind := m.Confirm(now, other.State(now))
				if other.AsOf() > 0 && m.Loaded() && m.Position().Era < other.Position().Era {
					assert.Assert(t, behind)
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
				copies[i] = &Mirror{}
			},
			"": func(t *rapid.T) {
				now += 1e6
				for _, m := range copies {
					if m.Loaded() {
						assert.DeepEqual(t, liveValues(m.rows), liveValues(table.history[m.Position()]))
					}
				}
			},
		})
		for _, m := range copies {
			m.Apply(now, table.batch(true, 0))
			assert.DeepEqual(t, liveValues(m.rows), liveValues(table.rows))
		}
	})
}

func rankedMirror() *Mirror {
	m := NewMirror(2, func(row Row) uint64 {
		rank, err := strconv.ParseUint(string(row.Value), 10, 64)
		if err != nil {
			return 0
		}
		return rank
	})
	return &m
}

func configBatch(era, version, revision uint64) Batch {
	row := Row{Key: "config", Value: fmt.Append(nil, revision), Version: version}
	return Batch{Full: true, Era: era, AsOf: version, Rows: []Row{row}}
}

// TestNewestValueOutlastsReturn guards against a configuration that a gateway takes back,
// or that a gateway which reads from it gets in an older version, because the store lacks
// the newest one after its return.
func TestNewestValueOutlastsReturn(t *testing.T) {
	m := rankedMirror()
	m.Apply(1, configBatch(1, 20, 9))
	applied := m.Apply(2, configBatch(2, 12, 5))
	assert.Assert(t, applied.NewEra && len(applied.Changes) == 0 && len(applied.Kept) == 1)
	assert.Equal(t, string(m.rows["config"].Value), "9")

	joining, behind := rankedMirror(), rankedMirror()
	joining.Apply(3, m.FullBatch(3))
	assert.Equal(t, string(joining.rows["config"].Value), "9")
	behind.Apply(3, configBatch(2, 12, 5))
	assert.Assert(t, behind.Confirm(4, m.State(4)))
	assert.Assert(t, !m.Confirm(4, behind.State(4)))
	behind.Apply(4, m.ChangesSince(4, behind.Position()))
	assert.Equal(t, string(behind.rows["config"].Value), "9")

	missing := m.Apply(5, Batch{Full: true, Era: 3, AsOf: 1})
	assert.Equal(t, len(missing.Changes), 0)
	assert.Equal(t, string(m.rows["config"].Value), "9")
	newer := m.Apply(6, configBatch(3, 2, 11))
	assert.Equal(t, len(newer.Changes), 1)
	assert.Equal(t, string(m.rows["config"].Value), "11")
}

// TestNewestValueOfCopyAsOfEarlierVersionIsTaken guards against a gateway that starts after the
// return, reads the older configuration from the store as of a later version than its peers
// hold, and refuses the newest one that they have kept.
func TestNewestValueOfCopyAsOfEarlierVersionIsTaken(t *testing.T) {
	peer, starting := rankedMirror(), rankedMirror()
	peer.Apply(1, configBatch(1, 20, 9))
	peer.Apply(2, configBatch(2, 12, 5))
	starting.Apply(3, Batch{Full: true, Era: 2, AsOf: 14, Rows: []Row{{Key: "config", Value: []byte("6"), Version: 13}}})
	assert.Assert(t, starting.Confirm(4, peer.State(4)))
	applied := starting.Apply(4, peer.ChangesSince(4, starting.Position()))
	assert.Assert(t, !applied.Refused && len(applied.Changes) == 1)
	assert.Equal(t, string(starting.rows["config"].Value), "9")
	assert.Equal(t, starting.Position(), Position{Era: 2, Version: 14, Rank: 9})
	assert.Assert(t, starting.Apply(5, peer.FullBatch(5)).Refused)

	later := starting.Apply(6, Batch{Era: 2, AsOf: 15, Rows: []Row{{Key: "config", Value: []byte("11"), Version: 15}}})
	assert.Equal(t, len(later.Changes), 1)
	assert.Assert(t, starting.Apply(7, peer.FullBatch(7)).Refused)
	assert.Equal(t, string(starting.rows["config"].Value), "11")
}

// TestChangesOfOtherEraAreRefused guards against changes of a new era that are applied to
// a copy of the last one, which leaves out what was written in between.
func TestChangesOfOtherEraAreRefused(t *testing.T) {
	m := &Mirror{}
	m.Apply(1, Batch{Full: true, Era: 1, AsOf: 20})
	assert.Assert(t, m.Apply(2, Batch{Era: 2, AsOf: 25}).Refused)
	assert.Assert(t, m.Apply(2, Batch{Full: true, Era: 2, AsOf: 3}).NewEra)
	assert.Assert(t, m.Apply(3, Batch{Full: true, Era: 1, AsOf: 30}).Refused)
	assert.Assert(t, !m.Confirm(3, TableState{Era: 1, LastChange: 30, AsOf: 30}))
	assert.Equal(t, m.Position(), Position{Era: 2, Version: 3})
}

// TestBaseOfOtherEraIsUnknown guards against a change that is compressed relative to a
// value of another era with the same version.
func TestBaseOfOtherEraIsUnknown(t *testing.T) {
	large := func(text string) []byte { return []byte(text + string(make([]byte, minBaseBytes))) }
	m := NewMirror(2, nil)
	m.Apply(1, Batch{Full: true, Era: 1, AsOf: 5, Rows: []Row{{Key: "a", Value: large("1"), Version: 5}}})
	base, _ := m.LargestValue()
	assert.Assert(t, m.Value(base) != nil)
	m.Apply(2, Batch{Full: true, Era: 2, AsOf: 5, Rows: []Row{{Key: "a", Value: large("2"), Version: 5}}})
	assert.Assert(t, m.Value(base) == nil)
}
