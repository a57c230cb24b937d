package gateway

import (
	"context"
	"time"
)

const (
	// firstServerTimeout is how long after its start a gateway without any server is not ready. After
	// that a deployment may be without servers, and callers get a refusal rather than no gateway.
	firstServerTimeout = 10 * time.Second
	// readyPollInterval is how often AwaitReady checks.
	readyPollInterval = 5 * time.Millisecond
)

// AwaitReady waits until the gateway can serve calls, and returns false if ctx ends before.
func (g *Gateway) AwaitReady(ctx context.Context) bool {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for g.notReadyReason() != "" {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// notReadyReason returns why the gateway must not receive calls yet, empty if it is
// ready.
func (g *Gateway) notReadyReason() string {
	switch {
	case g.snapshot.Load() == nil:
		return "the preset in force is not known yet"
	case !g.listRead.Load() && !g.allServersFixed():
		return "the platform's list of VMs was not read yet, so no server is known"
	case !g.serverKnown.Load() && time.Since(g.started) < firstServerTimeout:
		return "no server that may get calls is known yet"
	case !g.claimGate.isOpen() && g.storeClock.known() && time.Since(g.started) < claimGateTimeout:
		// Calls with an idempotency key would be refused. While the store is unreachable
		// they are refused anyway, and all other calls can be served.
		return "the other gateways do not know this one yet"
	default:
		return ""
	}
}

// allServersFixed reports whether the settings list the servers of every service.
func (g *Gateway) allServersFixed() bool {
	for _, service := range g.settings.Services {
		if len(service.Servers) == 0 {
			return false
		}
	}
	return true
}
