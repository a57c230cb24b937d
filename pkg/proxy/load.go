package proxy

import (
	"net/http"

	"balsamhill/pkg/loadreport"
	"balsamhill/pkg/routing"
)

const drainingHeader = "Balsamhill-Draining"

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
	if inFlight, ok := loadreport.InFlight(response.Header); ok {
		server.Stats.Report(now, inFlight)
	}
	if response.Header[drainingHeader] != nil {
		server.Stats.DrainNoticedAt.Store(now)
	}
}
