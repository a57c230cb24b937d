// Package membership decides which gateways exist and with which of them this
// gateway exchanges messages. It does no I/O and reads no clock.
package membership

import "time"

// RowPrefix is the key prefix of gateway rows in the table service.
const RowPrefix = "gateway/"

const (
	// RowRefresh is the interval at which a gateway writes its row.
	RowRefresh = 5 * time.Second
	// RowTTL is the age by the store's clock from which a row is ignored.
	RowTTL = 60 * time.Second
)

// State is a gateway's own view of its life.
type State string

// States of a gateway.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateStopping State = "stopping"
)

// Row is what a gateway writes about itself into the table service, at
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
	// InForceSince is the gateway's wall clock when it adopted the revision.
	InForceSince time.Time `json:"inForceSince"`
	// WrittenAt is the store's clock at the last answer before the write.
	WrittenAt time.Time `json:"writtenAt"`
}
