package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const exampleLog = `  0.1 front-b {"time":"2026-01-01T00:00:02Z","msg":"call answered","request":"r1","status":200,"server":"i-2"}
{"time":"2026-01-01T00:00:01Z","msg":"attempt failed","request":"r1","server":"i-1","end":"broken","attempt":1}
{"time":"2026-01-01T00:00:01Z","msg":"call answered","request":"r2"}
{"time":"2026-01-01T00:00:01Z","msg":"log lines left out","kind":"attempt failed","count":7}
panic: something else
{"time":"2026-01-01T00:00:0`

// TestTimeline guards against lines of other requests, events out of order, and
// truncated lines or lines of other programs that end the reading or are not
// counted.
func TestTimeline(t *testing.T) {
	timeline := Timeline{Request: "r1"}
	assert.NilError(t, timeline.Read("a.log", strings.NewReader(exampleLog)))
	timeline.Sort()
	assert.Equal(t, len(timeline.Events), 2)
	assert.Equal(t, timeline.Events[0].Source, "a.log")
	assert.Equal(t, timeline.Events[1].Source, "front-b")
	assert.Equal(t, timeline.Skipped, 2)
	assert.Equal(t, timeline.LeftOut, 7)
	var text strings.Builder
	assert.NilError(t, timeline.Write(&text))
	for _, want := range []string{"attempt 1 at server i-1", "ended as broken", "answer 200 of server i-2", "7 lines were left out"} {
		assert.Assert(t, strings.Contains(text.String(), want), text.String())
	}
}

// TestDescribeLateCall guards against a last log line that does not name the server: a
// gateway that loses power while a call is in flight leaves no later line.
func TestDescribeLateCall(t *testing.T) {
	tests := []struct{ desc, line, want string }{
		{"at a server", `{"time":"2026-01-01T00:00:01Z","msg":"call is late","request":"r1","service":"s","server":"i-1","attempts":1,"took":"300ms","target":"250ms"}`,
			"still waits for the answer of attempt 1 at server i-1 of s after 300ms (target 250ms)"},
		{"at the gateway", `{"time":"2026-01-01T00:00:01Z","msg":"call is late","request":"r1","service":"s","server":"","attempts":0,"took":"300ms","target":"250ms"}`,
			"still waits for a server of s after 300ms (target 250ms)"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			timeline := Timeline{Request: "r1"}
			assert.NilError(t, timeline.Read("a.log", strings.NewReader(test.line)))
			var text strings.Builder
			assert.NilError(t, timeline.Write(&text))
			assert.Assert(t, strings.Contains(text.String(), test.want), text.String())
		})
	}
}

// TestDescribeWithdrawnServers guards against a refusal, or an attempt at another server, whose
// cause is not named: the servers leave or asked for a pause.
func TestDescribeWithdrawnServers(t *testing.T) {
	lines := `{"time":"2026-01-01T00:00:01Z","msg":"attempt failed","request":"r1","server":"i-1","end":"never written","attempt":1,` +
		`"error":"attempt denied because the server is leaving or asked for a pause"}
{"time":"2026-01-01T00:00:02Z","msg":"call refused","request":"r1","detail":"each server of s is leaving or asked for a pause","usable":3,"leaving":2,"paused":1}`
	timeline := Timeline{Request: "r1"}
	assert.NilError(t, timeline.Read("a.log", strings.NewReader(lines)))
	var text strings.Builder
	assert.NilError(t, timeline.Write(&text))
	for _, want := range []string{
		"(attempt denied because the server is leaving or asked for a pause)",
		"each server of s is leaving or asked for a pause; 3 servers usable, 2 said that they leave, 1 asked for a pause;",
	} {
		assert.Assert(t, strings.Contains(text.String(), want), text.String())
	}
}

// FuzzLine guards against a line that makes the tool panic or fail.
func FuzzLine(f *testing.F) {
	for line := range strings.Lines(exampleLog) {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		timeline := Timeline{Request: "r1"}
		timeline.addLine("x", []byte(line))
		var text strings.Builder
		assert.NilError(t, timeline.Write(&text))
	})
}
