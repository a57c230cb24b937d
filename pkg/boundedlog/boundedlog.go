// Package boundedlog keeps structured logs from slowing a process down: each kind
// of line has a rate, and lines are written by a goroutine of their own. Lines
// over the rate, and lines that the writer cannot keep up with, are left out and
// counted.
package boundedlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// burstLines is how many lines of a kind may be written at once.
	burstLines = 100
	// linesPerSecond is how many lines of a kind are written per second over a longer time.
	linesPerSecond = 20
	// queueLines is how many lines may wait for the writer.
	queueLines = 1024
	// reportInterval is how often the number of lines that were left out is written.
	reportInterval = time.Second
)

// Writer writes lines in the background. It is safe for concurrent use.
type Writer struct {
	lines     chan []byte
	dropped   atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter starts a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// There is nowhere left to report an error of the log.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It never blocks: a line that finds no room is
// dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and stops the writer. Nothing may be written after it.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
}

// Dropped returns how many lines found no room.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Handler is a slog.Handler that bounds the lines of each message. Warnings and
// errors are bounded like all others.
type Handler struct {
	next    slog.Handler
	limiter *limiter
}

// limiter is shared by the handlers that WithAttrs and WithGroup return.
type limiter struct {
	writer *Writer
	now    func() time.Time

	mu sync.Mutex
	// buckets are the buckets by message; messages are constants of the program.
	buckets         map[string]*bucket
	reportedAt      time.Time
	reportedDropped uint64
}

type bucket struct {
	tokens     float64
	refilledAt time.Time
	leftOut    uint64
}

var _ slog.Handler = (*Handler)(nil)

// New returns a handler that writes JSON lines to w.
func New(w *Writer, options *slog.HandlerOptions) *Handler {
	return newHandler(w, options, time.Now)
}

func newHandler(w *Writer, options *slog.HandlerOptions, now func() time.Time) *Handler {
	return &Handler{
		next:    slog.NewJSONHandler(w, options),
		limiter: &limiter{writer: w, now: now, buckets: make(map[string]*bucket), reportedAt: now()},
	}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	allowed, reports := h.limiter.allow(record.Message)
	for _, report := range reports {
		err := h.next.Handle(ctx, report)
		if err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return h.next.Handle(ctx, record)
}

// allow takes a line from the bucket of its message, and returns the reports of
// lines that were left out if they are due.
func (s *limiter) allow(message string) (allowed bool, reports []slog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	b := s.buckets[message]
	if b == nil {
		b = &bucket{tokens: burstLines, refilledAt: now}
		s.buckets[message] = b
	}
	b.tokens = min(burstLines, b.tokens+linesPerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	allowed = b.tokens >= 1
	if allowed {
		b.tokens--
	} else {
		b.leftOut++
	}
	if now.Sub(s.reportedAt) >= reportInterval {
		s.reportedAt = now
		reports = s.takeReports(now)
	}
	return allowed, reports
}

func (s *limiter) takeReports(now time.Time) []slog.Record {
	var reports []slog.Record
	report := func(kind string, count uint64) {
		record := slog.NewRecord(now, slog.LevelWarn, "log lines left out", 0)
		record.Add("kind", kind, "count", count)
		reports = append(reports, record)
	}
	for kind, b := range s.buckets {
		if b.leftOut > 0 {
			report(kind, b.leftOut)
			b.leftOut = 0
		}
	}
	if dropped := s.writer.Dropped(); dropped > s.reportedDropped {
		report("any, because the writer was too slow", dropped-s.reportedDropped)
		s.reportedDropped = dropped
	}
	return reports
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), limiter: h.limiter}
}
