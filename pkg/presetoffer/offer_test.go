package presetoffer

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

var document = []byte(`{"name":"peak","kind":"peak"}`)

// TestSignature guards against adopting a forged or altered offer.
func TestSignature(t *testing.T) {
	key, otherKey := []byte("0123456789abcdef"), []byte("fedcba9876543210")
	signed := New(7, document, key)
	altered := signed
	altered.Revision = 8
	tests := []struct {
		desc  string
		offer Offer
		key   []byte
		want  error
	}{
		{desc: "signed", offer: signed, key: key},
		{desc: "other key", offer: signed, key: otherKey, want: ErrSignature},
		{desc: "altered revision", offer: altered, key: key, want: ErrSignature},
		{desc: "unsigned where a key is configured", offer: New(7, document, nil), key: key, want: ErrSignature},
		{desc: "unsigned where no key is configured", offer: New(7, document, nil)},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			version, err := test.offer.Version(test.key)
			assert.ErrorIs(t, err, test.want)
			if test.want == nil {
				assert.Equal(t, version.Revision, uint64(7))
				assert.Equal(t, version.Preset.Name, "peak")
			}
		})
	}
}

// TestShortKeyIsRefused guards against a key that is empty by mistake, which would
// disable signatures.
func TestShortKeyIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(path, []byte(" short\n"), 0o600))
	_, err := ReadKey(path)
	assert.ErrorIs(t, err, ErrKey)
}
