package proxy

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

const (
	internalPrefix  = "Balsamhill-"
	outcomeHeader   = "Balsamhill-Outcome"
	replayHeader    = "Balsamhill-Replay"
	attemptHeader   = "Balsamhill-Attempt"
	keyHeader       = "Idempotency-Key"
	timeoutHeader   = "X-Request-Timeout-Ms"
	requestIDHeader = "X-Request-Id"
)

// wireNames are the keys under which a header is put into the map of a request
// to a server. http.Transport resends a request by itself if the map holds
// "Idempotency-Key" or "X-Idempotency-Key" in this spelling. Header names are
// case-insensitive on the wire, so servers see no difference.
var wireNames = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Http2-Settings": true,
}

// isInternal reports whether a header is set by gateways only. Servers that
// map header names to variables read an underscore like a hyphen.
func isInternal(name string) bool {
	if strings.IndexByte(name, '_') >= 0 {
		name = textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-"))
	}
	return strings.HasPrefix(name, internalPrefix) || strings.HasPrefix(name, "X-Forwarded-") || name == "Forwarded"
}

// outgoingRequest builds the request of one attempt. Slices of header values are
// shared with the caller's request and are not changed.
func (c *call) outgoingRequest(server *routing.Server, dispatch Dispatch) *http.Request {
	r := c.r
	out := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme: "http", Host: server.Address,
			Path: r.URL.Path, RawPath: r.URL.RawPath,
			RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
		},
		Host:       r.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     c.outgoingHeader(dispatch),
	}
	if r.Host == "" {
		out.Host = server.Address
	}
	c.body.attach(out)
	if out.Body == nil && (c.safety != retry.Idempotent || c.route.IdempotencyFromClass) && safeMethod(r.Method) {
		// http.Transport resends requests with these methods by itself unless they
		// have a body of unknown content. Its resends would escape the retry budget.
		out.Body = &emptyBody{}
	}
	return out
}

func (c *call) outgoingHeader(dispatch Dispatch) http.Header {
	from := c.r.Header
	to := make(http.Header, len(from)+addedHeaders)
	values := make(headerValues, 0, addedHeaders)
	named := connectionNames(from)
	for name, values := range from {
		if hopHeaders[name] || (named != nil && named[name]) || (!c.trusted && isInternal(name)) {
			continue
		}
		if wire, ok := wireNames[name]; ok {
			name = wire
		}
		to[name] = values
	}
	if acceptsTrailers(from) {
		to["Te"] = []string{"trailers"}
	}
	if c.upgrade != "" {
		to["Connection"] = []string{"Upgrade"}
		to["Upgrade"] = []string{c.upgrade}
	}
	if c.body.buffered != nil {
		// The gateway has read the body already.
		delete(to, "Expect")
	}
	if _, ok := to["User-Agent"]; !ok {
		// Keeps http.Transport from adding its own.
		to["User-Agent"] = nil
	}
	c.proxy.config.Protocol.SetRequestHeader(to, dispatch)
	c.addForwardingHeaders(to, &values)
	return to
}

// newDispatch describes the next request to a server.
func (c *call) newDispatch(server *routing.Server, number int) Dispatch {
	left, _ := retry.RemainingMillis(c.proxy.config.Now(), c.deadline)
	return Dispatch{
		RequestID:       c.requestID,
		ServerID:        server.ID,
		Attempt:         retry.OutgoingAttempt(c.incomingAttempt, number),
		RemainingMillis: left,
	}
}

// addedHeaders is how many headers the gateway adds to a request.
const addedHeaders = 8

// headerValues holds the single values of several headers in one allocation.
type headerValues []string

func (v *headerValues) set(header http.Header, name, value string) {
	*v = append(*v, value)
	last := len(*v)
	header[name] = (*v)[last-1 : last : last]
}

// connectionNames returns the names that the Connection header declares to be
// hop-by-hop, nil if there is nothing unusual.
func connectionNames(header http.Header) map[string]bool {
	lines := header["Connection"]
	if len(lines) == 0 {
		return nil
	}
	var names map[string]bool
	for _, line := range lines {
		for name := range strings.SplitSeq(line, ",") {
			canonical := textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
			if hopHeaders[canonical] || canonical == "Close" {
				continue
			}
			if names == nil {
				names = map[string]bool{}
			}
			names[canonical] = true
		}
	}
	return names
}

func acceptsTrailers(header http.Header) bool {
	for _, line := range header["Te"] {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(token), "trailers") {
				return true
			}
		}
	}
	return false
}

// copyResponseHeader passes a server's headers on. What servers tell gateways
// stays between them.
func copyResponseHeader(dialect Protocol, to, from http.Header) {
	named := connectionNames(from)
	for name, values := range from {
		if hopHeaders[name] || (named != nil && named[name]) || dialect.IsInternal(name) {
			continue
		}
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		to["Content-Type"] = nil
	}
}

// parseAttemptNumber reads Balsamhill-Attempt; invalid values count as 0.
func parseAttemptNumber(value string) int {
	number, err := strconv.Atoi(value)
	if err != nil || number < 0 {
		return 0
	}
	return number
}
