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
	// rowsInterval is the time between reads of the gateway rows, farRowsInterval
	// the same in a region without the store, where each read crosses the link.
	rowsInterval    = 5 * time.Second
	farRowsInterval = 30 * time.Second
	// farPresetInterval is the time between reads of the preset in force by
	// gateways of a region without the store that are no speakers.
	farPresetInterval = 10 * time.Second
	// maxRows is more gateways than settings allow.
	maxRows = 1000
)

// peerHooks connect the exchange to other parts of the gateway. They are set
// before Run; those that are nil ignore the message.
type peerHooks struct {
	// hasAttempt answers key queries; without it there may be an attempt.
	hasAttempt func(service, key string) bool
	suspicion  func(fingerprint crashguard.Fingerprint, serverID, from string)
}

// peers is a gateway's side of the exchange with other gateways. A nil pointer
// is an exchange that settings switched off.
type peers struct {
	gateway  *Gateway
	exchange *peer.Exchange
	address  string
	hooks    peerHooks
	version  atomic.Pointer[preset.Version]
	stopped  chan struct{}
	// badDocuments counts documents from peers that do not parse.
	badDocuments atomic.Uint64
	// summary is the last one of the control loop.
	summary atomic.Pointer[[]control.PeerLoad]
	// summaryDue belongs to the control goroutine.
	summaryDue int64
}

// newPeers opens the listener for peers. It returns nil if settings switch the
// exchange off.
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
	p.address = reachableAddress(listener.Addr())
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

// reachableAddress returns the address that peers can dial, empty if the
// listener is open on all addresses; then the platform's list must name it.
func reachableAddress(address net.Addr) string {
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
		Suspicion: func(from string, fingerprint crashguard.Fingerprint, serverID string) {
			if p.hooks.suspicion != nil {
				p.hooks.suspicion(fingerprint, serverID, from)
			}
		},
		HasAttempt: func(service, key string) bool {
			return p.hooks.hasAttempt == nil || p.hooks.hasAttempt(service, key)
		},
	}
}

// send hands an event to the control loop unless the gateway has stopped.
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
		p.gateway.log.Warn("preset from peer does not parse", "peer", from, "revision", revision, "error", err.Error())
		return
	}
	version := preset.Version{Revision: revision, Preset: parsed, Document: document}
	p.send(control.PresetOffered{Version: version, Source: from})
}

func (p *peers) onSummary(from string, loads []*peerpb.ServerLoad) {
	event := control.PeerSummary{Peer: from, Loads: make([]control.PeerLoad, 0, len(loads))}
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

// presetAdopted performs control.PresetAdopted towards the peers.
func (p *peers) presetAdopted(version preset.Version) {
	if p == nil {
		return
	}
	p.version.Store(&version)
	p.exchange.AnnouncePreset()
}

// drainLearned performs control.AnnounceDrain towards the peers.
func (p *peers) drainLearned(action control.AnnounceDrain) {
	if p != nil {
		p.exchange.AnnounceDrain(drainOf(action))
	}
}

// drainsInForce performs control.SendDrains.
func (p *peers) drainsInForce(action control.SendDrains) {
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

// feedRead is told when the feed of claims was read to its end.
func (p *peers) feedRead(startedAt int64) {
	if p != nil {
		// The exchange has a clock of its own.
		p.exchange.RecordFeedRead(time.Duration(p.gateway.now() - startedAt))
	}
}

func (p *peers) listRead(vms []platform.VM) {
	if p != nil {
		p.exchange.ApplyList(vms)
	}
}

func (p *peers) storeUnreachable() {
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

// liveGateways returns how many gateways seem to live, the own included, and 0
// without an exchange.
func (p *peers) liveGateways() int {
	if p == nil {
		return 0
	}
	live := 1
	for _, status := range p.exchange.Status() {
		if status.Alive {
			live++
		}
	}
	return live
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
	go every(ctx, g.rowsInterval(), nil, func(ctx context.Context) { p.readRows(ctx) })
	go every(ctx, summaryInterval, nil, p.shareSummary)
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
	return farRowsInterval
}

// readRows gives the gateway rows to the exchange. It reports whether the store
// answered.
func (p *peers) readRows(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	result, err := p.gateway.platform.Scan(ctx, membership.RowPrefix, "", maxRows)
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

// summarize keeps a summary for the next time that the neighbours are told. It
// runs on the control goroutine, which owns the tables.
func (p *peers) summarize(now int64, state *control.State) {
	if p == nil || now < p.summaryDue {
		return
	}
	p.summaryDue = now + int64(summaryInterval)
	summary := state.Summary()
	p.summary.Store(&summary)
}

// shareSummary tells the neighbours what this gateway sees of the servers.
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

// presetReadDue reports whether to read the preset in force now. In a region
// without the store only the speakers read every second, because each read
// crosses the link; the others hear of changes from them.
func (g *Gateway) presetReadDue(sinceLast time.Duration) bool {
	if g.peers == nil || g.inStoreRegion() || g.status.Load().Revision == 0 {
		return true
	}
	return sinceLast >= farPresetInterval || g.peers.exchange.IsRelay()
}
