package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"balsamhill/pkg/control"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/presetstore"
)

const (
	// presetInterval is the time between reads of the preset in force, except as in
	// presetReadDue.
	presetInterval = time.Second
	listInterval   = time.Second
	readTimeout    = time.Second
)

// send passes an event to the control loop. It blocks while the queue is full.
func (g *Gateway) send(ctx context.Context, event control.Event) {
	select {
	case g.events <- event:
	case <-ctx.Done():
	}
}

// runControl runs the control loop. Its goroutine is the only one that uses the control
// state.
func (g *Gateway) runControl(ctx context.Context) {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	listRead := false
	for {
		select {
		case event := <-g.events:
			listRead = g.applyEvents(event) || listRead
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		g.performActions(g.state.Tick(g.now()))
		// Only now the published snapshot has the servers of the list.
		g.listRead.Store(listRead)
		status := g.state.Status()
		g.status.Store(&status)
		g.peers.storeSummary(g.now(), g.state)
	}
}

// applyEvents applies an event and those queued behind it, so that Tick runs once
// for a burst of events. It reports whether the VM list was among them.
func (g *Gateway) applyEvents(event control.Event) (listRead bool) {
	for range eventQueueSize {
		g.state.Apply(g.now(), event)
		if _, ok := event.(control.ServerListRead); ok {
			listRead = true
		}
		select {
		case event = <-g.events:
		default:
			return listRead
		}
	}
	return listRead
}

func (g *Gateway) performActions(actions []control.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case control.Publish:
			g.snapshot.Store(a.Snapshot)
			if a.Snapshot.HasServer() {
				g.serverKnown.Store(true)
			}
		case control.PresetAdopted:
			g.counters.presetAdoptions.Inc()
			g.log.Info("preset adopted", "preset", a.Version.Preset.Name, "revision", a.Version.Revision,
				"previousRevision", a.Previous, "source", a.Source)
			g.peers.announcePreset(a.Version)
		case control.AnnounceDrain:
			g.counters.drainNotices.Inc()
			g.log.Info("server is leaving", "server", a.ServerID)
			g.peers.announceDrain(a)
		case control.SendDrains:
			g.peers.sendDrains(a)
		case control.ServerChanged:
			g.log.Info("server availability changed", "server", a.ServerID, "service", a.Service,
				"from", a.From, "to", a.To, "reason", a.Reason)
		case control.ServerWithdrew:
			// It is a pause: servers of this protocol send drain notices when they leave.
			g.log.Info("server asked for a pause; it gets no requests", "server", a.ServerID, "service", a.Service,
				"incarnation", a.Incarnation, "pause", time.Duration(a.Until-a.At).String())
		case control.WithdrawalEnded:
			g.log.Info("pause of the server is over", "server", a.ServerID, "service", a.Service, "incarnation", a.Incarnation)
		}
	}
}

// runEvery calls f at once, then at each interval and whenever a value arrives on wake,
// which may be nil, until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-wake:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gateway) runPresetReader(ctx context.Context) {
	ticker := time.NewTicker(presetInterval)
	defer ticker.Stop()
	due := true
	var last time.Time
	for {
		if due {
			last = time.Now()
			g.readPreset(ctx)
		}
		select {
		case <-ticker.C:
			due = g.presetReadDue(time.Since(last))
		case <-g.readNow:
			due = true
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gateway) readPreset(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeout)
	defer cancel()
	revision, err := g.presets.Revision(ctx)
	if err != nil {
		g.counters.platformErrors.Inc()
		g.peers.markStoreUnreachable()
		return
	}
	if revision <= g.status.Load().Revision {
		return
	}
	version, err := g.presets.InForce(ctx)
	if err != nil {
		if !errors.Is(err, presetstore.ErrNoHead) {
			g.counters.platformErrors.Inc()
			g.peers.markStoreUnreachable()
		}
		return
	}
	g.send(ctx, control.PresetOffered{Version: version, Source: "store"})
}

func (g *Gateway) runListReader(ctx context.Context) {
	runEvery(ctx, listInterval, nil, g.readList)
}

func (g *Gateway) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	vms, err := g.platform.ListVMs(ctx)
	if err != nil {
		g.counters.platformErrors.Inc()
		return
	}
	g.peers.applyList(vms)
	g.send(ctx, control.ServerListRead{VMs: vms})
}

func (g *Gateway) runRowWriter(ctx context.Context) {
	runEvery(ctx, membership.RowRefresh, nil, g.writeRow)
}

// writeRow writes this gateway's row to the store. A failed write is repeated at the
// next refresh.
func (g *Gateway) writeRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	clockKnown := g.storeClock.known()
	value, err := json.Marshal(g.row())
	if err != nil {
		panic(err)
	}
	result := g.platform.Commit(ctx, platform.Txn{
		Writes: []platform.Write{{Key: membership.RowPrefix + g.settings.VM.ID, Value: value}},
	})
	g.storeClock.observe(result.Time)
	switch {
	case result.Status != platform.CommitApplied:
		g.counters.platformErrors.Inc()
	case clockKnown:
		g.claimGate.setRowWritten()
	default:
		// The first row carries the time of this machine's clock. If that clock is wrong,
		// other gateways may ignore the row as expired. It is written again with the
		// store's clock.
		g.writeRow(ctx)
	}
}
