package claimstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"balsamhill/pkg/claim"
)

const service = "booking-desk"

// serverEnd is what the server fake does with a dispatched call.
type serverEnd int

const (
	endAnswered serverEnd = iota
	endLargeAnswer
	endBrokenAfterRun
	endRunsLate
	endBrokenBeforeRun
	endNotSent
	serverEnds
)

// send is one send of a key to one gateway.
type send struct {
	Gateway int
	Key     int
	Timeout time.Duration
	// Shed says that the gateway refuses the send before it claims the key.
	Shed bool
	End  serverEnd
	// Takes is how long the server works on the call.
	Takes time.Duration
}

// run is one run of a key on a server.
type run struct {
	sendID  int
	arrived time.Time
	at      time.Time
}

// verdict is one not-run that a gateway said.
type verdict struct {
	sendID int
	// asked is when the peers were asked.
	asked time.Time
}

// oracle counts what happened to each key.
type oracle struct {
	mu       sync.Mutex
	sends    int
	runs     map[int][]run
	verdicts map[int][]verdict
	// finished holds the result that the gateway was told, by key.
	finished map[int]serverEnd
	problems []string
	replays  int
	unknowns int
}

func newOracle() *oracle {
	return &oracle{runs: make(map[int][]run), verdicts: make(map[int][]verdict), finished: make(map[int]serverEnd)}
}

func (o *oracle) fail(format string, args ...any) {
	o.problems = append(o.problems, fmt.Sprintf(format, args...))
}

func (o *oracle) ran(key int, r run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.at = time.Now()
	o.runs[key] = append(o.runs[key], r)
}

func (o *oracle) notRun(key int, v verdict) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verdicts[key] = append(o.verdicts[key], v)
}

// check compares all that happened with the promises.
func (o *oracle) check() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, runs := range o.runs {
		if len(runs) > 1 {
			o.fail("key %d ran %d times: %+v", key, len(runs), runs)
		}
		for _, r := range runs {
			for _, v := range o.verdicts[key] {
				if r.sendID == v.sendID || r.arrived.Before(v.asked) {
					o.fail("key %d: not-run said of send %d, asked at %v, but send %d, arrived at %v, ran at %v",
						key, v.sendID, v.asked, r.sendID, r.arrived, r.at)
				}
			}
		}
	}
}

// gateway is one incarnation of one gateway.
type gateway struct {
	fleet       *fleet
	incarnation uint64
	store       *Store
	link        *link
	stop        context.CancelFunc

	mu       sync.Mutex
	resumed  chan struct{} // closed unless paused
	killedAt time.Time
	feedAt   time.Time
	asked    map[string]time.Time
}

// gate blocks while the gateway is paused.
func (g *gateway) gate() {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	<-resumed
}

func (g *gateway) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.resumed:
		g.resumed = make(chan struct{})
	default:
	}
}

func (g *gateway) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.resumed:
	default:
		close(g.resumed)
	}
}

// kill ends the gateway for good: nothing of it passes a gate any more until the
// end of the test, and then it dispatches nothing.
func (g *gateway) kill() {
	g.pause()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killedAt = time.Now()
}

func (g *gateway) dead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.killedAt.IsZero()
}

func (g *gateway) paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.resumed:
		return false
	default:
		return true
	}
}

// QueryKey implements PeerQuery. Each gateway that lived at the last feed read or
// later must answer; one that is paused or dead does not.
func (g *gateway) QueryKey(ctx context.Context, service, key string) bool {
	g.gate()
	defer g.gate()
	g.mu.Lock()
	feedAt := g.feedAt
	g.mu.Unlock()
	if feedAt.IsZero() || ctx.Err() != nil {
		return false
	}
	asked := time.Now()
	for _, peer := range g.fleet.all() {
		if peer == g {
			continue
		}
		peer.mu.Lock()
		gone := !peer.killedAt.IsZero() && peer.killedAt.Before(feedAt)
		peer.mu.Unlock()
		if gone {
			continue
		}
		if !sleep(ctx, time.Duration(g.fleet.table.roll(5000)+1)*time.Microsecond) {
			return false
		}
		if peer.paused() || peer.store.HasAttempt(service, key) {
			return false
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked[key] = asked
	return true
}

// fleet is a set of gateways on one table with one server fake.
type fleet struct {
	start  time.Time
	table  *fakeTable
	oracle *oracle
	seed   uint64

	// gone is the owner that has been missing for the retention.
	gone atomic.Pointer[claim.Incarnation]

	mu       sync.Mutex
	gateways []*gateway // current incarnations
	former   []*gateway
	ended    bool
	sends    sync.WaitGroup
	stores   sync.WaitGroup
}

func newFleet(gateways int, seed uint64) *fleet {
	f := &fleet{start: time.Now(), table: newFakeTable(seed), oracle: newOracle(), seed: seed}
	for i := range gateways {
		f.gateways = append(f.gateways, f.newGateway(i, 1, faults{}))
	}
	return f
}

func (f *fleet) now() int64 {
	return int64(time.Since(f.start) + time.Second)
}

// newGateway starts a gateway whose link has the faults from its first read on.
func (f *fleet) newGateway(index int, incarnation uint64, broken faults) *gateway {
	g := &gateway{fleet: f, incarnation: incarnation, resumed: make(chan struct{}), asked: make(map[string]time.Time)}
	close(g.resumed)
	g.link = &link{table: f.table, gate: g.gate, faults: broken}
	g.store = New(Config{
		Table:       g.link,
		Peers:       g,
		Gateway:     fmt.Sprint("g", index),
		Incarnation: incarnation,
		Now:         f.now,
		Seed:        f.seed + uint64(index),
		Metrics:     metrics.NewSet(),
		DigestKeys:  1024,
		OwnerGone: func(owner claim.Incarnation) bool {
			gone := f.gone.Load()
			return gone != nil && owner == *gone
		},
		FeedRead: func(startedAt int64) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.feedAt = f.start.Add(time.Duration(startedAt) - time.Second)
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	f.stores.Go(func() { g.store.Run(ctx) })
	return g
}

func (f *fleet) all() []*gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(append([]*gateway(nil), f.gateways...), f.former...)
}

// restart kills a gateway and starts its next incarnation.
func (f *fleet) restart(index int) {
	f.mu.Lock()
	old := f.gateways[index]
	f.mu.Unlock()
	old.kill()
	next := f.newGateway(index, old.incarnation+1, old.link.current())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.former = append(f.former, old)
	f.gateways[index] = next
}

func (f *fleet) gateway(index int) *gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways[index]
}

// stopAll ends all goroutines of the fleet.
func (f *fleet) stopAll() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	for _, g := range f.all() {
		g.stop()
		g.resume()
	}
	f.sends.Wait()
	f.stores.Wait()
	f.table.pending.Wait()
}

// canRun reports whether a gateway may still do something to the outside.
func (f *fleet) canRun(g *gateway) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.ended && !g.dead()
}

// answerOf is the answer of the server for a key.
func answerOf(key int) *claim.RecordedResponse {
	return &claim.RecordedResponse{Status: 201, Header: map[string][]string{"X-Key": {fmt.Sprint(key)}}, Body: []byte(fmt.Sprint("booked ", key))}
}

// serve does what pkg/proxy does with a call, with a gate between all steps.
func (f *fleet) serve(s send) claim.Decision {
	g := f.gateway(s.Gateway)
	g.gate()
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	f.oracle.mu.Lock()
	f.oracle.sends++
	r := run{sendID: f.oracle.sends, arrived: time.Now()}
	f.oracle.mu.Unlock()
	call := claim.Call{Service: service, Key: fmt.Sprint(s.Key), Fingerprint: uint64(s.Key), Arrived: f.now()}
	decision := claim.Decision{Kind: claim.Refuse}
	if s.Shed {
		decision.NotRun = g.store.VerifyNotRun(ctx, call)
	} else {
		decision = g.store.Claim(ctx, call)
	}
	notRun := decision.Kind == claim.Refuse && decision.NotRun
	if decision.Kind == claim.Dispatch {
		notRun = f.dispatch(g, s, r, decision.Ticket)
	}
	g.gate()
	if !f.canRun(g) {
		return decision
	}
	f.oracle.mu.Lock()
	switch decision.Kind {
	case claim.Replay, claim.Ran:
		f.oracle.replays++
		if len(f.oracle.runs[s.Key]) == 0 {
			f.oracle.fail("key %d replayed without a run", s.Key)
		}
	case claim.Refuse:
		f.oracle.unknowns++
	}
	f.oracle.mu.Unlock()
	if notRun {
		g.mu.Lock()
		asked := g.asked[call.Key]
		g.mu.Unlock()
		if asked.Before(r.arrived) {
			// The peers were not asked for this send.
			asked = time.Now()
		}
		f.oracle.notRun(s.Key, verdict{sendID: r.sendID, asked: asked})
	}
	return decision
}

// dispatch sends a claimed call and reports whether not-run was said.
func (f *fleet) dispatch(g *gateway, s send, r run, ticket claim.Ticket) bool {
	g.gate()
	result := claim.Result{Kind: claim.ResultReleased}
	if g.store.MayDispatch(ticket) && s.End != endNotSent {
		g.gate()
		if !f.canRun(g) {
			return false
		}
		result.Kind = f.runOnServer(s, r)
		if result.Kind == claim.ResultDone {
			result.Response = answerOf(s.Key)
			if s.End == endLargeAnswer {
				result.Response.Body = make([]byte, claim.MaxResponseBytes+1)
			}
		}
	}
	g.gate()
	if !f.canRun(g) {
		return false
	}
	if result.Kind != claim.ResultReleased {
		f.oracle.mu.Lock()
		f.oracle.finished[s.Key] = s.End
		f.oracle.mu.Unlock()
	}
	return g.store.Finish(context.Background(), ticket, result)
}

// runOnServer returns what the gateway learns of the call.
func (f *fleet) runOnServer(s send, r run) claim.ResultKind {
	time.Sleep(s.Takes)
	switch s.End {
	case endBrokenBeforeRun:
		return claim.ResultUnknown
	case endRunsLate:
		f.sends.Go(func() {
			time.Sleep(2 * time.Second)
			f.oracle.ran(s.Key, r)
		})
		return claim.ResultUnknown
	case endBrokenAfterRun:
		f.oracle.ran(s.Key, r)
		return claim.ResultUnknown
	default:
		f.oracle.ran(s.Key, r)
		return claim.ResultDone
	}
}

// randomSend draws a send.
func randomSend(rng *rand.Rand, gateways, keys int) send {
	timeouts := []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 30 * time.Second}
	takes := []time.Duration{0, time.Millisecond, 100 * time.Millisecond, 5 * time.Second, 70 * time.Second}
	end := serverEnd(rng.IntN(int(serverEnds) + 4))
	if end >= serverEnds {
		// Calls that are released or answered are the most common.
		end = []serverEnd{endNotSent, endAnswered}[rng.IntN(2)]
	}
	return send{
		Gateway: rng.IntN(gateways),
		Key:     rng.IntN(keys),
		Timeout: timeouts[rng.IntN(len(timeouts))],
		Shed:    rng.IntN(6) == 0,
		End:     end,
		Takes:   takes[rng.IntN(len(takes))],
	}
}
