package loadreport

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reports that would upset the estimate of a server's load.
func TestParse(t *testing.T) {
	for _, test := range []struct {
		desc, value string
		want        int64
		ok          bool
	}{
		{"usual report", "TEXT named_metrics.in_flight=3, application_utilization=0.7", 3, true},
		{"other order", "TEXT application_utilization=0.7,named_metrics.in_flight=12", 12, true},
		{"no report", "", 0, false},
		{"other format", `JSON {"named_metrics":{"in_flight":3}}`, 0, false},
		{"negative", "TEXT named_metrics.in_flight=-1", 0, false},
		{"not a number", "TEXT named_metrics.in_flight=NaN", 0, false},
		{"absurd", "TEXT named_metrics.in_flight=1e18", 0, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			got, ok := Parse(test.value)
			assert.Equal(t, got, test.want)
			assert.Equal(t, ok, test.ok)
		})
	}
}
