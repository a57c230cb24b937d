package presetstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
)

// FuzzInForceRows guards against stored rows that crash a gateway: they are either
// an error, or the version holds a valid preset and the revision of the head.
func FuzzInForceRows(f *testing.F) {
	head := []byte(`{"revision":9,"name":"peak","inForceRevision":7}`)
	f.Add(head, []byte(`{"name":"peak","revision":7,"document":"{\"name\":\"peak\",\"kind\":\"peak\"}"}`))
	f.Add(head, []byte(`{"document":"{"}`))
	f.Add([]byte(`{"revision":-1}`), []byte(`null`))
	f.Fuzz(func(t *testing.T, headValue, documentValue []byte) {
		rows := []platform.Row{{Key: headKey, Value: headValue}, {Key: documentPrefix + "peak", Value: documentValue}}
		decoded, stored, err := decodeInForce(rows, "peak")
		if err != nil {
			assert.ErrorIs(t, err, platform.ErrProtocol)
			return
		}
		got, err := parseVersion(decoded, stored)
		if err != nil {
			return
		}
		assert.Equal(t, got.Revision, decoded.InForceRevision)
		_, err = preset.Parse(got.Document)
		assert.NilError(t, err)
	})
}
