// Package claimstore claims idempotency keys in the platform's table service and
// records how the claimed calls ended. It performs the I/O for the decisions of
// package claim.
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
	// verifyLimit bounds the verification of not-run: a read of the gateway rows
	// and a key query, 100 ms each, and a read of the claim row.
	verifyLimit = 250 * time.Millisecond
	// maxVerifications bounds the verifications under way; beyond it the outcome
	// is unknown.
	maxVerifications = 256
	// defaultClaimTimeout is used if Config.ClaimTimeout is 0.
	defaultClaimTimeout = 250 * time.Millisecond
)

// PeerQuery asks the other gateways for attempts of a key.
type PeerQuery interface {
	// QueryKey returns true only if every other gateway that this one knows to be
	// alive, or to have been alive at the last feed read, answered that it has no
	// attempt of the key.
	QueryKey(ctx context.Context, service, key string) bool
}

// Config is what a Store needs.
type Config struct {
	Table platform.Table
	// Peers answers key queries. Without it, not-run is never said of a call that
	// this gateway refused before it held the claim.
	Peers PeerQuery
	// Gateway and Incarnation identify this run of this gateway.
	Gateway     string
	Incarnation uint64
	// Now returns nanoseconds on the gateway's monotonic clock; 0 means never.
	Now func() int64
	// ClaimTimeout bounds each attempt to claim a key.
	ClaimTimeout time.Duration
	// Seed is the seed of jitter.
	Seed uint64
	// Metrics receives the counters.
	Metrics *metrics.Set
	// FeedRead is called after each read of the change feed that reached its end,
	// with the time at which the read began. Gateways that were alive since then
	// must answer key queries. It may be nil.
	FeedRead func(startedAt int64)
	// OwnerGone reports whether an incarnation of a gateway has been missing from
	// the gateway rows and the VM list for claim.Retention. Without it, claimed
	// rows are never removed.
	OwnerGone func(owner claim.Incarnation) bool
	// NoRemoval leaves the removal of old rows to other gateways. It is set where
	// reading all rows would cross the link between the regions.
	NoRemoval bool
	// KnownToPeers is closed once the other gateways know this one, which must not
	// claim before: they would not ask it before they say not-run. It may be nil.
	KnownToPeers <-chan struct{}
	// DigestKeys is the number of keys that the filters are sized for, 0 for
	// claim.DigestKeys.
	DigestKeys uint
}

// Store implements proxy.Claims. It is safe for concurrent use.
type Store struct {
	config   Config
	counters *counters
	claimSeq atomic.Uint64
	verifies atomic.Int64

	clock storeClock

	mu      sync.Mutex // guards ledger, digest, history, pauses
	ledger  *claim.OpenAttempts
	digest  *claim.Digest
	history *claim.History
	pauses  claim.PauseDetector

	randMu sync.Mutex
	rand   *rand.Rand

	claims  claimQueue
	results resultQueue
	running sync.WaitGroup
}

var _ proxy.Claims = (*Store)(nil)

// New returns a store. It does nothing until Run is called.
func New(config Config) *Store {
	if config.ClaimTimeout == 0 {
		config.ClaimTimeout = defaultClaimTimeout
	}
	if config.DigestKeys == 0 {
		config.DigestKeys = claim.DigestKeys
	}
	s := &Store{
		config:  config,
		ledger:  claim.NewOpenAttempts(),
		digest:  claim.NewDigest(config.DigestKeys),
		history: claim.NewHistory(config.Now(), config.DigestKeys),
		rand:    rand.New(rand.NewPCG(config.Seed, config.Incarnation)),
	}
	s.claims.init()
	s.results.init()
	s.counters = newCounters(config.Metrics, s)
	return s
}

// Run performs the I/O until ctx ends. Before that, Drain should have returned,
// since results that are not written leave their keys unresolved.
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
	s.withLock(func() { s.ledger.Add(id) })
	decision := s.claim(ctx, call, id)
	if decision.Kind == claim.Dispatch {
		s.counters.dispatched.Inc()
		return decision
	}
	s.withLock(func() { s.ledger.Remove(id) })
	if decision.Kind == claim.Refuse && decision.NotRun {
		// The attempt has left the ledger and cannot be dispatched any more, so two
		// refused sends of one key do not stand in each other's way.
		decision.NotRun = s.VerifyNotRun(ctx, call)
	}
	s.counters.decided(decision)
	return decision
}

// awaitIntroduction waits as long as a claim may take until the others know this
// gateway.
func (s *Store) awaitIntroduction(ctx context.Context) bool {
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

// claim returns the decision. For a refusal, NotRun asks for verification.
func (s *Store) claim(ctx context.Context, call claim.Call, id claim.ID) claim.Decision {
	if !s.awaitIntroduction(ctx) {
		return claim.Decision{Kind: claim.Refuse, NotRun: true, Reason: "this gateway has just started"}
	}
	expect := uint64(0)
	for {
		item := s.tryClaim(ctx, call, expect)
		if item.next.Step == claim.StepOwned {
			s.withLock(func() { s.ledger.AddClaim(id, item.pending.Owner.ClaimID) })
			return claim.Decision{Kind: claim.Dispatch, Ticket: ticketOf(item)}
		}
		next := item.next
		for next.Step == claim.StepWait || next.Step == claim.StepReadResponse {
			if next.Step == claim.StepWait {
				next = s.awaitResolution(ctx, item.pending)
			} else {
				next = s.readAnswer(ctx, item.pending)
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
	s.withLock(func() { owns = s.ledger.HasClaim(ticket.ClaimID) })
	if owns && claim.MayDispatch(s.config.Now(), ticket.ClaimedAt) {
		return true
	}
	s.counters.dispatchDenied.Inc()
	return false
}

// Finish implements proxy.Claims. For ResultReleased it asks the peers before it
// returns, which takes up to 250 ms: the row proves that the call did not run, but
// a send that waits on another gateway could still claim the released key.
func (s *Store) Finish(ctx context.Context, ticket claim.Ticket, result claim.Result) bool {
	id := claim.IDOf(ticket.Service, ticket.Key)
	held, others := false, false
	s.withLock(func() {
		if result.Kind != claim.ResultReleased && s.ledger.HasClaim(ticket.ClaimID) {
			s.history.Add(s.config.Now(), id)
		}
		held = s.ledger.Finish(ticket.ClaimID)
		others = s.ledger.Has(id)
	})
	if !held {
		return false
	}
	notRun := false
	if result.Kind == claim.ResultReleased && !others {
		notRun = s.verifyReleased(ctx, ticket, id)
	}
	s.counters.finished(result.Kind)
	s.results.add(claim.NewResolution(ticket, s.owner(ticket.ClaimID), result), s.counters)
	return notRun
}

func (s *Store) verifyReleased(ctx context.Context, ticket claim.Ticket, id claim.ID) bool {
	if !s.queryPeers(ctx, ticket.Service, ticket.Key) {
		return false
	}
	others := false
	s.withLock(func() { others = s.ledger.Has(id) })
	return !others
}

// VerifyNotRun implements proxy.Claims. The call must not be in the ledger.
func (s *Store) VerifyNotRun(ctx context.Context, call claim.Call) bool {
	id := claim.IDOf(call.Service, call.Key)
	ctx, cancel := context.WithTimeout(ctx, verifyLimit)
	defer cancel()
	// What was claimed before the digest's last feed read is in the digest, and
	// what was claimed later is known to a gateway that was alive at that read.
	// The row is read after the peers were asked: a gateway that claimed the key
	// and then died is not asked once a later feed read has seen its claim, and a
	// row that was read before the claim would hide it.
	evidence := s.evidence(id)
	if evidence.OtherAttempts || !evidence.DigestComplete {
		s.counters.verifiedUnknown.Inc()
		return false
	}
	if evidence.NoPeerAttempts = s.queryPeers(ctx, call.Service, call.Key); evidence.NoPeerAttempts {
		evidence = s.evidence(id)
		evidence.NoPeerAttempts = true
		evidence.RowClear = evidence.InDigest && s.rowIsClear(ctx, call)
		// The row was read without the lock.
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
// claimed. It needs one round trip within what is left of the verification's time.
func (s *Store) rowIsClear(ctx context.Context, call claim.Call) bool {
	key := claim.RowKey(call.Service, call.Key)
	result, err := s.get(ctx, verifyLimit, key)
	if err != nil || !claim.RowIsClear(call, result.Rows) {
		return false
	}
	s.counters.digestHitsCleared.Inc()
	return true
}

func (s *Store) evidence(id claim.ID) claim.Evidence {
	var e claim.Evidence
	s.withLock(func() {
		e.OtherAttempts = s.ledger.Has(id) || s.history.Has(id)
		e.DigestComplete = s.digest.Complete() && !s.pauses.Paused(s.config.Now(), wall())
		e.InDigest = s.digest.Has(id)
	})
	return e
}

func (s *Store) queryPeers(ctx context.Context, service, key string) bool {
	if s.config.Peers == nil {
		return false
	}
	if s.verifies.Add(1) > maxVerifications {
		s.verifies.Add(-1)
		s.counters.verifyQueueFull.Inc()
		return false
	}
	defer s.verifies.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, verifyLimit)
	defer cancel()
	return s.config.Peers.QueryKey(ctx, service, key)
}

// HasAttempt answers the key query of a peer: it reports whether this gateway
// holds an attempt of the key or may have dispatched one within the retention.
// Peers address a gateway by its name, so it also answers for its former
// incarnations, whose claims it knows once it has read the feed. After a pause it
// answers that there may be an attempt until it has read the feed again.
func (s *Store) HasAttempt(service, key string) bool {
	id := claim.IDOf(service, key)
	has := true
	s.withLock(func() {
		has = s.ledger.Has(id) || s.history.Has(id) || s.digest.MayInherit(id) ||
			s.pauses.Paused(s.config.Now(), wall())
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

// wall returns the wall clock, which goes on while the monotonic clock of a
// suspended VM stands still.
func wall() time.Time {
	return time.Now().Round(0)
}

// jitter returns a duration between half of d and d.
func (s *Store) jitter(d time.Duration) time.Duration {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return d/2 + time.Duration(s.rand.Int64N(int64(d/2)+1))
}

// storeClock estimates the store's clock. The estimate is never ahead of it as
// long as both clocks advance at the same rate.
type storeClock struct {
	mu       sync.Mutex
	time     time.Time
	observed int64
}

// observe takes the store's clock from an answer that arrived at now.
func (c *storeClock) observe(now int64, t time.Time) {
	if t.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.time, c.observed = t, now
}

// at returns the estimate, zero if the store has not answered yet.
func (c *storeClock) at(now int64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.time.IsZero() {
		return time.Time{}
	}
	return c.time.Add(time.Duration(now - c.observed))
}

// sleep waits and reports false if the context ended first.
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
