// Package feed keeps local copies of the store's tables that a gateway follows:
// the operators' configuration and the entries of the servers. Each copy records
// the version of the table that it holds and when the store last confirmed it, so
// that gateways can read changes from each other and still know the age of their
// data. Package edge does the reads. The package does no I/O, starts no goroutine
// and reads no clock: times are nanoseconds on the gateway's monotonic clock.
package feed

import (
	"cmp"
	"slices"
)

// Table is the name of a followed table.
type Table string

// The followed tables.
const (
	Config  Table = "config"
	Servers Table = "servers"
)

// Tables returns all followed tables.
func Tables() []Table {
	return []Table{Config, Servers}
}

// Row is one row of a table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is the version of the transaction that last wrote or deleted the
	// row.
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Batch is the result of a read: the whole table, or the changes after a version.
type Batch struct {
	Rows []Row `json:"rows"`
	// Full says that the rows are the whole table.
	Full bool `json:"full,omitempty"`
	// AsOf is the version of the store up to which the batch is complete.
	AsOf uint64 `json:"asOf"`
	// Age is the time since the store confirmed AsOf, in nanoseconds.
	Age int64 `json:"age"`
	// RecoveryAge is the time since the store recovered from an outage, in
	// nanoseconds, 0 if there was none.
	RecoveryAge int64 `json:"outageEnded,omitempty"`
	// SentAt is the time of a response of the store on the store's clock, in nanoseconds, 0 if
	// the batch is from another gateway.
	SentAt int64 `json:"-"`
	// Bytes is the number of bytes that the reader received for the batch, for logs and
	// metrics.
	Bytes int64 `json:"-"`
}

// TableState describes a gateway's copy of a table.
type TableState struct {
	// LastChange is the version of the newest change in the copy.
	LastChange uint64
	// AsOf is the version of the store up to which the copy holds all changes.
	AsOf uint64
	// Age is the time since the store confirmed AsOf, in nanoseconds.
	Age int64
}

// Mirror is a copy of one table. It is not safe for concurrent use. The zero
// value is an empty copy that was never read.
type Mirror struct {
	rows map[string]Row
	// historyStart is the oldest version since which changes can be returned:
	// deletions before it are not known.
	historyStart uint64
	lastChange   uint64
	asOf         uint64
	confirmedAt  int64
	earlier      earlierValues
}

// NewMirror returns an empty copy that keeps the last earlierCount replaced values of
// large rows, as bases for transfers to other gateways.
func NewMirror(earlierCount int) Mirror {
	return Mirror{earlier: earlierValues{limit: earlierCount}}
}

// Loaded reports whether the table was read.
func (m *Mirror) Loaded() bool {
	return m.rows != nil
}

// AsOf returns the version up to which the copy holds all changes.
func (m *Mirror) AsOf() uint64 {
	return m.asOf
}

// ConfirmedAt returns when the store last confirmed the copy.
func (m *Mirror) ConfirmedAt() int64 {
	return m.confirmedAt
}

// Apply applies a batch and returns the rows that changed. A batch that is older
// than the copy changes nothing.
func (m *Mirror) Apply(now int64, batch Batch) []Row {
	if batch.AsOf < m.asOf || (!batch.Full && !m.Loaded()) {
		return nil
	}
	var changes []Row
	if batch.Full {
		changes = m.replace(batch)
	} else {
		changes = m.merge(batch.Rows)
	}
	m.asOf = batch.AsOf
	m.confirmedAt = max(m.confirmedAt, now-batch.Age)
	return changes
}

func (m *Mirror) merge(rows []Row) []Row {
	var changes []Row
	for _, row := range rows {
		if old, ok := m.rows[row.Key]; ok && old.Version >= row.Version {
			continue
		}
		m.earlier.add(m.rows[row.Key])
		m.rows[row.Key] = row
		m.lastChange = max(m.lastChange, row.Version)
		changes = append(changes, row)
	}
	return changes
}

// replace applies a whole table; rows that it lacks were deleted.
func (m *Mirror) replace(batch Batch) []Row {
	old := m.rows
	m.rows = make(map[string]Row, len(batch.Rows))
	var changes []Row
	for _, row := range batch.Rows {
		m.rows[row.Key] = row
		if before, ok := old[row.Key]; !ok || before.Version != row.Version {
			m.earlier.add(before)
			changes = append(changes, row)
		}
		delete(old, row.Key)
	}
	for key, row := range old {
		if !row.Deleted {
			changes = append(changes, Row{Key: key, Version: batch.AsOf, Deleted: true})
		}
	}
	m.historyStart = batch.AsOf
	m.lastChange = max(m.lastChange, batch.AsOf)
	slices.SortFunc(changes, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return changes
}

// Confirm applies the table state of a peer. If the copy holds all changes that
// the peer holds, it takes over the peer's version and confirmation time where they
// are newer. It reports whether the peer holds changes that the copy lacks; for a
// copy that is not loaded, whether the peer has loaded the table.
func (m *Mirror) Confirm(now int64, state TableState) (behind bool) {
	if !m.Loaded() || state.LastChange > m.asOf {
		return state.AsOf > 0
	}
	if state.AsOf >= m.asOf {
		m.asOf = state.AsOf
		m.confirmedAt = max(m.confirmedAt, now-state.Age)
	}
	return false
}

// State describes the copy.
func (m *Mirror) State(now int64) TableState {
	return TableState{LastChange: m.lastChange, AsOf: m.asOf, Age: now - m.confirmedAt}
}

// FullBatch returns the whole table, for a gateway that holds none of it. A batch
// of changes needs a version to start from.
func (m *Mirror) FullBatch(now int64) Batch {
	return m.batch(now, 0, true)
}

// ChangesSince returns the changes after a version, or the whole table if the
// deletions since then are not known.
func (m *Mirror) ChangesSince(now int64, version uint64) Batch {
	return m.batch(now, version, version < m.historyStart)
}

func (m *Mirror) batch(now int64, version uint64, full bool) Batch {
	batch := Batch{AsOf: m.asOf, Age: now - m.confirmedAt, Full: full}
	for _, row := range m.rows {
		if batch.Full && row.Deleted || !batch.Full && row.Version <= version {
			continue
		}
		batch.Rows = append(batch.Rows, row)
	}
	slices.SortFunc(batch.Rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return batch
}
