package edge

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"balsamhill/pkg/boundedlog"
	"balsamhill/pkg/proxy"
)

// BenchmarkResponseLogLine measures the cost of a log line for a response. Lines that the
// bounded log drops cost less than written ones, so the JSON handler is the upper bound.
func BenchmarkResponseLogLine(b *testing.B) {
	writer := boundedlog.NewWriter(io.Discard)
	defer writer.Close()
	set := metrics.NewSet()
	event := proxy.CallEvent{
		RequestID: "9c41d07be2a35f68", Route: "r-9y6h24y", Service: "voye70a", ServerID: "i-34f1fcb637",
		Status: 200, Attempts: 1, Took: 3 * time.Second, Target: 2 * time.Second, Revision: 7,
	}
	lines := []struct {
		desc string
		log  *slog.Logger
	}{
		{"discard", slog.New(slog.DiscardHandler)},
		{"JSON", slog.New(slog.NewJSONHandler(writer, nil))},
		{"bounded", slog.New(boundedlog.New(writer, nil))},
	}
	for _, line := range lines {
		b.Run(line.desc, func(b *testing.B) {
			o := observer{&Edge{log: line.log, counters: newCounters(set)}}
			set.UnregisterAllMetrics()
			for b.Loop() {
				o.CallCompleted(event)
			}
		})
	}
}
