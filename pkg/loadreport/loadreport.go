// Package loadreport parses the load reports in the responses of servers. The proxy and
// the probes use it. It does no I/O.
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
	// maxInFlight bounds the accepted values, so that an implausible report cannot
	// distort the estimates of a server's load.
	maxInFlight = 1e6
)

// Report is the load of a server at the time of its response.
type Report struct {
	// InFlight is the number of requests that run or wait at the server.
	InFlight int64
	// SlowdownPermille is the current service time in permille of the nominal one, 0 if
	// the server does not report it.
	SlowdownPermille int64
}

// InFlight returns the number of requests in flight at the server, and false if the
// response does not report it.
func InFlight(header http.Header) (int64, bool) {
	return ParseInFlight(header.Get(Header))
}

// ParseInFlight returns the number of requests in flight from the value of the header, and
// false if the value does not contain a valid one.
func ParseInFlight(value string) (int64, bool) {
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
