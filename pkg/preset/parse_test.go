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

// Guards against errors that hide problems, or do not say where they are and
// what is accepted.
func TestParseReportsAllProblems(t *testing.T) {
	tests := []struct {
		desc     string
		document string
		want     []string
	}{
		{
			desc:     "unknown fields at every level, and bad values",
			document: "{\n\"name\": \"Peak\",\n\"kind\": \"busy\",\n\"clases\": {},\n\"classes\": {\"fetch\": {\n\"retries\": 1,\n\"retryPercent\": 30}}}",
			want: []string{
				`line 2: name: "Peak" must be 1 to 63 lower-case letters, digits and hyphens and start with a letter`,
				`line 3: kind: "busy" is not one of ordinary, peak, maintenance`,
				`line 4: clases: unknown field; accepted are name, kind, description, classes, services, measuring, spillOver, maintenance`,
				`line 6: classes.fetch.retries: unknown field; accepted are timeoutMillis, idleMillis, maxBodyBytes, retryPercent, hedgePercent`,
				`line 7: classes.fetch.retryPercent: 30 is not between 0 and 20`,
			},
		},
		{
			desc:     "wrong types are reported once, next to other problems",
			document: "{\"name\": 7, \"kind\": \"peak\",\n\"spillOver\": {\"enabled\": \"yes\", \"loadPercent\": 101},\n\"maintenance\": [\"a b\", null]}",
			want: []string{
				`line 1: name: must be a text in quotes`,
				`line 2: spillOver.enabled: must be true or false`,
				`line 2: spillOver.loadPercent: 101 is not between 0 and 100`,
				`line 3: maintenance[0]: "a b" is not the ID of a VM (1 to 128 characters without spaces)`,
				`line 3: maintenance[1]: must be a text in quotes`,
			},
		},
		{
			desc:     "a field that is set twice",
			document: "{\"name\": \"a\", \"kind\": \"peak\",\n\"kind\": \"ordinary\"}",
			want:     []string{`line 2: kind: is set twice`},
		},
		{
			desc:     "class and service values",
			document: "{\"name\": \"a\", \"kind\": \"peak\", \"classes\": {\n\"upload\": {\"hedgePercent\": 1, \"timeoutMillis\": 9e18},\n\"stream\": {}},\n\"services\": {\"s\": {\"queueMillis\": 0, \"policy\": \"fastest\"}}}",
			want: []string{
				`line 2: classes.upload.hedgePercent: 1 is not 0; only the class fetch may be hedged`,
				`line 2: classes.upload.timeoutMillis: must be a whole number`,
				`line 3: classes.stream: "stream" is not one of fetch, booking, upload`,
				`line 4: services.s.policy: "fastest" is not one of random, round-robin, least-in-flight, power-of-two, weighted-load, hot-cold`,
				`line 4: services.s.queueMillis: 0 is not between 1 and 60000`,
			},
		},
		{
			desc:     "a time that would overflow a duration",
			document: "{\"name\": \"a\", \"kind\": \"peak\", \"classes\": {\"fetch\": {\"timeoutMillis\": 9223372036854775}}}",
			want:     []string{`line 1: classes.fetch.timeoutMillis: 9223372036854775 is not between 0 and 86400000`},
		},
		{desc: "syntax", document: "{\n\"name\" \"a\"}", want: []string{`line 2: invalid character '"' after object name`}},
		{desc: "not an object", document: "[]", want: []string{`line 1: must be an object {…}`}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, err := Parse([]byte(test.document))
			assert.Assert(t, errors.Is(err, ErrInvalid))
			var want []string
			for _, line := range test.want {
				want = append(want, "invalid preset: "+line)
			}
			assert.DeepEqual(t, strings.Split(err.Error(), "\n"), want)
		})
	}
}

// Guards against a document that names one value and thereby resets its
// neighbours to zero.
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

func TestExamplesAreValid(t *testing.T) {
	for _, document := range examples.Presets() {
		parsed, err := Parse(document.Text)
		assert.NilError(t, err)
		assert.Equal(t, parsed.Name, document.Name)
	}
}

// Guards against a base line that show writes and apply does not understand.
func TestBaseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := Base{
			Name:     rapid.StringMatching(`[a-z][a-z0-9-]{0,62}`).Draw(t, "name"),
			Revision: rapid.Uint64().Draw(t, "revision"),
		}
		document := []byte(rapid.String().Draw(t, "document"))
		found, rest, err := SplitBase(WithBase(base, document))
		assert.NilError(t, err)
		assert.Equal(t, *found, base)
		assert.Equal(t, string(rest), string(document))
	})
}

// Guards against a damaged base line that silently switches the check off.
func TestDamagedBaseIsRefused(t *testing.T) {
	for _, line := range []string{"// balsamhill preset peak at revision x", "// balsamhill preset peak at revision 99999999999999999999"} {
		_, _, err := SplitBase([]byte(line + "\n{}"))
		assert.Assert(t, errors.Is(err, ErrInvalid), line)
	}
}

// Guards against an accepted document that does not survive being stored: the
// text of an accepted preset must parse to the same preset, and must not differ
// from itself.
func FuzzParse(f *testing.F) {
	for _, document := range examples.Presets() {
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
