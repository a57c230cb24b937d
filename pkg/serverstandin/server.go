// Package serverstandin implements a small HTTP server that stands in for the
// servers of a service in demos and tests. It runs a bounded number of requests
// at a time, reports its load on each answer and counts runs per idempotency
// key. It honours deadlines and cancellation, and its faults are cold starts,
// load shedding, drains and crashes.
package serverstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// LoadPath is the path of the load probe.
	LoadPath = "/standin/load"
	// CrashHeader makes the server crash when it starts to run the request, if the
	// value is "1".
	CrashHeader = "X-Standin-Crash"
	// coldStartFactor multiplies the service time during the cold start.
	coldStartFactor = 10

	outcomeHeader  = "Balsamhill-Outcome"
	drainingHeader = "Balsamhill-Draining"
	deadlineHeader = "X-Request-Timeout-Ms"
	// recordTimeout bounds the report of a run to the platform stand-in.
	recordTimeout = 5 * time.Second
	// maxBufferBytes is the length up to which bodies of waiting requests are read.
	maxBufferBytes = 64 << 10
	// maxDeadlineMillis bounds deadlineHeader to 24 h, so that it fits a time.Duration.
	maxDeadlineMillis = 24 * 3_600_000
)

// RunCounter counts how often an idempotency key has run on any server.
type RunCounter interface {
	RecordRun(ctx context.Context, key string) (int64, error)
}

// Config describes one stand-in server.
type Config struct {
	ID      string
	Service string
	Region  string
	// Slots is how many requests run at a time, at least 1.
	Slots       int
	ServiceTime time.Duration
	// ProbeTime is how long a probe of LoadPath occupies a slot.
	ProbeTime time.Duration
	// ColdStart is how long after New requests take 10 times as long.
	ColdStart time.Duration
	// QueueLimit is how many requests may wait for a slot; more are shed with 503.
	// 0 means no limit.
	QueueLimit int64
	// Crash is called for a request with CrashHeader before its connection is
	// closed. It is optional; a separate process exits in it.
	Crash func()
	Runs  RunCounter
}

// Server is an http.Handler.
type Server struct {
	config    Config
	startedAt time.Time
	slots     chan struct{}
	queued    atomic.Int64
	inFlight  atomic.Int64
	draining  atomic.Bool
}

var _ http.Handler = (*Server)(nil)

// New returns a stand-in server.
func New(config Config) *Server {
	return &Server{config: config, startedAt: time.Now(), slots: make(chan struct{}, max(1, config.Slots))}
}

// SetDraining makes the server announce on each answer that it is leaving.
func (s *Server) SetDraining(draining bool) {
	s.draining.Store(draining)
}

// Response is the JSON body of an answer.
type Response struct {
	Server    string `json:"server"`
	Service   string `json:"service"`
	Region    string `json:"region"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyBytes int64  `json:"bodyBytes"`
	// Runs is how often the idempotency key has run on any stand-in server,
	// this run included; 0 without a key.
	Runs int64 `json:"runs"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == LoadPath {
		s.probe(w, r)
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		s.writeNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	defer cancel()
	if !s.acquire(ctx, r) {
		s.writeNotRun(w, http.StatusServiceUnavailable, "no slot in time")
		return
	}
	defer func() { <-s.slots }()
	s.run(ctx, w, r)
}

// probe answers with the load only. It is not part of the load that it reports.
func (s *Server) probe(w http.ResponseWriter, r *http.Request) {
	if s.config.ProbeTime > 0 {
		select {
		case s.slots <- struct{}{}:
			_ = sleep(r.Context(), s.config.ProbeTime)
			<-s.slots
		case <-r.Context().Done():
		}
	}
	s.setHeaders(w)
	w.WriteHeader(http.StatusNoContent)
}

// withDeadline applies the deadline that the caller set, counted from arrival.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(deadlineHeader)
	if text == "" {
		return r.Context(), func() {}, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || millis > maxDeadlineMillis {
		return nil, nil, fmt.Errorf("%s: %q is not between 1 and %d", deadlineHeader, text, maxDeadlineMillis)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
	return ctx, cancel, nil
}

// acquire waits for a slot. It reports false if the queue is too long or ctx
// ends first; the request has not run then.
func (s *Server) acquire(ctx context.Context, r *http.Request) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	waiting := s.queued.Add(1)
	defer s.queued.Add(-1)
	if s.config.QueueLimit > 0 && waiting > s.config.QueueLimit {
		return false
	}
	err := bufferBody(r)
	if err != nil {
		return false
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if ctx.Err() != nil {
		// Both were ready; a request whose caller has given up must not run.
		<-s.slots
		return false
	}
	return true
}

// bufferBody reads a short body to its end. net/http notices only then that the
// caller has gone, so a cancelled request would wait for its slot and run. Longer
// bodies and those of unknown length are read in the slot.
func bufferBody(r *http.Request) error {
	if r.ContentLength <= 0 || r.ContentLength > maxBufferBytes {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// writeNotRun answers a request that did not run and will not run here.
func (s *Server) writeNotRun(w http.ResponseWriter, status int, text string) {
	s.setHeaders(w)
	w.Header().Set(outcomeHeader, "not-run")
	http.Error(w, text, status)
}

// setHeaders reports the load at the time of the answer, this request included.
func (s *Server) setHeaders(w http.ResponseWriter) {
	inFlight := s.inFlight.Load()
	utilization := float64(inFlight) / float64(cap(s.slots))
	w.Header().Set("Endpoint-Load-Metrics",
		fmt.Sprintf("TEXT named_metrics.in_flight=%d, application_utilization=%.2f", inFlight, utilization))
	if s.draining.Load() {
		w.Header().Set(drainingHeader, "1")
	}
}

func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	runs, err := s.countRun(r)
	if err != nil {
		s.setHeaders(w)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if r.Header.Get(CrashHeader) == "1" {
		if s.config.Crash != nil {
			s.config.Crash()
		}
		panic(http.ErrAbortHandler)
	}
	bodyBytes, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		s.setHeaders(w)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = sleep(ctx, s.serviceTime())
	if errors.Is(err, context.DeadlineExceeded) && r.Context().Err() == nil {
		s.setHeaders(w)
		http.Error(w, "deadline exceeded while running", http.StatusGatewayTimeout)
		return
	}
	if err != nil {
		// The caller has gone; an empty answer must not look like a complete one.
		panic(http.ErrAbortHandler)
	}
	s.setHeaders(w)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Response{
		Server:    s.config.ID,
		Service:   s.config.Service,
		Region:    s.config.Region,
		Method:    r.Method,
		Path:      r.URL.Path,
		BodyBytes: bodyBytes,
		Runs:      runs,
	})
}

// countRun counts a run as soon as it starts. The count must not depend on the
// caller's patience, so it outlives a cancellation.
func (s *Server) countRun(r *http.Request) (int64, error) {
	key := r.Header.Get("Idempotency-Key")
	if key == "" || s.config.Runs == nil {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), recordTimeout)
	defer cancel()
	return s.config.Runs.RecordRun(ctx, key)
}

func (s *Server) serviceTime() time.Duration {
	if time.Since(s.startedAt) < s.config.ColdStart {
		return s.config.ServiceTime * coldStartFactor
	}
	return s.config.ServiceTime
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
