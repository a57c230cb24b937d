package claim

import (
	"time"

	"github.com/bits-and-blooms/bloom/v3"

	"balsamhill/pkg/platform"
)

const (
	// DigestKeys is the default number of keys for which a filter is sized. At the
	// false positive rate below, such a filter takes 2.4 MiB. A rebuilt filter may be
	// larger.
	DigestKeys = 1 << 20
	// digestFalsePositiveRate is the share of unclaimed keys that the filter reports
	// as claimed. For them the outcome may be reported as unknown although the call
	// did not run.
	digestFalsePositiveRate = 1e-4
)

// Digest is a Bloom filter of the keys of claim rows, filled from the change feed.
// The feed carries keys only, so keys whose rows are released are in the digest
// too. Keys cannot be removed from a Bloom filter, so the filter is rebuilt
// periodically from a full read, while the previous one stays in use. A Digest is
// not safe for concurrent use.
type Digest struct {
	keys     uint
	current  *bloom.BloomFilter
	position uint64
	complete bool
	// firstRead holds the keys of the first full read; nil until that has ended.
	firstRead *bloom.BloomFilter
	// next is the filter under construction, nil if there is none.
	next         *bloom.BloomFilter
	nextPosition uint64
	// added counts calls of Add since the last rebuild began.
	added uint
}

// NewDigest returns an empty digest, sized for a number of keys.
func NewDigest(keys uint) *Digest {
	return &Digest{keys: keys, current: newFilter(keys)}
}

func newFilter(keys uint) *bloom.BloomFilter {
	return bloom.NewWithEstimates(keys, digestFalsePositiveRate)
}

// Position returns the feed position from which the next read must begin.
func (d *Digest) Position() uint64 {
	if d.next != nil {
		return d.nextPosition
	}
	return d.position
}

// Rebuild starts a new filter from a full read. It does nothing until the first
// full read has ended and while a rebuild is in progress.
func (d *Digest) Rebuild() {
	if !d.complete || d.next != nil {
		return
	}
	d.next = newFilter(max(d.keys, 2*d.added))
	d.nextPosition = 0
	d.added = 0
}

// DigestIDs returns the IDs that rows of the change feed add to the digest.
func DigestIDs(rows []platform.Row) []ID {
	var ids []ID
	for _, stored := range rows {
		id, ok := IDOfRow(stored.Key)
		if ok && !stored.Deleted {
			ids = append(ids, id)
		}
	}
	return ids
}

// StoreReturned starts to read the feed from its beginning again, after the store has returned
// from an older copy. The keys that the copy lacks stay in the filter.
func (d *Digest) StoreReturned() {
	d.position, d.complete, d.next = 0, false, nil
}

// AddFeedPage adds one page of the feed, read from Position. next is the position
// after the page, and more means that further pages follow.
func (d *Digest) AddFeedPage(ids []ID, next uint64, more bool) {
	for _, id := range ids {
		d.Add(id)
	}
	if d.next == nil {
		d.position = next
		if !d.complete && !more {
			d.complete = true
			d.firstRead = d.current.Copy()
		}
		return
	}
	d.nextPosition = next
	if more {
		return
	}
	d.current, d.position = d.next, next
	d.next = nil
}

// Add adds a key to the filter in use and to the one under construction.
func (d *Digest) Add(id ID) {
	d.added++
	d.current.Add(id[:])
	if d.next != nil {
		d.next.Add(id[:])
	}
}

// Complete reports whether the first full read has ended.
func (d *Digest) Complete() bool {
	return d.complete
}

// MayBeInFirstRead reports whether the first full read contained the key, or has not
// ended. If it returns false, no former incarnation of this gateway claimed the key.
func (d *Digest) MayBeInFirstRead(id ID) bool {
	return !d.complete || d.firstRead.Test(id[:])
}

// Has reports whether the key may be claimed.
func (d *Digest) Has(id ID) bool {
	return d.current.Test(id[:])
}

// History records the keys that this gateway dispatched, for at least Retention,
// so that it can respond to queries of gateways that cannot read the feed. It uses
// two Bloom filters that are rotated every Retention.
type History struct {
	keys      uint
	current   *bloom.BloomFilter
	previous  *bloom.BloomFilter
	rotatedAt int64
}

// NewHistory returns an empty history, sized for a number of keys. now is in
// nanoseconds on the monotonic clock.
func NewHistory(now int64, keys uint) *History {
	return &History{keys: keys, current: newFilter(keys), previous: newFilter(1), rotatedAt: now}
}

// Add records a key that is dispatched.
func (h *History) Add(now int64, id ID) {
	if time.Duration(now-h.rotatedAt) >= Retention {
		h.previous, h.current = h.current, newFilter(h.keys)
		h.rotatedAt = now
	}
	h.current.Add(id[:])
}

// Has reports whether the key may have been dispatched.
func (h *History) Has(id ID) bool {
	return h.current.Test(id[:]) || h.previous.Test(id[:])
}

// Evidence is the state from which a gateway decides whether it may report as
// not-run a call that it did not claim.
type Evidence struct {
	// OtherAttempts means that this gateway has an open attempt of the key or
	// dispatched the key before.
	OtherAttempts bool
	// DigestComplete means that the digest holds all keys that were claimed up to
	// its last read, InDigest that it holds this key.
	DigestComplete bool
	InDigest       bool
	// RowClear means that the claim row, read after the peers responded, shows that
	// the key is not claimed. It overrules InDigest for a false positive or a
	// released key.
	RowClear bool
	// NoPeerAttempts means that each gateway that may hold an attempt responded
	// that it has none.
	NoPeerAttempts bool
}

// MayReportNotRun reports whether the evidence proves that the call did not run
// and can no longer run.
func MayReportNotRun(e Evidence) bool {
	return !e.OtherAttempts && e.DigestComplete && (!e.InDigest || e.RowClear) && e.NoPeerAttempts
}

// RowIsClear reports whether a read of the claim row shows that the key is not
// claimed: the row is absent or released.
func RowIsClear(call Call, rows []platform.Row) bool {
	stored, ok := rowsByKey(rows)[RowKey(call.Service, call.Key)]
	if !ok {
		return true
	}
	row, err := DecodeRow(stored.Value)
	return err == nil && row.State == StateReleased && row.KeyHash == KeyHash(call.Service, call.Key)
}
