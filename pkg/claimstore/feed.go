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
	// feedPage bounds one read of the change feed, which carries about 76 bytes
	// for each key.
	feedPage = 500
	// rebuildInterval is how often the digest is rebuilt so that it forgets
	// removed rows.
	rebuildInterval = 24 * time.Hour

	// removalInterval is the mean time between passes of one gateway over all rows.
	// The jitter keeps the gateways apart.
	removalInterval = 6 * time.Hour
	// removalPage rows are read, and at most removed, in each removalPause.
	removalPage    = 100
	removalPause   = time.Second
	removalTimeout = 2 * time.Second
)

// runFeed keeps the digest up to date.
func (s *Store) runFeed(ctx context.Context) {
	rebuildAt := s.config.Now() + int64(s.jitter(rebuildInterval))
	for {
		if s.config.Now() >= rebuildAt {
			s.withLock(s.digest.Rebuild)
			rebuildAt = s.config.Now() + int64(s.jitter(rebuildInterval))
		}
		s.tick()
		if !s.claims.underPressure() {
			s.readFeed(ctx)
		}
		if !sleep(ctx, feedInterval) {
			return
		}
	}
}

// readFeed reads the change feed up to its end.
func (s *Store) readFeed(ctx context.Context) {
	begin := s.tick()
	started := s.config.Now()
	for {
		s.tick()
		position := uint64(0)
		s.withLock(func() { position = s.digest.Position() })
		result, err := s.changes(ctx, position)
		if err != nil {
			s.counters.feedErrors.Inc()
			return
		}
		ids := claim.DigestIDs(result.Rows)
		s.withLock(func() { s.digest.AddFeedPage(ids, result.Next, result.More) })
		if !result.More {
			break
		}
	}
	s.tick()
	s.withLock(func() { s.pauses.CaughtUp(begin) })
	s.counters.feedReads.Inc()
	if s.config.FeedRead != nil {
		s.config.FeedRead(started)
	}
}

// tick notes that the process runs and returns what PauseDetector.PauseCount does.
func (s *Store) tick() (begin int) {
	s.withLock(func() {
		s.pauses.Tick(s.config.Now(), wall())
		begin = s.pauses.PauseCount()
	})
	return begin
}

func (s *Store) changes(ctx context.Context, position uint64) (platform.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	result, err := s.config.Table.Changes(ctx, claim.RowPrefix, position, feedPage, platform.KeysOnly)
	if err == nil {
		s.clock.observe(s.config.Now(), result.Time)
	}
	return result, err
}

// runRemoval removes rows past their retention.
func (s *Store) runRemoval(ctx context.Context) {
	for {
		// Between half and one and a half of the mean.
		if !sleep(ctx, s.jitter(2*removalInterval)-removalInterval/2) {
			return
		}
		s.removeExpired(ctx)
	}
}

// removeExpired makes one pass over all rows. It ends early when another gateway
// removes the same rows.
func (s *Store) removeExpired(ctx context.Context) {
	after := ""
	for {
		for s.busy() {
			if !sleep(ctx, removalPause) {
				return
			}
		}
		page, err := s.scan(ctx, after)
		if err != nil || len(page.Rows) == 0 {
			return
		}
		if !s.removeFrom(ctx, page) || !page.More {
			return
		}
		after = page.Rows[len(page.Rows)-1].Key
		if !sleep(ctx, removalPause) {
			return
		}
	}
}

// busy reports whether claims or results need the store more than removal does.
func (s *Store) busy() bool {
	return s.claims.underPressure() || s.results.size() >= maxResultBatch
}

func (s *Store) scan(ctx context.Context, after string) (platform.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, removalTimeout)
	defer cancel()
	return s.config.Table.Scan(ctx, claim.RowPrefix, after, removalPage)
}

// removeFrom removes the expired rows of one page and reports whether the pass
// may go on.
func (s *Store) removeFrom(ctx context.Context, page platform.ReadResult) bool {
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
