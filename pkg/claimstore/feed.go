package claimstore

import (
	"context"
	"time"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/platform"
)

const (
	feedInterval = time.Second
	feedTimeout  = time.Second
	// feedPageRows bounds one read of the change feed, which returns about 76 bytes
	// for each key.
	feedPageRows = 500
	// rebuildInterval is the time between rebuilds of the digest, which drop the
	// keys of removed rows.
	rebuildInterval = 24 * time.Hour

	// removalInterval is the mean time between passes of one gateway over all rows.
	// Jitter spreads the passes of the gateways.
	removalInterval = 6 * time.Hour
	// A pass reads removalPageRows rows, removes the expired ones and then waits for
	// removalPause.
	removalPageRows = 100
	removalPause    = time.Second
	removalTimeout  = 2 * time.Second
)

// runFeed reads the change feed into the digest periodically.
func (s *Store) runFeed(ctx context.Context) {
	rebuildAt := s.config.Now() + int64(s.jitter(rebuildInterval))
	for {
		if s.config.Now() >= rebuildAt && !s.mayLackRows() {
			s.withLock(s.digest.Rebuild)
			rebuildAt = s.config.Now() + int64(s.jitter(rebuildInterval))
		}
		s.recordTick()
		if !s.claims.hasBacklog() {
			s.readFeed(ctx)
		}
		if !sleep(ctx, feedInterval) {
			return
		}
	}
}

// readFeed reads the change feed up to its end.
func (s *Store) readFeed(ctx context.Context) {
	pauseCount := s.recordTick()
	started := s.config.Now()
	for {
		s.recordTick()
		position := uint64(0)
		s.withLock(func() { position = s.digest.Position() })
		result, err := s.changes(ctx, position)
		if err != nil {
			s.counters.feedErrors.Inc()
			return
		}
		ids := claim.DigestIDs(result.Rows)
		s.withLock(func() {
			if s.returnDetector.ObserveRead(s.config.Now(), position, result.Next) {
				s.recordReturn()
			}
			if s.digest.Position() == position {
				s.digest.AddFeedPage(ids, result.Next, result.More)
			}
		})
		if !result.More {
			break
		}
	}
	s.recordTick()
	s.withLock(func() { s.pauseDetector.CaughtUp(pauseCount) })
	s.counters.feedReads.Inc()
	if s.config.FeedRead != nil {
		s.config.FeedRead(started)
	}
}

// recordTick records that the process is running and returns the number of pauses
// detected so far; see claim.PauseDetector.
func (s *Store) recordTick() (pauseCount int) {
	s.withLock(func() {
		s.pauseDetector.Tick(s.config.Now(), wallClock())
		pauseCount = s.pauseDetector.PauseCount()
	})
	return pauseCount
}

func (s *Store) changes(ctx context.Context, position uint64) (platform.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	result, err := s.config.Table.Changes(ctx, claim.RowPrefix, position, feedPageRows, platform.KeysOnly)
	if err == nil {
		s.clock.observe(s.config.Now(), result.Time)
	}
	return result, err
}

// runRemoval removes rows past their retention.
func (s *Store) runRemoval(ctx context.Context) {
	for {
		// The delay is between 0.5 and 1.5 times the mean.
		if !sleep(ctx, s.jitter(2*removalInterval)-removalInterval/2) {
			return
		}
		s.removeExpired(ctx)
	}
}

// removeExpired makes one pass over all rows. It stops early after an error, or if
// another gateway removes the same rows.
func (s *Store) removeExpired(ctx context.Context) {
	after := ""
	for {
		for s.storeIsBusy() {
			if !sleep(ctx, removalPause) {
				return
			}
		}
		page, err := s.scan(ctx, after)
		if err != nil || len(page.Rows) == 0 {
			return
		}
		if !s.removeExpiredRows(ctx, page) || !page.More {
			return
		}
		after = page.Rows[len(page.Rows)-1].Key
		if !sleep(ctx, removalPause) {
			return
		}
	}
}

// storeIsBusy reports whether removal must wait because claims or results queue up.
func (s *Store) storeIsBusy() bool {
	return s.claims.hasBacklog() || s.results.size() >= maxResultBatch
}

func (s *Store) scan(ctx context.Context, after string) (platform.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, removalTimeout)
	defer cancel()
	return s.config.Table.Scan(ctx, claim.RowPrefix, after, removalPageRows)
}

// removeExpiredRows removes the expired rows of one page and reports whether the
// pass may continue.
func (s *Store) removeExpiredRows(ctx context.Context, page platform.ReadResult) bool {
	txn := claim.RemovalTxn(page.Rows, page.Time, s.ownerGone)
	if len(txn.Writes) == 0 {
		return true
	}
	result := s.commit(ctx, txn, removalTimeout)
	if result.Status != platform.CommitApplied {
		return false
	}
	s.counters.rowsRemoved.Add(len(txn.Checks))
	return true
}

func (s *Store) ownerGone(row claim.Row) bool {
	if row.State != claim.StateClaimed || s.config.OwnerGone == nil {
		return false
	}
	return s.config.OwnerGone(claim.Incarnation{Gateway: row.Owner.Gateway, Number: row.Owner.Incarnation})
}
