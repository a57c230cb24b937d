// Package platform defines the three services that the platform provides: a
// transactional table service, an object store and a lagging list of VMs. The
// rest of the system only sees these interfaces; package httpplatform
// implements them over HTTP and tests use small fakes.
package platform

import (
	"context"
	"time"
)

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is the commit sequence number of the transaction that last wrote
	// the row. It is 0 for a row that does not exist.
	Version uint64 `json:"version"`
	// Deleted marks a tombstone; only Changes returns tombstones.
	Deleted bool `json:"deleted,omitempty"`
}

// Check is a condition of a transaction: the row's version must equal Version.
// Version 0 requires that the row does not exist.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write stores or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is applied as a whole or not at all.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes"`
}

// CommitStatus says what is known about a transaction after Commit returned.
type CommitStatus int

const (
	// CommitUnknown means that the transaction may or may not have been applied.
	CommitUnknown CommitStatus = iota
	// CommitApplied means that the transaction is durable.
	CommitApplied
	// CommitConflict means that a check failed and nothing was written.
	CommitConflict
	// CommitNotApplied means that the store refused the transaction, or never
	// received it, so that nothing was written.
	CommitNotApplied
)

// String returns the name used in logs and metrics.
func (s CommitStatus) String() string {
	switch s {
	case CommitApplied:
		return "applied"
	case CommitConflict:
		return "conflict"
	case CommitNotApplied:
		return "not-applied"
	default:
		return "unknown"
	}
}

// CommitResult is the outcome of Commit.
type CommitResult struct {
	Status CommitStatus
	// Version is the commit sequence number if Status is CommitApplied.
	Version uint64
	// Conflicts holds the current state of the rows whose checks failed if
	// Status is CommitConflict. A row that does not exist has version 0.
	Conflicts []Row
	// Time is the store's clock at the commit, if it answered.
	Time time.Time
	// Err is the cause if Status is CommitUnknown or CommitNotApplied.
	Err error
}

// ReadResult is the outcome of a read of the table service.
type ReadResult struct {
	// Rows holds the rows found, in key order for Get and Scan and in commit
	// order for Changes. Get returns existing rows only.
	Rows []Row
	// Next is the position to pass to the next call of Changes.
	Next uint64
	// More says that the limit cut the result short.
	More bool
	// Time is the store's clock at the read.
	Time time.Time
}

// ChangesOption changes what Table.Changes returns.
type ChangesOption int

// KeysOnly leaves out the values of the rows.
const KeysOnly ChangesOption = 1

// Table is the transactional table service. A returned error means that
// nothing was learned; errors wrap ErrUnavailable if a retry may succeed.
type Table interface {
	// Get reads several rows in one consistent snapshot.
	Get(ctx context.Context, keys ...string) (ReadResult, error)
	// Scan returns up to limit rows whose keys start with prefix and are greater
	// than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) (ReadResult, error)
	// Changes returns up to limit rows with the prefix whose version is greater
	// than after, in commit order, tombstones included. Only the latest version
	// of each row is returned.
	Changes(ctx context.Context, prefix string, after uint64, limit int, options ...ChangesOption) (ReadResult, error)
	// Commit applies a transaction. It never returns without a status.
	Commit(ctx context.Context, txn Txn) CommitResult
}

// Objects is the object store.
type Objects interface {
	// PutObject stores an object under a name, replacing an earlier one.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns ErrNotFound if there is no such object.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMState is the platform's view of a VM.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole says what runs on a VM.
type VMRole string

// Roles of a VM.
const (
	RoleServer  VMRole = "server"
	RoleGateway VMRole = "gateway"
)

// VM is one entry of the platform's list.
type VM struct {
	ID   string `json:"id"`
	Role VMRole `json:"role"`
	// Incarnation rises each time the VM of this ID is replaced or restarted.
	Incarnation uint64 `json:"incarnation"`
	// Service is the name of the service if Role is RoleServer.
	Service       string `json:"service,omitempty"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// Address is host:port of the server, or of the gateway's peer listener.
	Address string  `json:"address"`
	State   VMState `json:"state"`
	// Slots is how many requests a server runs at once, 0 if the list does not say.
	Slots int `json:"slots,omitempty"`
	// WarmupMillis is how much longer a server is slow after its start.
	WarmupMillis int64 `json:"warmupMillis,omitempty"`
}

// VMList is the platform's list of VMs, which lags behind reality.
type VMList interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// Platform bundles the three services.
type Platform interface {
	Table
	Objects
	VMList
}
