package withdrawal

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	millisecond = int64(time.Millisecond)
	second      = int64(time.Second)
)

// TestParseRetryAfter guards against a pause that is read wrongly, and against an invalid
// value that is taken for a pause.
func TestParseRetryAfter(t *testing.T) {
	tests := []struct {
		desc   string
		values []string
		want   time.Duration
		wantOK bool
	}{
		{"absent", nil, 0, true},
		{"whole", []string{"5"}, 5 * time.Second, true},
		{"fraction", []string{"0.25"}, 250 * time.Millisecond, true},
		{"no leading digit", []string{".5"}, 500 * time.Millisecond, true},
		{"exponent", []string{"2e-1"}, 200 * time.Millisecond, true},
		{"spaces", []string{" 2 "}, 2 * time.Second, true},
		{"zero", []string{"0"}, 0, true},
		{"a day", []string{"86400"}, 24 * time.Hour, true},
		{"below a nanosecond", []string{"1e-12"}, 1, true},
		{"empty", []string{""}, 0, false},
		{"word", []string{"soon"}, 0, false},
		{"negative", []string{"-1"}, 0, false},
		{"infinite", []string{"Inf"}, 0, false},
		{"not a number", []string{"NaN"}, 0, false},
		{"overflow", []string{"1e400"}, 0, false},
		{"over a day", []string{"86401"}, 0, false},
		{"hexadecimal", []string{"0x10"}, 0, false},
		{"underscore", []string{"1_0"}, 0, false},
		{"date", []string{"Fri, 31 Dec 1999 23:59:59 GMT"}, 0, false},
		{"list", []string{"1, 2"}, 0, false},
		{"two fields", []string{"1", "2"}, 0, false},
		{"long", []string{fmt.Sprintf("%040d", 1)}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			header := http.Header{}
			for _, value := range test.values {
				header.Add("Retry-After", value)
			}
			got, ok := ParseRetryAfter(header)
			assert.Equal(t, got, test.want)
			assert.Equal(t, ok, test.wantOK)
		})
	}
}

// FuzzParseRetryAfter guards against a pause that is negative or longer than maxPause.
func FuzzParseRetryAfter(f *testing.F) {
	f.Add("5")
	f.Add("-0")
	f.Add("1e309")
	f.Fuzz(func(t *testing.T, text string) {
		pause, ok := ParseRetryAfter(http.Header{"Retry-After": {text}})
		assert.Assert(t, pause >= 0 && pause <= maxPause && (ok || pause == 0))
	})
}

// oracle keeps all that the servers said, and decides by a scan.
type oracle struct {
	leaving map[Server]bool
	pauses  map[Server][]pauseRange
}

type pauseRange struct{ from, to int64 }

func (o *oracle) withdrawn(server Server, now int64) bool {
	for _, pause := range o.pauses[server] {
		if now >= pause.from && now < pause.to {
			return true
		}
	}
	return o.leaving[server]
}

// TestWithdrawnServerGetsNoRequest guards against a request to an incarnation that said that
// it leaves, or in a time for which it asked for a pause, after any order of responses,
// notices of peers, disappearing and returning entries, and restarts under the same ID.
func TestWithdrawnServerGetsNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var book Book
		expected := oracle{leaving: map[Server]bool{}, pauses: map[Server][]pauseRange{}}
		listed := map[string]uint64{"a": 1, "b": 1}
		// held are statuses that requests in flight hold, also of servers that are not listed.
		held := map[Server]*Status{}
		now := second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 3*second).Draw(t, "pass")
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
			server := Server{ID: id, Incarnation: listed[id]}
			if server.Incarnation != 0 {
				held[server] = book.Status(server)
			}
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				held[server].RecordLeaving(now, SourceResponse)
				expected.leaving[server] = held[server] != nil
			case 1:
				held[server].RecordLeaving(now, SourcePeer)
				expected.leaving[server] = expected.leaving[server] || held[server] != nil
			case 2:
				pause := time.Duration(rapid.Int64Range(0, 10*second).Draw(t, "pause"))
				held[server].RecordPause(now, pause, rapid.Float64Range(0, 0.999).Draw(t, "spread"))
				if held[server] != nil {
					expected.pauses[server] = append(expected.pauses[server], pauseRange{now, now + int64(pause)})
				}
			case 3:
				listed[id] = 0
			case 4:
				listed[id] = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			case 5:
				// A late response to a request to any earlier process.
				late := Server{ID: id, Incarnation: rapid.Uint64Range(1, 3).Draw(t, "late")}
				held[late].RecordLeaving(now, SourceResponse)
				expected.leaving[late] = expected.leaving[late] || held[late] != nil
			}
			book.Expire(now, func(server Server) bool { return listed[server.ID] == server.Incarnation })
			for id, incarnation := range listed {
				server := Server{ID: id, Incarnation: incarnation}
				if incarnation == 0 {
					continue
				}
				status := book.Status(server)
				if expected.withdrawn(server, now) {
					assert.Assert(t, status.Withdrawn(now) && !status.MaySend(now) && !status.Take(now), "%v at %d", server, now)
				}
				if !expected.leaving[server] && len(expected.pauses[server]) == 0 {
					assert.Assert(t, status.MaySend(now), "%v at %d", server, now)
				}
				wait, ok := status.Wait(now)
				assert.Equal(t, ok, !expected.leaving[server])
				assert.Assert(t, !ok || !expected.withdrawn(server, now+int64(wait)))
			}
		}
	})
}

// TestServerReturnsGraduallyAfterPause guards against a gateway that sends all its requests at
// once after a pause, or that never sends them all again.
func TestServerReturnsGraduallyAfterPause(t *testing.T) {
	var status Status
	status.RecordPause(second, 2*time.Second, 0)
	end := 3 * second
	assert.Assert(t, !status.Take(end-1))
	total := 0
	for step := range int64(returnSteps) {
		taken := 0
		for now := end + step*returnStep; now < end+(step+1)*returnStep; now += millisecond / 10 {
			for status.Take(now) {
				taken++
				assert.Assert(t, taken <= 1<<step)
			}
		}
		assert.Equal(t, taken, 1<<step)
		total += taken
	}
	for range 10 * total {
		assert.Assert(t, status.Take(end+returnSteps*returnStep))
	}
}

// TestPausesEndAtDifferentTimes guards against gateways that return to a server in step.
func TestPausesEndAtDifferentTimes(t *testing.T) {
	const pause = 2 * time.Second
	last := int64(0)
	for _, spread := range []float64{0, 0.3, 0.6, 0.999} {
		var status Status
		status.RecordPause(second, pause, spread)
		end := status.Pause().To
		assert.Assert(t, end > last && end <= second+int64(pause)+int64(spreadShare*float64(pause)))
		last = end
	}
}

// TestPauseIsNotShortened guards against a later response with a shorter pause that ends a
// longer one.
func TestPauseIsNotShortened(t *testing.T) {
	var status Status
	status.RecordPause(second, 10*time.Second, 0)
	status.RecordPause(2*second, time.Second, 0)
	assert.Assert(t, status.Withdrawn(10*second))
	assert.Equal(t, status.Pause(), Pause{Number: 1, From: second, To: 11 * second})
}

// TestNewProcessHasWhatItSaidBeforeItsEntry guards against a new process that gets requests
// although it said that it leaves, or asked for a pause, while its responses were taken for
// those of the process before it; and against one that has what that process said.
func TestNewProcessHasWhatItSaidBeforeItsEntry(t *testing.T) {
	const startedAt = 10 * second
	tests := []struct {
		desc        string
		said        func(old *Status, at int64)
		at          int64
		wantLeaving bool
		wantPaused  bool
	}{
		{"leaving of the old process", sayLeaving, startedAt - 1, false, false},
		{"leaving", sayLeaving, startedAt, true, true},
		{"leaving of a peer", func(old *Status, at int64) { old.RecordLeaving(at, SourcePeer) }, startedAt + 1, false, false},
		{"leaving after a notice of a peer", func(old *Status, at int64) {
			old.RecordLeaving(at, SourcePeer)
			old.RecordLeaving(at+1, SourceResponse)
		}, startedAt + 1, true, true},
		{"pause of the old process", askForPause, startedAt - 1, false, false},
		{"pause", askForPause, startedAt, false, true},
	}
	for _, test := range tests {
		for _, afterEntry := range []bool{false, true} {
			t.Run(fmt.Sprint(test.desc, " after the entry ", afterEntry), func(t *testing.T) {
				var old, next Status
				if afterEntry {
					old.SucceededBy(&next, startedAt)
				}
				test.said(&old, test.at)
				if !afterEntry {
					old.SucceededBy(&next, startedAt)
				}
				_, _, leaving := next.Leaving()
				assert.Equal(t, leaving, test.wantLeaving)
				assert.Equal(t, next.Withdrawn(startedAt+second), test.wantPaused)
				assert.Assert(t, old.Withdrawn(startedAt+second))
			})
		}
	}
}

func sayLeaving(status *Status, at int64) { status.RecordLeaving(at, SourceResponse) }

func askForPause(status *Status, at int64) { status.RecordPause(at, 5*time.Second, 0) }

// TestBookForgetsServersThatAreGone guards against a book that grows with each server that
// was ever listed, and against a server that is forgotten while it is listed.
func TestBookForgetsServersThatAreGone(t *testing.T) {
	var book Book
	here, gone := Server{ID: "here", Incarnation: 1}, Server{ID: "gone", Incarnation: 1}
	book.Status(here).RecordLeaving(second, SourceResponse)
	book.Status(gone)
	for now := second; now < 2*retention; now += expireInterval {
		book.Expire(now, func(server Server) bool { return server == here })
	}
	assert.Equal(t, len(book.records), 1)
	_, _, leaving := book.Status(here).Leaving()
	assert.Assert(t, leaving)
}
