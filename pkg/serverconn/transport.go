// Package serverconn opens and keeps the connections of a gateway to servers. A connection
// counts its writes, so that the proxy can determine whether a request was sent, and checks what
// comes back; see package responsecheck. The gateways of both daemons set it up; package proxy and
// the probes use it. The clients of the store, of other gateways and of the operator's tool are made
// here too.
package serverconn

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"balsamhill/pkg/settings"
)

const (
	// connIdleTimeout is shorter than the idle timeout of usual servers, so that the
	// gateway closes idle connections first.
	connIdleTimeout = 10 * time.Second
	// freshConnIdleTimeout limits the time since the last response on fresh
	// connections. Calls that run at most once use them: a connection that became
	// unresponsive would leave such a call with an unknown outcome.
	freshConnIdleTimeout = 500 * time.Millisecond
	// expectContinueTimeout is how long the gateway waits for the server's 100
	// Continue.
	expectContinueTimeout = time.Second
	// pingIdleTimeout and pingTimeout detect unresponsive HTTP/2 connections within
	// 4 s.
	pingIdleTimeout = 2 * time.Second
	pingTimeout     = 2 * time.Second
	// minConnections is the minimum of the limit on connections to one server.
	minConnections = 2
	// maxResponseHeaderBytes bounds the size of a response header.
	maxResponseHeaderBytes = 256 << 10
)

// Transports sends the requests of a gateway to servers: two http.Transports for each service.
// It implements proxy.ServerTransport, which explains ordinary and fresh connections.
type Transports struct {
	services map[string]*serviceTransports
	// fallback sends the requests of services that are not in the map.
	fallback *serviceTransports
}

type serviceTransports struct {
	http2           bool
	ordinary, fresh *CheckedTransport
	// idleClosedAt is the wall-clock time of the last CloseIdle in nanoseconds.
	idleClosedAt atomic.Int64
}

// New returns the transports of all services. Each gateway opens at most
// MaxConnections / maxGateways connections to a server, and at least 2. The two
// transports of a service get half of them each, because neither can release a
// connection to the other. report may be nil.
func New(services []settings.Service, maxGateways int, report RefusalFunc) *Transports {
	t := &Transports{services: map[string]*serviceTransports{}}
	for _, s := range services {
		limit := max(minConnections, s.MaxConnections/max(1, maxGateways))
		t.services[s.Name] = &serviceTransports{
			http2:    s.HTTP2,
			ordinary: newTransport(Dial, s.HTTP2, limit-limit/2, connIdleTimeout, report),
			fresh:    newTransport(Dial, s.HTTP2, limit/2, freshConnIdleTimeout, report),
		}
	}
	return t
}

// SharedConfig configures NewShared.
type SharedConfig struct {
	// Dial opens connections.
	Dial DialFunc
	// Connections is the maximum number of connections to one server.
	Connections int
	// Idle and FreshIdle are the idle timeouts of ordinary and of fresh connections.
	Idle, FreshIdle time.Duration
	// Refused is called when a server sends what is no response. It may be nil.
	Refused RefusalFunc
}

// NewShared returns one pair of transports for all services, for
// deployments whose services are not known in advance.
func NewShared(config SharedConfig) *Transports {
	half := max(1, config.Connections/2)
	return &Transports{fallback: &serviceTransports{
		ordinary: newTransport(config.Dial, false, half, config.Idle, config.Refused),
		fresh:    newTransport(config.Dial, false, half, config.FreshIdle, config.Refused),
	}}
}

func (t *Transports) forService(service string) *serviceTransports {
	if transports, ok := t.services[service]; ok {
		return transports
	}
	return t.fallback
}

// RoundTrip implements proxy.ServerTransport.
func (t *Transports) RoundTrip(service string, fresh bool, request *http.Request) (*http.Response, error) {
	transports := t.forService(service)
	if transports.http2 {
		// HTTP/2 has no Upgrade header. A server may ignore the header, so the
		// response to a request without it is valid.
		request.Header.Del("Connection")
		request.Header.Del("Upgrade")
		if fresh && request.Body == nil {
			// net/http resends requests without a body after some stream errors that
			// do not guarantee that the request was not processed.
			request.Body = EmptyBody{}
		}
	}
	if fresh {
		return transports.fresh.RoundTrip(request)
	}
	return transports.ordinary.RoundTrip(request)
}

// minCloseIdleInterval keeps slow servers from causing constant reconnects.
const minCloseIdleInterval = time.Second

// CloseIdle implements proxy.ServerTransport.
func (t *Transports) CloseIdle(service string) {
	transports := t.forService(service)
	now := time.Now().UnixNano()
	last := transports.idleClosedAt.Load()
	if now-last >= int64(minCloseIdleInterval) && transports.idleClosedAt.CompareAndSwap(last, now) {
		transports.ordinary.CloseIdleConnections()
	}
}

// CloseIdleConnections closes all connections without a request in flight.
func (t *Transports) CloseIdleConnections() {
	for _, transports := range t.services {
		transports.ordinary.CloseIdleConnections()
		transports.fresh.CloseIdleConnections()
	}
	if t.fallback != nil {
		t.fallback.ordinary.CloseIdleConnections()
		t.fallback.fresh.CloseIdleConnections()
	}
}

func newTransport(dial DialFunc, http2 bool, connections int, idle time.Duration, report RefusalFunc) *CheckedTransport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	return Check(&http.Transport{
		DialContext:            dial,
		Protocols:              protocols,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingIdleTimeout, PingTimeout: pingTimeout},
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  expectContinueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         8 << 10,
		WriteBufferSize:        8 << 10,
	}, report)
}

// maxProbeHeaderBytes bounds the header of a probe response. Without it, net/http reads
// up to 10 MB for each probe in flight.
const maxProbeHeaderBytes = 8 << 10

// NewProbes returns the transport of the probes of servers.
func NewProbes(dial DialFunc, report RefusalFunc) *CheckedTransport {
	return Check(&http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		MaxConnsPerHost:        2,
		IdleConnTimeout:        5 * time.Second,
		MaxResponseHeaderBytes: maxProbeHeaderBytes,
		ReadBufferSize:         2 << 10,
		WriteBufferSize:        1 << 10,
	}, report)
}

// EmptyBody is an empty body that http.Transport does not recognize as empty.
// http.Transport may resend requests without a body on its own.
type EmptyBody struct{}

// Read implements io.Reader.
func (EmptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (EmptyBody) Close() error { return nil }
