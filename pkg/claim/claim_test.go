package claim

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/platform"
)

func call(key string) Call {
	return Call{Service: "booking-desk", Key: key, Fingerprint: 7}
}

func ownerWithClaim(id string) Owner {
	return Owner{Gateway: "g1", Incarnation: 1, ClaimID: id}
}

func storedRow(p Pending, version uint64, change func(*Row)) platform.Row {
	row := Row{
		State:       StateClaimed,
		KeyHash:     KeyHash(p.Call.Service, p.Call.Key),
		Owner:       ownerWithClaim("other"),
		Fingerprint: p.Call.Fingerprint,
	}
	change(&row)
	return platform.Row{Key: p.RowKey, Value: row.Encode(), Version: version}
}

// TestEvaluateRow guards against a gateway that claims a key whose row is not free,
// or that dispatches under a claim that was resolved.
func TestEvaluateRow(t *testing.T) {
	p := NewPending(call("k"), ownerWithClaim("mine"), 3)
	cases := []struct {
		desc   string
		row    platform.Row
		step   Step
		kind   Kind
		expect uint64
	}{
		{desc: "absent", row: platform.Row{}, step: StepRetry},
		{desc: "tombstone", row: platform.Row{Version: 9, Deleted: true}, step: StepRetry},
		{desc: "own", row: storedRow(p, 9, func(r *Row) { r.Owner = p.Owner }), step: StepOwned},
		{desc: "own but withdrawn", row: storedRow(p, 9, func(r *Row) { r.Owner, r.State = p.Owner, StateReleased }), step: StepDecided, kind: Refuse},
		{desc: "claimed", row: storedRow(p, 9, func(*Row) {}), step: StepWait},
		{desc: "same claim id of another incarnation", row: storedRow(p, 9, func(r *Row) { r.Owner = p.Owner; r.Owner.Incarnation = 2 }), step: StepWait},
		{desc: "released", row: storedRow(p, 9, func(r *Row) { r.State = StateReleased }), step: StepRetry, expect: 9},
		{desc: "unknown", row: storedRow(p, 9, func(r *Row) { r.State = StateUnknown }), step: StepDecided, kind: Refuse},
		{desc: "done", row: storedRow(p, 9, func(r *Row) { r.State, r.HasAnswer = StateDone, true }), step: StepReadResponse},
		{desc: "done without response", row: storedRow(p, 9, func(r *Row) { r.State = StateDone }), step: StepDecided, kind: Ran},
		{desc: "other request", row: storedRow(p, 9, func(r *Row) { r.State, r.Fingerprint = StateDone, 8 }), step: StepDecided, kind: Mismatch},
		{desc: "colliding key", row: storedRow(p, 9, func(r *Row) { r.KeyHash = "x" }), step: StepDecided, kind: Mismatch},
		{desc: "damaged", row: platform.Row{Version: 9, Value: []byte("{")}, step: StepDecided, kind: Refuse},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			next := EvaluateRow(p, c.row)
			assert.Equal(t, next.Step, c.step)
			assert.Equal(t, next.Expect, c.expect)
			assert.Equal(t, next.Decision.Kind, c.kind)
			assert.Assert(t, !next.Decision.NotRun)
			if next.Step == StepOwned {
				assert.Equal(t, next.Version, uint64(9))
			}
		})
	}
}

// TestEvaluateReplay guards against replaying the response of another claim, of a
// key that is free again, or of a different request.
func TestEvaluateReplay(t *testing.T) {
	p := NewPending(call("k"), ownerWithClaim("mine"), 0)
	response := &RecordedResponse{Status: 201, Header: map[string][]string{"X": {"\xff"}}, Body: []byte("ok")}
	done := storedRow(p, 9, func(r *Row) { r.State, r.HasAnswer = StateDone, true })
	responseRow := func(owner Owner) platform.Row {
		return platform.Row{Key: ResponseKey(p.RowKey), Value: EncodeResponse(owner, response), Version: 9}
	}
	cases := []struct {
		desc string
		rows []platform.Row
		step Step
		kind Kind
	}{
		{desc: "both", rows: []platform.Row{done, responseRow(ownerWithClaim("other"))}, step: StepDecided, kind: Replay},
		{desc: "response of an earlier claim", rows: []platform.Row{done, responseRow(ownerWithClaim("earlier"))}, step: StepDecided, kind: Ran},
		{desc: "response missing", rows: []platform.Row{done}, step: StepDecided, kind: Ran},
		{desc: "response damaged", rows: []platform.Row{done, {Key: ResponseKey(p.RowKey), Value: []byte("{")}}, step: StepDecided, kind: Refuse},
		{desc: "removed since", rows: []platform.Row{responseRow(ownerWithClaim("other"))}, step: StepRetry},
		{
			desc: "claimed again since",
			rows: []platform.Row{storedRow(p, 10, func(*Row) {}), responseRow(ownerWithClaim("other"))},
			step: StepWait,
		},
		{
			desc: "other request",
			rows: []platform.Row{storedRow(p, 9, func(r *Row) { r.State, r.HasAnswer, r.Fingerprint = StateDone, true, 8 }), responseRow(ownerWithClaim("other"))},
			step: StepDecided, kind: Mismatch,
		},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			next := EvaluateReplay(p, c.rows)
			assert.Equal(t, next.Step, c.step)
			assert.Equal(t, next.Decision.Kind, c.kind)
			if c.kind == Replay {
				assert.DeepEqual(t, next.Decision.Response, response)
			}
		})
	}
}

// TestResponseRowFollowsClaimRow guards against a response that is stored without
// the check of its claim row, or that stays when the claim row is removed.
func TestResponseRowFollowsClaimRow(t *testing.T) {
	at := time.Date(2026, 1, 3, 0, 0, 0, 0, time.UTC)
	p := NewPending(call("k"), ownerWithClaim("mine"), 0)
	ticket := Ticket{Service: p.Call.Service, Key: "k", ClaimID: "mine", RowVersion: 4, Fingerprint: 7}
	response := &RecordedResponse{Status: 201, Body: []byte("ok")}
	txn := ResolutionTxn([]Resolution{NewResolution(ticket, p.Owner, Result{Kind: ResultDone, Response: response})}, at)
	assert.DeepEqual(t, txn.Checks, []platform.Check{{Key: p.RowKey, Version: 4}})
	assert.Equal(t, len(txn.Writes), 2)
	assert.Equal(t, txn.Writes[1].Key, ResponseKey(p.RowKey))

	row := platform.Row{Key: p.RowKey, Value: txn.Writes[0].Value, Version: 5}
	neverGone := func(Row) bool { return false }
	assert.Equal(t, len(RemovalTxn([]platform.Row{row}, at, neverGone).Writes), 0)
	removal := RemovalTxn([]platform.Row{row}, at.Add(Retention), neverGone)
	assert.DeepEqual(t, removal.Checks, []platform.Check{{Key: p.RowKey, Version: 5}})
	assert.DeepEqual(t, removal.Writes, []platform.Write{
		{Key: p.RowKey, Delete: true}, {Key: ResponseKey(p.RowKey), Delete: true},
	})
}

// TestKeysOfServicesDiffer guards against replaying a response of another service.
func TestKeysOfServicesDiffer(t *testing.T) {
	assert.Assert(t, RowKey("a", "k") != RowKey("b", "k"))
	assert.Assert(t, IDOf("a", "k") != IDOf("b", "k"))
	assert.Assert(t, KeyHash("ab", "c") != KeyHash("a", "bc"))
	id, ok := IDOfRow(RowKey("a", "k"))
	assert.Assert(t, ok && id == IDOf("a", "k"))
}

// TestConflictDoesNotFailRestOfBatch guards against a batch that fails as a whole because
// one of its keys is taken.
func TestConflictDoesNotFailRestOfBatch(t *testing.T) {
	batch := []Pending{
		NewPending(call("a"), ownerWithClaim("1"), 0), NewPending(call("b"), ownerWithClaim("2"), 5), NewPending(call("c"), ownerWithClaim("3"), 0),
	}
	next := AfterCommit(batch, platform.CommitResult{
		Status:    platform.CommitConflict,
		Conflicts: []platform.Row{storedRow(batch[0], 4, func(*Row) {})},
	})
	assert.Equal(t, next[0].Step, StepWait)
	assert.Equal(t, next[1], Next{Step: StepRetry, Expect: 5})
	assert.Equal(t, next[2], Next{Step: StepRetry})
}

// TestResolutionConflicts guards against a late result that overwrites the row of
// another claim, and against dropping a result while the row still belongs to it.
func TestResolutionConflicts(t *testing.T) {
	p := NewPending(call("k"), ownerWithClaim("mine"), 0)
	r := Withdraw(p)
	cases := []struct {
		desc string
		row  platform.Row
		want ResolutionNext
	}{
		{"gone", platform.Row{Key: p.RowKey}, ResolutionNext{Step: ResolutionSuperseded}},
		{"claimed by another", storedRow(p, 9, func(*Row) {}), ResolutionNext{Step: ResolutionSuperseded}},
		{"own", storedRow(p, 9, func(r *Row) { r.Owner = p.Owner }), ResolutionNext{Step: ResolutionRetryNow, Expect: 9}},
		{"written before", storedRow(p, 9, func(r *Row) { r.Owner, r.State = p.Owner, StateReleased }), ResolutionNext{Step: ResolutionWritten}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			result := platform.CommitResult{Status: platform.CommitConflict, Conflicts: []platform.Row{c.row}}
			assert.Equal(t, AfterResolution([]Resolution{r}, result)[0], c.want)
		})
	}
}

// TestRetention guards against removing rows too early: a claimed row whose owner
// still exists, or whose owner was not observed for some time.
func TestRetention(t *testing.T) {
	at := time.Date(2026, 1, 3, 0, 0, 0, 0, time.UTC)
	assert.Assert(t, !MayRemove(Row{State: StateClaimed}, at, false))
	assert.Assert(t, MayRemove(Row{State: StateClaimed}, at, true))
	assert.Assert(t, !MayRemove(Row{State: StateDone, ResolvedAt: at.Add(-Retention + 1)}, at, true))
	assert.Assert(t, MayRemove(Row{State: StateDone, ResolvedAt: at.Add(-Retention)}, at, false))
	assert.Assert(t, !MayRemove(Row{State: StateDone}, at, true))
	assert.Assert(t, !MayRemove(Row{State: StateDone, ResolvedAt: at.Add(-Retention)}, time.Time{}, true))

	owner := Incarnation{Gateway: "g", Number: 1}
	absent := func(Incarnation) bool { return false }
	tracker := NewOwnerAbsenceTracker()
	tracker.Track(owner)
	now := int64(1)
	tracker.Observe(now, absent)
	tracker.Observe(now+int64(100*time.Hour), absent)
	assert.Assert(t, !tracker.Gone(owner), "a gap counts as absence")
	now += int64(100 * time.Hour)
	for range 48 * 60 {
		assert.Assert(t, !tracker.Gone(owner))
		now += int64(time.Minute)
		tracker.Observe(now, absent)
	}
	assert.Assert(t, tracker.Gone(owner))
	tracker.Observe(now, func(Incarnation) bool { return true })
	assert.Assert(t, !tracker.Gone(owner))
}

// TestDigestContainsAllClaimedKeys compares the digest with a set over feed pages
// and rebuilds: it must contain every key whose row the feed returned.
func TestDigestContainsAllClaimedKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDigest(64)
		rows := make(map[string]platform.Row)
		version := uint64(0)
		read := func(limit int) bool {
			from, next := d.Position(), version
			var page []platform.Row
			more := false
			for v := from + 1; v <= version; v++ {
				for _, row := range rows {
					if row.Version != v {
						continue
					}
					if len(page) == limit {
						more = true
						continue
					}
					page = append(page, row)
					next = v
				}
			}
			if !more {
				next = version
			}
			d.AddFeedPage(DigestIDs(page), next, more)
			return more
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				p := NewPending(call(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key")), ownerWithClaim("x"), 0)
				state := rapid.SampledFrom([]State{StateClaimed, StateReleased, StateDone, StateUnknown}).Draw(t, "state")
				version++
				rows[p.RowKey] = storedRow(p, version, func(r *Row) { r.State = state })
			},
			"remove": func(t *rapid.T) {
				key := RowKey("booking-desk", rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key"))
				version++
				rows[key] = platform.Row{Key: key, Version: version, Deleted: true}
			},
			"read":    func(t *rapid.T) { read(rapid.IntRange(1, 3).Draw(t, "limit")) },
			"rebuild": func(*rapid.T) { d.Rebuild() },
			"readAll": func(t *rapid.T) {
				for read(2) {
				}
				assert.Assert(t, d.Complete())
				for key, row := range rows {
					id, _ := IDOfRow(key)
					assert.Assert(t, row.Deleted || d.Has(id))
				}
			},
		})
	})
}

// TestRebuildDropsRemovedKeys guards against a digest that keeps the keys of removed
// rows and fills up.
func TestRebuildDropsRemovedKeys(t *testing.T) {
	d := NewDigest(64)
	assert.Assert(t, !d.Complete())
	d.AddFeedPage([]ID{IDOf("s", "k")}, 1, true)
	assert.Assert(t, !d.Complete())
	d.AddFeedPage(nil, 2, false)
	assert.Assert(t, d.Complete() && d.Has(IDOf("s", "k")))
	d.Rebuild()
	assert.Equal(t, d.Position(), uint64(0))
	d.AddFeedPage(nil, 3, true)
	assert.Assert(t, d.Has(IDOf("s", "k")))
	d.AddFeedPage(nil, 4, false)
	assert.Assert(t, !d.Has(IDOf("s", "k")))
}

// TestMayReportNotRun guards against reporting not-run without all of the evidence.
func TestMayReportNotRun(t *testing.T) {
	assert.Assert(t, MayReportNotRun(Evidence{DigestComplete: true, NoPeerAttempts: true}))
	for _, e := range []Evidence{
		{NoPeerAttempts: true},
		{DigestComplete: true},
		{DigestComplete: true, NoPeerAttempts: true, InDigest: true},
		{DigestComplete: true, NoPeerAttempts: true, OtherAttempts: true},
	} {
		assert.Assert(t, !MayReportNotRun(e), "%+v", e)
	}
}

// FuzzDecodeRow guards against stored rows that crash the decoder or change when
// they are encoded again.
func FuzzDecodeRow(f *testing.F) {
	p := NewPending(call("k"), ownerWithClaim("1"), 0)
	f.Add(storedRow(p, 1, func(*Row) {}).Value)
	f.Add(storedRow(p, 1, func(r *Row) {
		r.State = StateDone
		r.HasAnswer = true
	}).Value)
	f.Fuzz(func(t *testing.T, data []byte) {
		row, err := DecodeRow(data)
		if err != nil {
			return
		}
		again, err := DecodeRow(row.Encode())
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(row.Encode(), again.Encode()))
	})
}

// FuzzDecodeAnswer guards against stored responses that crash the decoder or change
// when they are encoded again.
func FuzzDecodeAnswer(f *testing.F) {
	f.Add(EncodeResponse(ownerWithClaim("1"), &RecordedResponse{Status: 200, Header: map[string][]string{"A": {"b", "\xff"}}, Body: []byte("x")}))
	f.Fuzz(func(t *testing.T, data []byte) {
		owner, response, err := DecodeResponse(data)
		if err != nil {
			return
		}
		encoded := EncodeResponse(owner, response)
		owner, response, err = DecodeResponse(encoded)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(encoded, EncodeResponse(owner, response)))
	})
}

// BenchmarkDigest reports the memory of a full filter in bytes per 1,000 keys.
func BenchmarkDigest(b *testing.B) {
	d := NewDigest(DigestKeys)
	id := IDOf("s", "k")
	for i := range b.N {
		id[0], id[1], id[2] = byte(i), byte(i>>8), byte(i>>16)
		d.Add(id)
	}
	b.ReportMetric(float64(d.current.Cap())/8/(DigestKeys/1000), "bytes/1000keys")
}
