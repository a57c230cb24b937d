package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"

	"balsamhill/examples"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/peer"
	"balsamhill/pkg/peer/peerpb"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/platform/standin"
	"balsamhill/pkg/presetstore"
	"balsamhill/pkg/settings"
)

// buildDaemon builds the gateway program and returns its path.
func buildDaemon(tb testing.TB) string {
	path := filepath.Join(tb.TempDir(), "balsamhilld")
	output, err := exec.Command("go", "build", "-o", path, "balsamhill/cmd/balsamhilld").CombinedOutput()
	assert.NilError(tb, err, string(output))
	return path
}

// countingHandler counts the requests to a handler and the bytes of its responses by
// path.
type countingHandler struct {
	next http.Handler

	mu    sync.Mutex
	calls map[string]int
	bytes map[string]int
}

type countingWriter struct {
	http.ResponseWriter
	bytes int
}

func (w *countingWriter) Write(data []byte) (int, error) {
	w.bytes += len(data)
	return w.ResponseWriter.Write(data)
}

func (c *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writer := &countingWriter{ResponseWriter: w}
	c.next.ServeHTTP(writer, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[r.URL.Path]++
	c.bytes[r.URL.Path] += writer.bytes
}

// takeCounts returns the counts and resets them.
func (c *countingHandler) takeCounts() (calls, bytes map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls, bytes = c.calls, c.bytes
	c.calls, c.bytes = make(map[string]int), make(map[string]int)
	return calls, bytes
}

// platformServer is a platform stand-in that listens on a loopback address.
type platformServer struct {
	*httptest.Server
	requests *countingHandler
	client   *httpplatform.Client
}

func startPlatform(tb testing.TB, vms []platform.VM) *platformServer {
	server := standin.New()
	for _, vm := range vms {
		server.PutVM(vm)
	}
	p := &platformServer{requests: &countingHandler{next: server}}
	p.requests.takeCounts()
	p.Server = httptest.NewServer(p.requests)
	tb.Cleanup(p.Close)
	p.client = httpplatform.New(p.URL)
	store := presetstore.New(p.client)
	for _, document := range examples.Presets() {
		author := presetstore.Author{Operator: "bench", WriteID: document.Name, Now: time.Now()}
		assert.Equal(tb, store.Apply(tb.Context(), author, document.Text, nil).Status, presetstore.Accepted)
	}
	author := presetstore.Author{Operator: "bench", WriteID: "use", Now: time.Now()}
	assert.Equal(tb, store.Use(tb.Context(), author, "ordinary", nil).Status, presetstore.Accepted)
	return p
}

// putRows writes the membership rows of the other gateways.
func (p *platformServer) putRows(tb testing.TB, gateways int) {
	for i := 1; i < gateways; i++ {
		row := membership.Row{
			ID: gatewayID(i), Incarnation: 1_780_000_000_000_000, Region: regionOf(i),
			FailureDomain: regionOf(i) + "-1", Traffic: "10.30.0.100:8080", Admin: "10.30.0.100:8081",
			State: membership.StateReady, Preset: "ordinary", Revision: 4,
			InForceSince: time.Now(), WrittenAt: time.Now(),
		}
		value, err := json.Marshal(row)
		assert.NilError(tb, err)
		result := p.client.Commit(tb.Context(), platform.Txn{
			Writes: []platform.Write{{Key: membership.RowPrefix + row.ID, Value: value}}})
		assert.Equal(tb, result.Status, platform.CommitApplied)
	}
}

// process is one running gateway.
type process struct {
	platform       *platformServer
	command        *exec.Cmd
	traffic, admin string
	peerAddress    string
}

func gatewaySettings(url string, s size, probePath string, gateways int) *settings.Settings {
	config := &settings.Settings{
		VM:    settings.VM{ID: gatewayID(0), Region: localRegion, FailureDomain: "khomas-1"},
		Admin: settings.Admin{Listen: "127.0.0.1:0"},
		Traffic: settings.Traffic{Listen: "127.0.0.1:0", MaxHeaderBytes: 32 << 10,
			HeaderTimeoutMillis: 10_000, IdleTimeoutMillis: 120_000},
		Peers: settings.Peers{Listen: "127.0.0.1:0", Insecure: true,
			MaxGateways: max(24, gateways), LinkBitsPerSecond: 30_000_000},
		Platform: settings.Platform{URL: url, Region: localRegion, ClaimTimeoutMillis: 250},
		Log:      settings.Log{Level: "error"},
	}
	for i := range s.services {
		config.Services = append(config.Services, settings.Service{
			Name: serviceName(i), Slots: 4, MaxConnections: 250, ProbePath: probePath, ProbeMicros: 6000,
			Routes: []settings.Route{{PathPrefix: "/" + serviceName(i), Class: "fetch"}},
		})
	}
	return config
}

// startProcess starts a gateway and waits until it is ready.
func startProcess(tb testing.TB, daemon string, s size, vms []platform.VM, probePath string, gateways int) *process {
	p := &process{platform: startPlatform(tb, vms)}
	p.platform.putRows(tb, gateways)
	document, err := json.Marshal(gatewaySettings(p.platform.URL, s, probePath, gateways))
	assert.NilError(tb, err)
	path := filepath.Join(tb.TempDir(), "gateway.jsonc")
	assert.NilError(tb, os.WriteFile(path, document, 0o600))
	p.command = exec.Command(daemon, "serve", "-config", path)
	p.command.Stderr = os.Stderr
	stdout, err := p.command.StdoutPipe()
	assert.NilError(tb, err)
	assert.NilError(tb, p.command.Start())
	tb.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		_ = p.command.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	assert.NilError(tb, err)
	var addresses struct {
		Gateway string `json:"gateway"`
		Admin   string `json:"admin"`
	}
	assert.NilError(tb, json.Unmarshal(line, &addresses))
	p.traffic, p.admin = addresses.Gateway, addresses.Admin
	p.waitReady(tb)
	return p
}

func (p *process) waitReady(tb testing.TB) {
	limit := time.Now().Add(20 * time.Second)
	for time.Now().Before(limit) {
		result, err := p.platform.client.Get(tb.Context(), membership.RowPrefix+gatewayID(0))
		assert.NilError(tb, err)
		response, err := http.Get(p.admin + "/readyz")
		assert.NilError(tb, err)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK && len(result.Rows) == 1 {
			var row membership.Row
			assert.NilError(tb, json.Unmarshal(result.Rows[0].Value, &row))
			p.peerAddress = row.Peer
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	tb.Fatal("the gateway did not become ready")
}

// get returns the body of an admin endpoint.
func (p *process) get(tb testing.TB, path string) []byte {
	response, err := http.Get(p.admin + path)
	assert.NilError(tb, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(tb, err)
	return body
}

// metrics reads the metrics endpoint. It returns the sum over all labels for each name.
func (p *process) metrics(tb testing.TB) map[string]float64 {
	values := make(map[string]float64)
	for line := range strings.Lines(string(p.get(tb, "/metrics"))) {
		name, text, ok := strings.Cut(strings.TrimSpace(line), " ")
		value, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			continue
		}
		name, _, _ = strings.Cut(name, "{")
		values[name] += value
	}
	return values
}

// fakePeers simulates the other gateways of a fleet for one gateway: they accept
// streams, and send heartbeats and optionally server summaries.
type fakePeers struct {
	address string
	// summary is the frame that neighbours send every 250 ms, nil for none.
	summary []byte
	running sync.WaitGroup
	opened  atomic.Int64
}

const summaryInterval = 250 * time.Millisecond

// start runs the peers of a fleet until ctx ends. The gateway under test has index 0.
func (p *fakePeers) start(ctx context.Context, gateways int) {
	neighbours := 0
	for i := 1; i < gateways; i++ {
		sends := false
		if regionOf(i) == localRegion && p.summary != nil && neighbours < countNeighbours(gateways) {
			neighbours++
			sends = true
		}
		p.running.Go(func() {
			for ctx.Err() == nil {
				p.runSession(ctx, i, sends)
				sleep(ctx, 500*time.Millisecond)
			}
		})
	}
}

// countNeighbours returns the number of neighbours by the rule of pkg/membership.
func countNeighbours(gateways int) int {
	peers := (gateways+1)/2 - 1
	if peers > 16 {
		return 8
	}
	return peers
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// runSession opens one session and runs it until it ends.
func (p *fakePeers) runSession(ctx context.Context, i int, sends bool) {
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		return
	}
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.StreamOpenTimeout = 0
	config.LogOutput = io.Discard
	mux, err := yamux.Client(conn, config)
	if err != nil {
		_ = conn.Close()
		return
	}
	defer mux.Close()
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	go func() {
		for {
			stream, err := mux.AcceptStream()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, stream) }()
		}
	}()
	p.opened.Add(1)
	p.sendMessages(ctx, mux, i, sends)
}

// sendMessages sends heartbeats and summaries until the session or ctx ends.
func (p *fakePeers) sendMessages(ctx context.Context, mux *yamux.Session, i int, sends bool) {
	urgent, err := mux.OpenStream()
	if err != nil {
		return
	}
	bulk, err := mux.OpenStream()
	if err != nil {
		return
	}
	heartbeat := &peerpb.Heartbeat{Id: gatewayID(i), Incarnation: 1_780_000_000_000_000, Region: regionOf(i),
		Revision: 4, State: "ready"}
	interval := membership.LocalInterval
	if regionOf(i) == remoteRegion {
		interval = membership.RemoteInterval
	}
	heartbeatAt := time.Time{}
	for ctx.Err() == nil {
		if time.Since(heartbeatAt) >= interval {
			heartbeatAt = time.Now()
			data, err := peer.EncodeFrame(&peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: heartbeat}})
			if err != nil {
				return
			}
			if _, err = urgent.Write(data); err != nil {
				return
			}
		}
		if sends {
			if _, err = bulk.Write(p.summary); err != nil {
				return
			}
		}
		select {
		case <-mux.CloseChan():
			return
		case <-time.After(summaryInterval):
		case <-ctx.Done():
		}
	}
}

func newSummaryFrame(tb testing.TB, servers int) []byte {
	data, err := peer.EncodeFrame(&peerpb.Frame{Body: &peerpb.Frame_ServerSummary{
		ServerSummary: &peerpb.ServerSummary{Loads: serverLoads(servers)}}})
	assert.NilError(tb, err)
	return data
}

// serveVMs opens one listener for each VM, serves the handler on all of them and returns
// the VMs with these addresses.
func serveVMs(tb testing.TB, vms []platform.VM, handler http.Handler) []platform.VM {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	tb.Cleanup(func() { _ = server.Close() })
	served := make([]platform.VM, 0, len(vms))
	for _, vm := range vms {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		go func() { _ = server.Serve(listener) }()
		vm.Address = listener.Addr().String()
		served = append(served, vm)
	}
	return served
}

func (s size) withGateways(gateways int) string {
	return fmt.Sprintf("%s/gateways=%d", s, gateways)
}
