// Package feed keeps local copies of the store's tables that a gateway follows:
// the operators' configuration and the entries of the servers. Each copy records
// the version of the table that it holds and when the store last confirmed it, so
// that gateways can read changes from each other and still know the age of their
// data. The store may return from an older copy of itself; it then gives out versions
// again in a new era, so copies are ordered by era first. Package edge does the
// reads. The package does no I/O, starts no goroutine and reads no clock: times are
// nanoseconds on the gateway's monotonic clock.
package feed

import (
	"bytes"
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
	// Era is the era of the store to which the versions of the batch belong, 0 if it is
	// unknown.
	Era uint64 `json:"era,omitempty"`
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
	// Era is the era of the store to which the versions belong, 0 if it is unknown.
	Era uint64
	// Rank is the highest rank of a row in the copy; see NewMirror.
	Rank uint64
	// LastChange is the version of the newest change in the copy.
	LastChange uint64
	// AsOf is the version of the store up to which the copy holds all changes.
	AsOf uint64
	// ReadEmpty says that the copy was read as of version 0, before the first write to the
	// store. Without it, an AsOf of 0 means that the table was not read.
	ReadEmpty bool
	// Age is the time since the store confirmed AsOf, in nanoseconds.
	Age int64
}

// Loaded reports whether the gateway has read the table.
func (s TableState) Loaded() bool {
	return s.AsOf > 0 || s.ReadEmpty
}

// Newer reports whether the copy holds changes that another copy lacks.
func (s TableState) Newer(than TableState) bool {
	if s.Era != than.Era {
		return s.Era > than.Era
	}
	return s.LastChange > than.AsOf || s.Rank > than.Rank
}

// Position says up to which point a copy holds the changes of a table.
type Position struct {
	Era, Version uint64
	// Rank is the highest rank of a row in the copy.
	Rank uint64
}

// Before reports whether a copy at this position is older than one at the other.
func (p Position) Before(other Position) bool {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Version, other.Version), cmp.Compare(p.Rank, other.Rank)) < 0
}

// Applied is the result of applying a batch to a copy.
type Applied struct {
	// Changes are the rows that changed.
	Changes []Row
	// Kept are the rows of the batch that did not replace a row of higher rank.
	Kept []Row
	// Refused says that the batch is older than the copy and has no row of higher rank, or
	// lacks the rows between both.
	Refused bool
	// NewEra says that the batch is the first one of a later era than the copy.
	NewEra bool
}

// Mirror is a copy of one table. It is not safe for concurrent use. The zero
// value is an empty copy that was never read.
type Mirror struct {
	rows map[string]Row
	// rankOf returns the rank of a row; ranks holds those of the rows that have one.
	rankOf func(Row) uint64
	ranks  map[string]uint64
	// era is the era of the versions below, firstEra that of the first batch.
	era, firstEra uint64
	// historyStart is the oldest version since which changes can be returned:
	// deletions before it are not known.
	historyStart uint64
	lastChange   uint64
	asOf         uint64
	confirmedAt  int64
	earlier      earlierValues
}

// NewMirror returns an empty copy that keeps the last earlierCount replaced values of
// large rows, as bases for transfers to other gateways. rankOf, which may be nil,
// returns the rank of a row, 0 for none. The value of a row is not replaced by one with
// a lower rank: a store that returned from an older copy lacks the newest values until
// they are written again.
func NewMirror(earlierCount int, rankOf func(Row) uint64) Mirror {
	return Mirror{earlier: earlierValues{limit: earlierCount}, rankOf: rankOf, ranks: make(map[string]uint64)}
}

// Loaded reports whether the table was read.
func (m *Mirror) Loaded() bool {
	return m.rows != nil
}

// AsOf returns the version up to which the copy holds all changes.
func (m *Mirror) AsOf() uint64 {
	return m.asOf
}

// Position returns the position of the copy.
func (m *Mirror) Position() Position {
	return Position{Era: m.era, Version: m.asOf, Rank: m.rank()}
}

// EraChanged reports whether the store returned from an older copy while this copy was
// kept.
func (m *Mirror) EraChanged() bool {
	return m.era != m.firstEra
}

// ConfirmedAt returns when the store last confirmed the copy.
func (m *Mirror) ConfirmedAt() int64 {
	return m.confirmedAt
}

// Apply applies a batch. Of one that is older than the copy, only rows of higher rank are
// taken. The first batch of a later era must be a whole table, because the changes of an era
// continue from the older copy from which the store returned.
func (m *Mirror) Apply(now int64, batch Batch) Applied {
	if !m.accepts(batch) {
		return m.applyHigherRanks(batch)
	}
	applied := Applied{NewEra: m.Loaded() && batch.Era != m.era}
	if !m.Loaded() {
		m.firstEra = batch.Era
	}
	if applied.NewEra {
		m.startEra()
	}
	m.era = batch.Era
	if batch.Full {
		m.replace(batch, &applied)
	} else {
		m.merge(batch.Rows, &applied)
	}
	m.asOf = batch.AsOf
	m.confirmedAt = max(m.confirmedAt, now-batch.Age)
	return applied
}

// accepts reports whether a batch can be applied to the copy.
func (m *Mirror) accepts(batch Batch) bool {
	switch {
	case !m.Loaded():
		return batch.Full
	case batch.Era != m.era:
		return batch.Full && batch.Era > m.era
	default:
		return batch.AsOf >= m.asOf
	}
}

// applyHigherRanks takes rows of higher rank from a batch of the same era as of an earlier
// version. It is from a gateway that has kept them, as the store lacks them.
func (m *Mirror) applyHigherRanks(batch Batch) Applied {
	var applied Applied
	if !m.Loaded() || batch.Era != m.era {
		return Applied{Refused: true}
	}
	for _, row := range batch.Rows {
		old := m.rows[row.Key]
		rank := m.computeRank(row)
		if old.Deleted || rank <= m.ranks[row.Key] {
			continue
		}
		m.earlier.add(old, m.ranks[row.Key])
		row.Version = max(row.Version, old.Version)
		m.put(row, rank)
		applied.Changes = append(applied.Changes, row)
	}
	applied.Refused = len(applied.Changes) == 0
	return applied
}

// startEra forgets what belongs to versions of the last era. Its values must not serve
// as bases, because their versions are given out again.
func (m *Mirror) startEra() {
	m.lastChange, m.confirmedAt = 0, 0
	m.earlier.rows = nil
}

func (m *Mirror) merge(rows []Row, applied *Applied) {
	for _, row := range rows {
		old, ok := m.rows[row.Key]
		rank := m.computeRank(row)
		switch {
		case ok && (old.Version > row.Version || old.Version == row.Version && rank <= m.ranks[row.Key]):
			continue
		case ok && m.outranks(old, row, rank):
			m.keep(old, row.Version)
			applied.Kept = append(applied.Kept, row)
		default:
			m.earlier.add(old, m.ranks[row.Key])
			m.put(row, rank)
			applied.Changes = append(applied.Changes, row)
		}
		m.lastChange = max(m.lastChange, row.Version)
	}
}

// replace applies a whole table; rows that it lacks were deleted.
func (m *Mirror) replace(batch Batch, applied *Applied) {
	old := m.rows
	m.rows = make(map[string]Row, len(batch.Rows))
	for _, row := range batch.Rows {
		before, ok := old[row.Key]
		delete(old, row.Key)
		rank := m.computeRank(row)
		if ok && m.outranks(before, row, rank) {
			m.keep(before, row.Version)
			applied.Kept = append(applied.Kept, row)
			continue
		}
		if !ok || before.Version != row.Version || applied.NewEra && !bytes.Equal(before.Value, row.Value) {
			applied.Changes = append(applied.Changes, row)
			if !applied.NewEra {
				m.earlier.add(before, m.ranks[row.Key])
			}
		}
		m.put(row, rank)
	}
	m.removeMissing(old, batch.AsOf, applied)
	m.historyStart = batch.AsOf
	m.lastChange = max(m.lastChange, batch.AsOf)
	slices.SortFunc(applied.Changes, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
}

// removeMissing removes the rows that a whole table as of a version lacks.
func (m *Mirror) removeMissing(missing map[string]Row, asOf uint64, applied *Applied) {
	for key, row := range missing {
		deleted := Row{Key: key, Version: asOf, Deleted: true}
		switch {
		case row.Deleted:
		case m.outranks(row, deleted, 0):
			m.keep(row, asOf)
			applied.Kept = append(applied.Kept, deleted)
		default:
			delete(m.ranks, key)
			applied.Changes = append(applied.Changes, deleted)
		}
	}
}

// outranks reports whether the value of a row is kept although another one replaces it:
// both have a rank and that of the replacement is lower, or the row was deleted.
func (m *Mirror) outranks(old, replacement Row, rank uint64) bool {
	oldRank := m.ranks[old.Key]
	if old.Deleted || oldRank == 0 {
		return false
	}
	return replacement.Deleted || rank > 0 && rank < oldRank
}

// keep keeps the value of a row at the version of the one that it outranks, so that each
// later write replaces it.
func (m *Mirror) keep(old Row, version uint64) {
	m.rows[old.Key] = Row{Key: old.Key, Value: old.Value, Version: version}
}

func (m *Mirror) put(row Row, rank uint64) {
	m.rows[row.Key] = row
	if rank > 0 {
		m.ranks[row.Key] = rank
	} else {
		delete(m.ranks, row.Key)
	}
}

func (m *Mirror) computeRank(row Row) uint64 {
	if m.rankOf == nil || row.Deleted {
		return 0
	}
	return m.rankOf(row)
}

// rank returns the highest rank of a row.
func (m *Mirror) rank() uint64 {
	highest := uint64(0)
	for _, rank := range m.ranks {
		highest = max(highest, rank)
	}
	return highest
}

// Confirm applies the table state of a peer. If the copy holds all changes that
// the peer holds, it takes over the peer's version and confirmation time where they
// are newer. It reports whether the peer holds changes that the copy lacks; for a
// copy that is not loaded, whether the peer has loaded the table. The state of an
// earlier era, or of a peer that does not know the era, confirms nothing.
func (m *Mirror) Confirm(now int64, state TableState) (behind bool) {
	switch {
	case !state.Loaded():
	case !m.Loaded(), state.Newer(m.State(now)):
		return true
	case state.Era == m.era && state.AsOf >= m.asOf:
		m.asOf = state.AsOf
		m.confirmedAt = max(m.confirmedAt, now-state.Age)
	}
	return false
}

// State describes the copy.
func (m *Mirror) State(now int64) TableState {
	return TableState{
		Era: m.era, Rank: m.rank(), LastChange: m.lastChange, AsOf: m.asOf, ReadEmpty: m.Loaded() && m.asOf == 0,
		Age: now - m.confirmedAt,
	}
}

// FullBatch returns the whole table, for a gateway that holds none of it. A batch
// of changes needs a version to start from.
func (m *Mirror) FullBatch(now int64) Batch {
	return m.batch(now, Position{}, true)
}

// ChangesSince returns the changes that a copy at a position lacks, or the whole table
// if the deletions since then are not known or the position is of another era.
func (m *Mirror) ChangesSince(now int64, since Position) Batch {
	return m.batch(now, since, since.Era != m.era || since.Version < m.historyStart)
}

func (m *Mirror) batch(now int64, since Position, full bool) Batch {
	batch := Batch{Era: m.era, AsOf: m.asOf, Age: now - m.confirmedAt, Full: full}
	for _, row := range m.rows {
		if batch.Full && row.Deleted || !batch.Full && row.Version <= since.Version && m.ranks[row.Key] <= since.Rank {
			continue
		}
		batch.Rows = append(batch.Rows, row)
	}
	slices.SortFunc(batch.Rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return batch
}
