package claimstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/platform"
)

// TestClearRowOverrulesDigestHit guards against reporting unknown for a released key
// or a false positive of the digest while the store responds, against reporting
// not-run for a key whose row cannot be read, and against a verification that takes
// longer than verifyTimeout.
func TestClearRowOverrulesDigestHit(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		store := f.gateway(0).store
		for _, key := range []string{"released", "claimed"} {
			decision := f.claim(1, key, time.Second)
			assert.Equal(t, decision.Kind, claim.Dispatch)
			if key == "released" {
				f.gateway(1).store.Finish(t.Context(), decision.Ticket, claim.Result{Kind: claim.ResultReleased})
			}
		}
		assert.Assert(t, f.gateway(1).store.Drain(t.Context()))
		time.Sleep(2 * feedInterval)
		store.withLock(func() { store.digest.Add(claim.IDOf(service, "false positive")) })
		for _, key := range []string{"released", "claimed", "false positive"} {
			assert.Assert(t, store.evidence(claim.IDOf(service, key)).InDigest)
		}
		assert.Assert(t, store.VerifyNotRun(t.Context(), callOf("released")))
		assert.Assert(t, store.VerifyNotRun(t.Context(), callOf("false positive")))
		assert.Assert(t, !store.VerifyNotRun(t.Context(), callOf("claimed")))
		for _, failing := range []faults{{Down: 100}, {ReadFail: 100}, {SlowMillis: 10_000}} {
			f.gateway(0).link.set(failing)
			started := time.Now()
			assert.Assert(t, !store.VerifyNotRun(t.Context(), callOf("released")))
			assert.Assert(t, time.Since(started) <= verifyTimeout)
		}
	})
}

// claimingPeers are peers of which one claims the key, dispatches and dies before
// the others are queried. It is not queried, because a feed read that began after
// its death has returned the claim.
type claimingPeers struct {
	table   *fakeTable
	pending claim.Pending
}

func (p claimingPeers) QueryKey(context.Context, string, string) bool {
	p.table.apply(claim.ClaimTxn([]claim.Pending{p.pending}, time.Now()))
	return true
}

// TestRowIsReadAfterPeersRespond guards against reading the row of a digest hit
// before the peers are queried, which misses a claim whose owner died in between.
func TestRowIsReadAfterPeersRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable(1)
		call := callOf("k")
		config := newTestConfig()
		config.Table = &link{table: table, gate: func() {}}
		config.Peers = claimingPeers{table, claim.NewPending(call, claim.Owner{Gateway: "g1", ClaimID: "1"}, 0)}
		store := New(config)
		store.digest.AddFeedPage([]claim.ID{claim.IDOf(service, "k")}, 1, false)
		assert.Assert(t, !store.VerifyNotRun(t.Context(), call))
	})
}

// TestRestartedGatewayReportsFormerClaims guards against a restarted gateway that
// reports no attempt for its former incarnation before it has read that one's
// claims from the feed, or that ignores them afterwards.
func TestRestartedGatewayReportsFormerClaims(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		assert.Equal(t, f.claim(1, "k", time.Second).Kind, claim.Dispatch)
		f.gateway(1).link.set(faults{ReadFail: 100})
		f.restart(1)
		time.Sleep(10 * time.Second)
		restarted := f.gateway(1).store
		assert.Assert(t, restarted.HasAttempt(service, "free"))
		f.gateway(1).link.set(faults{})
		time.Sleep(10 * time.Second)
		assert.Assert(t, !restarted.HasAttempt(service, "free"))
		assert.Assert(t, restarted.HasAttempt(service, "k"))
		assert.Equal(t, f.claim(0, "later", time.Second).Kind, claim.Dispatch)
		time.Sleep(2 * feedInterval)
		assert.Assert(t, !restarted.HasAttempt(service, "later"))
	})
}

// TestResumedGatewayReadsFeedFirst guards against a gateway that was paused for
// hours while its clock stood still and that responds to key queries, or reports
// not-run, from its state before the pause.
func TestResumedGatewayReadsFeedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable(1)
		access := &link{table: table, gate: func() {}}
		config := newTestConfig()
		config.Table = access
		config.Peers = peersWithoutAttempts{}
		store := New(config)
		store.readFeed(t.Context())
		assert.Assert(t, !store.HasAttempt(service, "k"))
		assert.Assert(t, store.VerifyNotRun(t.Context(), callOf("k")))

		// The gateway is paused in the middle of a read.
		access.gate = func() { time.Sleep(time.Hour) }
		store.readFeed(t.Context())
		access.gate = func() {}
		assert.Assert(t, store.HasAttempt(service, "k"))
		store.readFeed(t.Context())
		assert.Assert(t, !store.HasAttempt(service, "k"))

		time.Sleep(3 * time.Hour)
		assert.Assert(t, store.HasAttempt(service, "k"))
		assert.Assert(t, !store.VerifyNotRun(t.Context(), callOf("k")))
		access.set(faults{ReadFail: 100})
		store.readFeed(t.Context())
		assert.Assert(t, !store.VerifyNotRun(t.Context(), callOf("k")), "the feed was not read")
		access.set(faults{})
		other := claim.NewPending(callOf("k"), claim.Owner{Gateway: "new", ClaimID: "1"}, 0)
		result := table.apply(claim.ClaimTxn([]claim.Pending{other}, time.Now()))
		assert.Equal(t, result.Status, platform.CommitApplied)
		store.readFeed(t.Context())
		assert.Assert(t, !store.HasAttempt(service, "k"))
		assert.Assert(t, !store.VerifyNotRun(t.Context(), callOf("k")))
		assert.Assert(t, store.VerifyNotRun(t.Context(), callOf("free")))
	})
}

// TestFinishEndsWithItsContext guards against a canceled call that still waits for
// the peers, and against losing its result.
func TestFinishEndsWithItsContext(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		decision := f.claim(0, "k", time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		started := time.Now()
		assert.Assert(t, !f.gateway(0).store.Finish(ctx, decision.Ticket, claim.Result{Kind: claim.ResultReleased}))
		assert.Equal(t, time.Since(started), time.Duration(0))
		assert.Assert(t, f.gateway(0).store.Drain(t.Context()))
		assert.Equal(t, f.row(t, "k").State, claim.StateReleased)
	})
}
