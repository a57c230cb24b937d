package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/memtable"
)

const (
	maxBodyBytes = 16 << 20
	defaultLimit = 1000
)

// Server is the HTTP handler of the stand-in. Create it with New.
type Server struct {
	store  *store
	vms    *vmList
	faults atomic.Pointer[platform.Faults]
	// responsesToLose is the remaining number of commits whose response is lost.
	responsesToLose atomic.Int64
	mux             *http.ServeMux
}

var _ http.Handler = (*Server)(nil)

// New returns an empty stand-in without faults.
func New() *Server {
	s := &Server{store: newStore(), vms: newVMList(), mux: http.NewServeMux()}
	s.faults.Store(&platform.Faults{})
	s.mux.HandleFunc("POST /table/get", s.withFaults(s.handleGet))
	s.mux.HandleFunc("GET /table/scan", s.withFaults(s.handleScan))
	s.mux.HandleFunc("GET /table/changes", s.withFaults(s.handleChanges))
	s.mux.HandleFunc("POST /table/commit", s.withFaults(s.handleCommit))
	s.mux.HandleFunc("PUT /objects/{name}", s.withFaults(s.handlePutObject))
	s.mux.HandleFunc("GET /objects/{name}", s.withFaults(s.handleGetObject))
	s.mux.HandleFunc("GET /vms", s.handleListVMs)
	s.mux.HandleFunc("PUT /standin/faults", s.handleFaults)
	s.mux.HandleFunc("PUT /standin/vms/{id}", s.handlePutVM)
	s.mux.HandleFunc("DELETE /standin/vms/{id}", s.handleDeleteVM)
	s.mux.HandleFunc("POST /standin/runs", s.handleRecordRun)
	s.mux.HandleFunc("GET /standin/runs", s.handleRunCount)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(faults platform.Faults) {
	s.responsesToLose.Store(faults.LoseCommitResponses)
	s.faults.Store(&faults)
}

// PutVM adds or replaces an entry of the VM list.
func (s *Server) PutVM(vm platform.VM) {
	s.vms.put(vm, time.Now())
}

// Runs returns how often an idempotency key has run on all stand-in servers.
func (s *Server) Runs(key string) int64 {
	return s.store.runCount(key)
}

// withFaults applies Hang, Down and DelayMillis before the handler runs.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// net/http detects a closed connection only after the body was read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		faults := s.faults.Load()
		if faults.Hang {
			<-r.Context().Done()
			return
		}
		if faults.Down {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if faults.DelayMillis > 0 {
			// A slow store also applies requests that its client has cancelled.
			time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		}
		next(w, r)
	}
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	var request platform.GetRequest
	if !decode(w, r, &request) {
		return
	}
	writeCompressedJSON(w, r, platform.ReadResponse{Rows: s.store.get(request.Keys), Time: time.Now()})
}

func (s *Server) handleScan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	rows, more := s.store.scan(query.Get("prefix"), query.Get("after"), parseLimit(r))
	writeCompressedJSON(w, r, platform.ReadResponse{Rows: rows, More: more, Time: time.Now()})
}

func (s *Server) handleChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	rows, next, more := s.store.changes(query.Get("prefix"), after, parseLimit(r))
	if query.Has("keys") {
		memtable.DropValues(rows)
	}
	writeCompressedJSON(w, r, platform.ReadResponse{Rows: rows, Next: next, More: more, Time: time.Now()})
}

func (s *Server) handleCommit(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !decode(w, r, &txn) {
		return
	}
	if !validTxn(txn) {
		http.Error(w, "keys must not be empty", http.StatusBadRequest)
		return
	}
	version, conflicts := s.store.commit(txn)
	if len(conflicts) > 0 {
		writeJSON(w, http.StatusConflict, platform.CommitResponse{Conflicts: conflicts, Time: time.Now()})
		return
	}
	s.startOutageAfterWrite(txn)
	if s.takeLostResponse() {
		// Closes the connection after the write was applied.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, platform.CommitResponse{Version: version, Time: time.Now()})
}

// startOutageAfterWrite starts the outage of DownAfterWrite if the transaction
// matches. The outage starts before the response is sent, so that no other request
// is served in between.
func (s *Server) startOutageAfterWrite(txn platform.Txn) {
	faults := *s.faults.Load()
	if faults.DownAfterWrite == "" {
		return
	}
	for _, write := range txn.Writes {
		if strings.HasPrefix(write.Key, faults.DownAfterWrite) {
			faults.Down = true
			faults.DownAfterWrite = ""
			s.faults.Store(&faults)
			return
		}
	}
}

func validTxn(txn platform.Txn) bool {
	for _, check := range txn.Checks {
		if check.Key == "" {
			return false
		}
	}
	for _, write := range txn.Writes {
		if write.Key == "" {
			return false
		}
	}
	return true
}

func (s *Server) takeLostResponse() bool {
	if s.responsesToLose.Load() <= 0 {
		return false
	}
	return s.responsesToLose.Add(-1) >= 0
}

func (s *Server) handlePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.putObject(r.PathValue("name"), data)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleGetObject(w http.ResponseWriter, r *http.Request) {
	data, ok := s.store.object(r.PathValue("name"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) handleListVMs(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.Load()
	if faults.ListDown {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	lag := min(time.Duration(faults.ListLagMillis)*time.Millisecond, maxListLag)
	writeConditionalJSON(w, r, platform.VMListResponse{VMs: s.vms.at(time.Now().Add(-lag))})
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults platform.Faults
	if !decode(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handlePutVM(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if !decode(w, r, &vm) {
		return
	}
	if vm.ID != r.PathValue("id") {
		http.Error(w, "id differs from path", http.StatusBadRequest)
		return
	}
	s.PutVM(vm)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleDeleteVM(w http.ResponseWriter, r *http.Request) {
	s.vms.remove(r.PathValue("id"), time.Now())
	w.WriteHeader(http.StatusNoContent)
}

type runsResponse struct {
	Runs int64 `json:"runs"`
}

func (s *Server) handleRecordRun(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, runsResponse{Runs: s.store.recordRun(r.URL.Query().Get("key"))})
}

func (s *Server) handleRunCount(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, runsResponse{Runs: s.store.runCount(r.URL.Query().Get("key"))})
}

func parseLimit(r *http.Request) int {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		return defaultLimit
	}
	return limit
}

// decode rejects unknown fields, so that a misspelt fault is not ignored.
func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}
