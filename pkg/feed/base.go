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
	Key     string
	Version uint64
}

// earlierValues keeps the large values that were replaced last, oldest first.
type earlierValues struct {
	limit int
	rows  []Row
}

func (e *earlierValues) add(replaced Row) {
	if e.limit == 0 || len(replaced.Value) < minBaseBytes {
		return
	}
	e.rows = append(e.rows, replaced)
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
	return Base{Key: largest.Key, Version: largest.Version}, largest.Value
}

// Value returns the current or an earlier value of a row, nil if the copy does not hold it.
func (m *Mirror) Value(base Base) []byte {
	if row := m.rows[base.Key]; row.Version == base.Version {
		return row.Value
	}
	for _, row := range m.earlier.rows {
		if row.Key == base.Key && row.Version == base.Version {
			return row.Value
		}
	}
	return nil
}
