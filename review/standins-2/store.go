package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeTransactionTime is how long the store takes to answer a transaction.
const storeTransactionTime = 8 * time.Millisecond

// storedRow is a row as the platform's store sends it.
type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store without faults. It keeps its whole history.
type store struct {
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]map[string]storedRow
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[string]map[string]storedRow{}, changed: make(chan struct{})}
}

// put writes a row as the operator and the instances do. A nil value removes the row.
func (s *store) put(table, key string, value any) {
	row := storedRow{Table: table, Key: key, Deleted: value == nil}
	if value != nil {
		text, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		row.Value = base64.StdEncoding.EncodeToString(text)
	}
	s.write([]storedRow{row})
}

func (s *store) write(rows []storedRow) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, row := range rows {
		row.Ver = s.version
		if s.rows[row.Table] == nil {
			s.rows[row.Table] = map[string]storedRow{}
		}
		s.rows[row.Table][row.Key] = row
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// after returns the rows of a table that are newer than a version, and the newest version.
func (s *store) after(table string, version uint64, deleted bool) ([]storedRow, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storedRow{}
	for _, row := range s.rows[table] {
		if row.Ver > version && (deleted || !row.Deleted) {
			rows = append(rows, row)
		}
	}
	return rows, s.version, s.changed
}

func (s *store) answer(w http.ResponseWriter, rows []storedRow, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": false, "ver": version, "nowMs": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /balsamhill/rows-get", func(w http.ResponseWriter, r *http.Request) {
		rows, version, _ := s.after(r.URL.Query().Get("table"), 0, false)
		slices.SortFunc(rows, func(a, b storedRow) int {
			if a.Key < b.Key {
				return -1
			}
			return 1
		})
		s.answer(w, rows, version)
	})
	mux.HandleFunc("GET /balsamhill/rows-feed", s.serveFeed)
	mux.HandleFunc("POST /balsamhill/rows-tx", func(w http.ResponseWriter, r *http.Request) {
		var transaction struct {
			Puts []storedRow `json:"puts"`
		}
		if json.NewDecoder(r.Body).Decode(&transaction) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(storeTransactionTime)
		s.answer(w, []storedRow{}, s.write(transaction.Puts))
	})
	return mux
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		rows, version, changed := s.after(query.Get("table"), since, true)
		if len(rows) > 0 {
			slices.SortFunc(rows, func(a, b storedRow) int { return int(a.Ver) - int(b.Ver) })
			s.answer(w, rows, version)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, rows, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}
