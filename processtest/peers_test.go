package processtest

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/examples"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/presetstore"
)

// startHTTPProxy starts a proxy that forwards requests to the platform until it is
// closed.
func startHTTPProxy(t *testing.T, platform string) *httptest.Server {
	t.Helper()
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, platform+r.URL.RequestURI(), r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}))
	t.Cleanup(proxy.Close)
	return proxy
}

// gatewayStatus holds the fields of /status that these tests read.
type gatewayStatus struct {
	Preset   string `json:"preset"`
	Revision uint64 `json:"revision"`
	Source   string `json:"source"`
	Peers    []struct {
		ID        string `json:"id"`
		Address   string `json:"address"`
		Alive     bool   `json:"alive"`
		Connected bool   `json:"connected"`
	} `json:"peers"`
}

func (g *gatewayProcess) status(t *testing.T) gatewayStatus {
	t.Helper()
	var status gatewayStatus
	code, body := get(g.admin + "/status")
	assert.Equal(t, code, http.StatusOK)
	assert.NilError(t, json.Unmarshal([]byte(body), &status), body)
	return status
}

// connected returns the number of peers with which the gateway has a session.
func (g *gatewayProcess) connected(t *testing.T) int {
	t.Helper()
	count := 0
	for _, peer := range g.status(t).Peers {
		if peer.Connected && peer.Alive {
			count++
		}
	}
	return count
}

// startSeededGateway starts a gateway with one peer address in its settings. It does
// not wait until the gateway is ready.
func (f *fleet) startSeededGateway(id, seed string) *gatewayProcess {
	f.t.Helper()
	text := strings.NewReplacer(
		"127.0.0.1:8080", "127.0.0.1:0", "127.0.0.1:8081", "127.0.0.1:0", "127.0.0.1:8082", "127.0.0.1:0",
		"http://127.0.0.1:9000", f.url,
		`"gw-khomas-1"`, `"`+id+`"`,
		`"seeds": []`, `"seeds": ["`+seed+`"]`,
		`"noticeMillis": 10000`, `"noticeMillis": 100`,
	).Replace(string(examples.SignlineSettings()))
	assert.Assert(f.t, strings.Contains(text, seed))
	path := filepath.Join(f.t.TempDir(), id+".jsonc")
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	p := start(f.t, "balsamhilld", "serve", "-config", path)
	var addresses struct {
		Gateway string `json:"gateway"`
		Admin   string `json:"admin"`
	}
	assert.NilError(f.t, json.Unmarshal([]byte(p.firstLine), &addresses))
	return &gatewayProcess{process: p, traffic: addresses.Gateway, admin: addresses.Admin}
}

// Guards against the loss of an accepted preset in an outage of the store right after
// one gateway read it: the others must receive it from that gateway, and a gateway
// that starts during the outage must become ready with it.
func TestPresetSurvivesOutage(t *testing.T) {
	f := startFleet(t)
	first := f.startGateway("gw-1", "khomas")
	proxy := startHTTPProxy(t, f.url)
	proxied := &fleet{t: t, platform: f.platform, url: proxy.URL}
	second := proxied.startGateway("gw-2", "khomas")
	eventually(t, "session between the gateways", func() bool {
		return first.connected(t) == 1 && second.connected(t) == 1
	})
	before := second.status(t).Revision

	proxy.CloseClientConnections()
	proxy.Close()
	// The tool would offer the preset to both gateways, so the change is stored
	// without it.
	client := httpplatform.New(f.url)
	defer client.Close()
	author := presetstore.Author{Operator: "test", WriteID: "peers-test", Now: time.Now()}
	outcome := presetstore.New(client).Use(t.Context(), author, "peak", nil)
	assert.Equal(t, outcome.Status, presetstore.Accepted)
	eventually(t, "change on the first gateway", func() bool { return first.status(t).Preset == "peak" })
	// The VM list stays available: without it a new gateway has no servers.
	f.faults(`{"down":true}`)
	eventually(t, "change on the second gateway", func() bool { return second.status(t).Preset == "peak" })
	status := second.status(t)
	assert.Equal(t, status.Source, "gw-1")
	assert.Assert(t, status.Revision > before)

	seed := status.Peers[0].Address
	third := f.startSeededGateway("gw-3", seed)
	eventually(t, "third gateway ready", func() bool {
		code, _ := get(third.admin + "/readyz")
		return code == http.StatusOK
	})
	started := third.status(t)
	assert.Equal(t, started.Revision, status.Revision)
	assert.Equal(t, started.Preset, "peak")
	eventually(t, "sessions of the third gateway with both", func() bool { return third.connected(t) == 2 })
}
