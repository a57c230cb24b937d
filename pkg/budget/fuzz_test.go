package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// FuzzParseRow guards against stored grant rows with arbitrary content: an accepted row
// has no negative share and is unchanged after encoding and decoding, and a holder that
// plans with it never gets more than the total.
func FuzzParseRow(f *testing.F) {
	f.Add([]byte(`{"grants":[{"holder":"gw-1@2","share":1.5,"expires":"2026-01-01T00:00:00Z"}]}`))
	f.Add([]byte(`{"grants":[{"share":-1}]}`))
	f.Add([]byte(`{"grants":[{"share":1e308},{"share":1e308}]}`))
	f.Add([]byte(`null`))
	f.Add([]byte(``))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := ParseRow(value)
		if err != nil {
			assert.ErrorIs(t, err, ErrInvalidRow)
			return
		}
		for _, entry := range row.Grants {
			assert.Assert(t, entry.Share >= 0)
		}
		again, err := ParseRow(row.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, again.Encode(), row.Encode())
		const total = 10
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		holder := NewHolder("gw-own@1")
		holder.Plan(RowRead{Row: row, SentAt: 1, Time: now}, total, total)
		holder.WriteCompleted(true)
		share := holder.Share(2)
		assert.Assert(t, share >= 0 && share <= total, share)
	})
}
