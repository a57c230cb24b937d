package proxy_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/serverconn"
	"balsamhill/pkg/settings"
	"balsamhill/pkg/withdrawal"
)

const serviceName = "desk"

// testProxy is a proxy on a loopback listener with servers behind it.
type testProxy struct {
	url     string
	address string
	set     *metrics.Set
	proxy   *proxy.Proxy
	servers []*routing.Server
	gateway *httptest.Server
	now     func() int64
	// callers counts requests whose caller is still connected.
	callers atomic.Int64
}

// testConfig changes what newTestProxy builds.
type testConfig struct {
	http2     bool
	configure func(*proxy.Config)
	limits    func(map[preset.Class]preset.Limits)
	class     preset.Class
	tuning    preset.Tuning
	slots     int
}

func newTestProxy(t testing.TB, config testConfig, addresses ...string) *testProxy {
	t.Helper()
	p := &testProxy{set: metrics.NewSet()}
	for i, address := range addresses {
		p.servers = append(p.servers, &routing.Server{
			ID: string(rune('a' + i)), Service: serviceName, Address: address, Region: "khomas",
			Weight: 1, Stats: &routing.Stats{Withdrawal: &withdrawal.Status{}},
		})
	}
	ordinary := preset.Default("ordinary", preset.KindOrdinary)
	if config.limits != nil {
		config.limits(ordinary.Classes)
	}
	if config.class == "" {
		config.class = preset.ClassBooking
	}
	if config.tuning.Policy == "" {
		config.tuning = preset.Tuning{Policy: preset.PolicyRoundRobin, QueueFactor: 16, QueueMillis: 100}
	}
	snapshot := &routing.Snapshot{
		Version: preset.Version{Revision: 1, Preset: ordinary},
		Services: map[string]*routing.ServiceView{
			serviceName: routing.NewServiceView(serviceName, max(4, config.slots), "khomas", config.tuning, p.servers),
		},
	}
	snapshot.ServersByID = make(map[string]*routing.Server)
	for _, server := range p.servers {
		snapshot.ServersByID[server.ID] = server
	}
	transports := serverconn.New([]settings.Service{{Name: serviceName, MaxConnections: 800, HTTP2: config.http2}}, 1, nil)
	started := time.Now()
	proxyConfig := proxy.Config{
		Routes: routing.NewRouteTable([]routing.Route{
			{PathPrefix: "/fetch", Service: serviceName, Class: preset.ClassFetch},
			{PathPrefix: "/upload", Service: serviceName, Class: preset.ClassUpload},
			{PathPrefix: "/", Service: serviceName, Class: config.class},
		}),
		Snapshot:  func() *routing.Snapshot { return snapshot },
		Transport: transports,
		Now:       func() int64 { return int64(time.Since(started) + time.Second) },
		Metrics:   proxy.NewMetrics(p.set),
	}
	if config.configure != nil {
		config.configure(&proxyConfig)
	}
	p.now = proxyConfig.Now
	p.proxy = proxy.New(proxyConfig)
	p.gateway = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.callers.Add(1)
		context.AfterFunc(r.Context(), func() { p.callers.Add(-1) })
		p.proxy.ServeHTTP(w, r)
	}))
	p.gateway.Config.Protocols = bothProtocols()
	p.gateway.Start()
	p.url = p.gateway.URL
	p.address = p.gateway.Listener.Addr().String()
	t.Cleanup(func() {
		p.gateway.Close()
		transports.CloseIdleConnections()
	})
	return p
}

func bothProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// startServer starts a server for HTTP/1.1 and cleartext HTTP/2.
func startServer(t testing.TB, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = bothProtocols()
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// startRawServer starts a server whose handler reads and writes the connection
// itself.
func startRawServer(t testing.TB, handle func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// unusedAddress returns an address that refuses connections.
func unusedAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// result is a response that was read to its end.
type result struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func do(t testing.TB, client *http.Client, request *http.Request) result {
	t.Helper()
	response, err := client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{response.StatusCode, response.Header, response.Trailer, string(body), err}
}

func newRequest(t testing.TB, method, url string, body io.Reader, headers ...string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, url, body)
	assert.NilError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return request
}

func newClient(t testing.TB, http2 bool) *http.Client {
	t.Helper()
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	transport := &http.Transport{Protocols: protocols, MaxIdleConnsPerHost: 64, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// fakeClaims returns fixed decisions and records its calls.
type fakeClaims struct {
	mu          sync.Mutex
	decision    claim.Decision
	mayDispatch bool
	verified    bool
	calls       []claim.Call
	results     []claim.Result
	verifies    int
}

func (f *fakeClaims) Claim(_ context.Context, call claim.Call) claim.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	return f.decision
}

func (f *fakeClaims) MayDispatch(claim.Ticket) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mayDispatch
}

func (f *fakeClaims) Finish(_ context.Context, _ claim.Ticket, result claim.Result) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, result)
	return result.Kind == claim.ResultReleased
}

func (f *fakeClaims) VerifyNotRun(context.Context, claim.Call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.verifies++
	return f.verified
}

// fakeGuard returns a fixed admission and records the results of attempts.
type fakeGuard struct {
	mu           sync.Mutex
	admission    crashguard.Admission
	fingerprints []crashguard.Fingerprint
	results      []crashguard.Result
}

func (f *fakeGuard) Admit(_ int64, fingerprint crashguard.Fingerprint) crashguard.Admission {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fingerprints = append(f.fingerprints, fingerprint)
	return f.admission
}

// deny lets Admit deny all further attempts.
func (f *fakeGuard) deny() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admission = crashguard.Blocked
}

func (f *fakeGuard) Done(_ int64, _ crashguard.Attempt, result crashguard.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, result)
}
