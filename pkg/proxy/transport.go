package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"balsamhill/pkg/settings"
)

const (
	// connectTimeout is how long opening a connection to a server may take.
	connectTimeout = 250 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 4 * time.Second
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

// ServerTransport sends requests to the servers of services. Implementations call
// httptrace.ClientTrace.GotConn before they write a request; a request without that
// call counts as never written.
//
// Connections are ordinary or fresh. A fresh connection is new or carried a response
// within the last 500 ms (freshConnIdleTimeout) or TransportLimits.FreshIdle, so that it
// is unlikely to have become unresponsive. Calls that are not idempotent use only fresh
// connections.
type ServerTransport interface {
	// RoundTrip sends one request, on a fresh connection if fresh is set.
	RoundTrip(service string, fresh bool, request *http.Request) (*http.Response, error)
	// CloseIdle closes the idle ordinary connections of a service, at most once a
	// second, after one of them turned out to be unresponsive.
	CloseIdle(service string)
}

// Transports is the ServerTransport of a gateway: two http.Transports for each
// service.
type Transports struct {
	services map[string]*serviceTransports
	// fallback sends the requests of services that are not in the map.
	fallback *serviceTransports
}

type serviceTransports struct {
	http2           bool
	ordinary, fresh *http.Transport
	// idleClosedAt is the wall-clock time of the last CloseIdle in nanoseconds.
	idleClosedAt atomic.Int64
}

var _ ServerTransport = (*Transports)(nil)

// NewTransports returns the transports of all services. Each gateway opens at most
// MaxConnections / maxGateways connections to a server, and at least 2. The two
// transports of a service get half of them each, because neither can release a
// connection to the other.
func NewTransports(services []settings.Service, maxGateways int) *Transports {
	t := &Transports{services: map[string]*serviceTransports{}}
	for _, s := range services {
		limit := max(minConnections, s.MaxConnections/max(1, maxGateways))
		t.services[s.Name] = &serviceTransports{
			http2:    s.HTTP2,
			ordinary: newTransport(s.HTTP2, limit-limit/2, connIdleTimeout),
			fresh:    newTransport(s.HTTP2, limit/2, freshConnIdleTimeout),
		}
	}
	return t
}

// TransportLimits bounds the connections of NewSharedTransports.
type TransportLimits struct {
	// Connections is the maximum number of connections to one server.
	Connections int
	// Idle and FreshIdle are the idle timeouts of ordinary and of fresh connections.
	Idle, FreshIdle time.Duration
}

// NewSharedTransports returns one pair of transports for all services, for
// deployments whose services are not known in advance.
func NewSharedTransports(limits TransportLimits) *Transports {
	half := max(1, limits.Connections/2)
	return &Transports{fallback: &serviceTransports{
		ordinary: newTransport(false, half, limits.Idle),
		fresh:    newTransport(false, half, limits.FreshIdle),
	}}
}

func (t *Transports) forService(service string) *serviceTransports {
	if transports, ok := t.services[service]; ok {
		return transports
	}
	return t.fallback
}

// RoundTrip implements ServerTransport.
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
			request.Body = &emptyBody{}
		}
	}
	if fresh {
		return transports.fresh.RoundTrip(request)
	}
	return transports.ordinary.RoundTrip(request)
}

// minCloseIdleInterval keeps slow servers from causing constant reconnects.
const minCloseIdleInterval = time.Second

// CloseIdle implements ServerTransport.
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

func newTransport(http2 bool, connections int, idle time.Duration) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	return &http.Transport{
		DialContext:            dialer(http2),
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
	}
}

func dialer(multiplexed bool) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return SetUserTimeout(raw, userTimeout)
		},
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newTrackedConn(conn, multiplexed), nil
	}
}

// SetUserTimeout sets how long sent bytes may stay unacknowledged on a connection;
// 0 means the kernel's default.
func SetUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// trackedConn counts the writes of which the kernel accepted at least one byte, so
// that an attempt can determine whether any byte of its request was written.
type trackedConn struct {
	net.Conn
	// multiplexed connections (HTTP/2) carry several requests at a time.
	multiplexed bool
	closed      atomic.Bool
	writes      atomic.Int64
	// userTimeoutOff reports whether the TCP user timeout is disabled.
	userTimeoutOff atomic.Bool
}

func newTrackedConn(conn net.Conn, multiplexed bool) *trackedConn {
	return &trackedConn{Conn: conn, multiplexed: multiplexed}
}

// Write implements net.Conn. The count is raised before the write, so that a reader
// during the write assumes that bytes were written.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// Close implements net.Conn. No byte is written after it returns.
func (c *trackedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// setUserTimeoutOff disables the TCP user timeout for streamed bodies. Linux also
// applies it to a receiver that acknowledges but does not read for 4 s, which a
// busy server may do during an upload. The idle timeout of the class applies
// instead.
func (c *trackedConn) setUserTimeoutOff(off bool) {
	if c.userTimeoutOff.Load() == off {
		return
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	timeout := userTimeout
	if off {
		timeout = 0
	}
	if SetUserTimeout(raw, timeout) == nil {
		c.userTimeoutOff.Store(off)
	}
}
