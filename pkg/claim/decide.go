package claim

import (
	"time"

	"balsamhill/pkg/platform"
)

// MaxDispatchAge is the age up to which a claim may be dispatched. Rows of owners
// that have disappeared are removed after 48 h, so a gateway that was paused for
// a long time must not dispatch under a claim whose row may no longer exist.
const MaxDispatchAge = 60 * time.Second

// MayDispatch reports whether a claim is recent enough to be dispatched. Both
// times are in nanoseconds on the gateway's monotonic clock, and claimedAt was
// taken before the claim was written.
func MayDispatch(now, claimedAt int64) bool {
	return now-claimedAt <= int64(MaxDispatchAge)
}

// Pending is a claim whose outcome is not known yet.
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

// Step is the next action for a claim after a response of the store.
type Step int

const (
	// StepRetry means that the claim must be written again with the new Expect.
	StepRetry Step = iota
	// StepOwned means that the row belongs to this claim.
	StepOwned
	// StepReadBack means that the outcome of the write is unknown and the row must
	// be read.
	StepReadBack
	// StepWait means that another claim holds the key.
	StepWait
	// StepReadResponse means that the call ran and that the claim row and its
	// response row must be read for the replay; see EvaluateReplay.
	StepReadResponse
	// StepDecided means that Next.Decision is final.
	StepDecided
	// StepRefuse means that the call is refused because the claim was not obtained.
	StepRefuse
)

// Next is the next step for a claim, with its arguments.
type Next struct {
	Step Step
	// Expect is the row version for StepRetry.
	Expect uint64
	// Version is the row version for StepOwned.
	Version uint64
	// Decision is set for StepDecided. For StepRefuse, only its Reason may be set.
	Decision Decision
}

// Reasons of refusals, sent to callers.
const (
	ReasonMayHaveRun         = "an earlier send of this idempotency key may have run"
	ReasonUnreadable         = "the claim of this idempotency key cannot be read"
	ReasonInProgress         = "another send of this idempotency key is in progress"
	ReasonResponseUnreadable = "the call ran, but its recorded answer cannot be read now"
	ReasonStoreFailed        = "the idempotency key could not be claimed in time"
	ReasonTooManyCalls       = "too many calls wait for a claim"
)

// ClaimTxn returns the transaction that writes a batch of claims. The row keys of
// the batch must differ.
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

// AfterCommit returns the next step for each claim of a batch.
func AfterCommit(batch []Pending, result platform.CommitResult) []Next {
	next := make([]Next, len(batch))
	switch result.Status {
	case platform.CommitApplied:
		for i := range next {
			next[i] = Next{Step: StepOwned, Version: result.Version}
		}
	case platform.CommitConflict:
		rows := rowsByKey(result.Conflicts)
		for i, p := range batch {
			row, conflicted := rows[p.RowKey]
			if !conflicted {
				// The batch failed because of conflicts on other rows.
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

// AfterReadBack returns the next step for each claim of a batch whose commit had
// an unknown outcome. If the row does not belong to the claim, the write may still
// take effect later. Writing the same claim again is safe, because at most one of
// the two writes passes the version check.
func AfterReadBack(batch []Pending, rows []platform.Row) []Next {
	found := rowsByKey(rows)
	next := make([]Next, len(batch))
	for i, p := range batch {
		next[i] = EvaluateRow(p, found[p.RowKey])
	}
	return next
}

// EvaluateRow returns the next step for a claim, given its current row. A row with
// version 0 does not exist.
func EvaluateRow(p Pending, stored platform.Row) Next {
	if stored.Version == 0 || stored.Deleted {
		return Next{Step: StepRetry, Expect: 0}
	}
	row, err := DecodeRow(stored.Value)
	if err != nil {
		return refusal(ReasonUnreadable)
	}
	if row.KeyHash != KeyHash(p.Call.Service, p.Call.Key) {
		return Next{Step: StepDecided, Decision: Decision{Kind: Mismatch, Reason: "the idempotency key collides with another key"}}
	}
	if row.Owner == p.Owner {
		if row.State == StateClaimed {
			return Next{Step: StepOwned, Version: stored.Version}
		}
		return refusal(ReasonMayHaveRun)
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
		return refusal(ReasonMayHaveRun)
	}
}

// EvaluateReplay returns the next step for a claim, given the rows of one
// consistent read of its claim row and response row. The claim row may have
// changed since StepReadResponse was returned.
func EvaluateReplay(p Pending, rows []platform.Row) Next {
	found := rowsByKey(rows)
	next := EvaluateRow(p, found[p.RowKey])
	if next.Step != StepReadResponse {
		return next
	}
	stored, ok := found[ResponseKey(p.RowKey)]
	if !ok {
		return Next{Step: StepDecided, Decision: Decision{Kind: Ran}}
	}
	owner, response, err := DecodeResponse(stored.Value)
	if err != nil {
		return refusal(ReasonUnreadable)
	}
	row, err := DecodeRow(found[p.RowKey].Value)
	if err != nil || row.Owner != owner {
		// The response belongs to an earlier claim of the key.
		return Next{Step: StepDecided, Decision: Decision{Kind: Ran}}
	}
	return Next{Step: StepDecided, Decision: Decision{Kind: Replay, Response: response}}
}

func refusal(reason string) Next {
	return Next{Step: StepDecided, Decision: Decision{Kind: Refuse, Reason: reason}}
}

func rowsByKey(rows []platform.Row) map[string]platform.Row {
	found := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		found[row.Key] = row
	}
	return found
}
