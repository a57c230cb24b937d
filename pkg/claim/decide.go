package claim

import (
	"time"

	"balsamhill/pkg/platform"
)

// MaxDispatchAge is the age beyond which a claim is not dispatched. Rows of
// owners that have disappeared are removed after 48 h, so a gateway that was
// paused for long must not send under a claim that may no longer exist.
const MaxDispatchAge = 60 * time.Second

// MayDispatch reports whether a claim is young enough to be sent. Both times
// are in nanoseconds on the gateway's monotonic clock, and claimedAt was taken
// before the claim was written.
func MayDispatch(now, claimedAt int64) bool {
	return now-claimedAt <= int64(MaxDispatchAge)
}

// Pending is a claim that has not been decided yet.
type Pending struct {
	Call   Call
	Owner  Owner
	RowKey string
	// Expect is the row version that the claim replaces: 0 for an absent row,
	// else the version of a row in state released.
	Expect uint64
}

// NewPending returns the claim of a call.
func NewPending(call Call, owner Owner, expect uint64) Pending {
	return Pending{Call: call, Owner: owner, RowKey: RowKey(call.Service, call.Key), Expect: expect}
}

// Step is what follows for one claim from an answer of the store.
type Step int

const (
	// StepRetry asks to write the claim again with the new Expect.
	StepRetry Step = iota
	// StepOwned means that the row is this claim's.
	StepOwned
	// StepReadBack means that the row must be read to learn what happened.
	StepReadBack
	// StepWait means that another claim holds the key.
	StepWait
	// StepReadResponse means that the key ran and that the claim row and its answer
	// row must be read for the replay; see EvaluateReplay.
	StepReadResponse
	// StepDecided means that the call is answered with Next.Decision.
	StepDecided
	// StepRefuse means that the store wrote nothing and the call is refused.
	StepRefuse
)

// Next is the step that follows for one claim.
type Next struct {
	Step Step
	// Expect is the row version for StepRetry.
	Expect uint64
	// Version is the row version for StepOwned.
	Version uint64
	// Decision is set for StepDecided.
	Decision Decision
}

// Refusal reasons that callers see.
const (
	ReasonMayHaveRun         = "an earlier send of this idempotency key may have run"
	ReasonUnreadable         = "the claim of this idempotency key cannot be read"
	ReasonInProgress         = "another send of this idempotency key is in progress"
	ReasonResponseUnreadable = "the call ran, but its recorded answer cannot be read now"
	ReasonStoreFailed        = "the idempotency key could not be claimed in time"
	ReasonTooManyCalls       = "too many calls wait for a claim"
)

// ClaimTxn returns the transaction that writes a batch of claims. The batch
// holds no row key twice.
func ClaimTxn(batch []Pending, storeTime time.Time) platform.Txn {
	var txn platform.Txn
	for _, p := range batch {
		row := Row{
			State:       StateClaimed,
			KeyHash:     KeyHash(p.Call.Service, p.Call.Key),
			Owner:       p.Owner,
			Fingerprint: p.Call.Fingerprint,
			ClaimedAt:   storeTime,
		}
		txn.Checks = append(txn.Checks, platform.Check{Key: p.RowKey, Version: p.Expect})
		txn.Writes = append(txn.Writes, platform.Write{Key: p.RowKey, Value: row.Encode()})
	}
	return txn
}

// AfterCommit returns what follows for each claim of a batch.
func AfterCommit(batch []Pending, result platform.CommitResult) []Next {
	next := make([]Next, len(batch))
	switch result.Status {
	case platform.CommitApplied:
		for i := range next {
			next[i] = Next{Step: StepOwned, Version: result.Version}
		}
	case platform.CommitConflict:
		rows := byKey(result.Conflicts)
		for i, p := range batch {
			row, conflicted := rows[p.RowKey]
			if !conflicted {
				// Only the rest of the batch stood in the way.
				next[i] = Next{Step: StepRetry, Expect: p.Expect}
				continue
			}
			next[i] = EvaluateRow(p, row)
		}
	case platform.CommitNotApplied:
		for i := range next {
			next[i] = Next{Step: StepRefuse}
		}
	default:
		for i := range next {
			next[i] = Next{Step: StepReadBack}
		}
	}
	return next
}

// AfterReadBack returns what follows for each claim of a batch whose commit had
// an unknown outcome. A row that is not the claim's proves nothing about the
// write, which may still take effect; writing the same claim again is safe
// because at most one of the two writes passes the version check.
func AfterReadBack(batch []Pending, rows []platform.Row) []Next {
	found := byKey(rows)
	next := make([]Next, len(batch))
	for i, p := range batch {
		next[i] = EvaluateRow(p, found[p.RowKey])
	}
	return next
}

// EvaluateRow returns what follows for a claim from the current row. A row with
// version 0 does not exist.
func EvaluateRow(p Pending, stored platform.Row) Next {
	if stored.Version == 0 || stored.Deleted {
		return Next{Step: StepRetry, Expect: 0}
	}
	row, err := DecodeRow(stored.Value)
	if err != nil {
		return refuseStep(ReasonUnreadable)
	}
	if row.KeyHash != KeyHash(p.Call.Service, p.Call.Key) {
		return Next{Step: StepDecided, Decision: Decision{Kind: Mismatch, Reason: "the idempotency key collides with another key"}}
	}
	if row.Owner == p.Owner {
		if row.State == StateClaimed {
			return Next{Step: StepOwned, Version: stored.Version}
		}
		return refuseStep(ReasonMayHaveRun)
	}
	if row.State == StateReleased {
		return Next{Step: StepRetry, Expect: stored.Version}
	}
	if !SameRequest(row.Fingerprint, p.Call.Fingerprint) {
		return Next{Step: StepDecided, Decision: Decision{Kind: Mismatch, Reason: "the idempotency key was used for another request"}}
	}
	switch row.State {
	case StateClaimed:
		return Next{Step: StepWait}
	case StateDone:
		if !row.HasAnswer {
			return Next{Step: StepDecided, Decision: Decision{Kind: Ran}}
		}
		return Next{Step: StepReadResponse}
	default:
		return refuseStep(ReasonMayHaveRun)
	}
}

// EvaluateReplay returns what follows from one consistent read of the claim row
// and its answer row. The claim row may have changed since StepReadResponse.
func EvaluateReplay(p Pending, rows []platform.Row) Next {
	found := byKey(rows)
	next := EvaluateRow(p, found[p.RowKey])
	if next.Step != StepReadResponse {
		return next
	}
	stored, ok := found[ResponseKey(p.RowKey)]
	if !ok {
		return Next{Step: StepDecided, Decision: Decision{Kind: Ran}}
	}
	owner, answer, err := DecodeResponse(stored.Value)
	if err != nil {
		return refuseStep(ReasonUnreadable)
	}
	row, err := DecodeRow(found[p.RowKey].Value)
	if err != nil || row.Owner != owner {
		// The answer is that of an earlier claim of the key.
		return Next{Step: StepDecided, Decision: Decision{Kind: Ran}}
	}
	return Next{Step: StepDecided, Decision: Decision{Kind: Replay, Response: answer}}
}

func refuseStep(reason string) Next {
	return Next{Step: StepDecided, Decision: Decision{Kind: Refuse, Reason: reason}}
}

func byKey(rows []platform.Row) map[string]platform.Row {
	found := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		found[row.Key] = row
	}
	return found
}
