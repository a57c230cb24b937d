package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/control"
	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/peer"
	"balsamhill/pkg/peer/peerpb"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/tlsfiles"
)

const (
	summaryInterval = 250 * time.Millisecond
	// rowsInterval is the time between reads of the gateway rows, remoteRowsInterval the
	// same in a region without the store, where each read crosses the link.
	rowsInterval       = 5 * time.Second
	remoteRowsInterval = 30 * time.Second
	// remotePresetInterval is the time between reads of the preset in force by gateways
	// that are not relays in a region without the store.
	remotePresetInterval = 10 * time.Second
	// maxGatewayRows is above the number of gateways that settings allow.
	maxGatewayRows = 1000
)

// peerHooks connect the exchange to other parts of the gateway. They are set before Run.
type peerHooks struct {
	// hasAttempt answers key queries. If it is nil, the reply is that there may be an
	// attempt.
	hasAttempt func(service, key string) bool
	// suspicion receives the suspicions of peers. If it is nil, they are ignored.
	suspicion func(fingerprint crashguard.Fingerprint, server crashguard.Server, from string)
}

// peers connects a gateway to its exchange with other gateways. It is nil if settings
// turn the exchange off; the methods accept a nil receiver.
type peers struct {
	gateway  *Gateway
	exchange *peer.Exchange
	address  string
	hooks    peerHooks
	version  atomic.Pointer[preset.Version]
	stopped  chan struct{}
	// badDocuments counts documents from peers that cannot be parsed.
	badDocuments atomic.Uint64
	// summary is the latest summary of the control loop.
	summary atomic.Pointer[[]control.PeerLoad]
	// nextSummaryAt is used by the control goroutine only.
	nextSummaryAt int64
}

// newPeers opens the listener for peers. It returns nil if settings turn the exchange
// off.
func (g *Gateway) newPeers() (*peers, error) {
	s := g.settings.Peers
	if s.Listen == "" {
		return nil, nil
	}
	p := &peers{gateway: g, stopped: make(chan struct{})}
	p.version.Store(&preset.Version{})
	var files *tlsfiles.Loader
	if s.TLS != nil {
		var err error
		files, err = tlsfiles.New(tlsfiles.Files{Cert: s.TLS.CertFile, Key: s.TLS.KeyFile, CA: s.TLS.CAFile})
		if err != nil {
			return nil, eris.Wrap(err, "load peer certificates")
		}
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "open peer listener")
	}
	p.address = dialableAddress(listener.Addr())
	p.exchange = peer.New(peer.Config{
		Self: membership.Gateway{
			ID:          g.settings.VM.ID,
			Incarnation: g.incarnation,
			Region:      g.settings.VM.Region,
			Peer:        p.address,
		},
		Network:       peer.NewTCP(listener),
		TLS:           files,
		Seeds:         s.Seeds,
		Handler:       p.handler(),
		CurrentPreset: p.current,
		State:         func() membership.State { return g.row().State },
		Link:          g.budgets.link,
		Log:           g.log,
		Seed:          rand.Uint64(),
	})
	return p, nil
}

// dialableAddress returns the address that peers can dial. It is empty if the listener
// is open on all addresses; then peers use the address in the platform's list.
func dialableAddress(address net.Addr) string {
	parsed, err := netip.ParseAddrPort(address.String())
	if err != nil || parsed.Addr().IsUnspecified() {
		return ""
	}
	return address.String()
}

func (p *peers) handler() peer.Handler {
	return peer.Handler{
		Preset: p.onPreset,
		Drain: func(from string, drain peer.Drain) {
			p.send(control.DrainNoticed{
				ServerID: drain.ServerID, Incarnation: drain.Incarnation, FromPeer: from, Age: int64(drain.Age),
			})
		},
		Summary: p.onSummary,
		Joined:  func(id string) { p.send(control.PeerJoined{Peer: id}) },
		Lost:    func(id string) { p.send(control.PeerLost{Peer: id}) },
		Suspicion: func(from string, fingerprint crashguard.Fingerprint, server crashguard.Server) {
			if p.hooks.suspicion != nil {
				p.hooks.suspicion(fingerprint, server, from)
			}
		},
		HasAttempt: func(service, key string) bool {
			return p.hooks.hasAttempt == nil || p.hooks.hasAttempt(service, key)
		},
	}
}

// send passes an event to the control loop unless the gateway has stopped.
func (p *peers) send(event control.Event) {
	select {
	case p.gateway.events <- event:
	case <-p.stopped:
	}
}

func (p *peers) onPreset(from string, revision uint64, document []byte) {
	parsed, err := preset.Parse(document)
	if err != nil {
		p.badDocuments.Add(1)
		p.gateway.log.Warn("cannot parse preset from peer", "peer", from, "revision", revision, "error", err.Error())
		return
	}
	version := preset.Version{Revision: revision, Preset: parsed, Document: document}
	p.send(control.PresetOffered{Version: version, Source: from})
}

func (p *peers) onSummary(from string, loads []*peerpb.ServerLoad) {
	event := control.PeerLoadReport{Peer: from, Loads: make([]control.PeerLoad, 0, len(loads))}
	for _, load := range loads {
		event.Loads = append(event.Loads, control.PeerLoad{
			ServerID: load.GetServerId(),
			InFlight: load.GetInFlight(),
			Latency:  load.GetLatency(),
			Ejected:  load.GetEjected(),
		})
	}
	p.send(event)
}

func (p *peers) current() (uint64, []byte) {
	version := p.version.Load()
	return version.Revision, version.Document
}

// announcePreset performs control.PresetAdopted: it announces the adopted preset.
func (p *peers) announcePreset(version preset.Version) {
	if p == nil {
		return
	}
	p.version.Store(&version)
	p.exchange.AnnouncePreset()
}

// announceDrain performs control.AnnounceDrain.
func (p *peers) announceDrain(action control.AnnounceDrain) {
	if p != nil {
		p.exchange.AnnounceDrain(drainOf(action))
	}
}

// sendDrains performs control.SendDrains.
func (p *peers) sendDrains(action control.SendDrains) {
	if p == nil {
		return
	}
	drains := make([]peer.Drain, 0, len(action.Drains))
	for _, drain := range action.Drains {
		drains = append(drains, drainOf(drain))
	}
	p.exchange.SendDrains(action.Peer, drains)
}

func drainOf(action control.AnnounceDrain) peer.Drain {
	return peer.Drain{ServerID: action.ServerID, Incarnation: action.Incarnation, Age: time.Duration(action.Age)}
}

// recordFeedRead records a complete read of the claims that began at startedAt.
func (p *peers) recordFeedRead(startedAt int64) {
	if p != nil {
		// The exchange has its own clock, so the time is passed as an age.
		p.exchange.RecordFeedRead(time.Duration(p.gateway.now() - startedAt))
	}
}

func (p *peers) applyList(vms []platform.VM) {
	if p != nil {
		p.exchange.ApplyList(vms)
	}
}

func (p *peers) markStoreUnreachable() {
	if p != nil {
		p.exchange.MarkStoreUnreachable()
	}
}

func (p *peers) peerAddress() string {
	if p == nil {
		return ""
	}
	return p.address
}

func (p *peers) status() []peer.Status {
	if p == nil {
		return nil
	}
	return p.exchange.Status()
}

// aliveGateways returns the number of alive gateways, this one included. It returns 0
// without an exchange.
func (p *peers) aliveGateways() int {
	if p == nil {
		return 0
	}
	alive := 1
	for _, status := range p.exchange.Status() {
		if status.Alive {
			alive++
		}
	}
	return alive
}

// runPeers runs the exchange until ctx ends.
func (g *Gateway) runPeers(ctx context.Context) {
	p := g.peers
	if p == nil {
		<-ctx.Done()
		return
	}
	stop := context.AfterFunc(ctx, func() { close(p.stopped) })
	defer stop()
	go runEvery(ctx, g.rowsInterval(), nil, func(ctx context.Context) { p.readRows(ctx) })
	go runEvery(ctx, summaryInterval, nil, p.shareSummary)
	p.exchange.Run(ctx)
}

func (g *Gateway) inStoreRegion() bool {
	region := g.settings.Platform.Region
	return region == "" || region == g.settings.VM.Region
}

func (g *Gateway) rowsInterval() time.Duration {
	if g.inStoreRegion() {
		return rowsInterval
	}
	return remoteRowsInterval
}

// readRows reads the gateway rows and passes them to the exchange. It reports whether
// the read succeeded.
func (p *peers) readRows(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	result, err := p.gateway.platform.Scan(ctx, membership.RowPrefix, "", maxGatewayRows)
	if err != nil {
		p.gateway.counters.platformErrors.Inc()
		return false
	}
	p.gateway.storeClock.observe(result.Time)
	var rows []membership.Row
	for _, stored := range result.Rows {
		var row membership.Row
		if json.Unmarshal(stored.Value, &row) == nil && row.ID != "" {
			rows = append(rows, row)
		}
	}
	p.exchange.ApplyRows(result.Time, rows)
	return true
}

// storeSummary stores a summary of the control state for shareSummary. It runs on the
// control goroutine, which owns that state.
func (p *peers) storeSummary(now int64, state *control.State) {
	if p == nil || now < p.nextSummaryAt {
		return
	}
	p.nextSummaryAt = now + int64(summaryInterval)
	summary := state.LoadReport()
	p.summary.Store(&summary)
}

// shareSummary sends the latest summary to the neighbours.
func (p *peers) shareSummary(context.Context) {
	summary := p.summary.Load()
	if summary == nil {
		return
	}
	loads := make([]*peerpb.ServerLoad, 0, len(*summary))
	for _, load := range *summary {
		loads = append(loads, &peerpb.ServerLoad{
			ServerId: load.ServerID,
			InFlight: load.InFlight,
			Latency:  load.Latency,
			Ejected:  load.Ejected,
		})
	}
	p.exchange.ShareSummary(loads)
}

// presetReadDue reports whether to read the preset in force now. In a region without the
// store only relays read it every second, because each read crosses the link; the other
// gateways receive changes from them.
func (g *Gateway) presetReadDue(sinceLast time.Duration) bool {
	if g.peers == nil || g.inStoreRegion() || g.status.Load().Revision == 0 {
		return true
	}
	return sinceLast >= remotePresetInterval || g.peers.exchange.IsRelay()
}
