package feed

import (
	"cmp"
	"slices"
)

// minBaseBytes is the size from which a row is used as a base: smaller rows are cheap to
// transfer.
const minBaseBytes = 4 << 10

// Base names a value of a row that two gateways hold, relative to which changes can be
// compressed. The zero value is no base.
type Base struct {
	Key string
	// Era and Version are those of the row, Rank that of the value.
	Era, Version, Rank uint64
}

// earlierValue is a value that was replaced, with its rank.
type earlierValue struct {
	row  Row
	rank uint64
}

// earlierValues keeps the large values that were replaced last, oldest first.
type earlierValues struct {
	limit int
	rows  []earlierValue
}

func (e *earlierValues) add(replaced Row, rank uint64) {
	if e.limit == 0 || len(replaced.Value) < minBaseBytes {
		return
	}
	e.rows = append(e.rows, earlierValue{replaced, rank})
	if len(e.rows) > e.limit {
		e.rows = slices.Delete(e.rows, 0, len(e.rows)-e.limit)
	}
}

// LargestValue returns the largest value of the copy and its name, or no base if all
// values are small.
func (m *Mirror) LargestValue() (Base, []byte) {
	largest := Row{}
	for _, row := range m.rows {
		if cmp.Or(cmp.Compare(len(row.Value), len(largest.Value)), cmp.Compare(largest.Key, row.Key)) > 0 {
			largest = row
		}
	}
	if len(largest.Value) < minBaseBytes {
		return Base{}, nil
	}
	return m.baseOf(largest, m.ranks[largest.Key]), largest.Value
}

func (m *Mirror) baseOf(row Row, rank uint64) Base {
	return Base{Key: row.Key, Era: m.era, Version: row.Version, Rank: rank}
}

// Value returns the current or an earlier value of a row, nil if the copy does not hold it.
func (m *Mirror) Value(base Base) []byte {
	if row, ok := m.rows[base.Key]; ok && m.baseOf(row, m.ranks[base.Key]) == base {
		return row.Value
	}
	for _, earlier := range m.earlier.rows {
		if m.baseOf(earlier.row, earlier.rank) == base {
			return earlier.row.Value
		}
	}
	return nil
}
