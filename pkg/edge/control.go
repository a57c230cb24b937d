package edge

import (
	"context"
	"time"

	"balsamhill/pkg/control"
	"balsamhill/pkg/feed"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/retry"
)

// tableEvent passes changed rows of a table to the control loop.
type tableEvent struct {
	table feed.Table
	rows  []feed.Row
	// storeRecoveredAt is when the last outage of the store ended, 0 if there was none.
	storeRecoveredAt int64
	// source is storeSource or the address of the gateway that sent the rows.
	source string
	// era is the era of the store to which the versions of the rows belong.
	era uint64
	// receivedAt is when the read ended, announcedAt when a peer announced a change that the
	// copy lacked until then, 0 if none did, and confirmedAt when the store confirmed the rows.
	receivedAt, announcedAt, confirmedAt int64
}

// configReceipt describes how the configuration in force reached this gateway.
type configReceipt struct {
	// rowVersion is the version of the store's transaction that wrote the configuration.
	rowVersion uint64
	event      *tableEvent
	decoding   time.Duration
}

// runControl applies table events and runs the control state until ctx is done. No other
// goroutine accesses that state.
func (e *Edge) runControl(ctx context.Context) {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-e.events:
			e.apply(event)
		case lostAt := <-e.linksRestored:
			e.state.Apply(e.now(), control.LinksRestored{LostAt: lostAt})
		case <-ticker.C:
			e.guard.Expire(e.now())
			if e.servers.Expire(e.now()) {
				e.applyServers()
			}
		case <-ctx.Done():
			return
		}
		e.perform(e.state.Tick(e.now()))
	}
}

func (e *Edge) apply(event tableEvent) {
	switch event.table {
	case feed.Config:
		for _, row := range event.rows {
			e.applyConfig(row, &event)
		}
	case feed.Servers:
		e.servers.StoreRecovered(event.storeRecoveredAt)
		e.applyEntries(event.rows)
	}
}

func (e *Edge) applyConfig(row feed.Row, event *tableEvent) {
	if row.Deleted {
		return
	}
	began := e.now()
	document, err := e.codec.DecodeConfig(row)
	if err != nil {
		e.counters.invalidConfigs.Inc()
		e.log.Warn("configuration cannot be read; the one in force stays", "error", err, "source", event.source,
			"rowVersion", row.Version, "era", event.era)
		return
	}
	if document == nil {
		return
	}
	if snapshot := e.snapshot.Load(); snapshot != nil && document.Revision <= snapshot.Version.Revision {
		e.log.Info("configuration is not newer; the one in force stays", "revision", document.Revision,
			"inForce", snapshot.Version.Revision, "source", event.source, "rowVersion", row.Version, "era", event.era)
	}
	e.configReceipt = configReceipt{rowVersion: row.Version, event: event, decoding: time.Duration(e.now() - began)}
	e.state.Apply(e.now(), control.PresetOffered{Version: e.presetVersion(document), Source: event.source})
	e.requestLimits.Store(document.Limits.OrDefault())
}

const (
	// hedgePercent is the percentage of fetch calls that may be hedged. Hedges also count
	// against the retry budget; the rest of it remains for retries after failures.
	hedgePercent = 15.0
	// crossDomainNanosPerByte and crossRegionNanosPerByte are the cost of a byte that is
	// sent to another failure domain or region, in nanoseconds of latency; see
	// preset.Tuning. 60 KB to another failure domain cost as much as half a second.
	crossDomainNanosPerByte = 8000
	crossRegionNanosPerByte = 40000
	// unlimitedQueueFactor is so large that the servers, not the gateway, reject calls
	// that exceed their queues.
	unlimitedQueueFactor = 100
)

// presetVersion derives a preset from a configuration and the limits of the platform.
func (e *Edge) presetVersion(document *Document) preset.Version {
	p := preset.Default("platform", preset.KindOrdinary)
	limits := e.limits.Load()
	retryPercent := limits.RetryPercent
	if limits.RetryWindow > 0 && limits.RetryWindow < retry.WindowNanos {
		// The budget allows the retries of its whole window at once, so all of them may
		// fall into the shorter window of the platform.
		retryPercent *= float64(limits.RetryWindow) / retry.WindowNanos
	}
	for _, class := range preset.Classes() {
		classLimits := p.Classes[class]
		classLimits.MaxBodyBytes = document.Limits.MaxBodyBytes
		classLimits.RetryPercent = retryPercent
		classLimits.RetryErrors = true
		classLimits.HedgePercent = 0
		if class == preset.ClassFetch {
			classLimits.HedgePercent = hedgePercent
		}
		p.Classes[class] = classLimits
	}
	for _, service := range document.Routing.Services {
		p.Services[service.Name] = preset.Tuning{
			Policy:                  preset.PolicyLeastExpectedLatency,
			QueueFactor:             unlimitedQueueFactor,
			CrossDomainNanosPerByte: crossDomainNanosPerByte,
			CrossRegionNanosPerByte: crossRegionNanosPerByte,
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
	if changed || !e.serversLoaded.Load() {
		e.applyServers()
	}
}

func (e *Edge) applyEntry(row feed.Row) bool {
	if row.Deleted {
		return e.servers.Remove(e.now(), row.Key)
	}
	entry, err := e.codec.DecodeEntry(row)
	if err != nil {
		e.counters.invalidEntries.Inc()
		e.log.Warn("invalid server entry; removing the server", "server", row.Key, "error", err)
		return e.servers.Remove(e.now(), row.Key)
	}
	return e.servers.Put(e.now(), entry)
}

func (e *Edge) applyServers() {
	now := e.now()
	e.state.Apply(now, control.ServerListRead{
		VMs: e.servers.Servers(), Exact: true, UnixAtZero: time.Now().UnixNano() - now,
	})
	e.serversLoaded.Store(true)
}

func (e *Edge) recordAdoption(adopted control.PresetAdopted) {
	now := e.now()
	receipt := e.configReceipt
	e.counters.adoptions.Inc()
	sinceAnnounced := ""
	if announcedAt := receipt.event.announcedAt; announcedAt != 0 {
		delay := time.Duration(now - announcedAt)
		sinceAnnounced = delay.String()
		e.counters.configDelay.Update(delay.Seconds())
	}
	e.log.Info("configuration in force", "revision", adopted.Version.Revision, "previous", adopted.Previous,
		"source", adopted.Source, "routes", len(adopted.Version.Routing.Rules), "rowVersion", receipt.rowVersion, "era", receipt.event.era,
		"sinceAnnounced", sinceAnnounced, "sinceReceived", time.Duration(now-receipt.event.receivedAt).String(),
		"decoding", receipt.decoding.String(), "storeAge", time.Duration(now-receipt.event.confirmedAt).String())
}

func (e *Edge) perform(actions []control.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case control.Publish:
			e.snapshot.Store(a.Snapshot)
			e.indexed.Store(newIndexedSnapshot(a.Snapshot))
			if e.serversLoaded.Load() {
				e.startup.Open()
			}
		case control.PresetAdopted:
			e.recordAdoption(a)
		case control.ServerChanged:
			e.log.Info("server availability changed", "server", a.ServerID, "service", a.Service,
				"from", a.From, "to", a.To, "reason", a.Reason)
		case control.ServerWithdrew:
			e.recordWithdrawal(a)
		case control.WithdrawalEnded:
			e.recordWithdrawalEnd(a)
		case control.AnnounceDrain, control.SendDrains:
			// Peers need no notification of drains, because all gateways follow the same
			// table of servers.
		}
	}
}
