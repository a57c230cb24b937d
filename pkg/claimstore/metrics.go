package claimstore

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/platform"
)

// counters holds the metrics of claims. In the metric names, which must not change,
// ledger stands for the open attempts and answer for a response.
type counters struct {
	dispatched           *metrics.Counter
	dispatchDenied       *metrics.Counter
	replayed             *metrics.Counter
	ran                  *metrics.Counter
	mismatched           *metrics.Counter
	refusedNotRun        *metrics.Counter
	refusedUnknown       *metrics.Counter
	timedOut             *metrics.Counter
	queueFull            *metrics.Counter
	waits                *metrics.Counter
	readBacks            *metrics.Counter
	withdrawn            *metrics.Counter
	verifiedNotRun       *metrics.Counter
	verifiedUnknown      *metrics.Counter
	verificationsRefused *metrics.Counter
	digestHitsCleared    *metrics.Counter
	resultsWritten       *metrics.Counter
	resultsSuperseded    *metrics.Counter
	resultsDropped       *metrics.Counter
	responsesDropped     *metrics.Counter
	responseReadErrors   *metrics.Counter
	feedReads            *metrics.Counter
	feedErrors           *metrics.Counter
	rowsRemoved          *metrics.Counter
	storeReturns         *metrics.Counter
	lostClaims           *metrics.Counter
	results              map[claim.ResultKind]*metrics.Counter
	claimCommits         map[platform.CommitStatus]*metrics.Counter
	resultCommits        map[platform.CommitStatus]*metrics.Counter
}

func newCounters(set *metrics.Set, s *Store) *counters {
	decision := func(name string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("balsamhill_claims_total{outcome=%q}", name))
	}
	commits := func(kind string) map[platform.CommitStatus]*metrics.Counter {
		byStatus := make(map[platform.CommitStatus]*metrics.Counter)
		for _, status := range []platform.CommitStatus{
			platform.CommitUnknown, platform.CommitApplied, platform.CommitConflict, platform.CommitNotApplied,
		} {
			byStatus[status] = set.NewCounter(fmt.Sprintf("balsamhill_claim_commits_total{kind=%q,status=%q}", kind, status))
		}
		return byStatus
	}
	result := func(name string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("balsamhill_claim_results_total{kind=%q}", name))
	}
	set.NewGauge("balsamhill_claim_results_pending", func() float64 { return float64(s.results.size()) })
	set.NewGauge("balsamhill_claim_ledger_keys", func() float64 {
		keys := 0
		s.withLock(func() { keys = s.openAttempts.Len() })
		return float64(keys)
	})
	return &counters{
		dispatched:           decision("dispatch"),
		replayed:             decision("replay"),
		ran:                  decision("ran"),
		mismatched:           decision("mismatch"),
		refusedNotRun:        decision("refused_not_run"),
		refusedUnknown:       decision("refused_unknown"),
		dispatchDenied:       set.NewCounter("balsamhill_claim_dispatch_denied_total"),
		timedOut:             set.NewCounter("balsamhill_claim_timeouts_total"),
		queueFull:            set.NewCounter("balsamhill_claim_queue_full_total"),
		waits:                set.NewCounter("balsamhill_claim_waits_total"),
		readBacks:            set.NewCounter("balsamhill_claim_read_backs_total"),
		withdrawn:            set.NewCounter("balsamhill_claims_withdrawn_total"),
		verifiedNotRun:       set.NewCounter(`balsamhill_not_run_verifications_total{outcome="not_run"}`),
		verifiedUnknown:      set.NewCounter(`balsamhill_not_run_verifications_total{outcome="unknown"}`),
		verificationsRefused: set.NewCounter("balsamhill_not_run_verification_queue_full_total"),
		digestHitsCleared:    set.NewCounter("balsamhill_claim_digest_hits_cleared_total"),
		resultsWritten:       set.NewCounter("balsamhill_claim_results_written_total"),
		resultsSuperseded:    set.NewCounter("balsamhill_claim_results_superseded_total"),
		resultsDropped:       set.NewCounter("balsamhill_claim_results_dropped_total"),
		responsesDropped:     set.NewCounter("balsamhill_claim_answers_dropped_total"),
		responseReadErrors:   set.NewCounter("balsamhill_claim_answer_read_errors_total"),
		feedReads:            set.NewCounter("balsamhill_claim_feed_reads_total"),
		feedErrors:           set.NewCounter("balsamhill_claim_feed_errors_total"),
		rowsRemoved:          set.NewCounter("balsamhill_claim_rows_removed_total"),
		storeReturns:         set.NewCounter("balsamhill_claim_store_returns_total"),
		lostClaims:           set.NewCounter("balsamhill_claim_lost_total"),
		results: map[claim.ResultKind]*metrics.Counter{
			claim.ResultUnknown:  result("unknown"),
			claim.ResultReleased: result("released"),
			claim.ResultDone:     result("done"),
		},
		claimCommits:  commits("claim"),
		resultCommits: commits("result"),
	}
}

func (c *counters) countDecision(decision claim.Decision) {
	switch {
	case decision.Kind == claim.Replay:
		c.replayed.Inc()
	case decision.Kind == claim.Ran:
		c.ran.Inc()
	case decision.Kind == claim.Mismatch:
		c.mismatched.Inc()
	case decision.NotRun:
		c.refusedNotRun.Inc()
	default:
		c.refusedUnknown.Inc()
	}
}

func (c *counters) countResult(kind claim.ResultKind) {
	c.results[kind].Inc()
}

func (c *counters) countClaimCommit(status platform.CommitStatus) {
	c.claimCommits[status].Inc()
}

func (c *counters) countResultCommit(status platform.CommitStatus) {
	c.resultCommits[status].Inc()
}
