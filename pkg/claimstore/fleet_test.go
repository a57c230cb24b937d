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

// serverOutcome is what the fake server does with a dispatched call.
type serverOutcome int

const (
	outcomeResponded serverOutcome = iota
	outcomeLargeResponse
	outcomeLostAfterRun
	outcomeRunsLate
	outcomeLostBeforeRun
	outcomeNotSent
	outcomeCount
)

// request is a request of a caller with an idempotency key to one gateway.
type request struct {
	Gateway int
	Key     int
	Timeout time.Duration
	// Shed means that the gateway refuses the request before it claims the key.
	Shed    bool
	Outcome serverOutcome
	// ServiceTime is how long the server takes for the call.
	ServiceTime time.Duration
}

// run is one run of a key on a server.
type run struct {
	requestID int
	arrivedAt time.Time
	at        time.Time
}

// notRunReport is one request that a gateway reported as not-run.
type notRunReport struct {
	requestID int
	// queriedAt is when the peers were queried.
	queriedAt time.Time
}

// oracle records what happened to each key.
type oracle struct {
	mu            sync.Mutex
	requests      int
	runs          map[int][]run
	notRunReports map[int][]notRunReport
	// finishedWith holds, by key, the outcome whose result was passed to Finish.
	finishedWith map[int]serverOutcome
	problems     []string
	// replays counts the decisions Replay and Ran.
	replays  int
	refusals int
}

func newOracle() *oracle {
	return &oracle{runs: make(map[int][]run), notRunReports: make(map[int][]notRunReport), finishedWith: make(map[int]serverOutcome)}
}

func (o *oracle) fail(format string, args ...any) {
	o.problems = append(o.problems, fmt.Sprintf(format, args...))
}

func (o *oracle) recordRun(key int, r run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.at = time.Now()
	o.runs[key] = append(o.runs[key], r)
}

func (o *oracle) recordNotRun(key int, v notRunReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notRunReports[key] = append(o.notRunReports[key], v)
}

// check compares the recorded events with the guarantees; see TestClaimGuarantees.
func (o *oracle) check() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, runs := range o.runs {
		if len(runs) > 1 {
			o.fail("key %d ran %d times: %+v", key, len(runs), runs)
		}
		for _, r := range runs {
			for _, v := range o.notRunReports[key] {
				if r.requestID == v.requestID || r.arrivedAt.Before(v.queriedAt) {
					o.fail("key %d: request %d was reported as not-run, peers queried at %v, but request %d, arrived at %v, ran at %v",
						key, v.requestID, v.queriedAt, r.requestID, r.arrivedAt, r.at)
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

	mu         sync.Mutex
	resumed    chan struct{} // closed unless paused
	killedAt   time.Time
	feedReadAt time.Time
	queriedAt  map[string]time.Time
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

// kill stops the gateway permanently: no goroutine of it passes a gate until the end
// of the test, and then it dispatches nothing.
func (g *gateway) kill() {
	g.pause()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killedAt = time.Now()
}

func (g *gateway) killed() bool {
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

// QueryKey implements PeerQuery. Each gateway that was alive at the last feed read
// or later must respond; one that is paused or killed does not.
func (g *gateway) QueryKey(ctx context.Context, service, key string) bool {
	g.gate()
	defer g.gate()
	g.mu.Lock()
	feedAt := g.feedReadAt
	g.mu.Unlock()
	if feedAt.IsZero() || ctx.Err() != nil {
		return false
	}
	queriedAt := time.Now()
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
	g.queriedAt[key] = queriedAt
	return true
}

// fleet is a set of gateways with one table and one fake server.
type fleet struct {
	start  time.Time
	table  *fakeTable
	oracle *oracle
	seed   uint64

	// goneOwner is the owner that counts as missing for the retention.
	goneOwner atomic.Pointer[claim.Incarnation]

	mu       sync.Mutex
	gateways []*gateway // current incarnations
	replaced []*gateway
	ended    bool
	requests sync.WaitGroup
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

// newGateway starts a gateway whose link has the given faults from its first read on.
func (f *fleet) newGateway(index int, incarnation uint64, initialFaults faults) *gateway {
	g := &gateway{fleet: f, incarnation: incarnation, resumed: make(chan struct{}), queriedAt: make(map[string]time.Time)}
	close(g.resumed)
	g.link = &link{table: f.table, gate: g.gate, faults: initialFaults}
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
			gone := f.goneOwner.Load()
			return gone != nil && owner == *gone
		},
		FeedRead: func(startedAt int64) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.feedReadAt = f.start.Add(time.Duration(startedAt) - time.Second)
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
	return append(append([]*gateway(nil), f.gateways...), f.replaced...)
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
	f.replaced = append(f.replaced, old)
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
	f.requests.Wait()
	f.stores.Wait()
	f.table.pending.Wait()
}

// isRunning reports whether a gateway may still have an effect outside of itself.
func (f *fleet) isRunning(g *gateway) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.ended && !g.killed()
}

// responseOf returns the response of the server for a key.
func responseOf(key int) *claim.RecordedResponse {
	return &claim.RecordedResponse{Status: 201, Header: map[string][]string{"X-Key": {fmt.Sprint(key)}}, Body: []byte(fmt.Sprint("booked ", key))}
}

// serve performs the steps of pkg/proxy for a call, with a gate between them.
func (f *fleet) serve(s request) claim.Decision {
	g := f.gateway(s.Gateway)
	g.gate()
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	f.oracle.mu.Lock()
	f.oracle.requests++
	r := run{requestID: f.oracle.requests, arrivedAt: time.Now()}
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
	if !f.isRunning(g) {
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
		f.oracle.refusals++
	}
	f.oracle.mu.Unlock()
	if notRun {
		g.mu.Lock()
		queriedAt := g.queriedAt[call.Key]
		g.mu.Unlock()
		if queriedAt.Before(r.arrivedAt) {
			// The peers were not queried for this request.
			queriedAt = time.Now()
		}
		f.oracle.recordNotRun(s.Key, notRunReport{requestID: r.requestID, queriedAt: queriedAt})
	}
	return decision
}

// dispatch sends a claimed call to the server and returns what Finish reports.
func (f *fleet) dispatch(g *gateway, s request, r run, ticket claim.Ticket) bool {
	g.gate()
	result := claim.Result{Kind: claim.ResultReleased}
	if g.store.MayDispatch(ticket) && s.Outcome != outcomeNotSent {
		g.gate()
		if !f.isRunning(g) {
			return false
		}
		result.Kind = f.runOnServer(s, r)
		if result.Kind == claim.ResultDone {
			result.Response = responseOf(s.Key)
			if s.Outcome == outcomeLargeResponse {
				result.Response.Body = make([]byte, claim.MaxResponseBytes+1)
			}
		}
	}
	g.gate()
	if !f.isRunning(g) {
		return false
	}
	if result.Kind != claim.ResultReleased {
		f.oracle.mu.Lock()
		f.oracle.finishedWith[s.Key] = s.Outcome
		f.oracle.mu.Unlock()
	}
	return g.store.Finish(context.Background(), ticket, result)
}

// runOnServer performs the call and returns the result that the gateway observes.
func (f *fleet) runOnServer(s request, r run) claim.ResultKind {
	time.Sleep(s.ServiceTime)
	switch s.Outcome {
	case outcomeLostBeforeRun:
		return claim.ResultUnknown
	case outcomeRunsLate:
		f.requests.Go(func() {
			time.Sleep(2 * time.Second)
			f.oracle.recordRun(s.Key, r)
		})
		return claim.ResultUnknown
	case outcomeLostAfterRun:
		f.oracle.recordRun(s.Key, r)
		return claim.ResultUnknown
	default:
		f.oracle.recordRun(s.Key, r)
		return claim.ResultDone
	}
}

// randomRequest draws a request.
func randomRequest(rng *rand.Rand, gateways, keys int) request {
	timeouts := []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 30 * time.Second}
	serviceTimes := []time.Duration{0, time.Millisecond, 100 * time.Millisecond, 5 * time.Second, 70 * time.Second}
	outcome := serverOutcome(rng.IntN(int(outcomeCount) + 4))
	if outcome >= outcomeCount {
		// Calls that are released or receive a response are the most common.
		outcome = []serverOutcome{outcomeNotSent, outcomeResponded}[rng.IntN(2)]
	}
	return request{
		Gateway:     rng.IntN(gateways),
		Key:         rng.IntN(keys),
		Timeout:     timeouts[rng.IntN(len(timeouts))],
		Shed:        rng.IntN(6) == 0,
		Outcome:     outcome,
		ServiceTime: serviceTimes[rng.IntN(len(serviceTimes))],
	}
}
