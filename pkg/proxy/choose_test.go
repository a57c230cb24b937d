package proxy_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
)

// slowDependencies is a claim store and a crash guard that each advance the clock
// by 400 ms.
type slowDependencies struct {
	fakeClaims
	guard fakeGuard
	now   atomic.Int64
}

func (s *slowDependencies) wait() { s.now.Add(int64(400 * time.Millisecond)) }

func (s *slowDependencies) Claim(ctx context.Context, call claim.Call) claim.Decision {
	s.wait()
	return s.fakeClaims.Claim(ctx, call)
}

func (s *slowDependencies) Admit(now int64, fingerprint crashguard.Fingerprint) crashguard.Admission {
	s.wait()
	return s.guard.Admit(now, fingerprint)
}

func (s *slowDependencies) Done(now int64, attempt crashguard.Attempt, result crashguard.Result) {
	s.guard.Done(now, attempt, result)
}

// TestWaitBeforeAttemptIsNotCountedAsUnresponsive guards against a server that is
// taken for unresponsive because its call waited for the claim or the crash guard
// after the server was chosen.
func TestWaitBeforeAttemptIsNotCountedAsUnresponsive(t *testing.T) {
	dependencies := &slowDependencies{fakeClaims: fakeClaims{decision: claim.Decision{Kind: claim.Dispatch}, mayDispatch: true}}
	dependencies.now.Store(int64(time.Second))
	var p *testProxy
	var unansweredFor atomic.Int64
	server := startServer(t, func(http.ResponseWriter, *http.Request) {
		unansweredFor.Store(p.servers[0].Stats.UnansweredFor(dependencies.now.Load()))
	})
	p = newTestProxy(t, testConfig{configure: func(config *proxy.Config) {
		config.Claims, config.CrashGuard, config.Now = dependencies, dependencies, dependencies.now.Load
	}}, server)
	got := do(t, newClient(t, false), newRequest(t, "POST", p.url+"/x", strings.NewReader("b"), "Idempotency-Key", "k"))
	assert.Equal(t, got.status, 200)
	assert.Equal(t, unansweredFor.Load(), int64(0))
	assert.Equal(t, len(dependencies.guard.results), 1)
	// The claim and the crash guard advanced the clock.
	assert.Equal(t, dependencies.now.Load(), int64(1800*time.Millisecond))
}

// TestLastResortIsUsed guards against refusing the calls of a service whose servers
// have all announced that they are draining: they are used as the last resort.
func TestLastResortIsUsed(t *testing.T) {
	server := startServer(t, func(http.ResponseWriter, *http.Request) {})
	last := &routing.Server{ID: "a", Address: server, Region: "khomas", Weight: 1,
		Availability: routing.Draining, LastResort: true, Stats: &routing.Stats{}}
	tuning := preset.Tuning{Policy: preset.PolicyRoundRobin, QueueFactor: 16, QueueMillis: 100}
	view := routing.NewServiceView(serviceName, 4, "khomas", tuning, []*routing.Server{last})
	p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) {
		snapshot := *config.Snapshot()
		snapshot.Services = map[string]*routing.ServiceView{serviceName: view}
		config.Snapshot = func() *routing.Snapshot { return &snapshot }
	}})
	got := do(t, newClient(t, false), newRequest(t, "GET", p.url+"/fetch/x", nil))
	assert.Equal(t, got.status, 200)
}
