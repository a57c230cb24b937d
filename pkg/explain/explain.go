// Package explain collects the log lines of one request from the logs of several
// gateways and describes them as text or JSON. The operator tool calls it. It
// depends on the messages and keys of the log lines, and prints unknown messages
// as they are.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Event is one line of a gateway's log that concerns a request.
type Event struct {
	Time time.Time `json:"time"`
	// Source is the last word before the JSON object of the line, such as the name of
	// a machine, or the file name if there is none.
	Source  string         `json:"source"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Timeline holds the log lines of one request.
type Timeline struct {
	Request string  `json:"request"`
	Events  []Event `json:"events"`
	// Skipped counts lines that could not be parsed: truncated log lines and output
	// that is not a log line.
	Skipped int `json:"skipped"`
	// LeftOut counts the lines that the gateways left out to bound their logs. If it
	// is not zero, events may be missing.
	LeftOut int `json:"leftOut"`
}

// maxLineBytes bounds the length of a line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// leftOutMessage is the message with which pkg/boundedlog reports lines that were
// left out.
const leftOutMessage = "log lines left out"

// Read adds the lines of a log that concern the request. A line may have a prefix
// before its JSON object, such as a time and the name of a machine.
func (t *Timeline) Read(source string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		t.addLine(source, scanner.Bytes())
	}
	return eris.Wrapf(scanner.Err(), "read %s", source)
}

func (t *Timeline) addLine(source string, line []byte) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		if len(bytes.TrimSpace(line)) > 0 {
			t.Skipped++
		}
		return
	}
	fields := map[string]any{}
	err := json.Unmarshal(line[start:], &fields)
	if err != nil {
		t.Skipped++
		return
	}
	message, _ := fields["msg"].(string)
	if count, ok := fields["count"].(float64); ok && message == leftOutMessage {
		t.LeftOut += int(count)
	}
	if request, _ := fields["request"].(string); request != t.Request {
		return
	}
	text, _ := fields["time"].(string)
	// A line without a readable time sorts first.
	at, _ := time.Parse(time.RFC3339Nano, text)
	if prefix := strings.Fields(string(line[:start])); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	for _, name := range []string{"msg", "time", "level", "request"} {
		delete(fields, name)
	}
	t.Events = append(t.Events, Event{Time: at, Source: source, Message: message, Fields: fields})
}

// Sort orders the events by time and keeps the order of lines with equal times.
// Clocks of machines differ, so the order of events of different machines is only
// approximate.
func (t *Timeline) Sort() {
	slices.SortStableFunc(t.Events, func(a, b Event) int { return a.Time.Compare(b.Time) })
}

// Write prints the timeline as text, one line for each event.
func (t *Timeline) Write(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s: %d lines\n", t.Request, len(t.Events))
	for _, event := range t.Events {
		fmt.Fprintf(&text, "%s  %s  %s\n", event.Time.Format("15:04:05.000000"), event.Source, event.describe())
	}
	if t.LeftOut > 0 {
		fmt.Fprintf(&text, "%d lines were left out by the gateways; the request may have more\n", t.LeftOut)
	}
	if t.Skipped > 0 {
		fmt.Fprintf(&text, "%d lines were not read: no log lines\n", t.Skipped)
	}
	_, err := io.WriteString(w, text.String())
	return eris.Wrap(err, "write")
}

// withdrawals describes the servers that wanted no requests when a call was refused, empty if
// there were none.
func (e Event) withdrawals() string {
	leaving, _ := e.Fields["leaving"].(float64)
	paused, _ := e.Fields["paused"].(float64)
	if leaving == 0 && paused == 0 {
		return ""
	}
	return fmt.Sprintf(", %v said that they leave, %v asked for a pause", leaving, paused)
}

// describe returns an event as a sentence.
func (e Event) describe() string {
	field := func(name string) any {
		if value, ok := e.Fields[name]; ok {
			return value
		}
		return "?"
	}
	switch e.Message {
	case "attempt failed":
		return fmt.Sprintf("attempt %v at server %v of %v ended as %v after %v (%v); it was chosen with %v in flight and "+
			"pace %v, reported %v before; configuration %v", field("attempt"), field("server"), field("service"), field("end"), field("took"),
			field("error"), field("inFlight"), field("pace"), field("reportAge"), field("revision"))
	case "call refused":
		return fmt.Sprintf("answered %v in place of a server of %v after %v and %v attempts, outcome %v: %v; %v servers "+
			"usable%s; configuration %v", field("status"), field("service"), field("took"), field("attempts"), field("outcome"), field("detail"),
			field("usable"), e.withdrawals(), field("revision"))
	case "call answered":
		return fmt.Sprintf("answer %v of server %v of %v passed on after %v and %v attempts (target %v, late: %v)",
			field("status"), field("server"), field("service"), field("took"), field("attempts"), field("target"), field("late"))
	case "call is late":
		if server, ok := e.Fields["server"].(string); ok && server == "" {
			return fmt.Sprintf("still waits for a server of %v after %v (target %v)", field("service"), field("took"), field("target"))
		}
		return fmt.Sprintf("still waits for the answer of attempt %v at server %v of %v after %v (target %v)",
			field("attempts"), field("server"), field("service"), field("took"), field("target"))
	case "answer truncated":
		return fmt.Sprintf("answer %v of server %v of %v broke off after %v and %v attempts: %v; configuration %v", field("status"),
			field("server"), field("service"), field("took"), field("attempts"), field("error"), field("revision"))
	case "caller left":
		return fmt.Sprintf("the caller left after %v and %v attempts at %v", field("took"), field("attempts"), field("service"))
	default:
		return fmt.Sprintf("%s %v", e.Message, e.Fields)
	}
}
