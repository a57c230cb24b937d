package main

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is the platform's store, as far as gateways use it.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[[2]string]storedRow
	changed chan struct{}
	// silent says that the store answers no call.
	silent bool
	began  time.Time
	// longPolls holds, by caller and table, when a call that waits for changes was last
	// answered. answered receives the caller, as the address at which it calls the store.
	longPolls map[[2]string]time.Time
	answered  chan string
	// ignored receives the caller of each call that is not answered.
	ignored chan string
}

type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// answerTime is the time of one answer; see the site files.
const answerTime = 4 * time.Millisecond

func newStore() *store {
	return &store{
		rows: map[[2]string]storedRow{}, changed: make(chan struct{}), began: time.Now(),
		longPolls: map[[2]string]time.Time{}, answered: make(chan string, 64),
		ignored: make(chan string, 256),
	}
}

// put writes a row as the operator or an instance does; a nil value drops it. It returns
// the time of the ack.
func (s *store) put(table, key string, value any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := storedRow{Table: table, Key: key, Ver: s.version, Deleted: value == nil}
	if value != nil {
		text, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		row.Value = base64.StdEncoding.EncodeToString(text)
	}
	s.write(row)
	return time.Now()
}

func (s *store) write(row storedRow) {
	s.rows[[2]string{row.Table, row.Key}] = row
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /balsamhill/rows-get", s.serveRows)
	mux.HandleFunc("GET /balsamhill/rows-feed", s.serveFeed)
	mux.HandleFunc("POST /balsamhill/rows-tx", s.serveTransaction)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent() {
			select {
			case s.ignored <- r.Host:
			default:
			}
			<-r.Context().Done()
			return
		}
		time.Sleep(answerTime)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// after returns the rows of a table that are newer than a version.
func (s *store) after(table string, version uint64, deleted bool) []storedRow {
	rows := []storedRow{}
	for _, row := range s.rows {
		if row.Table == table && row.Ver > version && (deleted || !row.Deleted) {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	rows, version := s.after(r.URL.Query().Get("table"), 0, false), s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b storedRow) int { return cmp.Compare(a.Key, b.Key) })
	s.answer(w, rows, version)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		rows, version, changed, silent := s.after(query.Get("table"), after, true), s.version, s.changed, s.silent
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if len(rows) > 0 || ended {
			slices.SortFunc(rows, func(a, b storedRow) int { return cmp.Compare(a.Ver, b.Ver) })
			s.answer(w, rows, version)
			if wait > 0 {
				s.recordLongPoll(r.Host, query.Get("table"))
			}
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// longPollGap is half of the time for which gateways wait for changes.
const longPollGap = 600 * time.Millisecond

// recordLongPoll records that a call which waited for changes was answered. Each gateway
// calls the store at an address of its own. If the calls of a gateway for both tables were
// answered in short succession, it notifies who waits for that.
func (s *store) recordLongPoll(host, table string) {
	s.mu.Lock()
	now := time.Now()
	s.longPolls[[2]string{host, table}] = now
	other := "op"
	if table == other {
		other = "servers"
	}
	both := now.Sub(s.longPolls[[2]string{host, other}]) <= longPollGap
	s.mu.Unlock()
	if !both {
		return
	}
	select {
	case s.answered <- host:
	default:
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var transaction struct {
		ExpectedRev []storedRow `json:"expectedRev"`
		Puts        []storedRow `json:"puts"`
		Remove      []storedRow `json:"remove"`
	}
	err := json.NewDecoder(r.Body).Decode(&transaction)
	if err != nil || len(transaction.ExpectedRev) > 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.version++
	version := s.version
	for _, row := range transaction.Puts {
		row.Ver = version
		s.write(row)
	}
	for _, row := range transaction.Remove {
		row.Ver, row.Deleted, row.Value = version, true, ""
		s.write(row)
	}
	s.mu.Unlock()
	s.answer(w, nil, version)
}

func (s *store) answer(w http.ResponseWriter, rows []storedRow, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "ver": version, "nowMs": time.Since(s.began).Milliseconds(), "hasMore": false,
	})
}
