package proxy

import (
	"context"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"balsamhill/pkg/routing"
)

const (
	loadHeader     = "Endpoint-Load-Metrics"
	drainingHeader = "Balsamhill-Draining"
	internalPrefix = "Balsamhill-"
	connectTimeout = 250 * time.Millisecond
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// outgoing builds the request to a server.
func outgoing(ctx context.Context, r *http.Request, server *routing.Server) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = server.Address
	removeHopHeaders(out.Header)
	for name := range out.Header {
		if strings.HasPrefix(name, internalPrefix) {
			out.Header.Del(name)
		}
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err == nil {
		out.Header.Set("X-Forwarded-For", host)
	}
	return out
}

func removeHopHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	removeHopHeaders(to)
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
		if err != nil || inFlight < 0 || inFlight > 1e6 {
			return 0, false
		}
		return int64(inFlight), true
	}
	return 0, false
}

func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
	}
}
