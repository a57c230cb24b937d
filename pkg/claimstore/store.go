// Package claimstore claims idempotency keys in the platform's table service and
// records how the claimed calls ended. It performs the I/O for the rules of package
// claim. Package proxy calls it through proxy.Claims before and after it dispatches
// a call with a key. Package claimstore dispatches nothing itself.
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
	"balsamhill/pkg/platform"
	"balsamhill/pkg/proxy"
)

const (
	// verifyTimeout bounds the verification of not-run, which consists of a read of
	// the gateway rows and a key query, 100 ms each, and a read of the claim row.
	verifyTimeout = 250 * time.Millisecond
	// maxVerifications bounds the concurrent verifications. Above it the outcome is
	// reported as unknown.
	maxVerifications = 256
	// defaultClaimTimeout is used if Config.ClaimTimeout is 0.
	defaultClaimTimeout = 250 * time.Millisecond
)

// PeerQuery queries the other gateways for attempts of a key.
type PeerQuery interface {
	// QueryKey returns true only if every other gateway that is alive in this
	// gateway's view, or was alive at its last feed read, responded that it has no
	// attempt of the key.
	QueryKey(ctx context.Context, service, key string) bool
}

// Config holds the dependencies and settings of a Store.
type Config struct {
	Table platform.Table
	// Peers sends key queries to the other gateways. Without it, a call that this
	// gateway refuses before it holds the claim is never reported as not-run.
	Peers PeerQuery
	// Gateway and Incarnation identify this run of this gateway.
	Gateway     string
	Incarnation uint64
	// Now returns nanoseconds on the gateway's monotonic clock. It never returns 0,
	// because 0 means "never".
	Now func() int64
	// ClaimTimeout bounds each attempt to claim a key.
	ClaimTimeout time.Duration
	// Seed is the seed of the random jitter.
	Seed uint64
	// Metrics is the set in which the counters are registered.
	Metrics *metrics.Set
	// FeedRead is called after each read of the change feed that reached its end,
	// with the time at which the read began. Gateways that have been alive at any
	// time since then must respond to key queries. FeedRead may be nil.
	FeedRead func(startedAt int64)
	// OwnerGone reports whether an incarnation of a gateway has been missing from
	// the gateway rows and the VM list for claim.Retention. Without it, claimed
	// rows are never removed.
	OwnerGone func(owner claim.Incarnation) bool
	// NoRemoval leaves the removal of old rows to other gateways. It is set where
	// reading all rows would cross the link between the regions.
	NoRemoval bool
	// KnownToPeers is closed once the other gateways have this one in their views.
	// Before that, this gateway must not claim keys, because the others would report
	// not-run without querying it. KnownToPeers may be nil.
	KnownToPeers <-chan struct{}
	// DigestKeys is the number of keys for which the filters are sized, 0 for
	// claim.DigestKeys.
	DigestKeys uint
}

// Store implements proxy.Claims. It is safe for concurrent use.
type Store struct {
	config        Config
	counters      *counters
	claimSeq      atomic.Uint64
	verifications atomic.Int64

	clock storeClock

	mu            sync.Mutex // guards openAttempts, digest, history, pauseDetector, returnDetector
	openAttempts  *claim.OpenAttempts
	digest        *claim.Digest
	history       *claim.History
	pauseDetector claim.PauseDetector
	// returnDetector sees the versions of commits and of the change feed.
	returnDetector claim.ReturnDetector

	randMu sync.Mutex
	rand   *rand.Rand

	claims  claimQueue
	results resultQueue
	running sync.WaitGroup
}

var _ proxy.Claims = (*Store)(nil)

// New returns a store. It writes and reads nothing in the background until Run is
// called.
func New(config Config) *Store {
	if config.ClaimTimeout == 0 {
		config.ClaimTimeout = defaultClaimTimeout
	}
	if config.DigestKeys == 0 {
		config.DigestKeys = claim.DigestKeys
	}
	s := &Store{
		config:       config,
		openAttempts: claim.NewOpenAttempts(),
		digest:       claim.NewDigest(config.DigestKeys),
		history:      claim.NewHistory(config.Now(), config.DigestKeys),
		rand:         rand.New(rand.NewPCG(config.Seed, config.Incarnation)),
	}
	s.claims.init()
	s.results.init()
	s.counters = newCounters(config.Metrics, s)
	return s
}

// Run performs the I/O until ctx ends. Call Drain before ctx ends, because results
// that are not written leave their keys claimed.
func (s *Store) Run(ctx context.Context) {
	loops := []func(context.Context){s.runClaims, s.runResults, s.runFeed}
	if !s.config.NoRemoval {
		loops = append(loops, s.runRemoval)
	}
	for _, loop := range loops {
		s.running.Go(func() { loop(ctx) })
	}
	s.running.Wait()
}

// Claim implements proxy.Claims.
func (s *Store) Claim(ctx context.Context, call claim.Call) claim.Decision {
	id := claim.IDOf(call.Service, call.Key)
	s.withLock(func() { s.openAttempts.Add(id) })
	decision := s.claim(ctx, call, id)
	if decision.Kind == claim.Dispatch {
		s.counters.dispatched.Inc()
		return decision
	}
	s.withLock(func() { s.openAttempts.Remove(id) })
	if decision.Kind == claim.Refuse && decision.NotRun {
		// The attempt is no longer open and cannot be dispatched any more, so two
		// refused requests with one key do not count as evidence against each other.
		decision.NotRun = s.VerifyNotRun(ctx, call)
	}
	s.counters.countDecision(decision)
	return decision
}

// awaitKnownToPeers waits until peers know this gateway, at most for the claim
// timeout, and reports whether they do.
func (s *Store) awaitKnownToPeers(ctx context.Context) bool {
	if s.config.KnownToPeers == nil {
		return true
	}
	timer := time.NewTimer(s.config.ClaimTimeout)
	defer timer.Stop()
	select {
	case <-s.config.KnownToPeers:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// claim returns the decision. In a refusal, NotRun means that not-run is possible
// and must be verified.
func (s *Store) claim(ctx context.Context, call claim.Call, id claim.ID) claim.Decision {
	if !s.awaitKnownToPeers(ctx) {
		return claim.Decision{Kind: claim.Refuse, NotRun: true, Reason: "this gateway has just started"}
	}
	expect := uint64(0)
	claimedBefore := s.mayBeClaimed(id)
	for {
		item := s.tryClaim(ctx, call, expect)
		if item.next.Step == claim.StepOwned && claimedBefore && item.pending.Expect == 0 && s.mayLackRows() {
			s.resolveLostClaim(item)
			return claim.Decision{Kind: claim.Refuse, Reason: claim.ReasonMayHaveRun}
		}
		if item.next.Step == claim.StepOwned {
			s.withLock(func() { s.openAttempts.AddClaim(id, item.pending.Owner.ClaimID) })
			return claim.Decision{Kind: claim.Dispatch, Ticket: ticketOf(item)}
		}
		next := item.next
		for next.Step == claim.StepWait || next.Step == claim.StepReadResponse {
			if next.Step == claim.StepWait {
				next = s.awaitResolution(ctx, item.pending)
			} else {
				next = s.readResponse(ctx, item.pending)
			}
		}
		switch next.Step {
		case claim.StepDecided:
			return next.Decision
		case claim.StepRetry:
			expect = next.Expect
		case claim.StepRefuse:
			return claim.Decision{Kind: claim.Refuse, NotRun: true, Reason: next.Decision.Reason}
		default:
			return claim.Decision{Kind: claim.Refuse, Reason: claim.ReasonMayHaveRun}
		}
	}
}

func ticketOf(item *claimItem) claim.Ticket {
	return claim.Ticket{
		Service:     item.pending.Call.Service,
		Key:         item.pending.Call.Key,
		ClaimID:     item.pending.Owner.ClaimID,
		ClaimedAt:   item.claimedAt,
		RowVersion:  item.next.Version,
		Fingerprint: item.pending.Call.Fingerprint,
	}
}

// MayDispatch implements proxy.Claims.
func (s *Store) MayDispatch(ticket claim.Ticket) bool {
	owns := false
	s.withLock(func() { owns = s.openAttempts.HasClaim(ticket.ClaimID) })
	if owns && claim.MayDispatch(s.config.Now(), ticket.ClaimedAt) {
		return true
	}
	s.counters.dispatchDenied.Inc()
	return false
}

// Finish implements proxy.Claims. For ResultReleased it queries the peers before it
// returns, which takes up to 250 ms. No other gateway ran the call while this one
// held the claim, but a request that waits on another gateway could claim the key
// once it is released.
func (s *Store) Finish(ctx context.Context, ticket claim.Ticket, result claim.Result) bool {
	id := claim.IDOf(ticket.Service, ticket.Key)
	held, others := false, false
	s.withLock(func() {
		if result.Kind != claim.ResultReleased && s.openAttempts.HasClaim(ticket.ClaimID) {
			s.history.Add(s.config.Now(), id)
		}
		held = s.openAttempts.Finish(ticket.ClaimID)
		others = s.openAttempts.Has(id)
	})
	if !held {
		return false
	}
	notRun := false
	if result.Kind == claim.ResultReleased && !others {
		notRun = s.verifyReleased(ctx, ticket, id)
	}
	s.counters.countResult(result.Kind)
	s.results.add(claim.NewResolution(ticket, s.owner(ticket.ClaimID), result), s.counters)
	return notRun
}

func (s *Store) verifyReleased(ctx context.Context, ticket claim.Ticket, id claim.ID) bool {
	if !s.queryPeers(ctx, ticket.Service, ticket.Key) {
		return false
	}
	others := false
	s.withLock(func() { others = s.openAttempts.Has(id) })
	return !others
}

// VerifyNotRun implements proxy.Claims. The call must not be an open attempt.
func (s *Store) VerifyNotRun(ctx context.Context, call claim.Call) bool {
	id := claim.IDOf(call.Service, call.Key)
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	// A key that was claimed before the digest's last feed read is in the digest,
	// and a key that was claimed later is held by a gateway that was alive at that
	// read or since. The row is read after the peers were queried: a gateway that
	// claimed the key and then died is not queried once a later feed read has
	// returned its claim, and a row that was read before the claim would miss it.
	evidence := s.evidence(id)
	if evidence.OtherAttempts || !evidence.DigestComplete {
		s.counters.verifiedUnknown.Inc()
		return false
	}
	if evidence.NoPeerAttempts = s.queryPeers(ctx, call.Service, call.Key); evidence.NoPeerAttempts {
		evidence = s.evidence(id)
		evidence.NoPeerAttempts = true
		evidence.RowClear = evidence.InDigest && !s.mayLackRows() && s.rowIsClear(ctx, call)
		// The row was read without the lock, so another attempt may have started.
		evidence.OtherAttempts = s.evidence(id).OtherAttempts
	}
	if !claim.MayReportNotRun(evidence) {
		s.counters.verifiedUnknown.Inc()
		return false
	}
	s.counters.verifiedNotRun.Inc()
	return true
}

// rowIsClear reads the claim row and reports whether it shows that the key is not
// claimed. The read must fit into the remaining time of the verification.
func (s *Store) rowIsClear(ctx context.Context, call claim.Call) bool {
	key := claim.RowKey(call.Service, call.Key)
	result, err := s.get(ctx, verifyTimeout, key)
	if err != nil || !claim.RowIsClear(call, result.Rows) {
		return false
	}
	s.counters.digestHitsCleared.Inc()
	return true
}

func (s *Store) evidence(id claim.ID) claim.Evidence {
	var e claim.Evidence
	s.withLock(func() {
		e.OtherAttempts = s.openAttempts.Has(id) || s.history.Has(id)
		e.DigestComplete = s.digest.Complete() && !s.pauseDetector.Paused(s.config.Now(), wallClock())
		e.InDigest = s.digest.Has(id)
	})
	return e
}

func (s *Store) queryPeers(ctx context.Context, service, key string) bool {
	if s.config.Peers == nil {
		return false
	}
	if s.verifications.Add(1) > maxVerifications {
		s.verifications.Add(-1)
		s.counters.verificationsRefused.Inc()
		return false
	}
	defer s.verifications.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	return s.config.Peers.QueryKey(ctx, service, key)
}

// HasAttempt handles the key query of a peer: it reports whether this gateway has an
// open attempt of the key or may have dispatched one within the retention. Peers
// address a gateway by its name, so the result includes its former incarnations,
// whose claims are known once the feed has been read. Before that, and after a pause
// until the feed has been read again, it reports that there may be an attempt.
func (s *Store) HasAttempt(service, key string) bool {
	id := claim.IDOf(service, key)
	has := true
	s.withLock(func() {
		has = s.openAttempts.Has(id) || s.history.Has(id) || s.digest.MayBeInFirstRead(id) ||
			s.pauseDetector.Paused(s.config.Now(), wallClock())
	})
	return has
}

func (s *Store) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *Store) owner(claimID string) claim.Owner {
	return claim.Owner{Gateway: s.config.Gateway, Incarnation: s.config.Incarnation, ClaimID: claimID}
}

func (s *Store) newClaimID() string {
	return fmt.Sprintf("%s/%d/%d", s.config.Gateway, s.config.Incarnation, s.claimSeq.Add(1))
}

// wallClock returns the wall clock, which advances while the monotonic clock of a
// suspended VM stands still.
func wallClock() time.Time {
	return time.Now().Round(0)
}

// jitter returns a random duration between half of d and d.
func (s *Store) jitter(d time.Duration) time.Duration {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return d/2 + time.Duration(s.rand.Int64N(int64(d/2)+1))
}

// storeClock estimates the store's clock from the times in its responses. The estimate
// lags by the time that the response took to arrive; it is never ahead of the store's
// clock as long as both clocks advance at the same rate.
type storeClock struct {
	mu         sync.Mutex
	storeTime  time.Time
	observedAt int64
}

// observe records the store's clock from a response that arrived at now.
func (c *storeClock) observe(now int64, t time.Time) {
	if t.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeTime, c.observedAt = t, now
}

// estimate returns the estimated store time at now, zero if the store has not
// responded yet.
func (c *storeClock) estimate(now int64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeTime.IsZero() {
		return time.Time{}
	}
	return c.storeTime.Add(time.Duration(now - c.observedAt))
}

// sleep waits for d and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
