package boundedlog

import (
	"bytes"
	"fmt"
	"log"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimitsLinesPerMessage guards against a flood of one message that fills the log
// or suppresses other messages, and against lines that are left out without being
// counted.
func TestLimitsLinesPerMessage(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	now := time.Unix(1000, 0)
	log := slog.New(newHandler(w, nil, func() time.Time { return now }))
	for range 10 {
		for range 50 {
			log.Info("attempt failed")
			time.Sleep(10 * time.Microsecond)
		}
	}
	log.Info("configuration in force")
	now = now.Add(2 * time.Second)
	log.Info("attempt failed")
	w.Close()
	text := out.String()
	assert.Equal(t, strings.Count(text, "attempt failed")-1, burstLines+1)
	assert.Equal(t, strings.Count(text, "configuration in force"), 1)
	assert.Assert(t, strings.Contains(text, `"kind":"attempt failed","count":400`), text[len(text)-300:])
}

// blockedWriter is an output whose Write blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestFullQueueDoesNotBlock guards against requests that wait for the output of the
// log.
func TestFullQueueDoesNotBlock(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	start := time.Now()
	for range 3 * queueLines {
		_, err := w.Write([]byte("x\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	assert.Assert(t, w.Dropped() >= queueLines)
	close(out.release)
	w.Close()
}

// TestChangingMessagesAreBounded guards against memory and lines without bound when the text of
// a message contains bytes that a server chooses, so that each line has another message.
func TestChangingMessagesAreBounded(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	now := time.Unix(1000, 0)
	handler := newHandler(w, nil, func() time.Time { return now })
	changing := slog.New(handler)
	const messages = 4 * maxMessages
	for i := range messages {
		changing.Info(fmt.Sprint("message ", i))
		time.Sleep(10 * time.Microsecond)
	}
	w.Close()
	assert.Assert(t, len(handler.limiter.buckets) <= maxMessages+1, "%d buckets", len(handler.limiter.buckets))
	lines := strings.Count(out.String(), "message ")
	assert.Assert(t, lines <= maxMessages+burstLines, "%d lines", lines)
}

// TestStandardLogIsBounded guards against lines without bound from libraries that write to the
// standard logger, each with another text: net/http writes one with the bytes that a server
// sends after a complete response.
func TestStandardLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	now := time.Unix(1000, 0)
	standard := log.New(LibraryOutput(slog.New(newHandler(w, nil, func() time.Time { return now }))), "", 0)
	const lines = 10 * burstLines
	for i := range lines {
		standard.Printf("Unsolicited response %d %s", i, strings.Repeat("x", 1<<20))
		time.Sleep(10 * time.Microsecond)
	}
	w.Close()
	text := out.String()
	assert.Equal(t, strings.Count(text, "Unsolicited response"), burstLines)
	assert.Assert(t, len(text) < 2*burstLines*maxLibraryTextBytes, "%d bytes", len(text))
	assert.Assert(t, strings.Contains(text, `"text":"Unsolicited response 0 x`), text[:200])
}
