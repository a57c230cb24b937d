package claimstore

import (
	"context"
	"sync"
	"time"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/platform"
)

const (
	// A batch of claims is written after batchDelay, or earlier once it holds
	// batchSize claims.
	batchDelay = 2 * time.Millisecond
	batchSize  = 64
	// maxCommitsInFlight bounds the concurrent claim transactions. With only one, a
	// round trip of 60 ms would limit the rate to about 1,000 claims/s.
	maxCommitsInFlight = 4
	// maxQueuedClaims bounds the claims that wait for a batch.
	maxQueuedClaims = 8192
	// commitTimeoutPercent is the share of the claim timeout after which a write
	// without a response is read back.
	commitTimeoutPercent = 60
	// pollDelayMin and pollDelayMax bound the delay between reads of a row that
	// another claim holds. pollDelayMax also bounds each read.
	pollDelayMin = 50 * time.Millisecond
	pollDelayMax = time.Second
)

// claimItem is one attempt to claim a key. Its result goes to the waiting call. If the
// call no longer waits, the claim is released in the background.
type claimItem struct {
	pending claim.Pending
	// deadline ends the attempt, on the monotonic clock of the gateway.
	deadline int64
	// claimedAt is taken before the first write of the claim, on the same clock.
	claimedAt int64
	// writeInDoubt means that a write of the claim may still take effect.
	writeInDoubt bool

	mu        sync.Mutex
	abandoned bool
	decided   bool
	next      claim.Next
	done      chan struct{}
}

// claimQueue holds the claims that wait for a batch.
type claimQueue struct {
	mu    sync.Mutex
	items []*claimItem
	// inFlight holds the row keys that are being written.
	inFlight        map[string]bool
	commitsInFlight int
	wake            chan struct{}
}

func (q *claimQueue) init() {
	q.inFlight = make(map[string]bool)
	q.wake = make(chan struct{}, 1)
}

func (q *claimQueue) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *claimQueue) add(item *claimItem) bool {
	q.mu.Lock()
	if len(q.items) >= maxQueuedClaims {
		q.mu.Unlock()
		return false
	}
	q.items = append(q.items, item)
	q.mu.Unlock()
	q.notify()
	return true
}

// take removes a batch from the queue. A key that is being written stays queued,
// because a transaction may hold each row only once and two transactions on one
// row would conflict. Abandoned claims are returned separately.
func (q *claimQueue) take() (batch, abandoned []*claimItem) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.commitsInFlight >= maxCommitsInFlight {
		return nil, nil
	}
	rest := q.items[:0]
	for _, item := range q.items {
		switch {
		case item.isAbandoned():
			abandoned = append(abandoned, item)
		case len(batch) < batchSize && !q.inFlight[item.pending.RowKey]:
			q.inFlight[item.pending.RowKey] = true
			batch = append(batch, item)
		default:
			rest = append(rest, item)
		}
	}
	clear(q.items[len(rest):])
	q.items = rest
	if len(batch) > 0 {
		q.commitsInFlight++
	}
	return batch, abandoned
}

func (q *claimQueue) release(batch []*claimItem) {
	q.mu.Lock()
	for _, item := range batch {
		delete(q.inFlight, item.pending.RowKey)
	}
	q.commitsInFlight--
	q.mu.Unlock()
	q.notify()
}

func (q *claimQueue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// hasBacklog reports whether claims queue up: all commits are in use, or a full
// batch is waiting.
func (q *claimQueue) hasBacklog() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.commitsInFlight >= maxCommitsInFlight || len(q.items) >= batchSize
}

// tryClaim makes one attempt to claim the key and returns it with its result.
func (s *Store) tryClaim(ctx context.Context, call claim.Call, expect uint64) *claimItem {
	item := &claimItem{
		pending:  claim.NewPending(call, s.owner(s.newClaimID()), expect),
		deadline: s.config.Now() + int64(s.config.ClaimTimeout),
		done:     make(chan struct{}),
	}
	if !s.claims.add(item) {
		s.counters.queueFull.Inc()
		item.next = refusal(claim.ReasonTooManyCalls)
		return item
	}
	timer := time.NewTimer(s.config.ClaimTimeout)
	defer timer.Stop()
	select {
	case <-item.done:
		return item
	case <-timer.C:
	case <-ctx.Done():
	}
	if item.abandon() {
		s.counters.timedOut.Inc()
		// The batch loop may still write to the item, so a new one is returned.
		return &claimItem{pending: item.pending, next: refusal(claim.ReasonStoreFailed)}
	}
	return item
}

func refusal(reason string) claim.Next {
	return claim.Next{Step: claim.StepRefuse, Decision: claim.Decision{Reason: reason}}
}

// abandon marks the item as no longer waited for. It reports false if the result
// is available already.
func (i *claimItem) abandon() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.decided {
		return false
	}
	i.abandoned = true
	return true
}

func (i *claimItem) isAbandoned() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.abandoned
}

// decide passes the result to the waiting call. It reports false if the item was
// abandoned.
func (i *claimItem) decide(next claim.Next) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.abandoned {
		return false
	}
	i.next = next
	i.decided = true
	close(i.done)
	return true
}

// runClaims collects claims in batches and writes them.
func (s *Store) runClaims(ctx context.Context) {
	for {
		select {
		case <-s.claims.wake:
		case <-ctx.Done():
			return
		}
		if s.claims.size() == 0 {
			continue
		}
		if !s.fillBatch(ctx) {
			return
		}
		for {
			batch, abandoned := s.claims.take()
			for _, item := range abandoned {
				s.applyStep(item, refusal(claim.ReasonStoreFailed))
			}
			if len(batch) == 0 {
				break
			}
			s.running.Go(func() { s.writeClaims(ctx, batch) })
		}
	}
}

// fillBatch waits until a batch is full or batchDelay has passed. It reports false
// if the context ended.
func (s *Store) fillBatch(ctx context.Context) bool {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for s.claims.size() < batchSize {
		select {
		case <-s.claims.wake:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// writeClaims writes one batch and applies the results.
func (s *Store) writeClaims(ctx context.Context, batch []*claimItem) {
	// The write continues during a shutdown, because callers may still be waiting.
	ctx = context.WithoutCancel(ctx)
	defer s.claims.release(batch)
	now := s.config.Now()
	deadline := now
	pending := make([]claim.Pending, len(batch))
	for i, item := range batch {
		if item.claimedAt == 0 {
			item.claimedAt = now
		}
		pending[i] = item.pending
		deadline = max(deadline, item.deadline)
	}
	remaining := time.Duration(deadline - now)
	if remaining <= 0 {
		for _, item := range batch {
			s.applyStep(item, refusal(claim.ReasonStoreFailed))
		}
		return
	}
	result := s.commit(ctx, claim.ClaimTxn(pending, s.clock.estimate(now)), remaining*commitTimeoutPercent/100)
	s.counters.countClaimCommit(result.Status)
	for i, next := range claim.AfterCommit(pending, result) {
		if next.Step == claim.StepReadBack {
			s.readBack(ctx, batch, pending, time.Duration(deadline-s.config.Now()))
			return
		}
		s.applyStep(batch[i], next)
	}
}

// readBack reads the rows of a batch of claims whose write had an unknown outcome.
func (s *Store) readBack(ctx context.Context, batch []*claimItem, pending []claim.Pending, remaining time.Duration) {
	s.counters.readBacks.Inc()
	for _, item := range batch {
		item.writeInDoubt = true
	}
	keys := make([]string, len(pending))
	for i, p := range pending {
		keys[i] = p.RowKey
	}
	result, err := s.get(ctx, remaining, keys...)
	if err != nil {
		for _, item := range batch {
			s.applyStep(item, refusal(claim.ReasonStoreFailed))
		}
		return
	}
	for i, next := range claim.AfterReadBack(pending, result.Rows) {
		s.applyStep(batch[i], next)
	}
}

// applyStep passes a result to the waiting call or queues the claim again. A claim
// whose write took effect after it was abandoned, or may still take effect, is
// withdrawn.
func (s *Store) applyStep(item *claimItem, next claim.Next) {
	switch next.Step {
	case claim.StepOwned:
		item.writeInDoubt = false
		if !item.decide(next) {
			resolution := claim.Withdraw(item.pending)
			resolution.Expect = next.Version
			s.withdraw(resolution)
		}
		return
	case claim.StepWait, claim.StepDecided, claim.StepReadResponse:
		// The row belongs to another claim, so a lost write of this one can no longer
		// pass its version check.
		item.writeInDoubt = false
	case claim.StepRetry:
		if next.Expect != item.pending.Expect {
			item.writeInDoubt = false
		}
		item.pending.Expect = next.Expect
		if s.config.Now() < item.deadline && !item.isAbandoned() && s.claims.add(item) {
			return
		}
		next = refusal(claim.ReasonStoreFailed)
	case claim.StepRefuse:
		if next.Decision.Reason == "" {
			next = refusal(claim.ReasonStoreFailed)
		}
	}
	item.decide(next)
	if item.writeInDoubt {
		s.withdraw(claim.Withdraw(item.pending))
	}
}

// withdraw releases a claim that was not dispatched and must not be.
func (s *Store) withdraw(resolution claim.Resolution) {
	s.counters.withdrawn.Inc()
	s.results.add(resolution, s.counters)
}

// awaitResolution polls a row that another claim holds until the context ends.
func (s *Store) awaitResolution(ctx context.Context, pending claim.Pending) claim.Next {
	s.counters.waits.Inc()
	for delay := pollDelayMin; ; delay = min(2*delay, pollDelayMax) {
		if !sleep(ctx, delay) {
			return claim.Next{
				Step:     claim.StepDecided,
				Decision: claim.Decision{Kind: claim.Refuse, Reason: claim.ReasonInProgress},
			}
		}
		result, err := s.get(ctx, pollDelayMax, pending.RowKey)
		if err != nil {
			continue
		}
		var row platform.Row
		if len(result.Rows) > 0 {
			row = result.Rows[0]
		}
		next := claim.EvaluateRow(pending, row)
		if next.Step != claim.StepWait {
			return next
		}
	}
}

// readResponse reads the recorded response of a call that ran, with retries up to
// the claim timeout.
func (s *Store) readResponse(ctx context.Context, pending claim.Pending) claim.Next {
	ctx, cancel := context.WithTimeout(ctx, s.config.ClaimTimeout)
	defer cancel()
	for {
		result, err := s.get(ctx, s.config.ClaimTimeout, pending.RowKey, claim.ResponseKey(pending.RowKey))
		if err == nil {
			return claim.EvaluateReplay(pending, result.Rows)
		}
		s.counters.responseReadErrors.Inc()
		if !sleep(ctx, pollDelayMin) {
			return claim.Next{
				Step:     claim.StepDecided,
				Decision: claim.Decision{Kind: claim.Refuse, Reason: claim.ReasonResponseUnreadable},
			}
		}
	}
}

func (s *Store) commit(ctx context.Context, txn platform.Txn, timeout time.Duration) platform.CommitResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	newest := uint64(0)
	s.withLock(func() { newest = s.returnDetector.Newest() })
	result := s.config.Table.Commit(ctx, txn)
	s.clock.observe(s.config.Now(), result.Time)
	if result.Status == platform.CommitApplied {
		s.observeCommit(newest, result.Version)
	}
	return result
}

func (s *Store) get(ctx context.Context, timeout time.Duration, keys ...string) (platform.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := s.config.Table.Get(ctx, keys...)
	if err == nil {
		s.clock.observe(s.config.Now(), result.Time)
	}
	return result, err
}
