package loadreport

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestParse guards against reports that would distort the estimate of a server's load.
func TestParse(t *testing.T) {
	for _, test := range []struct {
		desc, value string
		want        int64
		ok          bool
	}{
		{"complete report", "TEXT named_metrics.in_flight=3, application_utilization=0.7", 3, true},
		{"other order", "TEXT application_utilization=0.7,named_metrics.in_flight=12", 12, true},
		{"no report", "", 0, false},
		{"other format", `JSON {"named_metrics":{"in_flight":3}}`, 0, false},
		{"negative", "TEXT named_metrics.in_flight=-1", 0, false},
		{"not a number", "TEXT named_metrics.in_flight=NaN", 0, false},
		{"absurd", "TEXT named_metrics.in_flight=1e18", 0, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			got, ok := ParseInFlight(test.value)
			assert.Equal(t, got, test.want)
			assert.Equal(t, ok, test.ok)
		})
	}
}

// FuzzParse guards against reports of a server that crash the gateway or yield a value
// outside the accepted range.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"TEXT named_metrics.in_flight=3, application_utilization=0.7", "TEXT named_metrics.in_flight=NaN",
		"TEXT named_metrics.in_flight=-1", "TEXT named_metrics.in_flight=1e300", "TEXT ,,=", "JSON {}", "",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		inFlight, ok := ParseInFlight(value)
		if !ok && inFlight != 0 {
			t.Fatalf("%q: %d returned for an invalid report", value, inFlight)
		}
		if inFlight < 0 || inFlight > math.MaxInt32 {
			t.Fatalf("%q: %d is out of range", value, inFlight)
		}
		if ok && !strings.HasPrefix(value, "TEXT ") {
			t.Fatalf("%q accepted without the TEXT prefix", value)
		}
	})
}
