package gateway

import (
	"context"
	"time"

	"balsamhill/pkg/claimstore"
	"balsamhill/pkg/crashguard"
)

// guardExpiry is how often suspicions whose time is over are removed.
const guardExpiry = time.Second

// peerQuery returns how other gateways are asked for attempts of a key. A
// gateway without an exchange can only speak for the fleet if it is alone.
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

// noPeers answers for a deployment with one gateway.
type noPeers struct{}

// QueryKey implements claimstore.PeerQuery.
func (noPeers) QueryKey(context.Context, string, string) bool {
	return true
}

// crashGuard tells peers of new suspicions as soon as an attempt has ended.
type crashGuard struct {
	*crashguard.Guard
	peers *peers
}

// Done implements proxy.CrashGuard.
func (c crashGuard) Done(now int64, fingerprint crashguard.Fingerprint, end crashguard.Result, serverID string) {
	c.Guard.Done(now, fingerprint, end, serverID)
	if end == crashguard.ResultConnectionLost {
		c.tellPeers()
	}
}

// tellPeers sends this gateway's own suspicions. The exchange itself passes on
// those that it received.
func (c crashGuard) tellPeers() {
	for _, suspicion := range c.Outgoing() {
		if suspicion.From == "" && c.peers != nil {
			c.peers.exchange.AnnounceSuspicion(suspicion.Fingerprint, suspicion.ServerID)
		}
	}
}

// connectHooks lets peers ask for attempts and report suspicions.
func (g *Gateway) connectHooks() {
	if g.peers == nil {
		return
	}
	g.peers.hooks = peerHooks{
		hasAttempt: g.claims.store.HasAttempt,
		suspicion: func(fingerprint crashguard.Fingerprint, serverID, from string) {
			g.guard.AddPeerSuspicion(g.now(), fingerprint, serverID, from)
		},
	}
}

// runGuardExpiry removes suspicions whose time is over.
func (g *Gateway) runGuardExpiry(ctx context.Context) {
	every(ctx, guardExpiry, nil, func(context.Context) {
		status := g.guard.Expire(g.now())
		g.counters.suspected.Set(float64(status.Suspected))
		g.counters.blocked.Set(float64(status.Blocked))
		g.guard.tellPeers()
	})
}
