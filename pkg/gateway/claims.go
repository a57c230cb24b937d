package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/claimstore"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/platform"
)

const (
	// ownerCheckInterval must be below the gap that claim.OwnerAbsenceTracker accepts.
	ownerCheckInterval = 30 * time.Second
	// maxOwnerRowAge is the age above which a gateway row counts as missing. It can be far
	// above the refresh interval, because claims are removed only after 48 h.
	maxOwnerRowAge = time.Hour
	// maxOwnerRows is above the number of gateways that settings allow.
	maxOwnerRows = 1000
	// resultDrainTimeout bounds how long the shutdown waits until the results of calls
	// are written.
	resultDrainTimeout = 10 * time.Second
)

// claims holds the parts of a gateway that run each call with an idempotency key at
// most once.
type claims struct {
	store   *claimstore.Store
	gateway *Gateway
	mu      sync.Mutex
	owners  *claim.OwnerAbsenceTracker
}

func (g *Gateway) newClaims() *claims {
	c := &claims{gateway: g, owners: claim.NewOwnerAbsenceTracker()}
	c.store = claimstore.New(claimstore.Config{
		Table:        g.platform,
		Peers:        g.peerQuery(),
		Gateway:      g.settings.VM.ID,
		Incarnation:  g.incarnation,
		Now:          g.now,
		ClaimTimeout: g.settings.Platform.ClaimTimeout(),
		Seed:         g.incarnation,
		Metrics:      g.metrics,
		FeedRead:     g.peers.recordFeedRead,
		OwnerGone:    c.ownerGone,
		KnownToPeers: g.claimGate.opened,
		NoRemoval:    !g.inStoreRegion(),
	})
	return c
}

// run runs the background work until ctx ends, and returns when the results of the calls
// are written or resultDrainTimeout has passed. ctx must not end before the last call in
// flight.
func (c *claims) run(ctx context.Context) {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { c.store.Run(background) })
	if c.gateway.inStoreRegion() {
		// Gateways of other regions remove no rows.
		running.Go(func() { runEvery(ctx, ownerCheckInterval, nil, c.observeOwners) })
	}
	<-ctx.Done()
	limited, cancel := context.WithTimeout(background, resultDrainTimeout)
	defer cancel()
	if !c.store.Drain(limited) {
		c.gateway.log.Warn("shutdown did not wait for all results of calls with an idempotency key; repeats of these calls get the outcome unknown")
	}
	stop()
	running.Wait()
}

// ownerGone reports whether the owner of a claim has been absent for the retention time.
// The owner is tracked from the first call on.
func (c *claims) ownerGone(owner claim.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners.Track(owner)
	return c.owners.Gone(owner)
}

// observeOwners reads the gateway rows and the VM list and records which owners are
// present. It records nothing unless both reads are complete.
func (c *claims) observeOwners(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := c.gateway.platform.Scan(ctx, membership.RowPrefix, "", maxOwnerRows)
	if err != nil || rows.More {
		return
	}
	vms, err := c.gateway.platform.ListVMs(ctx)
	if err != nil {
		return
	}
	present, ok := presentOwners(rows, vms)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners.Observe(c.gateway.now(), present)
}

// presentOwners returns a function that reports whether an incarnation of a gateway may
// still exist. A VM in the list stands for every incarnation that no gateway row shows as
// replaced, because the incarnations in the list are those of VMs, not of processes. It
// returns false if a row cannot be decoded.
func presentOwners(rows platform.ReadResult, vms []platform.VM) (func(claim.Incarnation) bool, bool) {
	newest := make(map[string]uint64)
	fresh := make(map[claim.Incarnation]bool)
	for _, stored := range rows.Rows {
		var row membership.Row
		if json.Unmarshal(stored.Value, &row) != nil {
			return nil, false
		}
		newest[row.ID] = max(newest[row.ID], row.Incarnation)
		if rows.Time.Sub(row.WrittenAt) < maxOwnerRowAge {
			fresh[claim.Incarnation{Gateway: row.ID, Number: row.Incarnation}] = true
		}
	}
	listed := make(map[string]bool)
	for _, vm := range vms {
		listed[vm.ID] = true
	}
	return func(owner claim.Incarnation) bool {
		return fresh[owner] || (listed[owner.Gateway] && newest[owner.Gateway] <= owner.Number)
	}, true
}
