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
	connectTimeout = 250 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 4 * time.Second
	// connIdleTimeout is shorter than what servers usually allow, so that the gateway
	// closes idle connections first.
	connIdleTimeout = 10 * time.Second
	// freshConnIdleTimeout bounds the age of the last answer on connections for calls
	// that run at most once: a connection that went silent would turn such a call
	// into one with an unknown outcome.
	freshConnIdleTimeout = 500 * time.Millisecond
	// expectContinueTimeout is how long the server's 100 Continue is awaited.
	expectContinueTimeout = time.Second
	// pingIdleTimeout and pingTimeout find silent HTTP/2 connections within 4 s.
	pingIdleTimeout = 2 * time.Second
	pingTimeout     = 2 * time.Second
	// minConnections is the least number of connections to one server.
	minConnections = 2
	// maxResponseHeaderBytes bounds the header of an answer.
	maxResponseHeaderBytes = 256 << 10
)

// ServerTransport carries requests to the servers of services. Implementations report
// through httptrace.ClientTrace.GotConn before they write a request; a request
// for which that was not reported counts as never written.
type ServerTransport interface {
	// RoundTrip sends one request. Fresh requests use a connection that carried
	// an answer within the last 500 ms, or a new one.
	RoundTrip(service string, fresh bool, request *http.Request) (*http.Response, error)
	// CloseIdle closes the idle connections of a service, because one of them
	// turned out to be silent.
	CloseIdle(service string)
}

// Transports is the Servers of a gateway: two http.Transports for each service.
type Transports struct {
	services map[string]*serviceTransports
	// shared carries requests to services that are not in the map.
	shared *serviceTransports
}

type serviceTransports struct {
	http2           bool
	ordinary, fresh *http.Transport
	// idleClosedAt is the wall clock of the last DropIdle in nanoseconds.
	idleClosedAt atomic.Int64
}

var _ ServerTransport = (*Transports)(nil)

// NewTransports prepares the transports of all services. Each gateway uses at
// most MaxConnections / maxGateways connections to a server, and at least 2;
// the two transports of a service share them equally, because neither can give
// up a connection for the other.
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

// TransportLimits bound the connections of NewSharedTransports.
type TransportLimits struct {
	// Connections is the number of connections to one server.
	Connections int
	// Idle and FreshIdle are how long a connection may be idle before a request
	// that may be repeated, and before any other, is sent on it.
	Idle, FreshIdle time.Duration
}

// NewSharedTransports serves services that are not known in advance with the
// same two transports.
func NewSharedTransports(limits TransportLimits) *Transports {
	half := max(1, limits.Connections/2)
	return &Transports{shared: &serviceTransports{
		ordinary: newTransport(false, half, limits.Idle),
		fresh:    newTransport(false, half, limits.FreshIdle),
	}}
}

func (t *Transports) forService(service string) *serviceTransports {
	if transports, ok := t.services[service]; ok {
		return transports
	}
	return t.shared
}

// RoundTrip implements Servers.
func (t *Transports) RoundTrip(service string, fresh bool, request *http.Request) (*http.Response, error) {
	transports := t.forService(service)
	if transports.http2 {
		// HTTP/2 has no Upgrade. A server may ignore the header, so leaving it out
		// gives the caller a valid answer.
		request.Header.Del("Connection")
		request.Header.Del("Upgrade")
		if fresh && request.Body == nil {
			// net/http resends requests without a body after some stream errors that
			// do not prove that the request was not processed.
			request.Body = &emptyBody{}
		}
	}
	if fresh {
		return transports.fresh.RoundTrip(request)
	}
	return transports.ordinary.RoundTrip(request)
}

// minCloseIdleInterval keeps slow servers from making the gateway reconnect all the time.
const minCloseIdleInterval = time.Second

// CloseIdle implements Servers.
func (t *Transports) CloseIdle(service string) {
	transports := t.forService(service)
	now := time.Now().UnixNano()
	last := transports.idleClosedAt.Load()
	if now-last >= int64(minCloseIdleInterval) && transports.idleClosedAt.CompareAndSwap(last, now) {
		transports.ordinary.CloseIdleConnections()
	}
}

// CloseIdleConnections closes connections without a request.
func (t *Transports) CloseIdleConnections() {
	for _, transports := range t.services {
		transports.ordinary.CloseIdleConnections()
		transports.fresh.CloseIdleConnections()
	}
	if t.shared != nil {
		t.shared.ordinary.CloseIdleConnections()
		t.shared.fresh.CloseIdleConnections()
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

func dialer(shared bool) func(context.Context, string, string) (net.Conn, error) {
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
		return newTrackedConn(conn, shared), nil
	}
}

// SetUserTimeout bounds how long sent bytes may stay unacknowledged on a
// connection; 0 leaves it to the kernel.
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

// trackedConn counts writes of which the kernel took at least one byte, so that
// an attempt can tell whether any byte of its request was written.
type trackedConn struct {
	net.Conn
	// shared connections (HTTP/2) carry several requests at a time.
	shared bool
	closed atomic.Bool
	writes atomic.Int64
	// userTimeoutOff says that the user timeout is off.
	userTimeoutOff atomic.Bool
}

func newTrackedConn(conn net.Conn, shared bool) *trackedConn {
	return &trackedConn{Conn: conn, shared: shared}
}

// Write implements net.Conn. The count is raised before the write, so that a
// look at it during the write errs on the safe side.
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

// setUserTimeoutOff switches the TCP user timeout off for streamed bodies: Linux also
// applies it to a receiver that acknowledges but does not read for 4 s, which a
// busy server may do to an upload. The idle time of the class then applies.
func (c *trackedConn) setUserTimeoutOff(patient bool) {
	if c.userTimeoutOff.Load() == patient {
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
	if patient {
		timeout = 0
	}
	if SetUserTimeout(raw, timeout) == nil {
		c.userTimeoutOff.Store(patient)
	}
}
