package capacity

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"balsamhill/pkg/budget"
	"balsamhill/pkg/claim"
	"balsamhill/pkg/claimstore"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/memtable"
	"balsamhill/pkg/platform/platformtest"
)

// slowTable delays each commit by commitTime and counts commits.
type slowTable struct {
	*platformtest.Table
	commitTime time.Duration

	mu              sync.Mutex
	claims, results int
}

func (s *slowTable) Commit(ctx context.Context, txn platform.Txn) platform.CommitResult {
	s.mu.Lock()
	if len(txn.Checks) > 0 && txn.Checks[0].Version == 0 {
		s.claims++
	} else {
		s.results++
	}
	s.mu.Unlock()
	time.Sleep(s.commitTime)
	return s.Table.Commit(ctx, txn)
}

// BenchmarkCapacityClaims reports the transactions per call with an idempotency key, for
// several rates of such calls on one gateway. Calls arrive at constant intervals, a
// commit takes 2 ms, and each call ends immediately with a response of 1 KiB.
func BenchmarkCapacityClaims(b *testing.B) {
	for _, rate := range []int{10, 100, 1000, 4000} {
		figures := measureClaims(b, rate)
		b.Run(fmt.Sprintf("keyed-calls/s=%d", rate), func(b *testing.B) { report(b, figures) })
	}
}

func measureClaims(b *testing.B, rate int) map[string]float64 {
	started := time.Now()
	table := &slowTable{Table: platformtest.New(), commitTime: 2 * time.Millisecond}
	store := claimstore.New(claimstore.Config{
		Table: table, Gateway: gatewayID(0), Incarnation: 1, Metrics: metrics.NewSet(),
		Now: func() int64 { return int64(time.Since(started) + time.Second) },
	})
	ctx, cancel := context.WithCancel(b.Context())
	var running, calls sync.WaitGroup
	running.Go(func() { store.Run(ctx) })
	cpuUsed := cpuTime(b)
	start := time.Now()
	count := rate
	for i := range count {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		calls.Go(func() {
			decision := store.Claim(ctx, claim.Call{Service: serviceName(1), Key: sampleKey(i), Fingerprint: 1})
			if decision.Kind != claim.Dispatch {
				b.Errorf("call %d was not dispatched: %s", i, decision.Reason)
				return
			}
			store.Finish(ctx, decision.Ticket, claim.Result{Kind: claim.ResultDone, Response: recordedResponse()})
		})
	}
	calls.Wait()
	time.Sleep(200 * time.Millisecond)
	cpuUsed = cpuTime(b) - cpuUsed
	cancel()
	running.Wait()
	table.mu.Lock()
	defer table.mu.Unlock()
	changes, err := table.Changes(b.Context(), claim.RowPrefix, 0, 0)
	assert.NilError(b, err)
	feed, err := json.Marshal(changes.Rows)
	assert.NilError(b, err)
	return map[string]float64{
		"claim-txns/call":   float64(table.claims) / float64(count),
		"result-txns/call":  float64(table.results) / float64(count),
		"µs-processor/call": float64(cpuUsed.Microseconds()) / float64(count),
		"feed-B/call":       float64(len(feed)) / float64(len(changes.Rows)),
	}
}

func recordedResponse() *claim.RecordedResponse {
	return &claim.RecordedResponse{
		Status: 200,
		Header: map[string][]string{"Content-Type": {"application/json"}},
		Body:   []byte(strings.Repeat("x", 1<<10)),
	}
}

const (
	// grantCheck, grantRetry and grantJitter are those of pkg/gateway/budgets.go.
	grantCheck     = time.Second
	grantRetry     = 5 * time.Second
	grantJitter    = 5 * time.Second
	grantRunLength = 120 * time.Second
	// grantTotal is the number of probes per second on a server: 1 % of 4 slots at
	// 6 ms per probe.
	grantTotal = 6.7
)

// grantHolder is one gateway in the simulation of a grant row.
type grantHolder struct {
	holder      *budget.Holder
	roundTrip   time.Duration
	nextRenewAt int64
	read        budget.RowRead
	stored      platform.Row
}

// grantEvent is a step of a holder: 0 checks whether a renewal is due, 1 reads the row
// at the store, 2 writes it at the store, 3 receives the result of the write.
type grantEvent struct {
	at    int64
	index int
	step  int
	// applied is the result of the write for step 3.
	applied bool
}

type grantQueue []grantEvent

func (q grantQueue) Len() int           { return len(q) }
func (q grantQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q grantQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *grantQueue) Push(x any)        { *q = append(*q, x.(grantEvent)) }
func (q *grantQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// grantModel simulates the holders of one row in virtual time.
type grantModel struct {
	random    *rand.Rand
	table     *memtable.Table
	holders   []*grantHolder
	queue     grantQueue
	requested float64
	reads     int
	applied   int
	conflicts int
}

const grantKey = budget.RowPrefix + "probe/service-01"

func newGrantModel(gateways int) *grantModel {
	m := &grantModel{random: rand.New(rand.NewPCG(1, 2)), table: memtable.New(), requested: grantTotal / float64(gateways)}
	for i := range gateways {
		roundTrip := 2 * time.Millisecond
		if regionOf(i) == remoteRegion {
			roundTrip = 62 * time.Millisecond
		}
		m.holders = append(m.holders, &grantHolder{holder: budget.NewHolder(gatewayID(i) + "@1780000000000000"), roundTrip: roundTrip})
		heap.Push(&m.queue, grantEvent{at: int64(time.Second) + m.random.Int64N(int64(grantCheck)), index: i})
	}
	return m
}

func (m *grantModel) run() {
	for m.queue[0].at < int64(grantRunLength) {
		m.step(heap.Pop(&m.queue).(grantEvent))
	}
}

func (m *grantModel) step(e grantEvent) {
	h := m.holders[e.index]
	next := grantEvent{at: e.at + int64(h.roundTrip)/2, index: e.index, step: e.step + 1}
	switch e.step {
	case 0:
		if e.at < h.nextRenewAt || !h.holder.RenewDue(e.at, m.requested) {
			heap.Push(&m.queue, grantEvent{at: e.at + int64(grantCheck), index: e.index})
			return
		}
		h.nextRenewAt = e.at + int64(grantRetry) + m.random.Int64N(int64(grantJitter))
		h.read.SentAt = e.at
	case 1:
		m.reads++
		h.stored = platform.Row{}
		if rows := m.table.Get(grantKey); len(rows) == 1 {
			h.stored = rows[0]
		}
		h.read.Time = time.Unix(0, e.at)
		next.at = e.at + int64(h.roundTrip)
	case 2:
		next.applied = m.write(h)
	case 3:
		h.holder.WriteCompleted(e.applied)
		next = grantEvent{at: e.at + int64(grantCheck), index: e.index}
	}
	heap.Push(&m.queue, next)
}

func (m *grantModel) write(h *grantHolder) bool {
	row, err := budget.ParseRow(h.stored.Value)
	if err != nil {
		panic(err)
	}
	h.read.Row = row
	value := h.holder.Plan(h.read, m.requested, grantTotal).Encode()
	_, conflicts := m.table.Commit(platform.Txn{
		Checks: []platform.Check{{Key: grantKey, Version: h.stored.Version}},
		Writes: []platform.Write{{Key: grantKey, Value: value}},
	})
	if len(conflicts) > 0 {
		m.conflicts++
		return false
	}
	m.applied++
	return true
}

// heldShare returns the share of the total that all gateways together may use at time
// now.
func (m *grantModel) heldShare(now int64) float64 {
	sum := 0.0
	for _, h := range m.holders {
		sum += h.holder.Share(now)
	}
	return sum / grantTotal
}

// BenchmarkCapacityGrants reports the writes per second to one grant row when all
// gateways hold a grant, half of them in the region without the store.
func BenchmarkCapacityGrants(b *testing.B) {
	for _, gateways := range fleetSizes {
		m := newGrantModel(gateways)
		m.run()
		seconds := grantRunLength.Seconds() - 1
		figures := map[string]float64{
			"reads/s/row":         float64(m.reads) / seconds,
			"writes/s/row":        float64(m.applied+m.conflicts) / seconds,
			"conflicts/s/row":     float64(m.conflicts) / seconds,
			"B/row":               float64(len(m.table.Get(grantKey)[0].Value)),
			"writes/s/gateway/47": 47 * float64(m.applied+m.conflicts) / seconds / float64(gateways),
			"held-share":          m.heldShare(int64(grantRunLength)),
		}
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) { report(b, figures) })
	}
}

// Guards the simulation of the grants: holders must receive grants, and never more than
// the total.
func TestGrantModelHoldsTotal(t *testing.T) {
	m := newGrantModel(48)
	for m.queue[0].at < int64(grantRunLength) {
		m.step(heap.Pop(&m.queue).(grantEvent))
		assert.Assert(t, m.heldShare(m.queue[0].at) <= 1+1e-9)
	}
	assert.Assert(t, m.heldShare(int64(grantRunLength)) > 0.5)
}
