package preset

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/examples"
)

// TestParseReportsAllProblems guards against errors that omit problems, their positions
// or the accepted values.
func TestParseReportsAllProblems(t *testing.T) {
	tests := []struct{ desc, document, want string }{
		{
			"unknown fields at every level, and bad values",
			"{\"name\": \"Peak\",\n\"kind\": \"busy\",\n\"clases\": {},\n\"classes\": {\"fetch\": {\n\"retries\": 1,\n\"retryPercent\": 30}}}",
			`line 1: name: "Peak" must be 1 to 63 lower-case letters, digits and hyphens and start with a letter
line 2: kind: "busy" is not one of ordinary, peak, maintenance
line 3: clases: unknown field; accepted are name, kind, description, classes, services, measuring, spillOver, maintenance
line 5: classes.fetch.retries: unknown field; accepted are timeoutMillis, idleMillis, maxBodyBytes, retryPercent, hedgePercent
line 6: classes.fetch.retryPercent: 30 is not between 0 and 20`,
		},
		{
			"wrong types and repeated fields are reported once, next to other problems",
			"{\"name\": 7, \"kind\": \"peak\",\n\"kind\": \"ordinary\", \"spillOver\": {\"enabled\": \"yes\", \"loadPercent\": 101},\n\"maintenance\": [\"a b\", null]}",
			`line 1: name: must be a string in quotes
line 2: kind: is set twice
line 2: spillOver.enabled: must be true or false
line 2: spillOver.loadPercent: 101 is not between 0 and 100
line 3: maintenance[0]: "a b" is not the ID of a VM (1 to 128 characters without spaces)
line 3: maintenance[1]: must be a string in quotes`,
		},
		{
			"class and service values, and a time that would overflow a duration",
			"{\"name\": \"a\", \"kind\": \"peak\", \"classes\": {\n\"upload\": {\"hedgePercent\": 1, \"idleMillis\": 9e18, \"timeoutMillis\": 9223372036854775},\n\"stream\": {}},\n\"services\": {\"s\": {\"queueMillis\": 0, \"policy\": \"fastest\"}}}",
			`line 2: classes.upload.hedgePercent: 1 is not 0; only the class fetch may be hedged
line 2: classes.upload.idleMillis: must be a whole number
line 2: classes.upload.timeoutMillis: 9223372036854775 is not between 0 and 86400000
line 3: classes.stream: "stream" is not one of fetch, booking, upload
line 4: services.s.policy: "fastest" is not one of random, round-robin, least-in-flight, power-of-two, weighted-load, hot-cold
line 4: services.s.queueMillis: 0 is not between 1 and 60000`,
		},
		{"syntax", "{\n\"name\" \"a\"}", `line 2: invalid character '"' after object name`},
		{"not an object", "[]", `line 1: must be an object {…}`},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, err := Parse([]byte(test.document))
			assert.Assert(t, errors.Is(err, ErrInvalid))
			assert.Equal(t, strings.ReplaceAll(err.Error(), "invalid preset: ", ""), test.want)
		})
	}
}

// TestParseKeepsDefaults guards against a document that sets one field and thereby
// resets the other fields of the same entry to zero.
func TestParseKeepsDefaults(t *testing.T) {
	parsed, err := Parse([]byte(`{"name": "a", "kind": "peak",
		"classes": {"fetch": {"retryPercent": 5}}, "services": {"s": {"queueMillis": 50}}, "measuring": {"linkPercent": 0.1}}`))
	assert.NilError(t, err)
	want := Default("a", KindPeak)
	fetch := want.Classes[ClassFetch]
	fetch.RetryPercent = 5
	want.Classes[ClassFetch] = fetch
	tuning := DefaultTuning()
	tuning.QueueMillis = 50
	want.Services["s"] = tuning
	want.Measuring.LinkPercent = 0.1
	assert.DeepEqual(t, parsed, want)
}

// TestBaseRoundTrip guards against a base line that "preset show" writes and "preset
// apply" cannot parse, and against a damaged one that silently disables the check.
func TestBaseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := Base{
			Name:     rapid.StringMatching(`[a-z][a-z0-9-]{0,62}`).Draw(t, "name"),
			Revision: rapid.Uint64().Draw(t, "revision"),
		}
		document := []byte(rapid.String().Draw(t, "document"))
		parsed, rest, err := SplitBase(WithBase(base, document))
		assert.NilError(t, err)
		assert.Equal(t, *parsed, base)
		assert.Equal(t, string(rest), string(document))
	})
	for _, line := range []string{"// balsamhill preset peak at revision x", "// balsamhill preset peak at revision 99999999999999999999"} {
		_, _, err := SplitBase([]byte(line + "\n{}"))
		assert.Assert(t, errors.Is(err, ErrInvalid), line)
	}
}

// FuzzParse guards against an accepted document that changes when it is stored: the
// encoded preset must parse to the same preset, and a document must not differ from
// itself.
func FuzzParse(f *testing.F) {
	for _, document := range examples.Presets() {
		parsed, err := Parse(document.Text)
		assert.NilError(f, err)
		assert.Equal(f, parsed.Name, document.Name)
		f.Add(document.Text)
	}
	f.Add([]byte(`{"name": "a", "kind": "peak", "classes": {"fetch": null}, "maintenance": null}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		parsed, err := Parse(document)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrInvalid))
			return
		}
		assert.NilError(t, parsed.Validate())
		text, err := json.Marshal(parsed)
		assert.NilError(t, err)
		if len(text) <= MaxDocumentBytes {
			again, err := Parse(text)
			assert.NilError(t, err)
			stored, err := json.Marshal(again)
			assert.NilError(t, err)
			assert.Equal(t, string(stored), string(text))
		}
		assert.Equal(t, len(Diff(document, document)), 0)
		_, _, _ = SplitBase(document)
	})
}
