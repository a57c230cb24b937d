package boundedlog

import (
	"bytes"
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
