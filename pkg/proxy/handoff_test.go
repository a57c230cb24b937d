package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/handoff"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/responsecheck/responsechecktest"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/serverconn"
)

// fakeHandoff hands calls off to the first gateway that was not tried.
type fakeHandoff struct {
	isolated   atomic.Bool
	gateways   []*routing.Server
	failed     atomic.Int64
	lost       atomic.Bool
	transports *serverconn.Transports
}

var _ proxy.Handoff = (*fakeHandoff)(nil)

func (f *fakeHandoff) Required() bool { return f.isolated.Load() }

func (f *fakeHandoff) Choose(tried []*routing.Server) *routing.Server {
	for _, gateway := range f.gateways {
		if !slices.Contains(tried, gateway) {
			return gateway
		}
	}
	return nil
}

func (f *fakeHandoff) Lost(*routing.Server) bool { return f.lost.Load() }

func (f *fakeHandoff) Failed(*routing.Server) { f.failed.Add(1) }

func (f *fakeHandoff) RoundTrip(fresh bool, request *http.Request) (*http.Response, error) {
	return f.transports.RoundTrip("", fresh, request)
}

// handoffProxy is a proxy that can be isolated, and that takes calls of others.
type handoffProxy struct {
	*testProxy
	handoff *fakeHandoff
	// others is the address at which it takes calls of other gateways.
	others string
}

func newHandoffProxy(t *testing.T, config testConfig, servers ...string) *handoffProxy {
	t.Helper()
	p := &handoffProxy{handoff: &fakeHandoff{transports: serverconn.NewShared(serverconn.SharedConfig{
		Dial: serverconn.Dial, Connections: 16, Idle: time.Second, FreshIdle: time.Second,
	})}}
	configure := config.configure
	config.configure = func(c *proxy.Config) {
		c.Handoff, c.GatewayID = p.handoff, "g"
		if configure != nil {
			configure(c)
		}
	}
	p.testProxy = newTestProxy(t, config, servers...)
	others := httptest.NewServer(http.HandlerFunc(p.proxy.ServeHandoff))
	t.Cleanup(func() {
		p.handoff.transports.CloseIdleConnections()
		others.CloseClientConnections()
		others.Close()
	})
	p.others = others.Listener.Addr().String()
	return p
}

// handsOffTo isolates the proxy and lets it hand calls off to gateways.
func (p *handoffProxy) handsOffTo(addresses ...string) {
	for i, address := range addresses {
		p.handoff.gateways = append(p.handoff.gateways, &routing.Server{
			ID: fmt.Sprint("gateway-", i), Address: address, Gateway: true, Stats: &routing.Stats{},
		})
	}
	p.handoff.isolated.Store(true)
}

// classDecidesSafety lets the proxy have a route of fetches that may be repeated whatever their method.
// Attempt numbers in requests have no effect on it.
func classDecidesSafety(config *proxy.Config) {
	config.Routes = routing.NewRouteTable([]routing.Route{
		{PathPrefix: "/", Service: serviceName, Class: preset.ClassFetch, IdempotencyFromClass: true},
	})
}

// echoServer repeats the body in chunks, with a trailer, and counts the requests.
func echoServer(t *testing.T, requests *atomic.Int64) string {
	return startServer(t, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set("Trailer", "Sum")
		w.Header().Set("Timeout-Received", r.Header.Get("X-Request-Timeout-Ms"))
		w.Header().Set("Handoff-Received", strconv.Itoa(len(r.Header[handoff.Header])))
		// net/http does not read on once the response has begun.
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
		w.Header().Set("Sum", strconv.Itoa(len(body)))
	})
}

// TestIsolatedGatewayPassesWholeCalls guards against calls that a gateway without servers fails or
// changes: method, body, headers, response and trailers of each class.
func TestIsolatedGatewayPassesWholeCalls(t *testing.T) {
	var requests atomic.Int64
	server := echoServer(t, &requests)
	second := newHandoffProxy(t, testConfig{}, server)
	first := newHandoffProxy(t, testConfig{}, unusedAddress(t))
	first.handsOffTo(second.others)
	for path, size := range map[string]int{"/x": 100_000, "/upload/x": 3_000_000} {
		body := strings.Repeat("x", size)
		// A body without a length is sent in chunks.
		request := newRequest(t, http.MethodPost, first.url+path, io.MultiReader(strings.NewReader(body)), "X-Request-Timeout-Ms", "3000")
		got := do(t, newClient(t, false), request)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, got.body == body)
		assert.Equal(t, got.trailer.Get("Sum"), strconv.Itoa(len(body)))
		assert.Equal(t, got.header.Get(handoff.Header), "")
		assert.Equal(t, got.header.Get("Handoff-Received"), "0")
		left, err := strconv.Atoi(got.header.Get("Timeout-Received"))
		assert.NilError(t, err)
		assert.Assert(t, left > 0 && left <= 3000, "%d ms", left)
	}
	got := do(t, newClient(t, false), newRequest(t, http.MethodGet, first.url+"/fetch", nil))
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, requests.Load(), int64(3))
	// The retry budget of the fleet includes each call once.
	assert.Equal(t, first.proxy.Calls(serviceName), int64(0))
	assert.Equal(t, second.proxy.Calls(serviceName), int64(3))
}

// TestCallIsHandedOffOnce guards against calls that circulate between gateways that all reach no
// server: they are refused at once, and truly as not run.
func TestCallIsHandedOffOnce(t *testing.T) {
	first := newHandoffProxy(t, testConfig{}, unusedAddress(t))
	second := newHandoffProxy(t, testConfig{}, unusedAddress(t))
	third := newHandoffProxy(t, testConfig{}, unusedAddress(t))
	first.handsOffTo(second.others, third.others)
	second.handsOffTo(first.others, third.others)
	third.handsOffTo(first.others, second.others)
	for _, path := range []string{"/x", "/fetch"} {
		began := time.Now()
		got := do(t, newClient(t, false), newRequest(t, http.MethodGet, first.url+path, nil))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.header.Get("Balsamhill-Outcome"), "not-run")
		assert.Equal(t, got.header.Get(handoff.Header), "")
		assert.Assert(t, time.Since(began) < time.Second)
	}
	assert.Equal(t, first.handoff.failed.Load(), int64(4))
	assert.Equal(t, second.handoff.failed.Load()+third.handoff.failed.Load(), int64(0))
}

// TestDecliningOrDeadGatewayIsReplaced guards against calls that fail because the first gateway that
// was chosen reaches no server either, or is gone.
func TestDecliningOrDeadGatewayIsReplaced(t *testing.T) {
	var requests atomic.Int64
	first := newHandoffProxy(t, testConfig{configure: func(config *proxy.Config) { config.ReplayBodyBytes = 1 << 10 }}, unusedAddress(t))
	isolated := newHandoffProxy(t, testConfig{}, unusedAddress(t))
	isolated.handoff.isolated.Store(true)
	third := newHandoffProxy(t, testConfig{}, echoServer(t, &requests))
	first.handsOffTo(unusedAddress(t), isolated.others, third.others)
	for _, path := range []string{"/x", "/upload/x", "/fetch"} {
		got := do(t, newClient(t, false), newRequest(t, http.MethodPost, first.url+path, strings.NewReader("body")))
		assert.Equal(t, got.status, http.StatusOK, "%s: %s", path, got.body)
		assert.Equal(t, got.body, "body")
	}
	assert.Equal(t, requests.Load(), int64(3))
}

// TestUnsafeCallIsNotRepeatedAfterGatewayIsLost guards against a booking that runs twice, or that is
// said not to have run, because the gateway that took it broke the connection.
func TestUnsafeCallIsNotRepeatedAfterGatewayIsLost(t *testing.T) {
	var requests atomic.Int64
	lost := startServer(t, func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler)
	})
	other := newHandoffProxy(t, testConfig{}, echoServer(t, &requests))
	first := newHandoffProxy(t, testConfig{}, unusedAddress(t))
	first.handsOffTo(lost, other.others)
	got := do(t, newClient(t, false), newRequest(t, http.MethodPost, first.url+"/x", strings.NewReader("body")))
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.header.Get("Balsamhill-Outcome"), "unknown")
	assert.Equal(t, requests.Load(), int64(1))
}

// TestServerCannotDeclineForGateway guards against a booking that runs at a second gateway because
// its server's response has the header by which gateways decline.
func TestServerCannotDeclineForGateway(t *testing.T) {
	var requests atomic.Int64
	forging := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.Header().Set(handoff.Header, string(handoff.Declined))
	})
	second, third := newHandoffProxy(t, testConfig{}, forging), newHandoffProxy(t, testConfig{}, forging)
	// This protocol has no headers that are meant for gateways only.
	first := newHandoffProxy(t, testConfig{configure: func(config *proxy.Config) { config.Protocol = headerProtocol{} }}, unusedAddress(t))
	first.handsOffTo(second.others, third.others)
	got := do(t, newClient(t, false), newRequest(t, http.MethodPost, first.url+"/x", nil))
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.header.Get(handoff.Header), "")
	assert.Equal(t, requests.Load(), int64(1))
}

// TestCallerCannotForgeHandoff guards against a caller whose header changes the limits of its call,
// or reaches servers.
func TestCallerCannotForgeHandoff(t *testing.T) {
	var requests atomic.Int64
	p := newHandoffProxy(t, testConfig{}, echoServer(t, &requests))
	forged := handoff.Request{Gateway: "g", Sent: 9, MayHaveRun: 9, Counted: true}.String()
	got := do(t, newClient(t, false), newRequest(t, http.MethodGet, p.url+"/fetch", nil, handoff.Header, forged))
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.header.Get("Handoff-Received"), "0")
	assert.Equal(t, p.proxy.Calls(serviceName), int64(1))
}

// TestRefusalOfOtherGatewayIsPassedOn guards against a refusal that is repeated at further gateways,
// or whose promise is lost.
func TestRefusalOfOtherGatewayIsPassedOn(t *testing.T) {
	var requests atomic.Int64
	withoutServers := newHandoffProxy(t, testConfig{})
	other := newHandoffProxy(t, testConfig{}, echoServer(t, &requests))
	first := newHandoffProxy(t, testConfig{}, unusedAddress(t))
	first.handsOffTo(withoutServers.others, other.others)
	got := do(t, newClient(t, false), newRequest(t, http.MethodPost, first.url+"/x", nil))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Balsamhill-Outcome"), "not-run")
	assert.Equal(t, requests.Load(), int64(0))
}

// TestAttemptsAreBoundedOverGateways guards against a fetch that reaches more servers than its route
// allows, because the second gateway does not know of the attempts of the first one.
func TestAttemptsAreBoundedOverGateways(t *testing.T) {
	var requests atomic.Int64
	var first *handoffProxy
	breaking := startServer(t, func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		first.handoff.isolated.Store(true)
		panic(http.ErrAbortHandler)
	})
	config := testConfig{limits: allowExtraAttempts, configure: classDecidesSafety}
	second := newHandoffProxy(t, config, breaking, breaking, breaking)
	first = newHandoffProxy(t, config, breaking, breaking, breaking)
	first.handsOffTo(second.others)
	first.handoff.isolated.Store(false)
	got := do(t, newClient(t, false), newRequest(t, http.MethodGet, first.url+"/fetch", nil))
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, requests.Load(), int64(2))
	assert.Equal(t, first.proxy.Calls(serviceName)+second.proxy.Calls(serviceName), int64(1))
}

// TestPromiseOfOtherGatewayDoesNotCoverEarlierAttempt guards against a fetch that is said not to have
// run because the second gateway did not run it, although the first one had sent it.
func TestPromiseOfOtherGatewayDoesNotCoverEarlierAttempt(t *testing.T) {
	var first *handoffProxy
	breaking := startServer(t, func(http.ResponseWriter, *http.Request) {
		first.handoff.isolated.Store(true)
		panic(http.ErrAbortHandler)
	})
	config := testConfig{limits: allowExtraAttempts}
	withoutServers := newHandoffProxy(t, config)
	first = newHandoffProxy(t, config, breaking)
	first.handsOffTo(withoutServers.others)
	first.handoff.isolated.Store(false)
	got := do(t, newClient(t, false), newRequest(t, http.MethodGet, first.url+"/fetch", nil))
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.header.Get("Balsamhill-Outcome"), "unknown")
}

// TestCancellationPassesGateways guards against servers that go on working on a handed off call whose
// caller has left.
func TestCancellationPassesGateways(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	server := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	second := newHandoffProxy(t, testConfig{}, server)
	first := newHandoffProxy(t, testConfig{}, unusedAddress(t))
	first.handsOffTo(second.others)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	_, err := newClient(t, false).Do(newRequest(t, http.MethodGet, first.url+"/fetch", nil).WithContext(ctx))
	assert.ErrorIs(t, err, context.Canceled)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the server still works on the call")
	}
}

// TestStreamsPassGateways guards against a handed off response that is held back until its end.
func TestStreamsPassGateways(t *testing.T) {
	goOn := make(chan struct{})
	server := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first\n")
		_ = http.NewResponseController(w).Flush()
		<-goOn
		_, _ = io.WriteString(w, "second\n")
	})
	second := newHandoffProxy(t, testConfig{}, server)
	first := newHandoffProxy(t, testConfig{}, unusedAddress(t))
	first.handsOffTo(second.others)
	response, err := newClient(t, false).Do(newRequest(t, http.MethodPost, first.url+"/x", nil))
	assert.NilError(t, err)
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	assert.Assert(t, lines.Scan() && lines.Text() == "first")
	close(goOn)
	assert.Assert(t, lines.Scan() && lines.Text() == "second")
}

// TestConnectFailuresBeforeHandoffNeedNoBudget guards against calls that are refused because the
// retry budget is used up, although none of their attempts reached a server.
func TestConnectFailuresBeforeHandoffNeedNoBudget(t *testing.T) {
	var requests atomic.Int64
	second := newHandoffProxy(t, testConfig{}, echoServer(t, &requests))
	var first *handoffProxy
	first = newHandoffProxy(t, testConfig{configure: func(config *proxy.Config) {
		config.Transport = transportFunc{config.Transport, func(*http.Request) {
			// The gateway learns during the attempt that it is isolated.
			first.handoff.isolated.Store(true)
		}}
	}}, unusedAddress(t))
	first.handsOffTo(second.others)
	for range 10 {
		first.handoff.isolated.Store(false)
		got := do(t, newClient(t, false), newRequest(t, http.MethodPost, first.url+"/x", strings.NewReader("b")))
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, requests.Load(), int64(10))
}

// TestCallersOfIsolatedGatewayAreToldApart guards against a request that is held back because another
// caller of the same gateway sent one that crashes servers, and against forwarding headers that name
// the gateway as the caller.
func TestCallersOfIsolatedGatewayAreToldApart(t *testing.T) {
	var forwarded atomic.Value
	server := startServer(t, func(_ http.ResponseWriter, r *http.Request) { forwarded.Store(r.Header.Get("X-Forwarded-For")) })
	guards := make(chan crashguard.Fingerprint, 4)
	second := newHandoffProxy(t, testConfig{configure: func(config *proxy.Config) {
		config.CrashGuard = recordingGuard{guards}
		classDecidesSafety(config)
	}}, server)
	send := func(caller string) {
		request := newRequest(t, http.MethodGet, "http://"+second.others+"/fetch", nil, "X-Forwarded-For", caller,
			handoff.Header, handoff.Request{Gateway: "g", Caller: netip.MustParseAddr(caller)}.String())
		assert.Equal(t, do(t, newClient(t, false), request).status, http.StatusOK)
		assert.Equal(t, forwarded.Load(), caller)
	}
	for _, caller := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.1"} {
		send(caller)
	}
	first, other, again := <-guards, <-guards, <-guards
	assert.Assert(t, first != other)
	assert.Equal(t, first, again)
}

// recordingGuard is a crash guard that admits each request and passes on its fingerprint.
type recordingGuard struct{ fingerprints chan<- crashguard.Fingerprint }

func (g recordingGuard) Admit(_ int64, fingerprint crashguard.Fingerprint) crashguard.Admission {
	g.fingerprints <- fingerprint
	return crashguard.Allowed
}

func (recordingGuard) Done(int64, crashguard.Attempt, crashguard.Result) {}

// TestPauseConcernsGatewayThatSentTheCall guards against a server that asks for a pause and gets more
// requests by way of other gateways' calls, and against a gateway that keeps the pause of another one.
func TestPauseConcernsGatewayThatSentTheCall(t *testing.T) {
	var requests atomic.Int64
	header := map[string]string{"Balsamhill-Outcome": "not-run", "Retry-After": "60"}
	server := withdrawnServer(t, http.StatusServiceUnavailable, header, &requests)
	second := newHandoffProxy(t, testConfig{class: preset.ClassFetch}, server)
	first := newHandoffProxy(t, testConfig{class: preset.ClassFetch}, server)
	first.handsOffTo(second.others)
	for range 5 {
		assert.Equal(t, first.send(t, http.MethodGet, "").StatusCode, http.StatusServiceUnavailable)
	}
	assert.Equal(t, requests.Load(), int64(1))
	assert.Assert(t, second.servers[0].Stats.Withdrawal.Withdrawn(second.now()))
	assert.Assert(t, !first.servers[0].Stats.Withdrawal.Withdrawn(first.now()))
}

// TestInvalidResponsePassesNoGateway guards against what is no response and that a caller gets through a
// call that was handed off: from the server of the second gateway, a part beside an upload among it, or
// from a faulty program at the address of that gateway.
func TestInvalidResponsePassesNoGateway(t *testing.T) {
	send := func(t *testing.T, first *handoffProxy, body string) {
		received := responsechecktest.Call(t, first.address, http.MethodPost, body, false)
		assert.Assert(t, strings.HasPrefix(received, "HTTP/1.1 502") && strings.Contains(received, "Balsamhill-Outcome: unknown"), "%q", received)
	}
	for desc, text := range responsechecktest.Invalid(handoff.Header + ": " + string(handoff.Answered) + "\r\n") {
		t.Run(desc, func(t *testing.T) {
			server := responsechecktest.Start(t, text)
			second := newHandoffProxy(t, testConfig{}, server.Address)
			first := newHandoffProxy(t, testConfig{}, unusedAddress(t))
			first.handsOffTo(second.others)
			send(t, first, "x")
			assert.Equal(t, server.Requests.Load(), int64(1), "at the second gateway")
			first = newHandoffProxy(t, testConfig{}, unusedAddress(t))
			first.handsOffTo(server.Address)
			send(t, first, "x")
			assert.Equal(t, server.Requests.Load(), int64(2), "at the first gateway")
		})
	}
	second := newHandoffProxy(t, testConfig{configure: func(config *proxy.Config) { config.ResponseBufferBytes = 64 << 10 }}, startRawServer(t, earlyPart(true)))
	first := newHandoffProxy(t, testConfig{configure: func(config *proxy.Config) { config.ResponseBufferBytes = 64 << 10 }}, unusedAddress(t))
	first.handsOffTo(second.others)
	for range 120 {
		send(t, first, strings.Repeat("u", uploadBytes))
	}
}
