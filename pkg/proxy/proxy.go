// Package proxy is the traffic path: it accepts callers' requests, chooses a
// server from the published snapshot and streams both bodies, with net/http on
// both sides.
package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
)

// Config is what a Proxy needs.
type Config struct {
	Routes *routing.RouteTable
	// Snapshot returns the published snapshot, nil before the first.
	Snapshot func() *routing.Snapshot
	// Transport sends requests to servers.
	Transport http.RoundTripper
	// Now returns nanoseconds on the gateway's monotonic clock, the same that
	// the control loop uses.
	Now func() int64
	// Metrics counts outcomes.
	Metrics *Metrics
}

// Proxy is an http.Handler for callers' requests.
type Proxy struct {
	config   Config
	inFlight atomic.Int64
}

var _ http.Handler = (*Proxy)(nil)

// New returns a proxy.
func New(config Config) *Proxy {
	return &Proxy{config: config}
}

// InFlight returns the number of callers' requests in flight.
func (p *Proxy) InFlight() int64 {
	return p.inFlight.Load()
}

// call is one caller's request on its way.
type call struct {
	route   routing.Route
	limits  preset.Limits
	view    *routing.ServiceView
	arrived int64
	tried   []*routing.Server
	rand    *rand.Rand
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	route, ok := p.config.Routes.Match(r.Method, r.Host, r.URL.Path)
	if !ok {
		p.config.Metrics.NoRoute.Inc()
		refuse(w, http.StatusNotFound, NotRun, "no route matches host "+r.Host+" and path "+r.URL.Path)
		return
	}
	snapshot := p.config.Snapshot()
	if snapshot == nil {
		refuse(w, http.StatusServiceUnavailable, NotRun, "the gateway does not know the preset in force yet")
		return
	}
	limits := snapshot.Version.Preset.Limits(route.Class)
	now := p.config.Now()
	c := &call{
		route:   route,
		limits:  limits,
		view:    snapshot.Services[route.Service],
		arrived: now,
		rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	ctx := r.Context()
	if limits.TimeoutMillis > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limits.Timeout())
		defer cancel()
	}
	p.forward(ctx, w, r, c)
}

// forward tries servers until one answers or the call may not be tried again.
func (p *Proxy) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) {
	server := c.view.Choose(routing.Pick{Rand: c.rand, Now: p.config.Now(), Tried: c.tried})
	if server == nil {
		p.config.Metrics.NoServer.Inc()
		refuse(w, http.StatusServiceUnavailable, NotRun, "no server of "+c.route.Service+" is available")
		return
	}
	started := p.config.Now()
	server.Stats.Start()
	defer server.Stats.End()
	response, err := p.config.Transport.RoundTrip(outgoing(ctx, r, server))
	if err != nil {
		server.Stats.Failure()
		p.config.Metrics.Failed.Inc()
		status := http.StatusBadGateway
		if errors.Is(err, context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
		refuse(w, status, Unknown, "the server did not answer")
		return
	}
	defer response.Body.Close()
	now := p.config.Now()
	observe(server, response, now, now-started)
	copyHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	p.config.Metrics.Answered.Inc()
	err = stream(w, response.Body)
	if err != nil {
		// Breaks the caller's connection, so that a truncated answer does not end
		// like a whole one.
		panic(http.ErrAbortHandler)
	}
}

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
	if inFlight, ok := parseLoad(response.Header.Get(loadHeader)); ok {
		server.Stats.Report(now, inFlight)
	}
	if response.Header.Get(drainingHeader) != "" {
		server.Stats.DrainNoticedAt.Store(now)
	}
}

// copyBufferBytes is the size of the buffer between the two bodies.
const copyBufferBytes = 32 << 10

// stream copies a body and flushes after each read, so that streams stay streams.
func stream(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			_, writeErr := w.Write(buffer[:n])
			if writeErr != nil {
				return writeErr
			}
			flushErr := controller.Flush()
			if flushErr != nil {
				return flushErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// NewTransport returns the transport to servers.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:           dialer().DialContext,
		DisableCompression:    true,
		MaxIdleConnsPerHost:   8,
		IdleConnTimeout:       10 * time.Second,
		ExpectContinueTimeout: time.Second,
	}
}
