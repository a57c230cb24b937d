package gateway

import (
	"context"
	"time"

	"balsamhill/pkg/claimstore"
	"balsamhill/pkg/crashguard"
)

// guardExpiryInterval is the time between removals of expired suspicions.
const guardExpiryInterval = time.Second

// peerQuery returns the query for attempts of a key at other gateways. Without an
// exchange, the result is known only if this is the only gateway; otherwise peerQuery
// returns nil.
func (g *Gateway) peerQuery() claimstore.PeerQuery {
	switch {
	case g.peers != nil:
		return &freshPeerQuery{peers: g.peers}
	case g.settings.Peers.MaxGateways == 1:
		return noPeers{}
	default:
		return nil
	}
}

// noPeers is the query of a deployment with one gateway.
type noPeers struct{}

// QueryKey implements claimstore.PeerQuery.
func (noPeers) QueryKey(context.Context, string, string) bool {
	return true
}

// crashMemory is how long a request that crashes servers is remembered after it was held back.
const crashMemory = 2 * time.Hour

var crashLimits = crashguard.Limits{
	Servers: crashguard.DefaultBlockThreshold, SuspicionDuration: crashguard.DefaultBlockDuration,
	BlockDuration: crashguard.DefaultBlockDuration, Memory: crashMemory,
}

// crashGuard sends new suspicions to the peers as soon as an attempt has ended.
type crashGuard struct {
	*crashguard.Guard
	peers *peers
}

// Done implements proxy.CrashGuard.
func (c crashGuard) Done(now int64, attempt crashguard.Attempt, result crashguard.Result) {
	c.Guard.Done(now, attempt, result)
	if result == crashguard.ResultConnectionLost {
		c.notifyPeers()
	}
}

// notifyPeers sends this gateway's own suspicions. The exchange forwards those of other
// gateways itself.
func (c crashGuard) notifyPeers() {
	for _, suspicion := range c.Outgoing() {
		if suspicion.From == "" && !suspicion.Cleared && c.peers != nil {
			c.peers.exchange.AnnounceSuspicion(suspicion.Fingerprint, suspicion.Server)
		}
	}
}

// setPeerHooks connects the exchange to the claims and the crash guard, so that peers
// can query attempts and report suspicions.
func (g *Gateway) setPeerHooks() {
	if g.peers == nil {
		return
	}
	g.peers.hooks = peerHooks{
		hasAttempt: g.claims.store.HasAttempt,
		suspicion: func(fingerprint crashguard.Fingerprint, server crashguard.Server, from string) {
			now := g.now()
			g.guard.AddPeerSuspicion(now, crashguard.Suspicion{Fingerprint: fingerprint, Server: server, LostAt: now, From: from})
		},
	}
}

// runGuardExpiry removes expired suspicions until ctx ends.
func (g *Gateway) runGuardExpiry(ctx context.Context) {
	runEvery(ctx, guardExpiryInterval, nil, func(context.Context) {
		status := g.guard.Expire(g.now())
		g.counters.suspected.Set(float64(status.Suspected))
		g.counters.blocked.Set(float64(status.Blocked))
		g.guard.notifyPeers()
	})
}
