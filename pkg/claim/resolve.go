package claim

import (
	"time"

	"balsamhill/pkg/platform"
)

// Resolution is the write that ends a claim. It also withdraws a claim whose write
// had an unknown outcome and which was not dispatched: the row is written in state
// released under the same version check as the lost write, so that one of the two
// writes fails, whenever the lost write takes effect.
type Resolution struct {
	RowKey      string
	KeyHash     string
	Owner       Owner
	Fingerprint uint64
	State       State
	// Response is set if State is StateDone and the response is recorded.
	Response *RecordedResponse
	// Expect is the row version that the write replaces.
	Expect uint64
}

// NewResolution returns the resolution of a dispatched claim.
func NewResolution(ticket Ticket, owner Owner, result Result) Resolution {
	r := Resolution{
		RowKey:      RowKey(ticket.Service, ticket.Key),
		KeyHash:     KeyHash(ticket.Service, ticket.Key),
		Owner:       owner,
		Fingerprint: ticket.Fingerprint,
		State:       StateUnknown,
		Expect:      ticket.RowVersion,
	}
	switch result.Kind {
	case ResultDone:
		r.State = StateDone
		if result.Response != nil && len(result.Response.Body) <= MaxResponseBytes {
			r.Response = result.Response
		}
	case ResultReleased:
		r.State = StateReleased
	}
	return r
}

// Withdraw returns the resolution of a claim that must not be dispatched.
func Withdraw(p Pending) Resolution {
	return Resolution{
		RowKey:      p.RowKey,
		KeyHash:     KeyHash(p.Call.Service, p.Call.Key),
		Owner:       p.Owner,
		Fingerprint: p.Call.Fingerprint,
		State:       StateReleased,
		Expect:      p.Expect,
	}
}

// ResolutionTxn returns the transaction that writes a batch of resolutions. The
// row keys of the batch must differ. The response rows are written under the
// checks of their claim rows, so that a response is stored if and only if its
// claim is resolved.
func ResolutionTxn(batch []Resolution, storeTime time.Time) platform.Txn {
	var txn platform.Txn
	for _, r := range batch {
		row := Row{
			State:       r.State,
			KeyHash:     r.KeyHash,
			Owner:       r.Owner,
			Fingerprint: r.Fingerprint,
			HasAnswer:   r.Response != nil,
			ResolvedAt:  storeTime,
		}
		txn.Checks = append(txn.Checks, platform.Check{Key: r.RowKey, Version: r.Expect})
		txn.Writes = append(txn.Writes, platform.Write{Key: r.RowKey, Value: row.Encode()})
		if r.Response != nil {
			txn.Writes = append(txn.Writes, platform.Write{Key: ResponseKey(r.RowKey), Value: EncodeResponse(r.Owner, r.Response)})
		}
	}
	return txn
}

// RemovalTxn returns the transaction that removes the rows past their retention
// and their response rows. It has no writes if there are no such rows.
func RemovalTxn(rows []platform.Row, storeTime time.Time, ownerGone func(Row) bool) platform.Txn {
	var txn platform.Txn
	for _, stored := range rows {
		row, err := DecodeRow(stored.Value)
		if err != nil || !MayRemove(row, storeTime, ownerGone(row)) {
			continue
		}
		txn.Checks = append(txn.Checks, platform.Check{Key: stored.Key, Version: stored.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: stored.Key, Delete: true})
		if row.HasAnswer {
			txn.Writes = append(txn.Writes, platform.Write{Key: ResponseKey(stored.Key), Delete: true})
		}
	}
	return txn
}

// ResolutionStep is the next action for a resolution.
type ResolutionStep int

const (
	// ResolutionRetryLater means that it must be written again after a delay.
	ResolutionRetryLater ResolutionStep = iota
	// ResolutionRetryNow means that it must be written again at once, with the new
	// Expect.
	ResolutionRetryNow
	// ResolutionWritten means that the row holds the resolution.
	ResolutionWritten
	// ResolutionSuperseded means that the row no longer belongs to this claim, so
	// that nothing has to be written.
	ResolutionSuperseded
)

// ResolutionNext is the next step for a resolution, with its argument.
type ResolutionNext struct {
	Step   ResolutionStep
	Expect uint64
}

// AfterResolution returns the next step for each resolution of a batch.
func AfterResolution(batch []Resolution, result platform.CommitResult) []ResolutionNext {
	next := make([]ResolutionNext, len(batch))
	rows := rowsByKey(result.Conflicts)
	for i, r := range batch {
		switch result.Status {
		case platform.CommitApplied:
			next[i] = ResolutionNext{Step: ResolutionWritten}
		case platform.CommitConflict:
			row, conflicted := rows[r.RowKey]
			if !conflicted {
				next[i] = ResolutionNext{Step: ResolutionRetryNow, Expect: r.Expect}
				continue
			}
			next[i] = evaluateResolution(r, row)
		default:
			next[i] = ResolutionNext{Step: ResolutionRetryLater, Expect: r.Expect}
		}
	}
	return next
}

func evaluateResolution(r Resolution, stored platform.Row) ResolutionNext {
	if stored.Version == 0 || stored.Deleted {
		return ResolutionNext{Step: ResolutionSuperseded}
	}
	row, err := DecodeRow(stored.Value)
	if err != nil || row.Owner != r.Owner {
		return ResolutionNext{Step: ResolutionSuperseded}
	}
	if row.State == StateClaimed {
		return ResolutionNext{Step: ResolutionRetryNow, Expect: stored.Version}
	}
	// An earlier write of this resolution took effect, but its response was lost.
	return ResolutionNext{Step: ResolutionWritten}
}
