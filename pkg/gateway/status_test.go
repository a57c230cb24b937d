package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/control"
	"balsamhill/pkg/settings"
)

// waitFor is waitUntil with a limit of 20 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !condition(); {
		assert.Assert(t, time.Now().Before(limit), what)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestStatusShowsLastResort guards the reason in /status of a server that is used only
// as the last resort.
func TestStatusShowsLastResort(t *testing.T) {
	g, client := newTestGateway(t, func(s *settings.Settings) {
		s.Services[0].Servers = []settings.Server{{ID: "s-1", Region: "khomas", FailureDomain: "khomas-1", Address: "127.0.0.1:1"}}
	})
	useFirstPreset(t, client)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	waitFor(t, "no preset", func() bool { return g.notReadyReason() == "" })
	g.events <- control.DrainNoticed{ServerID: "s-1"}
	first := func() ServerStatus { return g.Status().Services[0].Servers[0] }
	waitFor(t, "not the last resort", func() bool { return first().LastResort })
	assert.Assert(t, strings.Contains(first().Reason, "announced"), first().Reason)
	cancel()
	assert.NilError(t, <-done)
}
