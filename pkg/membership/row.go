// Package membership tracks which gateways exist and selects those with which
// this gateway exchanges messages. Package peer holds the View and exchanges the
// messages; package gateway writes and reads the rows. The two relays of each region
// are not those of package gossip, which package edge uses. This package does no I/O
// and reads no clock.
package membership

import "time"

// RowPrefix is the key prefix of gateway rows in the table service.
const RowPrefix = "gateway/"

const (
	// RowRefresh is the interval at which a gateway writes its row.
	RowRefresh = 5 * time.Second
	// RowTTL is the age, by the store's clock, above which a row is ignored.
	RowTTL = 60 * time.Second
)

// State is the lifecycle state that a gateway reports of itself.
type State string

// States of a gateway.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateStopping State = "stopping"
)

// Row describes a gateway. The gateway writes it into the table service, under
// RowPrefix followed by its ID.
type Row struct {
	ID string `json:"id"`
	// Incarnation rises with each start of the gateway VM of this ID.
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// Traffic, Admin and Peer are host:port; Peer may be empty.
	Traffic string `json:"traffic"`
	Admin   string `json:"admin"`
	Peer    string `json:"peer,omitempty"`
	State   State  `json:"state"`
	Preset  string `json:"preset"`
	// Revision is the revision of the preset in force on the gateway.
	Revision uint64 `json:"revision"`
	// InForceSince is the gateway's wall clock when the revision came into force.
	InForceSince time.Time `json:"inForceSince"`
	// WrittenAt is the store's clock in the last response before the write.
	WrittenAt time.Time `json:"writtenAt"`
}
