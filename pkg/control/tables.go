// Package control holds the control state of one gateway: tables of entities
// and the systems that run over them each tick. It does no I/O, starts no
// goroutine and reads no clock. One goroutine owns a State; everything else
// reads the snapshots that it publishes.
package control

import (
	"cmp"
	"slices"

	"balsamhill/pkg/health"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
)

// Config is the static part that the systems need.
type Config struct {
	VMID          string
	Region        string
	FailureDomain string
	Services      []ServiceConfig
	// DomainPenalty and RegionPenalty are the round trips in nanoseconds to
	// servers of another failure domain and of another region.
	DomainPenalty int64
	RegionPenalty int64
}

// ServiceConfig is one service of the settings.
type ServiceConfig struct {
	Name  string
	Slots int
}

// serverRow is one row of the server table.
type serverRow struct {
	id            string
	service       string
	address       string
	region        string
	failureDomain string
	incarnation   uint64
	// fixed rows come from the settings and are not removed with the VM list.
	fixed bool
	// joinedAt is when the row was first seen, 0 if it was part of the first
	// list, because those servers are warm.
	joinedAt   int64
	lastNotice int64
	drain      health.Drain
	ejection   health.Ejection
	stats      *routing.Stats
}

// State is the control state of one gateway.
type State struct {
	config   Config
	adopter  preset.Adopter
	adopted  adoption
	servers  map[string]*serverRow
	seenList bool
	// dirty says that the next tick must publish.
	dirty   bool
	actions []Action
}

type adoption struct {
	at     int64
	source string
}

// NewState returns the state of a gateway that knows no server and no preset.
func NewState(config Config) *State {
	return &State{config: config, servers: make(map[string]*serverRow), dirty: true}
}

// sortedServers returns the rows in ID order, so that runs are reproducible.
func (s *State) sortedServers() []*serverRow {
	rows := make([]*serverRow, 0, len(s.servers))
	for _, row := range s.servers {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *serverRow) int { return cmp.Compare(a.id, b.id) })
	return rows
}
