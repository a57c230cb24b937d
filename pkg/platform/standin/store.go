// Package standin implements a small stand-in of the platform for demos and
// tests: a transactional table service, an object store and a lagging VM list,
// with faults that can be switched on. It keeps everything in memory.
package standin

import (
	"sort"
	"strings"
	"sync"

	"balsamhill/pkg/platform"
)

// store is the state behind the HTTP handlers.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]platform.Row
	objects map[string][]byte
	runs    map[string]int64
}

func newStore() *store {
	return &store{
		rows:    make(map[string]platform.Row),
		objects: make(map[string][]byte),
		runs:    make(map[string]int64),
	}
}

func (s *store) get(keys []string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		row, ok := s.rows[key]
		if ok && !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows
}

// scan returns the rows with the prefix after a key, and whether there are more.
func (s *store) scan(prefix, after string, limit int) ([]platform.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for key, row := range s.rows {
		if !row.Deleted && key > after && strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return truncate(rows, limit)
}

// changes returns rows in commit order, the position to go on from, and whether
// there are more.
func (s *store) changes(prefix string, after uint64, limit int) ([]platform.Row, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for key, row := range s.rows {
		if row.Version > after && strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
	end := limit
	// Rows of one transaction share a version and must not be split, because
	// the position cannot point between them.
	for end < len(rows) && end > 0 && rows[end].Version == rows[end-1].Version {
		end++
	}
	rows, more := truncate(rows, end)
	next := s.version
	if more {
		next = rows[len(rows)-1].Version
	}
	return rows, next, more
}

func truncate(rows []platform.Row, limit int) ([]platform.Row, bool) {
	if limit <= 0 || len(rows) <= limit {
		return rows, false
	}
	return rows[:limit], true
}

// commit returns the new version, or the conflicting rows.
func (s *store) commit(txn platform.Txn) (uint64, []platform.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []platform.Row
	for _, check := range txn.Checks {
		row := s.rows[check.Key]
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
	s.version++
	for _, write := range txn.Writes {
		row := platform.Row{Key: write.Key, Value: write.Value, Version: s.version, Deleted: write.Delete}
		s.rows[write.Key] = row
	}
	return s.version, nil
}

func (s *store) putObject(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = data
}

func (s *store) object(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	return data, ok
}

func (s *store) recordRun(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key]
}

func (s *store) runCount(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}
