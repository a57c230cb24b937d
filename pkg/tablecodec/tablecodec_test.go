package tablecodec

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/feed"
)

const maxBytes = 64 << 20

// configuration returns a document of routes as operators write them.
func configuration(routes int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var text strings.Builder
	for range routes {
		fmt.Fprintf(&text, `{"name":"r-%07x","host":"h%d.example","prefix":"/p%08x/","kind":"safe","timeoutMs":3000,`+
			`"targetLatencyMs":600,"priority":2,"service":"s%d","maxAttempts":2},`,
			random.Uint32()>>4, random.IntN(9), random.Uint32(), random.IntN(3))
	}
	return []byte(text.String())
}

// TestRowsRoundTrip guards against a field that is lost or decoded wrongly.
func TestRowsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOf(rapid.Byte()).Draw(t, "base")
		rows := rapid.SliceOf(rapid.Custom(func(t *rapid.T) feed.Row {
			return feed.Row{
				Key: rapid.String().Draw(t, "key"), Value: rapid.SliceOfN(rapid.Byte(), 1, -1).Draw(t, "value"),
				Version: rapid.Uint64().Draw(t, "version"), Deleted: rapid.Bool().Draw(t, "deleted"),
			}
		})).Draw(t, "rows")
		encoded, err := Encode(rows, base)
		assert.NilError(t, err)
		decoded, err := Decode(encoded, base, maxBytes)
		assert.NilError(t, err)
		assert.Equal(t, len(decoded), len(rows))
		for i, row := range rows {
			assert.DeepEqual(t, decoded[i], row)
		}
	})
}

// TestSmallChangeOfLargeRowIsSmall guards against a change of one route that moves the
// whole configuration.
func TestSmallChangeOfLargeRowIsSmall(t *testing.T) {
	for _, routes := range []int{100, 2_400, 24_000} {
		base := configuration(routes)
		value := bytes.Replace(base, []byte(`"timeoutMs":3000`), []byte(`"timeoutMs":9000`), 1)
		value = append(value, configuration(1)...)
		rows := []feed.Row{{Key: "config", Value: value, Version: 2}}
		encoded, err := Encode(rows, base)
		assert.NilError(t, err)
		assert.Assert(t, len(encoded) < 2_000, "%d routes: %d bytes", routes, len(encoded))
		decoded, err := Decode(encoded, base, maxBytes)
		assert.NilError(t, err)
		assert.Assert(t, len(decoded) == 1 && bytes.Equal(decoded[0].Value, value))
	}
}

// TestOtherBaseIsAnError guards against rows that are decoded relative to another value
// than they were encoded with.
func TestOtherBaseIsAnError(t *testing.T) {
	base := configuration(100)
	encoded, err := Encode([]feed.Row{{Key: "config", Value: append(base, 'x')}}, base)
	assert.NilError(t, err)
	_, err = Decode(encoded, nil, maxBytes)
	assert.Assert(t, err != nil)
	other := bytes.Replace(base, []byte("safe"), []byte("odd!"), 1)
	_, err = Decode(encoded, other, maxBytes)
	assert.Assert(t, err != nil, "the base differs in a few bytes")
}

// TestLimitOnDecodedSize guards against a small response that fills the memory.
func TestLimitOnDecodedSize(t *testing.T) {
	encoded, err := Encode([]feed.Row{{Key: "config", Value: make([]byte, 4<<20)}}, nil)
	assert.NilError(t, err)
	_, err = Decode(encoded, nil, 1<<20)
	assert.Assert(t, err != nil)
}

// FuzzDecode guards against a response of another writer that stops the process.
func FuzzDecode(f *testing.F) {
	base := configuration(3)
	encoded, err := Encode([]feed.Row{{Key: "config", Value: base, Version: 1}}, base)
	assert.NilError(f, err)
	f.Add(encoded)
	f.Add([]byte{0x28, 0xb5})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(data, base, 1<<20)
	})
}

func BenchmarkEncode(b *testing.B) {
	base := configuration(2_400)
	value := bytes.Replace(base, []byte(`"timeoutMs":3000`), []byte(`"timeoutMs":9000`), 1)
	rows := []feed.Row{{Key: "config", Value: value, Version: 2}}
	for name, base := range map[string][]byte{"whole": nil, "change": base} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				encoded, err := Encode(rows, base)
				assert.NilError(b, err)
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "bytes")
		})
		encoded, err := Encode(rows, base)
		assert.NilError(b, err)
		b.Run(name+"-decode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := Decode(encoded, base, maxBytes)
				assert.NilError(b, err)
			}
		})
	}
}
