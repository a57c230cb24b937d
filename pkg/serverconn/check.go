package serverconn

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/VictoriaMetrics/metrics"

	"balsamhill/pkg/responsecheck"
)

// RefusalFunc is called when the server at an address sends what is no response.
type RefusalFunc func(address string, refusal *responsecheck.Error)

// RecordRefusals returns a RefusalFunc that counts and logs refusals.
func RecordRefusals(set *metrics.Set, log *slog.Logger) RefusalFunc {
	return func(address string, refusal *responsecheck.Error) {
		set.GetOrCreateCounter(`balsamhill_responses_refused_total{reason="` + string(refusal.Reason) + `"}`).Inc()
		log.Info("response refused", "address", address, "reason", string(refusal.Reason), "error", refusal.Error())
	}
}

// CheckedTransport returns only responses that package responsecheck accepts. Else the error is a
// responsecheck.Error, and the connection is closed unless other requests share it. A body that
// turns out to be invalid ends with such an error.
type CheckedTransport struct {
	*http.Transport
	report RefusalFunc
}

// Check wraps a transport that was not used yet. report may be nil.
func Check(transport *http.Transport, report RefusalFunc) *CheckedTransport {
	if report == nil {
		report = func(string, *responsecheck.Error) {}
	}
	dial := DialFunc(transport.DialContext)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	multiplexed := transport.Protocols != nil && transport.Protocols.UnencryptedHTTP2()
	checked := func(dial DialFunc) DialFunc {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			opened, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			conn := NewConn(opened, multiplexed)
			conn.reportRefusal = func(refusal *responsecheck.Error) { report(address, refusal) }
			return conn, nil
		}
	}
	transport.DialContext = checked(dial)
	transport.DialTLSContext = checked(dialTLS(dial, transport.TLSClientConfig))
	return &CheckedTransport{Transport: transport, report: report}
}

// dialTLS returns a function that opens connections with TLS over those of dial. It offers HTTP/1.1
// alone, whose bytes are checked.
func dialTLS(dial DialFunc, config *tls.Config) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		own := &tls.Config{}
		if config != nil {
			own = config.Clone()
		}
		own.NextProtos = []string{"http/1.1"}
		if own.ServerName == "" {
			own.ServerName, _, err = net.SplitHostPort(address)
		}
		secured := tls.Client(opened, own)
		if err == nil {
			err = secured.HandshakeContext(ctx)
		}
		if err != nil {
			_ = opened.Close()
			return nil, err
		}
		return secured, nil
	}
}

// NewClient returns a client whose responses are checked; see Check. It follows no redirects, which
// would send a request a second time, to another address.
func NewClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     Check(transport, nil),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// RoundTrip implements http.RoundTripper. If the request has a trace with a GotConn function, that
// must call Conn.Expect.
func (t *CheckedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := httptrace.ContextClientTrace(request.Context())
	if trace == nil || trace.GotConn == nil {
		request = request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: expectFrom(request)}))
	}
	response, err := t.Transport.RoundTrip(request)
	var refusal *responsecheck.Error
	if errors.As(err, &refusal) {
		return nil, refusal
	}
	if err != nil {
		return nil, err
	}
	refusal = responsecheck.Parsed(response)
	if refusal != nil {
		t.report(request.URL.Host, refusal)
		_ = response.Body.Close()
		return nil, refusal
	}
	return response, nil
}

// expectFrom returns a GotConn function that announces a request.
func expectFrom(request *http.Request) func(httptrace.GotConnInfo) {
	return func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			conn.Expect(responsecheck.Request{Method: request.Method, Upgrade: len(request.Header["Upgrade"]) > 0})
		}
	}
}

// Expect announces the request that is sent next.
func (c *Conn) Expect(request responsecheck.Request) {
	if c.multiplexed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = true
	c.stream.Expect(request)
}

// refusal returns why what the server sent was refused, nil if it was not.
func (c *Conn) refusal() *responsecheck.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stream.Refusal()
}

// sending says that bytes are about to be written, and returns the refusal if they must not be.
func (c *Conn) sending() *responsecheck.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream.Sending()
	return c.stream.Refusal()
}

// Read implements net.Conn. It returns no byte beyond the end of a response.
func (c *Conn) Read(p []byte) (int, error) {
	if refusal := c.refusal(); refusal != nil {
		return 0, refusal
	}
	n, err := c.Conn.Read(p)
	accepted, refusal := c.receive(p[:n])
	if refusal == nil {
		return n, err
	}
	if c.reportRefusal != nil {
		c.reportRefusal(refusal)
	}
	switch {
	case accepted == 0:
		return 0, refusal
	case refusal.Reason == responsecheck.ReasonUnrequested:
		// http.Transport uses no connection again that has ended.
		return accepted, io.EOF
	default:
		return accepted, nil
	}
}

// receive checks bytes that were read, and returns how many of them may be passed on.
func (c *Conn) receive(data []byte) (accepted int, refusal *responsecheck.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.checked {
		return len(data), nil
	}
	return c.stream.Receive(data)
}
