package edge

import (
	"fmt"
	"math"
	"sync"
	"time"

	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/serverlimit"
)

const (
	// demandInterval is how often the demand of this gateway for each service is measured.
	demandInterval = 500 * time.Millisecond
	// limitRepeatInterval is how often a relay repeats limits that have not changed, for
	// gateways that joined and for lost messages.
	limitRepeatInterval = time.Second
	// demandWeight is the weight of one measurement in the moving average of a demand.
	demandWeight = 0.3
	// idleLimitsInterval is how often the view of the group is refreshed while no server
	// names a limit, so that a coordinator knows at once whether its group is settled.
	idleLimitsInterval = 500 * time.Millisecond
	// limitsPerMessage is how many limits and leases a message carries, which keeps it below
	// the usual maximum size of a packet.
	limitsPerMessage = 48
)

// serverLimits holds the limits that servers named and what this gateway may send to them.
// Its methods are safe for concurrent use.
type serverLimits struct {
	edge *Edge

	mu   sync.Mutex
	book *serverlimit.Book
	// incarnations holds the incarnations of the limited servers.
	incarnations map[uint32]uint64
	// loggedRates holds the rate of each lease that was logged last.
	loggedRates map[uint32]float64
	// demands holds the measured demand for each service by name.
	demands    map[string]demand
	measuredAt int64
	// tickedAt is when the book was ticked last.
	tickedAt int64
	// usageLoggedAt is when the usage of the shares was logged last, and sentBefore how many
	// requests had been sent to limited servers then.
	usageLoggedAt int64
	sentBefore    uint64
	// relayed is what this gateway, as the relay, last told its group.
	relayed relayedLimits
}

// relayedLimits says which limits a relay told a group last, and when.
type relayedLimits struct {
	revision uint64
	at       int64
}

// due reports whether the limits have to be told, and records that they are.
func (r *relayedLimits) due(now int64, book *serverlimit.Book) bool {
	if book.Revision() == r.revision && now-r.at < int64(limitRepeatInterval) {
		return false
	}
	r.revision, r.at = book.Revision(), now
	return true
}

// demand is the rate of this gateway's calls to a service.
type demand struct {
	calls int64
	rate  float64
}

func newServerLimits(e *Edge) *serverLimits {
	return &serverLimits{
		edge: e, book: serverlimit.NewBook(gossip.KeyOf(e.self.ID)), incarnations: make(map[uint32]uint64),
		loggedRates: make(map[uint32]float64), demands: make(map[string]demand),
	}
}

// tick reads the answers of the servers, grants leases and returns the notices for the
// group of this gateway.
func (l *serverLimits) tick(now int64, assignment *gossip.Assignment) []serverlimit.Notice {
	indexed := l.edge.indexed.Load()
	if indexed == nil {
		return nil
	}
	l.measureDemands(now, indexed.snapshot)
	changed, due := l.readAnswers(now, indexed)
	if !due {
		return nil
	}
	view := l.view(now, assignment, indexed)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tickedAt = now
	notices := l.book.Tick(now, view)
	if l.edge.isRelay.Load() && l.relayed.due(now, l.book) {
		notices = append(notices, l.book.UncoordinatedStatements(now)...)
	}
	l.logChanges(now, indexed, changed)
	var leases []string
	for _, allowance := range l.book.Allowances(now) {
		leases = l.allow(now, indexed, allowance, leases)
	}
	l.logLeases(leases)
	l.logUsage(now, indexed)
	return notices
}

// readAnswers reads what the servers answered since the last call. It returns the keys of
// those whose limit changed, and whether the book has to be ticked.
func (l *serverLimits) readAnswers(now int64, indexed *indexedSnapshot) (changed []uint32, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetRestarted(now, indexed)
	for key, server := range indexed.byKey {
		gate := &server.Stats.Gate
		if !gate.Limited() {
			continue
		}
		answers := gate.TakeAnswers()
		if answers.NamedAt != 0 && l.book.Name(answers.NamedAt, key, answers.Rate) {
			changed = append(changed, key)
		}
		if answers.UnnamedAt != 0 && l.book.End(answers.UnnamedAt, key, answers.UnnamedSentAt) {
			changed = append(changed, key)
		}
		if !l.book.Knows(key) {
			gate.Allow(now, serverlimit.Allowance{})
		}
	}
	return changed, !l.book.Empty() || now-l.tickedAt >= int64(idleLimitsInterval)
}

// forgetRestarted drops the limits of servers that have started again.
func (l *serverLimits) forgetRestarted(now int64, indexed *indexedSnapshot) {
	limited := l.book.Limited()
	incarnations := make(map[uint32]uint64, len(limited))
	for _, key := range limited {
		server := indexed.byKey[key]
		if server == nil {
			continue
		}
		if known, ok := l.incarnations[key]; ok && known != server.Incarnation {
			l.book.Forget(now, key)
		}
		incarnations[key] = server.Incarnation
	}
	l.incarnations = incarnations
}

// apply applies the notices of another gateway.
func (l *serverLimits) apply(now int64, from uint64, notices []serverlimit.Notice) {
	indexed := l.edge.indexed.Load()
	if len(notices) == 0 || indexed == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []uint32
	var leases []string
	for _, notice := range notices {
		if l.book.Apply(now, from, notice) {
			changed = append(changed, notice.Server)
		}
		leases = l.allow(now, indexed, l.book.Allowance(now, notice.Server), leases)
	}
	l.logChanges(now, indexed, changed)
	l.logLeases(leases)
}

// allow passes an allowance to the traffic path and appends a description of the lease
// to lines if it changed.
func (l *serverLimits) allow(now int64, indexed *indexedSnapshot, allowance serverlimit.Allowance, lines []string) []string {
	server := indexed.byKey[allowance.Server]
	if server == nil {
		return lines
	}
	server.Stats.Gate.Allow(now, allowance)
	if !l.shareChanged(allowance) {
		return lines
	}
	return append(lines, fmt.Sprintf("%s=%.2f of %.2f", server.ID, allowance.Rate, allowance.Limit))
}

// view returns what this gateway knows of its group and of the servers.
func (l *serverLimits) view(now int64, assignment *gossip.Assignment, indexed *indexedSnapshot) serverlimit.View {
	e := l.edge
	coverage := make(map[string]serverlimit.Coverage, len(e.settings.Regions))
	demands := l.outgoingDemands()
	e.peersMu.Lock()
	members, live, known := e.peers.LimitMembers(now, assignment)
	if !e.stopping.Load() && !e.contact.Isolated() {
		members = append(members, e.peers.LimitMember(assignment, demands))
	}
	for domain, region := range e.settings.Regions {
		coverage[domain] = e.peers.LimitCoverage(now, region, domain)
	}
	e.peersMu.Unlock()
	return serverlimit.View{Members: members, Live: live, Known: known, Server: func(key uint32) (serverlimit.Server, bool) {
		server := indexed.byKey[key]
		if server == nil {
			return serverlimit.Server{}, false
		}
		return serverlimit.Server{
			Service: gossip.ServiceKey(server.Service), FailureDomain: server.FailureDomain, Coverage: coverage[server.FailureDomain],
		}, true
	}}
}

// measureDemands measures the rates of the calls to each service every demandInterval.
func (l *serverLimits) measureDemands(now int64, snapshot *routing.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := time.Duration(now - l.measuredAt)
	if elapsed < demandInterval {
		return
	}
	first := l.measuredAt == 0
	l.measuredAt = now
	for name := range snapshot.Services {
		calls := l.edge.proxy.Calls(name)
		last := l.demands[name]
		current := float64(calls-last.calls) / elapsed.Seconds()
		if !first {
			last.rate += demandWeight * (current - last.rate)
		}
		l.demands[name] = demand{calls: calls, rate: last.rate}
	}
}

// outgoingDemands returns the demands for the services with limited servers.
func (l *serverLimits) outgoingDemands() []gossip.Demand {
	indexed := l.edge.indexed.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	limited := l.book.Limited()
	if indexed == nil || len(limited) == 0 {
		return nil
	}
	services := make(map[string]bool)
	for _, key := range limited {
		if server := indexed.byKey[key]; server != nil {
			services[server.Service] = true
		}
	}
	demands := make([]gossip.Demand, 0, len(services))
	for name := range services {
		demands = append(demands, gossip.Demand{Service: gossip.ServiceKey(name), Rate: l.demands[name].rate})
	}
	return demands
}

// statementsFor returns the limits that are due to other groups.
func (l *serverLimits) statementsFor(now int64, relayed *relayedLimits) []serverlimit.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !relayed.due(now, l.book) {
		return nil
	}
	return l.book.Statements(now)
}

// totals returns the number of limited servers of a service, and the sum of what this
// gateway may send to them in requests per second.
func (l *serverLimits) totals(now int64, service string) (limited int, share float64) {
	indexed := l.edge.indexed.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, allowance := range l.book.Allowances(now) {
		if server := indexed.byKey[allowance.Server]; server != nil && allowance.Limited && server.Service == service {
			limited++
			share += allowance.Rate
		}
	}
	return limited, share
}

// limitedProbeInterval returns how often a server with a limit is probed at most.
func limitedProbeInterval(gate *serverlimit.Gate) time.Duration {
	limit, limited := gate.Limit()
	if !limited {
		return 0
	}
	interval := float64(time.Second) / (serverlimit.ProbeShare * limit)
	return time.Duration(math.Min(interval, float64(maxLimitedProbeInterval)))
}

// maxLimitedProbeInterval bounds the time between two probes of a server with a low limit.
const maxLimitedProbeInterval = 10 * time.Second
