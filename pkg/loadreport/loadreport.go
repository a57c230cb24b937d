// Package loadreport reads the load that servers report on their answers.
package loadreport

import (
	"net/http"
	"strconv"
	"strings"
)

// Header is the header that carries a report in the ORCA text format, for
// example "TEXT named_metrics.in_flight=3, application_utilization=0.7".
const Header = "Endpoint-Load-Metrics"

const (
	textPrefix    = "TEXT "
	inFlightField = "named_metrics.in_flight"
	// maxInFlight bounds reports, so that an absurd one cannot upset estimates.
	maxInFlight = 1e6
)

// Report is the load of a server at the moment of its answer.
type Report struct {
	// InFlight counts the requests that run or wait at the server.
	InFlight int64
	// SlowdownPermille is how long work takes at this moment, in permille of the
	// usual, 0 if the server does not say.
	SlowdownPermille int64
}

// InFlight returns the requests in flight at the server, if the answer reports
// them.
func InFlight(header http.Header) (int64, bool) {
	return Parse(header.Get(Header))
}

// Parse reads the requests in flight from the value of the header.
func Parse(value string) (int64, bool) {
	rest, ok := strings.CutPrefix(value, textPrefix)
	if !ok {
		return 0, false
	}
	for field := range strings.SplitSeq(rest, ",") {
		name, number, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || name != inFlightField {
			continue
		}
		inFlight, err := strconv.ParseFloat(number, 64)
		// The comparison is false for NaN.
		if err != nil || !(inFlight >= 0 && inFlight <= maxInFlight) {
			return 0, false
		}
		return int64(inFlight), true
	}
	return 0, false
}
