// Package control computes the routing state of one gateway. Events change its
// tables of servers, peers and services; Tick updates the tables and builds the
// snapshots that the goroutines of calls read. The control loops of packages gateway
// and edge call it. It does no I/O, starts no goroutine and reads no clock. One
// goroutine owns a State; all others read only the snapshots that it publishes.
package control

import (
	"cmp"
	"slices"

	"balsamhill/pkg/health"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/withdrawal"
)

// Config is the static configuration of a State.
type Config struct {
	// GatewayID is the ID of this gateway.
	GatewayID     string
	Region        string
	FailureDomain string
	Services      []ServiceConfig
	// DomainLatency and RegionLatency are the round-trip times in nanoseconds to
	// servers of another failure domain and of another region.
	DomainLatency int64
	RegionLatency int64
}

// ServiceConfig is one service of the settings.
type ServiceConfig struct {
	Name string
	// Slots is how many requests a server runs at once. It does not apply to
	// servers whose list entry contains their slots.
	Slots int
}

// services returns the services of the preset version in force, or those of the
// settings if the version does not define any.
func (s *State) services() []ServiceConfig {
	version := s.adopter.Current()
	if version.Routing == nil {
		return s.config.Services
	}
	rules := version.Routing.Services
	services := make([]ServiceConfig, 0, len(rules))
	for _, rule := range rules {
		// Servers of such services register their number of slots.
		services = append(services, ServiceConfig{Name: rule.Name, Slots: 1})
	}
	return services
}

// serverRow is one row of the server table.
type serverRow struct {
	id            string
	service       string
	address       string
	region        string
	failureDomain string
	incarnation   uint64
	// slots is how many requests the server runs at once, 0 for the service's
	// value.
	slots int
	// warmupUntil is when the server's registered warm-up ends, 0 for none.
	warmupUntil int64
	// fixed rows come from the settings and are not removed with the VM list.
	fixed bool
	// slowStartAt is the start of the server's slow start: when it was first listed.
	// It is 0 for servers of the first list, which have been running for some time,
	// and of exact lists, which contain the remaining warm-up.
	slowStartAt int64
	// unlistedAt is the time of the first list without the server, 0 while the
	// server is listed.
	unlistedAt int64
	// failuresAtUnlisted is the failure counter at that time.
	failuresAtUnlisted uint64
	lastNoticeAt       int64
	// drainNoticed is whether a drain notice was in force at the last tick.
	drainNoticed  bool
	outsideSubset bool
	inMaintenance bool
	drain         health.Drain
	ejection      health.Ejection
	shedding      health.Shedding
	stats         *routing.Stats
	// leaving is whether the server had said at the last tick that it leaves, and pause
	// the last pause that was reported.
	leaving bool
	pause   withdrawal.Pause
	// pauseEnded is whether the end of that pause was reported.
	pauseEnded bool
	// counts are those of the row's service.
	counts *serviceCounts
	// published is the routing state in the last snapshot.
	published routingState
}

// State is the control state of one gateway.
type State struct {
	config   Config
	adopter  preset.Adopter
	adopted  adoption
	servers  map[string]*serverRow
	sorted   []*serverRow
	listSeen bool
	// unixAtZero is that of the last list; see ServerListRead.
	unixAtZero int64
	// pendingNotices holds drain notices of incarnations that the list does not
	// contain yet, by server ID.
	pendingNotices map[string]pendingNotice
	// withdrawals holds what the servers said of the work that they want.
	withdrawals withdrawal.Book
	peers       peerTable
	// routes is built from the preset version in force if that contains routing
	// rules.
	routes *routing.RouteTable
	spill  map[string]*spillController
	// counts holds the numbers of eligible and of ejected servers, by service;
	// updateEjection sets them.
	counts map[string]*serviceCounts
	// dirty says that the next tick must publish a snapshot.
	dirty   bool
	actions []Action
}

type adoption struct {
	at     int64
	source string
}

// NewState returns a state without servers and without a preset.
func NewState(config Config) *State {
	return &State{
		config:         config,
		servers:        make(map[string]*serverRow),
		pendingNotices: make(map[string]pendingNotice),
		peers:          newPeerTable(),
		spill:          make(map[string]*spillController),
		counts:         make(map[string]*serviceCounts),
		dirty:          true,
	}
}

// sortedServers returns the rows in ID order, so that runs are reproducible.
func (s *State) sortedServers() []*serverRow {
	if s.sorted != nil {
		return s.sorted
	}
	rows := make([]*serverRow, 0, len(s.servers))
	for _, row := range s.servers {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *serverRow) int { return cmp.Compare(a.id, b.id) })
	s.sorted = rows
	return rows
}

func (s *State) putServer(row *serverRow) {
	row.counts = s.counts[row.service]
	if row.counts == nil {
		row.counts = &serviceCounts{}
		s.counts[row.service] = row.counts
	}
	s.servers[row.id] = row
	s.sorted = nil
	s.dirty = true
}

func (s *State) removeServer(now int64, row *serverRow) {
	s.reportLeft(now, row)
	delete(s.servers, row.id)
	s.sorted = nil
	s.dirty = true
}

func (r *serverRow) counters() health.Counts {
	return health.Counts{
		Successes:           r.stats.Successes.Load(),
		Failures:            r.stats.Failures.Load(),
		Sheds:               r.stats.Sheds.Load(),
		ConsecutiveFailures: r.stats.ConsecutiveFailures.Load(),
	}
}
