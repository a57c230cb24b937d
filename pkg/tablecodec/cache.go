package tablecodec

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"balsamhill/pkg/feed"
)

// Encoded is an encoded batch of rows.
type Encoded struct {
	id   uint64
	Body []byte
	// ETag is the entity tag of Body.
	ETag string
	// Relative says that the body is encoded relative to the base.
	Relative bool
}

// maxEncodings is how many large bodies are kept for further readers, and minKeptBytes the
// size from which a body is kept.
const (
	maxEncodings = 4
	minKeptBytes = 4 << 10
)

// Cache encodes batches and keeps the large results, because a change is read by all
// gateways of a group at about the same time. It is safe for concurrent use.
type Cache struct {
	mu   sync.Mutex
	kept []Encoded
}

// Encode encodes the rows of a batch relative to a value of another row, if that is not nil.
func (c *Cache) Encode(batch feed.Batch, base feed.Base, baseValue []byte) (Encoded, error) {
	rows := batch.Rows
	if baseValue == nil {
		base = feed.Base{}
	}
	id, size := identify(batch, base)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kept := range c.kept {
		if kept.id == id {
			return kept, nil
		}
	}
	body, err := Encode(rows, baseValue)
	encoded := Encoded{
		id: id, Body: body, Relative: baseValue != nil, ETag: fmt.Sprintf(`"%016x"`, xxhash.Sum64(body)),
	}
	if err == nil && size >= minKeptBytes {
		c.kept = append(c.kept, encoded)
		c.kept = slices.Delete(c.kept, 0, max(0, len(c.kept)-maxEncodings))
	}
	return encoded, err
}

// identify returns a hash of the rows of a batch and of the name of their base, and the
// size of the rows. It covers the values, because a version does not identify the value
// of a row whose earlier value was kept when the store returned from an older copy.
func identify(batch feed.Batch, base feed.Base) (id uint64, size int) {
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%q %d %d %d %d", base.Key, base.Era, base.Version, base.Rank, batch.Era)
	for _, row := range batch.Rows {
		_, _ = fmt.Fprintf(digest, " %q %d %t ", row.Key, row.Version, row.Deleted)
		_, _ = digest.Write(row.Value)
		size += len(row.Value)
	}
	return digest.Sum64(), size
}
