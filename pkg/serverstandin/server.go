// Package serverstandin implements a small HTTP server that stands in for the
// servers of a service in demos and tests. It runs a bounded number of requests
// at a time, reports its load on each answer and counts runs per idempotency key.
package serverstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// RunCounter counts how often an idempotency key has run on any server.
type RunCounter interface {
	RecordRun(ctx context.Context, key string) (int64, error)
}

// Config describes one stand-in server.
type Config struct {
	ID          string
	Service     string
	Region      string
	Slots       int
	ServiceTime time.Duration
	Runs        RunCounter
}

// Server is an http.Handler.
type Server struct {
	config   Config
	slots    chan struct{}
	inFlight atomic.Int64
	draining atomic.Bool
}

var _ http.Handler = (*Server)(nil)

// New returns a stand-in server.
func New(config Config) *Server {
	return &Server{config: config, slots: make(chan struct{}, max(1, config.Slots))}
}

// SetDraining makes the server announce on each answer that it is leaving.
func (s *Server) SetDraining(draining bool) {
	s.draining.Store(draining)
}

// Answer is the JSON body of an answer.
type Answer struct {
	Server    string `json:"server"`
	Service   string `json:"service"`
	Region    string `json:"region"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyBytes int64  `json:"bodyBytes"`
	Runs      int64  `json:"runs"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.setHeaders(w, inFlight)
	if r.URL.Path == "/standin/load" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	s.run(w, r)
}

func (s *Server) setHeaders(w http.ResponseWriter, inFlight int64) {
	utilization := float64(inFlight) / float64(cap(s.slots))
	w.Header().Set("Endpoint-Load-Metrics",
		fmt.Sprintf("TEXT named_metrics.in_flight=%d, application_utilization=%.2f", inFlight, utilization))
	if s.draining.Load() {
		w.Header().Set("Balsamhill-Draining", "1")
	}
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	var runs int64
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		var err error
		runs, err = s.config.Runs.RecordRun(r.Context(), key)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	bodyBytes, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case <-time.After(s.config.ServiceTime):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{
		Server:    s.config.ID,
		Service:   s.config.Service,
		Region:    s.config.Region,
		Method:    r.Method,
		Path:      r.URL.Path,
		BodyBytes: bodyBytes,
		Runs:      runs,
	})
}
