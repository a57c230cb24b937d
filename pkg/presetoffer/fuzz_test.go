package presetoffer

import (
	"bytes"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzOffer guards against offers that crash a gateway, and against an offer that is
// accepted although its signature does not match its revision and document.
func FuzzOffer(f *testing.F) {
	key := []byte("0123456789abcdef")
	for _, offer := range []Offer{New(7, document, key), New(7, document, nil), New(1<<63, []byte("{"), key)} {
		data, err := json.Marshal(offer)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"revision":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var offer Offer
		if json.Unmarshal(data, &offer) != nil {
			return
		}
		version, err := offer.Version(key)
		if err == nil {
			signed := New(offer.Revision, offer.Document, key)
			assert.Assert(t, bytes.Equal(signed.Signature, offer.Signature))
			assert.Equal(t, version.Revision, offer.Revision)
			assert.Assert(t, version.Preset != nil)
		}
		_, _ = offer.Version(nil)
	})
}
