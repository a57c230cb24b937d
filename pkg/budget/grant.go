// Package budget keeps what gateways spend on measuring within totals that hold
// for the whole fleet. Grants are entries of a shared row that is changed by
// compare-and-set; fixed shares need no agreement. The package does no I/O and
// reads no clock. Times named now, sent or until are nanoseconds on the own
// monotonic clock; times of type time.Time are the store's.
package budget

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// RowPrefix is the key prefix of grant rows in the table service.
	RowPrefix = "budget/"
	// GrantTTL is how long a grant may be used from before the read on which it is
	// based.
	GrantTTL = 30 * time.Second
	// ExpiryMargin is how much longer others count a grant. It covers clocks that run at
	// slightly different rates; 0.1 % over GrantTTL would be 30 ms.
	ExpiryMargin = time.Second
	// RenewAfter is the age at which a grant is renewed; two attempts may fail.
	RenewAfter = 15 * time.Second
)

// ErrInvalidRow is wrapped by errors of ParseRow.
var ErrInvalidRow = eris.New("invalid grant row")

// Entry is one grant.
type Entry struct {
	// Holder is the gateway's ID and incarnation.
	Holder string `json:"holder"`
	// Share is in units per second; the unit depends on the row.
	Share float64 `json:"share"`
	// Expires is in store time.
	Expires time.Time `json:"expires"`
}

// Row is the value of a grant row. A row that does not exist is the zero Row.
type Row struct {
	Grants []Entry `json:"grants"`
}

// ParseRow decodes a stored row; an empty value is a row without grants.
func ParseRow(value []byte) (Row, error) {
	var row Row
	if len(value) == 0 {
		return row, nil
	}
	err := json.Unmarshal(value, &row)
	if err != nil {
		return Row{}, eris.Wrapf(ErrInvalidRow, "%v", err)
	}
	for _, entry := range row.Grants {
		if entry.Share < 0 {
			return Row{}, eris.Wrapf(ErrInvalidRow, "share %g of %s", entry.Share, entry.Holder)
		}
	}
	return row, nil
}

// Encode returns the value to store.
func (r Row) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}

// Read is a read of the grant row.
type Read struct {
	Row Row
	// Sent is when the request was sent, so before the store took Time.
	Sent int64
	// Time is the store's clock at the read.
	Time time.Time
}

// Holder is this gateway's side of one grant row. It is not safe for concurrent
// use.
type Holder struct {
	id    string
	share float64
	until int64
	// pending is the write whose outcome is not known yet, nil if none.
	pending *pending
}

type pending struct {
	share float64
	until int64
}

// NewHolder returns a holder without a grant. The ID must contain the
// incarnation, because a restarted process knows nothing of its earlier grant.
func NewHolder(id string) *Holder {
	return &Holder{id: id}
}

// Share returns what may be used now, in units per second.
func (h *Holder) Share(now int64) float64 {
	if now >= h.until {
		return 0
	}
	return h.share
}

// RenewDue reports whether a grant of this size should be asked for now.
func (h *Holder) RenewDue(now int64, wish float64) bool {
	return h.Share(now) < wish || h.until-now < int64(GrantTTL-RenewAfter)
}

// Plan returns the row to write, under the condition that the stored one did not
// change since the read. The caller must call WriteCompleted with the outcome. The share
// in use is lowered at once to what the write grants, because the write may take
// effect without an answer, and then others may take the rest.
func (h *Holder) Plan(read Read, wish, total float64) Row {
	var next Row
	free := total
	for _, entry := range read.Row.Grants {
		if entry.Holder == h.id || !read.Time.Before(entry.Expires.Add(ExpiryMargin)) {
			continue
		}
		next.Grants = append(next.Grants, entry)
		free -= entry.Share
	}
	share := max(0, min(wish, free))
	if share > 0 {
		next.Grants = append(next.Grants, Entry{Holder: h.id, Share: share, Expires: read.Time.Add(GrantTTL)})
	}
	h.pending = &pending{share: share, until: read.Sent + int64(GrantTTL)}
	h.share = min(h.share, share)
	return next
}

// WriteCompleted ends the write that Plan returned. applied is true only if the store
// said so; a write of unknown outcome grants nothing.
func (h *Holder) WriteCompleted(applied bool) {
	if h.pending != nil && applied {
		h.share = h.pending.share
		h.until = h.pending.until
	}
	h.pending = nil
}
