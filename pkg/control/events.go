package control

import (
	"time"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/withdrawal"
)

// Event is a message to the control loop. The types below are all events.
type Event interface {
	event()
}

// ServerListRead carries a list of VMs, of which those of servers are applied: in
// package gateway the platform's list, in package edge the entries of the registry.
type ServerListRead struct {
	VMs []platform.VM
	// Exact says that the list does not lag: a server that is missing from it is
	// removed at once.
	Exact bool
	// UnixAtZero is the Unix time in nanoseconds at time 0 of this gateway's clock, if the
	// incarnations of the servers are their starts in Unix milliseconds; 0 if they are not.
	UnixAtZero int64
}

// PresetOffered carries a preset version that was read from the store or received
// from a peer.
type PresetOffered struct {
	Version preset.Version
	// Source is "store" or the ID of the peer.
	Source string
}

// DrainNoticed says that a server sent a drain notice or that a peer reported
// one.
type DrainNoticed struct {
	ServerID string
	// Incarnation is that of the server when it sent the notice; 0 means the
	// current one.
	Incarnation uint64
	// FromPeer is the ID of the reporting peer, empty if the server sent the
	// notice to this gateway.
	FromPeer string
	// Age is the time since the server sent the notice, in nanoseconds.
	Age int64
}

// PeerLoadReport carries the load that another gateway of the region observes at
// servers.
type PeerLoadReport struct {
	// Peer is the ID of the gateway.
	Peer  string
	Loads []PeerLoad
}

// PeerLoad is the load of one server as a peer observes it.
type PeerLoad struct {
	ServerID string
	// InFlight is the number of the peer's own requests in flight on the server.
	InFlight int64
	// Latency is the peer's moving average in nanoseconds, 0 if none.
	Latency int64
	// Ejected says that the peer has ejected the server.
	Ejected bool
}

// PeerLost says that the session with a peer ended, so that the peer's load reports
// no longer count.
type PeerLost struct {
	Peer string
}

// LinksRestored says that this gateway reaches servers again, after it reached none.
type LinksRestored struct {
	// LostAt is when the first failure began that was due to the cut.
	LostAt int64
}

func (LinksRestored) event()  {}
func (ServerListRead) event() {}
func (PresetOffered) event()  {}
func (DrainNoticed) event()   {}
func (PeerLoadReport) event() {}
func (PeerLost) event()       {}
func (PeerJoined) event()     {}

// PeerJoined says that a session with a peer started.
type PeerJoined struct {
	Peer string
}

// Action is something that the owner of the State has to do. The types below are
// all actions.
type Action interface {
	action()
}

// Publish makes a snapshot visible to the goroutines of calls.
type Publish struct {
	Snapshot *routing.Snapshot
}

// PresetAdopted reports that another preset version is in force on this gateway;
// the owner notifies the peers.
type PresetAdopted struct {
	Version preset.Version
	Source  string
	// Previous is the revision that was in force before, 0 for none.
	Previous uint64
}

// AnnounceDrain asks the owner to notify the peers that a server is leaving.
type AnnounceDrain struct {
	ServerID    string
	Incarnation uint64
	// Age is the time since the server sent the notice, in nanoseconds. Peers get
	// it in DrainNoticed, so that forwarding a notice does not extend its TTL.
	Age int64
}

// SendDrains asks the owner to send the drain evidence in force to a peer that
// joined.
type SendDrains struct {
	Peer   string
	Drains []AnnounceDrain
}

// ServerChanged reports a change of a server's availability, for the log. From is
// "unknown" for a new server and To is "removed" for one that was removed.
type ServerChanged struct {
	ServerID string
	Service  string
	From, To string
	Reason   string
}

// ServerWithdrew reports that a server said that it wants no new requests, for the log.
type ServerWithdrew struct {
	ServerID    string
	Service     string
	Incarnation uint64
	// Leaving says that the server leaves; else it asked for a pause.
	Leaving bool
	// Source is where this gateway learned it, and At when.
	Source withdrawal.Source
	At     int64
	// Until is the end of the pause.
	Until int64
}

// WithdrawalEnded reports the end of a withdrawal: the pause is over, or the server that left
// is gone.
type WithdrawalEnded struct {
	ServerWithdrew
	// EndedAt is the time of the end.
	EndedAt int64
}

func (Publish) action()       {}
func (PresetAdopted) action() {}
func (AnnounceDrain) action() {}
func (SendDrains) action()    {}
func (ServerChanged) action() {}

func (ServerWithdrew) action()  {}
func (WithdrawalEnded) action() {}

// TickInterval is the interval at which the owner of the State calls Tick.
const TickInterval = 100 * time.Millisecond
