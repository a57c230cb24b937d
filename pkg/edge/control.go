package edge

import (
	"context"
	"time"

	"balsamhill/pkg/control"
	"balsamhill/pkg/feed"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/retry"
)

// tableEvent carries changed rows of a table to the control loop.
type tableEvent struct {
	table feed.Table
	rows  []feed.Row
	// outageEnded is when the store last came back, 0 if it was never away.
	outageEnded int64
	// source says where the rows came from.
	source string
}

// runControl is the one goroutine that owns the control state.
func (e *Edge) runControl(ctx context.Context) {
	ticker := time.NewTicker(control.Tick)
	defer ticker.Stop()
	for {
		select {
		case event := <-e.events:
			e.apply(event)
		case <-ticker.C:
			e.guard.Expire(e.now())
			if e.servers.Expire(e.now()) {
				e.applyServers()
			}
		case <-ctx.Done():
			return
		}
		e.perform(e.state.RunSystems(e.now()))
	}
}

func (e *Edge) apply(event tableEvent) {
	switch event.table {
	case feed.Config:
		for _, row := range event.rows {
			e.applyConfig(row, event.source)
		}
	case feed.Servers:
		e.servers.StoreRecovered(event.outageEnded)
		e.applyEntries(event.rows)
	}
}

func (e *Edge) applyConfig(row feed.Row, source string) {
	if row.Deleted {
		return
	}
	document, err := e.codec.DecodeConfig(row)
	if err != nil {
		e.counters.badConfigs.Inc()
		e.log.Warn("configuration cannot be read; the one in force stays", "error", err, "source", source)
		return
	}
	if document == nil {
		return
	}
	e.state.Apply(e.now(), control.PresetOffered{Version: e.version(document), Source: source})
}

const (
	// hedgePercent is how much of the calls may be hedged. Hedges also count
	// against the retry budget, of which the rest stays for retries after failures.
	hedgePercent = 15.0
	// domainByteNanos and regionByteNanos are the price of a byte; see
	// preset.Tuning. 60 KB to another failure domain cost as much as half a second.
	domainByteNanos = 8000
	regionByteNanos = 40000
	// admitAll leaves it to the servers to refuse calls that they cannot queue.
	admitAll = 100
)

// version turns a document into the preset that is in force with it.
func (e *Edge) version(document *Document) preset.Version {
	p := preset.Default("platform", preset.KindOrdinary)
	terms := e.terms.Load()
	retryPercent := terms.RetryPercent
	if terms.RetryWindow > 0 && terms.RetryWindow < retry.WindowNanos {
		// Repeats of the whole window of the budget may fall into a shorter one.
		retryPercent *= float64(terms.RetryWindow) / retry.WindowNanos
	}
	for _, class := range preset.Classes() {
		limits := p.Classes[class]
		limits.MaxBodyBytes = document.MaxBodyBytes
		limits.RetryPercent = retryPercent
		limits.RetryErrors = true
		limits.HedgePercent = 0
		if class == preset.ClassFetch {
			limits.HedgePercent = hedgePercent
		}
		p.Classes[class] = limits
	}
	for _, service := range document.Routing.Services {
		p.Services[service.Name] = preset.Tuning{
			Policy:                  preset.PolicyLeastExpectedLatency,
			QueueFactor:             admitAll,
			CrossDomainNanosPerByte: domainByteNanos,
			CrossRegionNanosPerByte: regionByteNanos,
		}
	}
	p.SpillOver.Enabled = false
	return preset.Version{Revision: document.Revision, Preset: p, Routing: document.Routing}
}

func (e *Edge) applyEntries(rows []feed.Row) {
	changed := false
	for _, row := range rows {
		if e.applyEntry(row) {
			changed = true
		}
	}
	if changed || !e.listRead.Load() {
		e.applyServers()
	}
}

func (e *Edge) applyEntry(row feed.Row) bool {
	if row.Deleted {
		return e.servers.Remove(e.now(), row.Key)
	}
	entry, err := e.codec.DecodeEntry(row)
	if err != nil {
		e.counters.badEntries.Inc()
		e.log.Warn("entry names no server", "server", row.Key, "error", err)
		return e.servers.Remove(e.now(), row.Key)
	}
	return e.servers.Put(entry)
}

func (e *Edge) applyServers() {
	e.state.Apply(e.now(), control.VMListRead{VMs: e.servers.Servers(), Exact: true})
	e.listRead.Store(true)
}

func (e *Edge) perform(actions []control.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case control.Publish:
			e.snapshot.Store(a.Snapshot)
			e.view.Store(newServerView(a.Snapshot))
			if e.listRead.Load() {
				e.start.complete()
			}
		case control.PresetAdopted:
			e.counters.adoptions.Inc()
			e.log.Info("configuration in force", "revision", a.Version.Revision, "previous", a.Previous,
				"source", a.Source, "routes", len(a.Version.Routing.Rules))
		case control.ServerChanged:
			e.log.Info("server availability changed", "server", a.ServerID, "service", a.Service,
				"from", a.From, "to", a.To, "reason", a.Reason)
		case control.AnnounceDrain, control.SendDrains:
			// All gateways follow the same table, so peers need no notice.
		}
	}
}
