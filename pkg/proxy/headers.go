package proxy

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"balsamhill/pkg/handoff"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/serverconn"
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

// lowercaseNames maps headers to the names under which they are sent to servers.
// http.Transport resends a request on its own if its header map has the key
// "Idempotency-Key" or "X-Idempotency-Key" in canonical spelling. Header names are
// case-insensitive, so the spelling makes no difference to servers.
var lowercaseNames = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// hopByHopHeaders apply to one connection and are not forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Http2-Settings": true,
}

// isGatewayHeader reports whether only gateways and trusted proxies may set a header.
// Underscores count as hyphens, because servers that map header names to variables,
// as CGI does, do not distinguish them.
func isGatewayHeader(name string) bool {
	if strings.IndexByte(name, '_') >= 0 {
		name = textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-"))
	}
	return strings.HasPrefix(name, internalPrefix) || strings.HasPrefix(name, "X-Forwarded-") || name == "Forwarded"
}

// outgoingRequest builds the request of one attempt. It shares the slices of header
// values with the caller's request and does not modify them.
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
		// http.Transport resends requests with these methods on its own unless they
		// have a body that it cannot rewind. Its resends would bypass the retry budget.
		out.Body = serverconn.EmptyBody{}
	}
	return out
}

func (c *call) outgoingHeader(dispatch Dispatch) http.Header {
	from := c.r.Header
	to := make(http.Header, len(from)+maxAddedHeaders)
	values := make(valueArena, 0, maxAddedHeaders)
	named := connectionOptions(from)
	for name, values := range from {
		if hopByHopHeaders[name] || (named != nil && named[name]) || (!c.trusted && isGatewayHeader(name)) {
			continue
		}
		if lowercase, ok := lowercaseNames[name]; ok {
			name = lowercase
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
		// The gateway has already read the body.
		delete(to, "Expect")
	}
	if _, ok := to["User-Agent"]; !ok {
		// Keeps http.Transport from adding its default value.
		to["User-Agent"] = nil
	}
	c.proxy.config.Protocol.SetRequestHeader(to, dispatch)
	if dispatch.Handoff != "" {
		values.set(to, handoff.Header, dispatch.Handoff)
	}
	c.addForwardingHeaders(to, &values)
	return to
}

// newDispatch describes the attempt with the given number to a server.
func (c *call) newDispatch(server *routing.Server, number int) Dispatch {
	remaining, _ := retry.RemainingMillis(c.proxy.config.Now(), c.deadline)
	dispatch := Dispatch{
		RequestID:       c.requestID,
		Attempt:         retry.OutgoingAttempt(c.incomingAttempt, number),
		RemainingMillis: remaining,
	}
	if !server.Gateway {
		dispatch.ServerID = server.ID
	}
	return dispatch
}

// maxAddedHeaders is the maximum number of headers that the gateway adds to a request.
const maxAddedHeaders = 9

// valueArena stores the values of several single-valued headers in one allocation.
type valueArena []string

func (v *valueArena) set(header http.Header, name, value string) {
	*v = append(*v, value)
	last := len(*v)
	header[name] = (*v)[last-1 : last : last]
}

// connectionOptions returns the headers that the Connection header declares as
// hop-by-hop in addition to hopByHopHeaders, nil if there are none.
func connectionOptions(header http.Header) map[string]bool {
	lines := header["Connection"]
	if len(lines) == 0 {
		return nil
	}
	var names map[string]bool
	for _, line := range lines {
		for name := range strings.SplitSeq(line, ",") {
			canonical := textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
			if hopByHopHeaders[canonical] || canonical == "Close" {
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

// copyResponseHeader copies the headers of a server's response, except hop-by-hop
// headers and those meant for gateways.
func copyResponseHeader(protocol Protocol, to, from http.Header) {
	named := connectionOptions(from)
	for name, values := range from {
		if hopByHopHeaders[name] || (named != nil && named[name]) || protocol.IsInternal(name) || name == handoff.Header {
			continue
		}
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		// Keeps net/http from detecting one from the body.
		to["Content-Type"] = nil
	}
}

// parseAttemptNumber parses Balsamhill-Attempt; invalid values count as 0.
func parseAttemptNumber(value string) int {
	number, err := strconv.Atoi(value)
	if err != nil || number < 0 {
		return 0
	}
	return number
}
