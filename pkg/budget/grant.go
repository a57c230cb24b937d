// Package budget bounds what all gateways together spend on probes and on the messages
// that they exchange between regions. Grants are entries of a shared row that is
// changed by compare-and-set; fixed shares need no coordination. Package gateway reads and
// writes the row: this package does no I/O and reads no clock. Times named now, sentAt or
// validUntil are nanoseconds on the gateway's monotonic clock; times of type time.Time
// are those of the store. The retry budget is not part of it; see retry.Budget.
package budget

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// RowPrefix is the key prefix of grant rows in the table service.
	RowPrefix = "budget/"
	// GrantTTL is how long a grant may be used, counted from the time when the read that
	// it is based on was sent.
	GrantTTL = 30 * time.Second
	// ExpiryMargin is how much longer other gateways count a grant. It covers clocks
	// that run at slightly different rates; 0.1 % of GrantTTL is 30 ms.
	ExpiryMargin = time.Second
	// RenewAfter is the age at which a grant is renewed. The rest of GrantTTL allows for
	// two failed attempts.
	RenewAfter = 15 * time.Second
)

// ErrInvalidRow is wrapped by errors of ParseRow.
var ErrInvalidRow = eris.New("invalid grant row")

// Entry is one grant.
type Entry struct {
	// Holder is the gateway's ID and incarnation.
	Holder string `json:"holder"`
	// Share is the granted rate per second; its unit depends on the row.
	Share float64 `json:"share"`
	// Expires is the end of the grant on the store's clock.
	Expires time.Time `json:"expires"`
}

// Row is the value of a grant row. The zero Row stands for a row that does not exist.
type Row struct {
	Grants []Entry `json:"grants"`
}

// ParseRow decodes a stored row. An empty value is a row without grants.
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

// RowRead is the result of reading the grant row.
type RowRead struct {
	Row Row
	// SentAt is when the request was sent, which is before the store determined Time.
	SentAt int64
	// Time is the store's clock at the read.
	Time time.Time
}

// Holder holds this gateway's grant in one grant row. It is not safe for concurrent use.
type Holder struct {
	id         string
	share      float64
	validUntil int64
	// pending is the grant of the write that has not completed yet, nil if there is
	// none.
	pending *pendingGrant
}

type pendingGrant struct {
	share      float64
	validUntil int64
}

// NewHolder returns a holder without a grant. The ID must contain the incarnation,
// because a restarted process has no record of its earlier grant.
func NewHolder(id string) *Holder {
	return &Holder{id: id}
}

// Share returns the rate per second that may be used now, 0 without a valid grant.
func (h *Holder) Share(now int64) float64 {
	if now >= h.validUntil {
		return 0
	}
	return h.share
}

// RenewDue reports whether the gateway should renew its grant now, or write one of the
// requested share because its grant is smaller.
func (h *Holder) RenewDue(now int64, requested float64) bool {
	return h.Share(now) < requested || h.validUntil-now < int64(GrantTTL-RenewAfter)
}

// Plan returns the row to write, on the condition that the stored one has not changed
// since the read. WriteCompleted must be called with the result of the write. If the
// row grants less than the present share, the present share is lowered at once: the
// write may take effect although its response is lost, and other gateways may then use
// the difference.
func (h *Holder) Plan(read RowRead, requested, total float64) Row {
	var next Row
	free := total
	for _, entry := range read.Row.Grants {
		if entry.Holder == h.id || !read.Time.Before(entry.Expires.Add(ExpiryMargin)) {
			continue
		}
		next.Grants = append(next.Grants, entry)
		free -= entry.Share
	}
	share := max(0, min(requested, free))
	if share > 0 {
		next.Grants = append(next.Grants, Entry{Holder: h.id, Share: share, Expires: read.Time.Add(GrantTTL)})
	}
	h.pending = &pendingGrant{share: share, validUntil: read.SentAt + int64(GrantTTL)}
	h.share = min(h.share, share)
	return next
}

// WriteCompleted records the result of the write that Plan returned. applied is true
// only if the store confirmed the write; a write with an unknown result grants nothing.
func (h *Holder) WriteCompleted(applied bool) {
	if h.pending != nil && applied {
		h.share = h.pending.share
		h.validUntil = h.pending.validUntil
	}
	h.pending = nil
}
