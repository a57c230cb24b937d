package claimstore

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/platform"
)

// inFleet runs a test in a synctest bubble on a fleet whose digests are complete.
func inFleet(t *testing.T, gateways int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(gateways, 1)
		time.Sleep(100 * time.Millisecond)
		test(t, f)
		f.stopAll()
	})
}

func callOf(key string) claim.Call {
	return claim.Call{Service: service, Key: key, Fingerprint: 1}
}

func (f *fleet) claim(index int, key string, limit time.Duration) claim.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return f.gateway(index).store.Claim(ctx, callOf(key))
}

func (f *fleet) row(t *testing.T, key string) claim.Row {
	t.Helper()
	rowKey := claim.RowKey(service, key)
	found := f.table.get(rowKey)
	assert.Equal(t, len(found.Rows), 1)
	row, err := claim.DecodeRow(found.Rows[0].Value)
	assert.NilError(t, err)
	return row
}

// TestRefusalIsNotRun guards against reporting unknown while the store is down and
// no gateway holds the key, and against reporting not-run while a peer does not
// respond, holds the key or ran it.
func TestRefusalIsNotRun(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		g := f.gateway(0)
		g.link.set(faults{Down: 100})
		decision := f.claim(0, "free", time.Second)
		assert.Equal(t, decision.Kind, claim.Refuse)
		assert.Assert(t, decision.NotRun)
		assert.Assert(t, g.store.VerifyNotRun(t.Context(), callOf("free")))

		held := f.claim(1, "held", time.Second)
		assert.Equal(t, held.Kind, claim.Dispatch)
		assert.Assert(t, !f.claim(0, "held", time.Second).NotRun)
		f.gateway(1).store.Finish(context.Background(), held.Ticket, claim.Result{Kind: claim.ResultDone, Response: responseOf(1)})
		assert.Assert(t, !f.claim(0, "held", time.Second).NotRun, "the peer lost the record that it ran the key")

		f.gateway(1).pause()
		assert.Assert(t, !f.claim(0, "free", time.Second).NotRun)
		f.gateway(1).resume()
	})
}

// peersWithoutAttempts is a PeerQuery whose peers have no attempts.
type peersWithoutAttempts struct{}

func (peersWithoutAttempts) QueryKey(context.Context, string, string) bool { return true }

// TestIncompleteDigestForbidsNotRun guards against a gateway that has just started
// and reports not-run for keys that were claimed before.
func TestIncompleteDigestForbidsNotRun(t *testing.T) {
	config := newTestConfig()
	config.Peers = peersWithoutAttempts{}
	config.Table = &link{table: newFakeTable(1), gate: func() {}, faults: faults{Down: 100}}
	store := New(config)
	assert.Assert(t, !store.VerifyNotRun(t.Context(), callOf("k")))
	store.digest.AddFeedPage(nil, 1, false)
	assert.Assert(t, store.VerifyNotRun(t.Context(), callOf("k")))
	store.digest.AddFeedPage([]claim.ID{claim.IDOf(service, "k")}, 2, false)
	assert.Assert(t, !store.VerifyNotRun(t.Context(), callOf("k")))
}

// TestOwnAttemptForbidsNotRun guards against reporting not-run while another request
// with the key is in progress on the same gateway.
func TestOwnAttemptForbidsNotRun(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		store := f.gateway(0).store
		first := f.claim(0, "k", time.Second)
		assert.Equal(t, first.Kind, claim.Dispatch)
		assert.Assert(t, store.HasAttempt(service, "k"))
		assert.Assert(t, !store.HasAttempt("other-service", "k"))
		second := f.claim(0, "k", 300*time.Millisecond)
		assert.Equal(t, second.Kind, claim.Refuse)
		assert.Assert(t, !second.NotRun)
		assert.Assert(t, !store.VerifyNotRun(t.Context(), callOf("k")))
		assert.Assert(t, store.Finish(context.Background(), first.Ticket, claim.Result{Kind: claim.ResultReleased}))
		assert.Assert(t, !store.HasAttempt(service, "k"))
		assert.Assert(t, !store.MayDispatch(first.Ticket), "dispatched after the claim was finished")
		assert.Assert(t, !store.Finish(context.Background(), first.Ticket, claim.Result{Kind: claim.ResultReleased}))
	})
}

// TestReleaseWithWaitingRequestIsUnknown guards against reporting not-run for a
// released call while a request that waits for the key on another gateway is about
// to run it.
func TestReleaseWithWaitingRequestIsUnknown(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		first := f.claim(0, "k", time.Second)
		waiting := make(chan claim.Decision, 1)
		go func() { waiting <- f.claim(1, "k", 10*time.Second) }()
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, !f.gateway(0).store.Finish(context.Background(), first.Ticket, claim.Result{Kind: claim.ResultReleased}))
		assert.Equal(t, (<-waiting).Kind, claim.Dispatch)
	})
}

// TestOldClaimIsNotDispatched guards against dispatching under a claim that is older
// than 60 s, for example because the process was paused.
func TestOldClaimIsNotDispatched(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *fleet) {
		decision := f.claim(0, "k", time.Second)
		time.Sleep(claim.MaxDispatchAge - time.Second)
		assert.Assert(t, f.gateway(0).store.MayDispatch(decision.Ticket))
		time.Sleep(time.Second)
		assert.Assert(t, !f.gateway(0).store.MayDispatch(decision.Ticket))
	})
}

// TestUnansweredClaimIsReadBack guards against refusing a call whose claim was
// written but whose response from the store was lost.
func TestUnansweredClaimIsReadBack(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *fleet) {
		f.gateway(0).link.set(faults{Lost: 100})
		decision := f.claim(0, "k", time.Second)
		assert.Equal(t, decision.Kind, claim.Dispatch)
		f.gateway(0).store.Finish(context.Background(), decision.Ticket, claim.Result{Kind: claim.ResultDone, Response: responseOf(1)})
		f.gateway(0).link.set(faults{})
		again := f.claim(0, "k", 10*time.Second)
		assert.Equal(t, again.Kind, claim.Replay)
		assert.DeepEqual(t, again.Response, responseOf(1))
	})
}

// TestLateWriteIsWithdrawn guards against a key that stays claimed because the write
// of a refused call took effect after the refusal.
func TestLateWriteIsWithdrawn(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		f.gateway(0).link.set(faults{Late: 100})
		assert.Equal(t, f.claim(0, "k", time.Second).Kind, claim.Refuse)
		f.gateway(0).link.set(faults{})
		time.Sleep(time.Minute)
		assert.Equal(t, f.row(t, "k").State, claim.StateReleased)
		assert.Equal(t, f.claim(1, "k", time.Second).Kind, claim.Dispatch)
	})
}

// TestLateResultDoesNotOverwriteNextOwner guards against the result of an earlier
// claim overwriting the row of a later claim of a released key.
func TestLateResultDoesNotOverwriteNextOwner(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		first := f.claim(0, "k", time.Second)
		f.gateway(0).link.set(faults{Lost: 100})
		f.gateway(0).store.Finish(context.Background(), first.Ticket, claim.Result{Kind: claim.ResultReleased})
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, f.row(t, "k").State, claim.StateReleased)
		second := f.claim(1, "k", time.Second)
		assert.Equal(t, second.Kind, claim.Dispatch)
		f.gateway(0).link.set(faults{})
		assert.Assert(t, f.gateway(0).store.Drain(t.Context()))
		row := f.row(t, "k")
		assert.Equal(t, row.State, claim.StateClaimed)
		assert.Equal(t, row.Owner.ClaimID, second.Ticket.ClaimID)
	})
}

// TestCanceledClaimIsReleased guards against a claim that is neither dispatched nor
// released because its call was canceled while the claim was written.
func TestCanceledClaimIsReleased(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *fleet) {
		f.gateway(0).link.set(faults{SlowMillis: 60})
		for i := range 30 {
			decision := f.claim(0, fmt.Sprint(i), time.Duration(i+1)*2*time.Millisecond)
			if decision.Kind == claim.Dispatch {
				f.gateway(0).store.Finish(context.Background(), decision.Ticket, claim.Result{Kind: claim.ResultReleased})
			}
		}
		time.Sleep(time.Minute)
		for _, row := range f.table.scan(claim.RowPrefix, "", 0).Rows {
			decoded, err := claim.DecodeRow(row.Value)
			assert.NilError(t, err)
			assert.Equal(t, decoded.State, claim.StateReleased)
		}
	})
}

// backdateResolution sets the time at which a row was resolved back.
func (f *fleet) backdateResolution(t *testing.T, key string, by time.Duration) {
	t.Helper()
	row := f.row(t, key)
	row.ResolvedAt = row.ResolvedAt.Add(-by)
	f.table.apply(platform.Txn{Writes: []platform.Write{{Key: claim.RowKey(service, key), Value: row.Encode()}}})
}

// TestRetentionRemovesRows guards against rows that are never removed, and against
// removing rows that are claimed by an owner that may return.
func TestRetentionRemovesRows(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		done := f.claim(0, "done", time.Second)
		f.gateway(0).store.Finish(context.Background(), done.Ticket, claim.Result{Kind: claim.ResultDone, Response: responseOf(1)})
		assert.Equal(t, f.claim(0, "open", time.Second).Kind, claim.Dispatch)
		assert.Assert(t, f.gateway(0).store.Drain(t.Context()))
		f.backdateResolution(t, "done", claim.Retention-time.Hour)
		f.gateway(0).store.removeExpired(t.Context())
		assert.Equal(t, f.claim(1, "done", time.Second).Kind, claim.Replay)
		// The loop ends with the first pass that removes a row, since each hour of
		// fake time costs thousands of feed reads.
		removed := func() uint64 {
			return f.gateway(0).store.counters.rowsRemoved.Get() + f.gateway(1).store.counters.rowsRemoved.Get()
		}
		for waited := time.Duration(0); removed() == 0; waited += removalInterval / 36 {
			assert.Assert(t, waited < 2*removalInterval, "no pass removed the row")
			time.Sleep(removalInterval / 36)
		}
		responseRows := f.table.scan(claim.ResponsePrefix, "", 0)
		assert.Equal(t, len(responseRows.Rows), 0, "the response row outlives its claim row")
		assert.Equal(t, f.claim(1, "done", time.Second).Kind, claim.Dispatch)
		assert.Equal(t, f.claim(1, "open", time.Second).Kind, claim.Refuse)

		f.goneOwner.Store(&claim.Incarnation{Gateway: "g0", Number: 1})
		f.gateway(0).store.removeExpired(t.Context())
		assert.Equal(t, f.claim(1, "open", time.Second).Kind, claim.Dispatch)
	})
}

// TestTakenKeysDoNotFailBatch guards against free keys that fail because taken keys
// are in their batch, and against too many writes for it.
func TestTakenKeysDoNotFailBatch(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		for i := range 10 {
			assert.Equal(t, f.claim(1, fmt.Sprint(i), time.Second).Kind, claim.Dispatch)
		}
		before := f.table.commits
		kinds := make([]claim.Kind, 50)
		var group sync.WaitGroup
		for i := range kinds {
			group.Go(func() { kinds[i] = f.claim(0, fmt.Sprint(i), time.Second).Kind })
		}
		group.Wait()
		for i, kind := range kinds {
			want := claim.Dispatch
			if i < 10 {
				want = claim.Refuse
			}
			assert.Equal(t, kind, want, "key %d", i)
		}
		assert.Assert(t, f.table.commits-before <= 5, "%d commits", f.table.commits-before)
	})
}

// TestResultsAreBounded guards against results that fill the memory during a long
// outage, and against losing results below the bound.
func TestResultsAreBounded(t *testing.T) {
	var q resultQueue
	q.init()
	counters := New(newTestConfig()).counters
	large := &claim.RecordedResponse{Body: make([]byte, claim.MaxResponseBytes)}
	for i := range maxPendingResults + 5 {
		q.add(claim.Resolution{RowKey: fmt.Sprint(i), State: claim.StateDone, Response: large}, counters)
	}
	assert.Equal(t, q.size(), maxPendingResults)
	assert.Equal(t, q.bytes, maxPendingBytes)
	assert.Equal(t, counters.resultsDropped.Get(), uint64(5))
	assert.Equal(t, counters.responsesDropped.Get(), uint64(maxPendingResults-maxPendingBytes/claim.MaxResponseBytes))
	batch := q.take(maxResultBatch)
	assert.Equal(t, len(batch), maxResultBatchBytes/claim.MaxResponseBytes)
	q.putBack(batch)
	for range batch {
		q.remove(batch[0])
	}
	assert.Equal(t, q.size(), maxPendingResults-len(batch))
}

// TestRejectedResultDoesNotBlockOthers guards against one result that the store
// always rejects and that blocks the write of all others.
func TestRejectedResultDoesNotBlockOthers(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *fleet) {
		store := f.gateway(0).store
		tickets := make([]claim.Ticket, 5)
		for i := range tickets {
			tickets[i] = f.claim(0, fmt.Sprint(i), time.Second).Ticket
		}
		f.gateway(0).link.set(faults{Reject: claim.RowKey(service, "2")})
		for _, ticket := range tickets {
			store.Finish(context.Background(), ticket, claim.Result{Kind: claim.ResultDone})
		}
		assert.Assert(t, store.Drain(t.Context()))
		for i := range tickets {
			want := claim.StateDone
			if i == 2 {
				want = claim.StateClaimed
			}
			assert.Equal(t, f.row(t, fmt.Sprint(i)).State, want)
		}
	})
}
