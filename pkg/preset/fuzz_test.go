package preset

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzSplitBase guards the check for edits of other operators: a line that WithBase
// wrote is parsed to the same base, a damaged one is an error, and the document is
// not changed.
func FuzzSplitBase(f *testing.F) {
	f.Add([]byte("// balsamhill preset peak at revision 7; keep\n{}"))
	f.Add([]byte("// balsamhill preset peak at revision 99999999999999999999\n{}"))
	f.Add([]byte("\xef\xbb\xbf// balsamhill preset \r\n{}"))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		base, document, err := SplitBase(text)
		if err != nil {
			assert.ErrorIs(t, err, ErrInvalid)
			assert.Assert(t, base == nil && document == nil)
			return
		}
		assert.Assert(t, bytes.HasSuffix(text, document))
		if base == nil {
			assert.Assert(t, !bytes.HasPrefix(document, []byte(basePrefix)))
			return
		}
		parsed, rest, err := SplitBase(WithBase(*base, document))
		assert.NilError(t, err)
		assert.Equal(t, *parsed, *base)
		assert.Assert(t, bytes.Equal(rest, document))
	})
}

// FuzzDiff guards against documents that crash the display of differences, and
// against a document that differs from itself.
func FuzzDiff(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":null}],}`), []byte(`{"a":[]}`))
	f.Add([]byte("{"), []byte("// x\n"))
	f.Fuzz(func(t *testing.T, from, to []byte) {
		_ = Diff(from, to)
		assert.Equal(t, len(Diff(from, from)), 0)
	})
}
