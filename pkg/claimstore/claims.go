package claimstore

import (
	"context"
	"sync"
	"time"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/platform"
)

const (
	// batchDelay and batchSize close a batch of claims.
	batchDelay = 2 * time.Millisecond
	batchSize  = 64
	// maxCommitsInFlight bounds the claim transactions under way. More than one
	// keeps a round trip of 60 ms from limiting the rate to about 1,000 claims/s.
	maxCommitsInFlight = 4
	// maxQueuedClaims bounds the calls that wait for a batch.
	maxQueuedClaims = 8192
	// commitShare is the part of the claim limit after which an unanswered write
	// is read back, in percent.
	commitShare = 60
	pollFirst   = 50 * time.Millisecond
	pollMax     = time.Second
)

// claimItem is one attempt to claim a key. Its result passes to the caller or,
// if the caller has given up before, to the background release, never to both.
type claimItem struct {
	pending claim.Pending
	// deadline ends the attempt, on the monotonic clock of the gateway.
	deadline int64
	// claimedAt is the time before the first write of the claim.
	claimedAt int64
	// unsettled says that a write of the claim may still take effect.
	unsettled bool

	mu        sync.Mutex
	abandoned bool
	decided   bool
	next      claim.Next
	done      chan struct{}
}

// claimQueue holds the claims that wait for a batch.
type claimQueue struct {
	mu       sync.Mutex
	items    []*claimItem
	inFlight map[string]bool
	commits  int
	wake     chan struct{}
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
// because a transaction holds each row once and two transactions on one row
// would only conflict. Claims whose caller has given up are returned apart.
func (q *claimQueue) take() (batch, abandoned []*claimItem) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.commits >= maxCommitsInFlight {
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
		q.commits++
	}
	return batch, abandoned
}

func (q *claimQueue) release(batch []*claimItem) {
	q.mu.Lock()
	for _, item := range batch {
		delete(q.inFlight, item.pending.RowKey)
	}
	q.commits--
	q.mu.Unlock()
	q.notify()
}

func (q *claimQueue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// underPressure reports whether claims wait longer than for their own batch.
func (q *claimQueue) underPressure() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.commits >= maxCommitsInFlight || len(q.items) >= batchSize
}

// tryClaim makes one attempt to claim the key and returns its result.
func (s *Store) tryClaim(ctx context.Context, call claim.Call, expect uint64) *claimItem {
	item := &claimItem{
		pending:  claim.NewPending(call, s.owner(s.newClaimID()), expect),
		deadline: s.config.Now() + int64(s.config.ClaimTimeout),
		done:     make(chan struct{}),
	}
	if !s.claims.add(item) {
		s.counters.queueFull.Inc()
		item.next = unavailable(claim.ReasonTooManyCalls)
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
		// The batcher may still write to the item, so the caller gets its own.
		return &claimItem{pending: item.pending, next: unavailable(claim.ReasonStoreFailed)}
	}
	return item
}

func unavailable(reason string) claim.Next {
	return claim.Next{Step: claim.StepRefuse, Decision: claim.Decision{Reason: reason}}
}

// abandon gives the item up for the caller. It reports false if the result is
// there already.
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

// decide hands the result to the caller. It reports false if the caller has
// given up.
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

// runClaims closes batches and writes them.
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
				s.settle(item, unavailable(claim.ReasonStoreFailed))
			}
			if len(batch) == 0 {
				break
			}
			s.running.Go(func() { s.writeClaims(ctx, batch) })
		}
	}
}

// fillBatch waits until a batch is full or its time is up. It reports false if
// the context ended.
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

// writeClaims writes one batch and passes on the results.
func (s *Store) writeClaims(ctx context.Context, batch []*claimItem) {
	// The work goes on when the process stops, because callers may still wait.
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
	left := time.Duration(deadline - now)
	if left <= 0 {
		for _, item := range batch {
			s.settle(item, unavailable(claim.ReasonStoreFailed))
		}
		return
	}
	result := s.commit(ctx, claim.ClaimTxn(pending, s.clock.at(now)), left*commitShare/100)
	s.counters.claimCommit(result.Status)
	for i, next := range claim.AfterCommit(pending, result) {
		if next.Step == claim.StepReadBack {
			s.readBack(ctx, batch, pending, time.Duration(deadline-s.config.Now()))
			return
		}
		s.settle(batch[i], next)
	}
}

// readBack learns what became of a batch of claims whose write was not answered.
func (s *Store) readBack(ctx context.Context, batch []*claimItem, pending []claim.Pending, left time.Duration) {
	s.counters.readBacks.Inc()
	for _, item := range batch {
		item.unsettled = true
	}
	keys := make([]string, len(pending))
	for i, p := range pending {
		keys[i] = p.RowKey
	}
	result, err := s.get(ctx, left, keys...)
	if err != nil {
		for _, item := range batch {
			s.settle(item, unavailable(claim.ReasonStoreFailed))
		}
		return
	}
	for i, next := range claim.AfterReadBack(pending, result.Rows) {
		s.settle(batch[i], next)
	}
}

// settle passes a result to the caller, queues the claim again, or has it
// withdrawn if nobody waits for it.
func (s *Store) settle(item *claimItem, next claim.Next) {
	switch next.Step {
	case claim.StepOwned:
		item.unsettled = false
		if !item.decide(next) {
			resolution := claim.Withdraw(item.pending)
			resolution.Expect = next.Version
			s.withdraw(resolution)
		}
		return
	case claim.StepWait, claim.StepDecided, claim.StepReadResponse:
		// The row belongs to another claim, so a lost write of this one can no
		// longer pass its version check.
		item.unsettled = false
	case claim.StepRetry:
		if next.Expect != item.pending.Expect {
			item.unsettled = false
		}
		item.pending.Expect = next.Expect
		if s.config.Now() < item.deadline && !item.isAbandoned() && s.claims.add(item) {
			return
		}
		next = unavailable(claim.ReasonStoreFailed)
	case claim.StepRefuse:
		if next.Decision.Reason == "" {
			next = unavailable(claim.ReasonStoreFailed)
		}
	}
	item.decide(next)
	if item.unsettled {
		s.withdraw(claim.Withdraw(item.pending))
	}
}

// withdraw releases a claim that was not and will not be dispatched.
func (s *Store) withdraw(resolution claim.Resolution) {
	s.counters.withdrawn.Inc()
	s.results.add(resolution, s.counters)
}

// awaitResolution polls a row that another claim holds until the context ends.
func (s *Store) awaitResolution(ctx context.Context, pending claim.Pending) claim.Next {
	s.counters.waits.Inc()
	for pause := pollFirst; ; pause = min(2*pause, pollMax) {
		if !sleep(ctx, pause) {
			return claim.Next{
				Step:     claim.StepDecided,
				Decision: claim.Decision{Kind: claim.Refuse, Reason: claim.ReasonInProgress},
			}
		}
		result, err := s.get(ctx, pollMax, pending.RowKey)
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

// readAnswer reads the recorded answer of a key that ran. It gives up after the
// time limit of a claim.
func (s *Store) readAnswer(ctx context.Context, pending claim.Pending) claim.Next {
	ctx, cancel := context.WithTimeout(ctx, s.config.ClaimTimeout)
	defer cancel()
	for {
		result, err := s.get(ctx, s.config.ClaimTimeout, pending.RowKey, claim.ResponseKey(pending.RowKey))
		if err == nil {
			return claim.EvaluateReplay(pending, result.Rows)
		}
		s.counters.answerReadErrors.Inc()
		if !sleep(ctx, pollFirst) {
			return claim.Next{
				Step:     claim.StepDecided,
				Decision: claim.Decision{Kind: claim.Refuse, Reason: claim.ReasonResponseUnreadable},
			}
		}
	}
}

func (s *Store) commit(ctx context.Context, txn platform.Txn, limit time.Duration) platform.CommitResult {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	result := s.config.Table.Commit(ctx, txn)
	s.clock.observe(s.config.Now(), result.Time)
	return result
}

func (s *Store) get(ctx context.Context, limit time.Duration, keys ...string) (platform.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	result, err := s.config.Table.Get(ctx, keys...)
	if err == nil {
		s.clock.observe(s.config.Now(), result.Time)
	}
	return result, err
}
