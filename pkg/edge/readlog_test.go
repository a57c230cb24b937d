package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
)

// logBuffer collects JSON log lines. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// find returns the fields of the first line with a message for which match returns true.
func (b *logBuffer) find(t *testing.T, message string, match func(fields map[string]any) bool) map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range bytes.Lines(b.text.Bytes()) {
		fields := map[string]any{}
		assert.NilError(t, json.Unmarshal(line, &fields))
		if fields["msg"] == message && match(fields) {
			return fields
		}
	}
	return nil
}

// TestLogsShowHowConfigurationArrived guards against logs from which nobody can tell which
// version a gateway held, from whom and when.
func TestLogsShowHowConfigurationArrived(t *testing.T) {
	store := storeWith("a")
	first := openEdge(t, "first", "r", "d", store)
	firstLogs, logs := &logBuffer{}, &logBuffer{}
	first.log = slog.New(slog.NewJSONHandler(firstLogs, nil))
	runUntilCleanup(t, first)
	second := openEdge(t, "second", "r", "d", store, first.settings.BootstrapAddress)
	second.log = slog.New(slog.NewJSONHandler(logs, nil))
	runUntilCleanup(t, second)
	eventually(t, "second is ready", 5*time.Second, second.ready)
	store.write(feed.Config, "config", []byte("5"), false)
	rowVersion := store.version
	eventually(t, "version 5", 5*time.Second, func() bool { return first.revision() == 5 && second.revision() == 5 })
	anyLine := func(map[string]any) bool { return true }
	isFive := func(fields map[string]any) bool { return fields["revision"] == 5.0 }
	store.write(feed.Config, "config", []byte("4"), false)
	// Only the gateway that reads the store sees the older version. The other one sees that
	// version 5 is kept.
	isFour := func(fields map[string]any) bool { return fields["revision"] == 4.0 }
	var older map[string]any
	eventually(t, "a line for the older version", 5*time.Second, func() bool {
		for _, buffer := range []*logBuffer{firstLogs, logs} {
			if line := buffer.find(t, "configuration is not newer; the one in force stays", isFour); line != nil {
				older = line
			}
		}
		return older != nil
	})
	adopted := logs.find(t, "configuration in force", isFive)
	assert.Assert(t, adopted != nil)
	assert.Equal(t, adopted["rowVersion"], float64(rowVersion))
	assert.Equal(t, adopted["previous"], 1.0)
	for _, field := range []string{"source", "sinceReceived", "storeAge", "decoding"} {
		assert.Assert(t, adopted[field] != "", field)
	}
	assert.Assert(t, logs.find(t, "table read", anyLine) != nil)
	assert.Equal(t, older["revision"], 4.0)
	assert.Equal(t, older["inForce"], 5.0)
}

// TestLogsShowFailedTableReads guards against reads of tables that fail without a line,
// which hides why a configuration is late.
func TestLogsShowFailedTableReads(t *testing.T) {
	store := storeWith("a")
	e := openEdge(t, "only", "r", "d", store)
	logs := &logBuffer{}
	e.log = slog.New(slog.NewJSONHandler(logs, nil))
	runUntilCleanup(t, e)
	eventually(t, "ready", 5*time.Second, e.ready)
	store.setDown(true)
	eventually(t, "a line for the failed read", 5*time.Second, func() bool {
		return logs.find(t, "table read failed", func(fields map[string]any) bool {
			return fields["source"] == "store" && fields["result"] == "broken" && fields["error"] == errDown.Error()
		}) != nil
	})
}

// TestAnnouncementBelongsToChange guards against logs that state the time since the announcement
// of an earlier change for one that no peer announced.
func TestAnnouncementBelongsToChange(t *testing.T) {
	e := idleEdge(t, "g")
	w := configTable(e, "1")
	const announcedAt = int64(5e9)
	w.confirm(announcedAt, feed.TableState{LastChange: 2, AsOf: 2}, "peer")
	for _, test := range []struct {
		version uint64
		want    int64
	}{{2, announcedAt}, {3, 0}} {
		row := feed.Row{Key: "config", Value: []byte("2"), Version: test.version}
		go w.applyBatch(context.Background(), feed.Batch{Rows: []feed.Row{row}, AsOf: test.version}, storeSource)
		event := <-e.events
		assert.Equal(t, event.announcedAt, test.want, "version %d", test.version)
	}
}
