// Package boundedlog bounds the cost of structured logs. Lines are limited per
// message by a token bucket and written by a background goroutine. Lines over the
// limit, and lines for which the queue of the writer has no space, are left out and
// counted. A call that logs never waits for the output.
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
	// burstLines is the number of lines with the same message that may be written at
	// once.
	burstLines = 100
	// linesPerSecond is the sustained rate of lines with the same message.
	linesPerSecond = 20
	// queueLines is the maximum number of lines that wait for the writer.
	queueLines = 1024
	// maxMessages is the number of messages with a limit of their own. Further messages share
	// one limit.
	maxMessages = 256
	// maxLibraryTextBytes bounds the text of a line of LibraryOutput.
	maxLibraryTextBytes = 256
	// reportInterval is the minimum time between two reports of the number of lines
	// that were left out.
	reportInterval = time.Second
)

// Writer writes lines in the background. It is safe for concurrent use.
type Writer struct {
	lines     chan []byte
	dropped   atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter starts a writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// An error of the log output cannot be logged.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It never blocks: if the queue is full, the line is
// dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer. Write must not be called after
// it.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
}

// Dropped returns the number of lines that were dropped because the queue was full.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Handler is a slog.Handler that limits the lines of each message. The limit holds
// for all levels, also for warnings and errors.
type Handler struct {
	next    slog.Handler
	limiter *limiter
}

// limiter is shared by the handlers that WithAttrs and WithGroup return.
type limiter struct {
	writer *Writer
	now    func() time.Time

	mu sync.Mutex
	// buckets holds a bucket for each of up to maxMessages messages, and one for all
	// further ones.
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

// allow reports whether the bucket of a message has a token for another line. If
// reportInterval has passed, it also returns the reports of lines that were left
// out.
func (l *limiter) allow(message string) (allowed bool, reports []slog.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b := l.bucketOf(message, now)
	b.tokens = min(burstLines, b.tokens+linesPerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	allowed = b.tokens >= 1
	if allowed {
		b.tokens--
	} else {
		b.leftOut++
	}
	if now.Sub(l.reportedAt) >= reportInterval {
		l.reportedAt = now
		reports = l.takeReports(now)
	}
	return allowed, reports
}

// otherMessages is the key of the bucket of all messages beyond maxMessages.
const otherMessages = "any other message"

func (l *limiter) bucketOf(message string, now time.Time) *bucket {
	b := l.buckets[message]
	if b == nil && len(l.buckets) >= maxMessages {
		message = otherMessages
		b = l.buckets[message]
	}
	if b == nil {
		b = &bucket{tokens: burstLines, refilledAt: now}
		l.buckets[message] = b
	}
	return b
}

func (l *limiter) takeReports(now time.Time) []slog.Record {
	var reports []slog.Record
	report := func(kind string, count uint64) {
		record := slog.NewRecord(now, slog.LevelWarn, "log lines left out", 0)
		record.Add("kind", kind, "count", count)
		reports = append(reports, record)
	}
	for kind, b := range l.buckets {
		if b.leftOut > 0 {
			report(kind, b.leftOut)
			b.leftOut = 0
		}
	}
	if dropped := l.writer.Dropped(); dropped > l.reportedDropped {
		report("any (the queue of the log writer was full)", dropped-l.reportedDropped)
		l.reportedDropped = dropped
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
