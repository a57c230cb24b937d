package claimstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/platform"
)

const (
	// maxResultBatch and maxResultBatchBytes bound one transaction of results. The
	// bytes are those of the answers before they are encoded.
	maxResultBatch      = 256
	maxResultBatchBytes = 4 << 20
	// maxPendingResults and maxPendingBytes bound the memory for results that wait
	// for the store. Beyond the bytes, answers are not recorded; beyond the
	// number, rows stay claimed and resends get unknown.
	maxPendingResults = 20_000
	maxPendingBytes   = 64 << 20
	resultTimeout     = 2 * time.Second
	backoffFirst      = 100 * time.Millisecond
	backoffMax        = 5 * time.Second
	// maxYield bounds how long one batch of results gives way to claims, and
	// yieldStep is how often it looks.
	maxYield  = 100 * time.Millisecond
	yieldStep = 10 * time.Millisecond
)

// resultQueue holds the resolutions that are not written yet, the batch under
// way included.
type resultQueue struct {
	mu      sync.Mutex
	waiting []claim.Resolution
	pending int
	bytes   int
	wake    chan struct{}
}

func (q *resultQueue) init() {
	q.wake = make(chan struct{}, 1)
}

func answerBytes(r claim.Resolution) int {
	if r.Response == nil {
		return 0
	}
	bytes := len(r.Response.Body)
	for name, values := range r.Response.Header {
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	return bytes
}

func (q *resultQueue) add(r claim.Resolution, counters *counters) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending >= maxPendingResults {
		counters.resultsDropped.Inc()
		return
	}
	if q.bytes+answerBytes(r) > maxPendingBytes {
		counters.answersDropped.Inc()
		r.Response = nil
	}
	q.pending++
	q.bytes += answerBytes(r)
	q.waiting = append(q.waiting, r)
	q.notify()
}

func (q *resultQueue) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take removes a batch of at most limit resolutions of different rows.
func (q *resultQueue) take(limit int) []claim.Resolution {
	q.mu.Lock()
	defer q.mu.Unlock()
	var batch []claim.Resolution
	bytes := 0
	taken := make(map[string]bool)
	rest := make([]claim.Resolution, 0, len(q.waiting))
	for i, r := range q.waiting {
		if len(batch) >= limit || (len(batch) > 0 && bytes+answerBytes(r) > maxResultBatchBytes) {
			rest = append(rest, q.waiting[i:]...)
			break
		}
		if taken[r.RowKey] {
			rest = append(rest, r)
			continue
		}
		taken[r.RowKey] = true
		bytes += answerBytes(r)
		batch = append(batch, r)
	}
	q.waiting = rest
	return batch
}

// putBack returns resolutions to the head of the queue.
func (q *resultQueue) putBack(again []claim.Resolution) {
	if len(again) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(again, q.waiting...)
}

// done forgets a resolution that was taken.
func (q *resultQueue) done(r claim.Resolution) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending--
	q.bytes -= answerBytes(r)
}

func (q *resultQueue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pending
}

// Drain waits until all results are written or ctx ends, and reports whether
// they are.
func (s *Store) Drain(ctx context.Context) bool {
	for s.results.size() > 0 {
		if !sleep(ctx, yieldStep) {
			return s.results.size() == 0
		}
	}
	return true
}

// runResults writes results in batches, one transaction at a time.
func (s *Store) runResults(ctx context.Context) {
	limit := maxResultBatch
	backoff := backoffFirst
	for {
		select {
		case <-s.results.wake:
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, batchDelay) {
			return
		}
		for {
			s.yieldToClaims(ctx)
			batch := s.results.take(limit)
			if len(batch) == 0 {
				break
			}
			outcome := s.writeResults(ctx, batch)
			switch outcome {
			case resultsWritten:
				limit, backoff = maxResultBatch, backoffFirst
				continue
			case resultsRejected:
				// Finds the one that the store does not accept.
				limit = 1
				continue
			case resultsFailed:
			}
			if !sleep(ctx, s.jitter(backoff)) {
				return
			}
			backoff = min(2*backoff, backoffMax)
		}
	}
}

// yieldToClaims lets claims go first while they queue up.
func (s *Store) yieldToClaims(ctx context.Context) {
	for waited := time.Duration(0); waited < maxYield && s.claims.underPressure(); waited += yieldStep {
		if !sleep(ctx, yieldStep) {
			return
		}
	}
}

type resultOutcome int

const (
	resultsWritten resultOutcome = iota
	resultsRejected
	resultsFailed
)

// writeResults writes one batch and puts back what must be written again.
func (s *Store) writeResults(ctx context.Context, batch []claim.Resolution) resultOutcome {
	storeTime := s.clock.at(s.config.Now())
	result := s.commit(ctx, claim.ResolutionTxn(batch, storeTime), resultTimeout)
	s.counters.resultCommit(result.Status)
	if result.Status == platform.CommitNotApplied && errors.Is(result.Err, platform.ErrProtocol) {
		if len(batch) > 1 {
			s.results.putBack(batch)
			return resultsRejected
		}
		s.counters.resultsDropped.Inc()
		s.results.done(batch[0])
		return resultsWritten
	}
	outcome := resultsWritten
	var again []claim.Resolution
	for i, next := range claim.AfterResolution(batch, result) {
		r := batch[i]
		switch next.Step {
		case claim.ResolutionRetry, claim.ResolutionRepeat:
			r.Expect = next.Expect
			again = append(again, r)
			if next.Step == claim.ResolutionRetry {
				outcome = resultsFailed
			}
		case claim.ResolutionWritten:
			s.counters.resultsWritten.Inc()
			s.results.done(r)
		case claim.ResolutionSuperseded:
			s.counters.resultsSuperseded.Inc()
			s.results.done(r)
		}
	}
	s.results.putBack(again)
	return outcome
}
