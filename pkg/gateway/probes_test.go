package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/examples"
	"balsamhill/pkg/budget"
	"balsamhill/pkg/loadreport"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/platform/standin"
	"balsamhill/pkg/presetstore"
	"balsamhill/pkg/responsecheck/responsechecktest"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/settings"
)

// newTestGateway returns a gateway without starting it, and a client of its platform.
func newTestGateway(t *testing.T, changes ...func(*settings.Settings)) (*Gateway, *httpplatform.Client) {
	t.Helper()
	store := httptest.NewServer(standin.New())
	t.Cleanup(store.Close)
	client := httpplatform.New(store.URL)
	t.Cleanup(client.Close)
	s, err := settings.Parse("signline.jsonc", examples.SignlineSettings())
	assert.NilError(t, err)
	s.Traffic.Listen, s.Admin.Listen, s.Peers.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Shutdown.NoticeMillis = 0
	for _, change := range changes {
		change(s)
	}
	g, err := New(s, client, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	return g, client
}

// useFirstPreset puts the first example preset in force.
func useFirstPreset(t testing.TB, client *httpplatform.Client) {
	t.Helper()
	store := presetstore.New(client)
	document := examples.Presets()[0]
	author := func(id string) presetstore.Author {
		return presetstore.Author{Operator: "test", WriteID: id, Now: time.Now()}
	}
	assert.Equal(t, store.Apply(t.Context(), author("apply"), document.Text, nil).Status, presetstore.Accepted)
	assert.Equal(t, store.Use(t.Context(), author("use"), document.Name, nil).Status, presetstore.Accepted)
}

// startProbedServer starts a server and returns it with the counter of its probes.
func startProbedServer(t *testing.T) (*routing.Server, *atomic.Int64) {
	t.Helper()
	var probes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		probes.Add(1)
		w.Header().Set(loadreport.Header, "TEXT named_metrics.in_flight=3")
	}))
	t.Cleanup(server.Close)
	return &routing.Server{ID: "s", Address: server.Listener.Addr().String(), Stats: &routing.Stats{}}, &probes
}

// TestNoProbeAfterGrantEnds guards against a probe that is sent after its grant has
// expired because the process was paused between the scheduling and the sending.
func TestNoProbeAfterGrantEnds(t *testing.T) {
	g, _ := newTestGateway(t)
	service := g.settings.Services[0]
	gr := g.budgets.probes[service.Name]
	gr.request(2, 4)
	server, probes := startProbedServer(t)
	grantFrom := func(sent int64) {
		gr.holder.Plan(budget.RowRead{SentAt: sent, Time: time.Now()}, 2, 4)
		gr.holder.WriteCompleted(true)
	}
	grantFrom(g.now())
	g.probe(t.Context(), service, gr, server)
	assert.Equal(t, probes.Load(), int64(1))
	assert.Assert(t, server.Stats.ReportedAt() > 0)

	grantFrom(g.now() - int64(budget.GrantTTL))
	g.probe(t.Context(), service, gr, server)
	assert.Equal(t, probes.Load(), int64(1))
}

// TestProbeOverHTTP2 guards against HTTP/1.1 probes to servers that support only
// HTTP/2.
func TestProbeOverHTTP2(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(loadreport.Header, "TEXT named_metrics.in_flight=3")
	}))
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	g, _ := newTestGateway(t, func(s *settings.Settings) { s.Services[0].HTTP2 = true })
	service := g.settings.Services[0]
	gr := g.budgets.probes[service.Name]
	gr.request(2, 4)
	gr.holder.Plan(budget.RowRead{SentAt: g.now(), Time: time.Now()}, 2, 4)
	gr.holder.WriteCompleted(true)
	probed := &routing.Server{ID: "s", Address: server.Listener.Addr().String(), Stats: &routing.Stats{}}
	g.probe(t.Context(), service, gr, probed)
	assert.Assert(t, probed.Stats.ReportedAt() > 0)
	assert.Equal(t, g.counters.probeFailures.Get(), uint64(0))
	g.transport.CloseIdleConnections()
}

// TestIdleServerIsProbed guards the path of a probe through a running gateway: a preset
// comes into force, a grant row is written, and the idle server of the own region gets
// a probe.
func TestIdleServerIsProbed(t *testing.T) {
	g, client := newTestGateway(t)
	ctx, cancel := context.WithCancel(context.Background())
	useFirstPreset(t, client)
	service := g.settings.Services[0]
	local, localProbes := startProbedServer(t)
	remote, remoteProbes := startProbedServer(t)
	for region, server := range map[string]*routing.Server{"khomas": local, "erongo": remote} {
		err := client.RegisterVM(ctx, platform.VM{ID: "server-" + region, Role: platform.RoleServer, Incarnation: 1,
			Service: service.Name, Region: region, FailureDomain: region, Address: server.Address, State: platform.VMLive})
		assert.NilError(t, err)
	}
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	for limit := time.Now().Add(20 * time.Second); localProbes.Load() < 2; {
		assert.Assert(t, time.Now().Before(limit), "no probe arrived")
		time.Sleep(10 * time.Millisecond)
	}
	result, err := client.Get(ctx, budget.RowPrefix+"probe/"+service.Name)
	assert.NilError(t, err)
	row, err := budget.ParseRow(result.Rows[0].Value)
	assert.NilError(t, err)
	assert.Equal(t, len(row.Grants), 1)
	assert.Equal(t, row.Grants[0].Holder, fmt.Sprintf("gw-khomas-1@%d", g.incarnation))
	assert.Equal(t, row.Grants[0].Share, probeTotal(service, 1))
	assert.Equal(t, remoteProbes.Load(), int64(0), "probes must not cross the link")
	cancel()
	assert.NilError(t, <-done)
}

// TestInvalidProbeResponseReportsNothing guards against a load that is taken from what is no response
// of a server.
func TestInvalidProbeResponseReportsNothing(t *testing.T) {
	g, _ := newTestGateway(t)
	service := g.settings.Services[0]
	gr := g.budgets.probes[service.Name]
	gr.request(2, 4)
	gr.holder.Plan(budget.RowRead{SentAt: g.now(), Time: time.Now()}, 2, 4)
	gr.holder.WriteCompleted(true)
	probe := func(text string) bool {
		server := &routing.Server{ID: "s", Address: responsechecktest.Serve(t, text), Stats: &routing.Stats{}}
		g.probe(t.Context(), service, gr, server)
		return server.Stats.ReportedAt() != 0
	}
	const report = loadreport.Header + ": TEXT named_metrics.in_flight=3\r\n"
	for desc, text := range responsechecktest.Invalid(report) {
		t.Run(desc, func(t *testing.T) { assert.Assert(t, !probe(text)) })
	}
	assert.Assert(t, probe("HTTP/1.1 200 OK\r\n"+report+"Content-Length: 2\r\n\r\n{}"))
}
