package proxy

import (
	"net/http"
	"strconv"
	"strings"

	"balsamhill/pkg/routing"
)

const (
	loadHeader     = "Endpoint-Load-Metrics"
	drainingHeader = "Balsamhill-Draining"
	// maxInFlight is above what any server reports truthfully.
	maxInFlight = 1e6
)

// observe takes what an answer says about the server.
func observe(server *routing.Server, response *http.Response, now, latency int64) {
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		server.Stats.Shed()
	case response.StatusCode >= http.StatusInternalServerError:
		server.Stats.Failure()
	default:
		server.Stats.Success(now, latency)
	}
	if report := response.Header[loadHeader]; len(report) > 0 {
		if inFlight, ok := parseLoad(report[0]); ok {
			server.Stats.Report(now, inFlight)
		}
	}
	if response.Header[drainingHeader] != nil {
		server.Stats.DrainNoticedAt.Store(now)
	}
}

// parseLoad reads the requests in flight from a load report in the ORCA text
// format, "TEXT named_metrics.in_flight=3, application_utilization=0.7".
func parseLoad(value string) (int64, bool) {
	rest, ok := strings.CutPrefix(value, "TEXT ")
	if !ok {
		return 0, false
	}
	for field := range strings.SplitSeq(rest, ",") {
		name, number, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || name != "named_metrics.in_flight" {
			continue
		}
		inFlight, err := strconv.ParseFloat(number, 64)
		// The comparison also refuses NaN.
		if err != nil || !(inFlight >= 0 && inFlight <= maxInFlight) {
			return 0, false
		}
		return int64(inFlight), true
	}
	return 0, false
}
