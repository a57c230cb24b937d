// Package standin implements a stand-in for the platform for demos and tests: a
// transactional table service, an object store and a lagging VM list, with fault
// injection. It serves the HTTP protocol that package httpplatform uses and keeps
// all data in memory.
package standin

import (
	"sync"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/memtable"
)

// store is the state behind the HTTP handlers.
type store struct {
	mu      sync.Mutex
	table   *memtable.Table
	objects map[string][]byte
	runs    map[string]int64
}

func newStore() *store {
	return &store{
		table:   memtable.New(),
		objects: make(map[string][]byte),
		runs:    make(map[string]int64),
	}
}

func (s *store) get(keys []string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Get(keys...)
}

func (s *store) scan(prefix, after string, limit int) ([]platform.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Scan(prefix, after, limit)
}

func (s *store) changes(prefix string, after uint64, limit int) ([]platform.Row, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Changes(prefix, after, limit)
}

func (s *store) commit(txn platform.Txn) (uint64, []platform.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Commit(txn)
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
