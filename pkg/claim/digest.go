package claim

import (
	"time"

	"github.com/bits-and-blooms/bloom/v3"

	"balsamhill/pkg/platform"
)

const (
	// DigestKeys is the number of keys for which a filter is sized at least;
	// with the false positive rate below it takes 2.4 MiB.
	DigestKeys = 1 << 20
	// digestFalsePositives is the share of unclaimed keys that look claimed, and
	// for which the outcome is unknown although the call did not run.
	digestFalsePositives = 1e-4
)

// Digest is a Bloom filter of the keys of claim rows, fed from the change feed.
// The feed carries keys only, so keys whose rows are released are in the digest
// too. A filter cannot forget, so it is rebuilt from a full read from time to time
// while the former one stays in use. The digest is not
// safe for concurrent use.
type Digest struct {
	keys     uint
	current  *bloom.BloomFilter
	position uint64
	complete bool
	// inherited holds the keys of the first full read, nil before its end.
	inherited *bloom.BloomFilter
	// next is the filter under construction, nil if there is none.
	next         *bloom.BloomFilter
	nextPosition uint64
	added        uint
}

// NewDigest returns an empty digest whose first read has not begun.
func NewDigest(keys uint) *Digest {
	return &Digest{keys: keys, current: newFilter(keys)}
}

func newFilter(keys uint) *bloom.BloomFilter {
	return bloom.NewWithEstimates(keys, digestFalsePositives)
}

// Position returns where the next read of the change feed must begin.
func (d *Digest) Position() uint64 {
	if d.next != nil {
		return d.nextPosition
	}
	return d.position
}

// Rebuild begins a new full read.
func (d *Digest) Rebuild() {
	if !d.complete || d.next != nil {
		return
	}
	d.next = newFilter(max(d.keys, 2*d.added))
	d.nextPosition = 0
	d.added = 0
}

// DigestIDs returns the keys that rows of the change feed add to the digest.
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

// AddFeedPage adds what one read of the feed from Position returned.
func (d *Digest) AddFeedPage(ids []ID, next uint64, more bool) {
	for _, id := range ids {
		d.Add(id)
	}
	if d.next == nil {
		d.position = next
		if !d.complete && !more {
			d.complete = true
			d.inherited = d.current.Copy()
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

// Add adds a key.
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

// MayInherit reports whether a former incarnation of this gateway may have claimed
// the key: the first full read has not ended, or it showed the key.
func (d *Digest) MayInherit(id ID) bool {
	return !d.complete || d.inherited.Test(id[:])
}

// Has reports whether the key may be claimed.
func (d *Digest) Has(id ID) bool {
	return d.current.Test(id[:])
}

// History remembers the keys that this gateway dispatched, for at least Retention,
// so that it can answer the queries of gateways that cannot read the feed.
type History struct {
	keys      uint
	current   *bloom.BloomFilter
	former    *bloom.BloomFilter
	rotatedAt int64
}

// NewHistory returns an empty memory. Now is on the monotonic clock.
func NewHistory(now int64, keys uint) *History {
	return &History{keys: keys, current: newFilter(keys), former: newFilter(1), rotatedAt: now}
}

// Add remembers a key.
func (h *History) Add(now int64, id ID) {
	if time.Duration(now-h.rotatedAt) >= Retention {
		h.former, h.current = h.current, newFilter(h.keys)
		h.rotatedAt = now
	}
	h.current.Add(id[:])
}

// Has reports whether the key may have been dispatched.
func (h *History) Has(id ID) bool {
	return h.current.Test(id[:]) || h.former.Test(id[:])
}

// Evidence is what a gateway knows when it wants to say not-run of a call that it
// did not claim.
type Evidence struct {
	// OtherAttempts says that the gateway's own ledger holds an attempt of the key
	// or that it dispatched the key before.
	OtherAttempts bool
	// DigestComplete and InDigest describe the digest of claimed keys.
	DigestComplete bool
	InDigest       bool
	// RowClear says that the claim row, read after the peers answered, shows that
	// the key is not claimed. It clears a false positive or a released key.
	RowClear bool
	// NoPeerAttempts says that each gateway that may hold an attempt answered that
	// it has none.
	NoPeerAttempts bool
}

// MayReportNotRun reports whether the evidence proves that the call did not run and
// cannot run any more.
func MayReportNotRun(e Evidence) bool {
	return !e.OtherAttempts && e.DigestComplete && (!e.InDigest || e.RowClear) && e.NoPeerAttempts
}

// RowIsClear reports whether a read of the claim row shows that the key is not
// claimed: the row is absent or released.
func RowIsClear(call Call, rows []platform.Row) bool {
	stored, ok := byKey(rows)[RowKey(call.Service, call.Key)]
	if !ok {
		return true
	}
	row, err := DecodeRow(stored.Value)
	return err == nil && row.State == StateReleased && row.KeyHash == KeyHash(call.Service, call.Key)
}
