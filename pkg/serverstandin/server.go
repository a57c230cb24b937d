// Package serverstandin implements an HTTP server that stands in for the servers of
// a service in demos and tests. It processes a bounded number of requests
// concurrently, reports its load in each response and counts runs per idempotency
// key. It honours deadlines and cancellation, and it simulates cold starts, load
// shedding, drains and crashes.
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
	// CrashHeader with the value "1" makes the server crash when it starts to run
	// the request.
	CrashHeader = "X-Standin-Crash"
	// coldStartFactor multiplies the service time during the cold start.
	coldStartFactor = 10

	outcomeHeader  = "Balsamhill-Outcome"
	drainingHeader = "Balsamhill-Draining"
	deadlineHeader = "X-Request-Timeout-Ms"
	// recordTimeout is the timeout for reporting a run to the platform stand-in.
	recordTimeout = 5 * time.Second
	// maxBufferBytes is the maximum length of a body that is read while the request
	// waits for a slot.
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
	// Slots is the number of requests that run concurrently, at least 1.
	Slots       int
	ServiceTime time.Duration
	// ProbeTime is the time for which a probe of LoadPath occupies a slot.
	ProbeTime time.Duration
	// ColdStart is the time after New during which requests take coldStartFactor
	// times as long.
	ColdStart time.Duration
	// QueueLimit is the maximum number of requests that wait for a slot; further
	// requests are shed with 503. 0 means no limit.
	QueueLimit int64
	// RetryAfter is the pause for which a request that is shed asks the gateway, 0 for none.
	RetryAfter time.Duration
	// Crash, if set, is called for a request with CrashHeader before its connection
	// is closed. The stand-in program exits in it.
	Crash func()
	Runs  RunCounter
}

// Server is the HTTP handler of a stand-in server.
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

// SetDraining sets whether each response announces that the server drains.
func (s *Server) SetDraining(draining bool) {
	s.draining.Store(draining)
}

// Response is the JSON body of a response.
type Response struct {
	Server    string `json:"server"`
	Service   string `json:"service"`
	Region    string `json:"region"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyBytes int64  `json:"bodyBytes"`
	// Runs is how often the idempotency key has run on all stand-in servers, this
	// run included; 0 without a key.
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
		if s.config.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(s.config.RetryAfter.Seconds(), 'f', -1, 64))
		}
		s.writeNotRun(w, http.StatusServiceUnavailable, "no slot in time")
		return
	}
	defer func() { <-s.slots }()
	s.run(ctx, w, r)
}

// probe responds with the load only. The probe does not count towards the load that
// it reports.
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

// withDeadline applies the timeout that the caller set, counted from the arrival of
// the request.
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

// acquire waits for a slot. It returns false if the queue is full or ctx ends first.
// The request has not run then.
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
		// Both channels were ready. A request that its caller has cancelled must not run.
		<-s.slots
		return false
	}
	return true
}

// bufferBody reads a short body to its end. net/http detects a closed connection only
// after the body was read; without this a cancelled request would wait for its slot
// and run. Longer bodies and those of unknown length are read in the slot.
func bufferBody(r *http.Request) error {
	if r.ContentLength <= 0 || r.ContentLength > maxBufferBytes {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// writeNotRun responds to a request that did not run and will not run here.
func (s *Server) writeNotRun(w http.ResponseWriter, status int, text string) {
	s.setHeaders(w)
	w.Header().Set(outcomeHeader, "not-run")
	http.Error(w, text, status)
}

// setHeaders reports the load at the time of the response, this request included.
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
		// The caller has cancelled. Aborting prevents an empty response that looks
		// complete.
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

// countRun records a run as soon as it starts. The record must not depend on the
// caller's timeout, so it is not cancelled with the request.
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
