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
	presetInterval = time.Second
	listInterval   = time.Second
	readTimeout    = time.Second
)

// send hands an event to the control loop.
func (g *Gateway) send(ctx context.Context, event control.Event) {
	select {
	case g.events <- event:
	case <-ctx.Done():
	}
}

// runControl is the one goroutine that owns the control state.
func (g *Gateway) runControl(ctx context.Context) {
	ticker := time.NewTicker(control.Tick)
	defer ticker.Stop()
	for {
		select {
		case event := <-g.events:
			g.applyEvents(event)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		g.perform(g.state.RunSystems(g.now()))
		status := g.state.Status()
		g.status.Store(&status)
		g.peers.summarize(g.now(), g.state)
	}
}

// applyEvents takes an event and all that wait behind it, so that the systems run
// once for a burst of events.
func (g *Gateway) applyEvents(event control.Event) {
	for range eventQueue {
		g.state.Apply(g.now(), event)
		if _, ok := event.(control.VMListRead); ok {
			g.listRead.Store(true)
		}
		select {
		case event = <-g.events:
		default:
			return
		}
	}
}

func (g *Gateway) perform(actions []control.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case control.Publish:
			g.snapshot.Store(a.Snapshot)
		case control.PresetAdopted:
			g.counters.presetAdoptions.Inc()
			g.log.Info("preset adopted", "preset", a.Version.Preset.Name, "revision", a.Version.Revision,
				"previousRevision", a.Previous, "source", a.Source)
			g.peers.presetAdopted(a.Version)
		case control.AnnounceDrain:
			g.counters.drainNotices.Inc()
			g.log.Info("server is leaving", "server", a.ServerID)
			g.peers.drainLearned(a)
		case control.SendDrains:
			g.peers.drainsInForce(a)
		case control.ServerChanged:
			g.log.Info("server availability changed", "server", a.ServerID, "service", a.Service,
				"from", a.From, "to", a.To, "reason", a.Reason)
		}
	}
}

// every calls a function at once, then in an interval and whenever wake fires.
func every(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
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
		g.peers.storeUnreachable()
		return
	}
	if revision <= g.status.Load().Revision {
		return
	}
	version, err := g.presets.InForce(ctx)
	if err != nil {
		if !errors.Is(err, presetstore.ErrNoHead) {
			g.counters.platformErrors.Inc()
			g.peers.storeUnreachable()
		}
		return
	}
	g.send(ctx, control.PresetOffered{Version: version, Source: "store"})
}

func (g *Gateway) runListReader(ctx context.Context) {
	every(ctx, listInterval, nil, g.readList)
}

func (g *Gateway) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	vms, err := g.platform.ListVMs(ctx)
	if err != nil {
		g.counters.platformErrors.Inc()
		return
	}
	g.peers.listRead(vms)
	g.send(ctx, control.VMListRead{VMs: vms})
}

func (g *Gateway) runRowWriter(ctx context.Context) {
	every(ctx, membership.RowRefresh, nil, g.writeRow)
}

// writeRow writes this gateway's row. A lost write is repeated at the next
// refresh.
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
		g.introduction.wroteRow()
	default:
		// The first row bears the time of a clock that may be wrong, so that other
		// gateways may take it for an old one.
		g.writeRow(ctx)
	}
}
