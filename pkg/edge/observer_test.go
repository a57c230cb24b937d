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

// BenchmarkResponseLogLine measures what a call costs whose answer has a line in the log.
// Lines over the bound cost less, so the first row of those with lines is the most.
func BenchmarkResponseLogLine(b *testing.B) {
	writer := boundedlog.NewWriter(io.Discard)
	defer writer.Close()
	set := metrics.NewSet()
	event := proxy.ResponseEvent{
		RequestID: "9c41d07be2a35f68", Route: "r-9y6h24y", Service: "voye70a", ServerID: "i-34f1fcb637",
		Status: 200, Attempts: 1, Took: 3 * time.Second, Target: 2 * time.Second, Revision: 7,
	}
	lines := []struct {
		desc string
		log  *slog.Logger
	}{
		{"without lines", slog.New(slog.DiscardHandler)},
		{"with a line", slog.New(slog.NewJSONHandler(writer, nil))},
		{"with a line that may be left out", slog.New(boundedlog.New(writer, nil))},
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
