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

// simulation holds the store's row and the pending events. Its time is in nanoseconds;
// the clocks of the holders differ from it.
type simulation struct {
	t       *rapid.T
	now     int64
	row     Row
	version int
	events  []event
	total   float64
	holders []*simulatedHolder
	// taken holds the times and the amounts that were taken from the buckets.
	taken []takenTokens
}

type takenTokens struct {
	at     int64
	amount float64
}

// simulatedHolder is a holder whose clock has its own offset and rate.
type simulatedHolder struct {
	*Holder
	offset int64
	// ppm is how much faster the holder's clock runs, in parts per million.
	ppm       int64
	requested float64
	bucket    *Bucket
	// capacity is the largest capacity that the bucket has had.
	capacity    float64
	pausedUntil int64
	renewing    bool
}

func (h *simulatedHolder) clock(now int64) int64 {
	return now + h.offset + now/1e6*h.ppm
}

type event struct {
	at  int64
	run func()
}

func (sim *simulation) after(delay int64, run func()) {
	sim.events = append(sim.events, event{at: sim.now + delay, run: run})
	slices.SortStableFunc(sim.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
}

// runWhenActive runs an action of a holder after the delay, and after the holder's pause
// if it is paused then.
func (sim *simulation) runWhenActive(h *simulatedHolder, delay int64, run func()) {
	sim.after(delay, func() {
		if sim.now < h.pausedUntil {
			sim.runWhenActive(h, h.pausedUntil-sim.now, run)
			return
		}
		run()
	})
}

func (sim *simulation) storeTime() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(sim.now))
}

func (sim *simulation) latency(label string) int64 {
	if rapid.IntRange(0, 9).Draw(sim.t, label+" is late") == 0 {
		return rapid.Int64Range(0, 60*second).Draw(sim.t, label)
	}
	return rapid.Int64Range(0, second/10).Draw(sim.t, label)
}

// renew reads and writes the row. Each message has its own delay.
func (sim *simulation) renew(h *simulatedHolder) {
	h.renewing = true
	sent := h.clock(sim.now)
	sim.after(sim.latency("read"), func() {
		read := RowRead{Row: sim.row, SentAt: sent, Time: sim.storeTime()}
		version := sim.version
		sim.runWhenActive(h, sim.latency("read response"), func() { sim.write(h, read, version) })
	})
}

func (sim *simulation) write(h *simulatedHolder, read RowRead, version int) {
	// The number of gateways that a gateway assumes, and so the share that it requests,
	// may be arbitrary.
	h.requested = rapid.Float64Range(0, sim.total*1.2).Draw(sim.t, "requested")
	next := h.Plan(read, h.requested, sim.total)
	completed := false
	sim.after(sim.latency("write"), func() {
		if version != sim.version {
			return
		}
		sim.version++
		sim.row = next
		if rapid.IntRange(0, 4).Draw(sim.t, "response lost") == 0 {
			return
		}
		sim.runWhenActive(h, sim.latency("write response"), func() {
			if !completed {
				completed = true
				h.WriteCompleted(true)
				h.renewing = false
			}
		})
	})
	// The result of a write is unknown if there is no response after one second.
	sim.runWhenActive(h, second, func() {
		if !completed {
			completed = true
			h.WriteCompleted(false)
			h.renewing = false
		}
	})
}

// takeAll takes all tokens of the bucket, like a gateway that sends all allowed probes.
func (sim *simulation) takeAll(h *simulatedHolder) {
	now := h.clock(sim.now)
	share := h.Share(now)
	h.capacity = max(h.capacity, 1, share)
	for h.bucket.Take(now, share, 0.25) {
		sim.taken = append(sim.taken, takenTokens{at: sim.now, amount: 0.25})
	}
}

// TestTotalIsNeverExceeded guards against gateways that together exceed the total of a
// budget while they pause, have clocks that differ, request arbitrary shares, and lose
// or delay messages. The test adds up the shares after each event and the tokens taken
// in each window.
func TestTotalIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, total: rapid.Float64Range(0.5, 20).Draw(t, "total")}
		for i := range rapid.IntRange(2, 5).Draw(t, "holders") {
			h := &simulatedHolder{
				Holder: NewHolder(fmt.Sprint("gw-", i, "@1")),
				offset: rapid.Int64Range(0, 1000*second).Draw(t, "offset"),
				ppm:    rapid.Int64Range(-500, 500).Draw(t, "ppm"),
			}
			h.bucket = NewBucket(h.clock(0), time.Second, 1)
			sim.holders = append(sim.holders, h)
		}
		for range 400 {
			step := rapid.Int64Range(0, 2*second).Draw(t, "step")
			sim.advance(step)
			h := rapid.SampledFrom(sim.holders).Draw(t, "holder")
			if sim.now < h.pausedUntil {
				continue
			}
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				h.pausedUntil = sim.now + rapid.Int64Range(0, 90*second).Draw(t, "pause")
			case 1, 2, 3, 4:
				if !h.renewing {
					sim.renew(h)
				}
			default:
				sim.takeAll(h)
			}
		}
		sim.checkWindows()
	})
}

// advance runs the events of a time span and checks the shares after each.
func (sim *simulation) advance(span int64) {
	end := sim.now + span
	for len(sim.events) > 0 && sim.events[0].at <= end {
		next := sim.events[0]
		sim.events = sim.events[1:]
		sim.now = max(sim.now, next.at)
		next.run()
		sim.checkShares()
	}
	sim.now = end
	sim.checkShares()
}

// tolerance allows for rounding errors.
const tolerance = 1e-6

func (sim *simulation) checkShares() {
	sum := 0.0
	for _, h := range sim.holders {
		sum += h.Share(h.clock(sim.now))
	}
	assert.Assert(sim.t, sum <= sim.total+tolerance, "shares %g exceed %g", sum, sim.total)
}

func (sim *simulation) checkWindows() {
	capacity := 0.0
	for _, h := range sim.holders {
		capacity += h.capacity
	}
	for first := range sim.taken {
		sum := 0.0
		for _, entry := range sim.taken[first:] {
			sum += entry.amount
			window := time.Duration(entry.at - sim.taken[first].at).Seconds()
			// Clocks that run 500 ppm fast fill buckets faster.
			allowed := sim.total*window*1.0005 + capacity
			assert.Assert(sim.t, sum <= allowed+tolerance, "took %g in %g s, allowed %g", sum, window, allowed)
		}
	}
}

// TestSharesConverge guards against holders that do not receive their grant: if no
// message is lost, holders that request equal shares all get them, and the share of a
// stopped holder becomes available to the others.
func TestSharesConverge(t *testing.T) {
	var row Row
	start := time.Unix(1000, 0)
	now := int64(0)
	holders := []*Holder{NewHolder("a@1"), NewHolder("b@1"), NewHolder("c@1")}
	renew := func(h *Holder, requested float64) {
		row = h.Plan(RowRead{Row: row, SentAt: now, Time: start.Add(time.Duration(now))}, requested, 6)
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

// TestBucketDropsTokensWithoutRate guards against tokens that outlive the grant that
// they come from.
func TestBucketDropsTokensWithoutRate(t *testing.T) {
	b := NewBucket(0, 2*time.Second, 1)
	assert.Assert(t, !b.Take(0, 10, 1), "the bucket starts empty")
	assert.Assert(t, b.Take(second, 10, 10))
	assert.Assert(t, !b.Take(5*second, 0, 1))
	assert.Assert(t, !b.Take(5*second, 10, 1))
	b.Charge(6*second, 10, 30)
	assert.Assert(t, !b.Take(7*second, 10, 1))
	assert.Assert(t, b.Take(9*second, 10, 10))
}
