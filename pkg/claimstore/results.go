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
	// bytes are those of the responses before encoding.
	maxResultBatch      = 256
	maxResultBatchBytes = 4 << 20
	// maxPendingResults and maxPendingBytes bound the memory for results that wait
	// for the store. Above maxPendingBytes, responses are not recorded. Above
	// maxPendingResults, results are dropped: their rows stay claimed, and callers
	// that repeat the request receive the outcome unknown.
	maxPendingResults = 20_000
	maxPendingBytes   = 64 << 20
	resultTimeout     = 2 * time.Second
	backoffMin        = 100 * time.Millisecond
	backoffMax        = 5 * time.Second
	// maxYield bounds how long one batch of results waits for queued claims, and
	// yieldStep is the interval at which it checks the queue.
	maxYield  = 100 * time.Millisecond
	yieldStep = 10 * time.Millisecond
)

// resultQueue holds the resolutions that are not written yet, including the batch
// that is being written.
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

func responseBytes(r claim.Resolution) int {
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
	if q.bytes+responseBytes(r) > maxPendingBytes {
		counters.responsesDropped.Inc()
		r.Response = nil
	}
	q.pending++
	q.bytes += responseBytes(r)
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
		if len(batch) >= limit || (len(batch) > 0 && bytes+responseBytes(r) > maxResultBatchBytes) {
			rest = append(rest, q.waiting[i:]...)
			break
		}
		if taken[r.RowKey] {
			rest = append(rest, r)
			continue
		}
		taken[r.RowKey] = true
		bytes += responseBytes(r)
		batch = append(batch, r)
	}
	q.waiting = rest
	return batch
}

// putBack inserts resolutions at the head of the queue.
func (q *resultQueue) putBack(retries []claim.Resolution) {
	if len(retries) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(retries, q.waiting...)
}

// remove subtracts a taken resolution, which needs no further write, from the totals.
func (q *resultQueue) remove(r claim.Resolution) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending--
	q.bytes -= responseBytes(r)
}

func (q *resultQueue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pending
}

// Drain waits until all results are written or ctx ends. It reports whether all
// are written.
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
	backoff := backoffMin
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
				limit, backoff = maxResultBatch, backoffMin
				continue
			case resultsRejected:
				// Single writes isolate the result that the store rejects.
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

// yieldToClaims waits while claims queue up, at most for maxYield.
func (s *Store) yieldToClaims(ctx context.Context) {
	for waited := time.Duration(0); waited < maxYield && s.claims.hasBacklog(); waited += yieldStep {
		if !sleep(ctx, yieldStep) {
			return
		}
	}
}

type resultOutcome int

const (
	// resultsWritten means that the next batch may be written at once. Some results of
	// the batch may have been dropped or put back into the queue.
	resultsWritten resultOutcome = iota
	resultsRejected
	resultsFailed
)

// writeResults writes one batch and puts the results that must be written again
// back into the queue.
func (s *Store) writeResults(ctx context.Context, batch []claim.Resolution) resultOutcome {
	storeTime := s.clock.estimate(s.config.Now())
	result := s.commit(ctx, claim.ResolutionTxn(batch, storeTime), resultTimeout)
	s.counters.countResultCommit(result.Status)
	if result.Status == platform.CommitNotApplied && errors.Is(result.Err, platform.ErrProtocol) {
		if len(batch) > 1 {
			s.results.putBack(batch)
			return resultsRejected
		}
		s.counters.resultsDropped.Inc()
		s.results.remove(batch[0])
		return resultsWritten
	}
	outcome := resultsWritten
	var retries []claim.Resolution
	for i, next := range claim.AfterResolution(batch, result) {
		r := batch[i]
		switch next.Step {
		case claim.ResolutionRetryLater, claim.ResolutionRetryNow:
			r.Expect = next.Expect
			retries = append(retries, r)
			if next.Step == claim.ResolutionRetryLater {
				outcome = resultsFailed
			}
		case claim.ResolutionWritten:
			s.counters.resultsWritten.Inc()
			s.results.remove(r)
		case claim.ResolutionSuperseded:
			s.counters.resultsSuperseded.Inc()
			s.results.remove(r)
		}
	}
	s.results.putBack(retries)
	return outcome
}
