package budget

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const second = int64(time.Second)

// world holds the store's row and events in real time, in nanoseconds.
type world struct {
	t       *rapid.T
	now     int64
	row     Row
	version int
	events  []event
	total   float64
	holders []*simulated
	// spent holds the times and the amounts that buckets gave.
	spent []spending
}

type spending struct {
	at     int64
	amount float64
}

// simulated is a holder with a clock of its own offset and rate.
type simulated struct {
	*Holder
	offset int64
	// ppm is how much faster its clock runs, in parts per million.
	ppm    int64
	wish   float64
	bucket *Bucket
	// capacity is the largest burst that its bucket can have had.
	capacity    float64
	pausedUntil int64
	busy        bool
}

func (s *simulated) clock(now int64) int64 {
	return now + s.offset + now/1e6*s.ppm
}

type event struct {
	at  int64
	run func()
}

func (w *world) after(delay int64, run func()) {
	w.events = append(w.events, event{at: w.now + delay, run: run})
	slices.SortStableFunc(w.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
}

// on runs an action of a holder once it is not paused.
func (w *world) on(s *simulated, delay int64, run func()) {
	w.after(delay, func() {
		if w.now < s.pausedUntil {
			w.on(s, s.pausedUntil-w.now, run)
			return
		}
		run()
	})
}

func (w *world) storeTime() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(w.now))
}

func (w *world) latency(label string) int64 {
	if rapid.IntRange(0, 9).Draw(w.t, label+" is late") == 0 {
		return rapid.Int64Range(0, 60*second).Draw(w.t, label)
	}
	return rapid.Int64Range(0, second/10).Draw(w.t, label)
}

// renew reads the row and writes it with each message delayed on its own.
func (w *world) renew(s *simulated) {
	s.busy = true
	sent := s.clock(w.now)
	w.after(w.latency("read"), func() {
		read := Read{Row: w.row, Sent: sent, Time: w.storeTime()}
		version := w.version
		w.on(s, w.latency("read answer"), func() { w.write(s, read, version) })
	})
}

func (w *world) write(s *simulated, read Read, version int) {
	// A gateway's belief about the fleet, and so its wish, may be anything.
	s.wish = rapid.Float64Range(0, w.total*1.2).Draw(w.t, "wish")
	next := s.Plan(read, s.wish, w.total)
	answered := false
	w.after(w.latency("write"), func() {
		if version != w.version {
			return
		}
		w.version++
		w.row = next
		if rapid.IntRange(0, 4).Draw(w.t, "answer lost") == 0 {
			return
		}
		w.on(s, w.latency("write answer"), func() {
			if !answered {
				answered = true
				s.WriteCompleted(true)
				s.busy = false
			}
		})
	})
	// The write's outcome is unknown after a second without an answer.
	w.on(s, second, func() {
		if !answered {
			answered = true
			s.WriteCompleted(false)
			s.busy = false
		}
	})
}

// spend takes what the bucket gives, as a gateway that measures all it may.
func (w *world) spend(s *simulated) {
	now := s.clock(w.now)
	share := s.Share(now)
	s.capacity = max(s.capacity, 1, share)
	for s.bucket.Take(now, share, 0.25) {
		w.spent = append(w.spent, spending{at: w.now, amount: 0.25})
	}
}

// Guards the total of a budget over a fleet whose gateways pause, have clocks of
// their own, hold any belief about the fleet, and lose or delay messages. The
// oracle adds up the shares at each moment and what was spent in each window.
func TestTotalHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, total: rapid.Float64Range(0.5, 20).Draw(t, "total")}
		for i := range rapid.IntRange(2, 5).Draw(t, "holders") {
			s := &simulated{
				Holder: NewHolder(fmt.Sprint("gw-", i, "@1")),
				offset: rapid.Int64Range(0, 1000*second).Draw(t, "offset"),
				ppm:    rapid.Int64Range(-500, 500).Draw(t, "ppm"),
			}
			s.bucket = NewBucket(s.clock(0), time.Second, 1)
			w.holders = append(w.holders, s)
		}
		for range 400 {
			step := rapid.Int64Range(0, 2*second).Draw(t, "step")
			w.advance(step)
			s := rapid.SampledFrom(w.holders).Draw(t, "holder")
			if w.now < s.pausedUntil {
				continue
			}
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				s.pausedUntil = w.now + rapid.Int64Range(0, 90*second).Draw(t, "pause")
			case 1, 2, 3, 4:
				if !s.busy {
					w.renew(s)
				}
			default:
				w.spend(s)
			}
		}
		w.checkWindows()
	})
}

// advance runs the events of a time span and checks the shares after each.
func (w *world) advance(span int64) {
	end := w.now + span
	for len(w.events) > 0 && w.events[0].at <= end {
		next := w.events[0]
		w.events = w.events[1:]
		w.now = max(w.now, next.at)
		next.run()
		w.checkShares()
	}
	w.now = end
	w.checkShares()
}

// tolerance covers rounding.
const tolerance = 1e-6

func (w *world) checkShares() {
	sum := 0.0
	for _, s := range w.holders {
		sum += s.Share(s.clock(w.now))
	}
	assert.Assert(w.t, sum <= w.total+tolerance, "shares %g exceed %g", sum, w.total)
}

func (w *world) checkWindows() {
	capacity := 0.0
	for _, s := range w.holders {
		capacity += s.capacity
	}
	for first := range w.spent {
		sum := 0.0
		for _, spent := range w.spent[first:] {
			sum += spent.amount
			window := time.Duration(spent.at - w.spent[first].at).Seconds()
			// Clocks that run 500 ppm fast fill buckets faster.
			allowed := w.total*window*1.0005 + capacity
			assert.Assert(w.t, sum <= allowed+tolerance, "spent %g in %g s, allowed %g", sum, window, allowed)
		}
	}
}

// Guards that grants are not starved: with messages that arrive, holders that
// wish an equal part all get it, and the part of a dead one returns to the rest.
func TestSharesConverge(t *testing.T) {
	var row Row
	start := time.Unix(1000, 0)
	now := int64(0)
	holders := []*Holder{NewHolder("a@1"), NewHolder("b@1"), NewHolder("c@1")}
	renew := func(h *Holder, wish float64) {
		row = h.Plan(Read{Row: row, Sent: now, Time: start.Add(time.Duration(now))}, wish, 6)
		h.WriteCompleted(true)
	}
	renew(holders[0], 6)
	renew(holders[1], 3)
	assert.Equal(t, holders[1].Share(now), 0.0)
	for range 2 {
		now += int64(RenewAfter)
		for _, h := range holders {
			renew(h, 2)
		}
	}
	for _, h := range holders {
		assert.Equal(t, h.Share(now), 2.0)
		assert.Equal(t, h.Share(now+int64(GrantTTL)), 0.0)
	}
	now += int64(GrantTTL + ExpiryMargin)
	renew(holders[0], 6)
	assert.Equal(t, holders[0].Share(now), 6.0)
}

// Guards that no token outlives the grant that filled the bucket.
func TestBucketEmptiesWithoutRate(t *testing.T) {
	b := NewBucket(0, 2*time.Second, 1)
	assert.Assert(t, !b.Take(0, 10, 1), "starts empty")
	assert.Assert(t, b.Take(second, 10, 10))
	assert.Assert(t, !b.Take(5*second, 0, 1))
	assert.Assert(t, !b.Take(5*second, 10, 1))
	b.Charge(6*second, 10, 30)
	assert.Assert(t, !b.Take(7*second, 10, 1))
	assert.Assert(t, b.Take(9*second, 10, 10))
}
