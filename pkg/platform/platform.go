// Package platform defines the three services that the platform provides: a
// transactional table service, an object store and a list of VMs that lags
// behind their actual state. The gateway and the operator tool depend on these
// interfaces only. Package httpplatform implements them over HTTP, and package
// platformtest implements them in memory for tests.
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

// Txn is a transaction. It is applied as a whole or not at all.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes"`
}

// CommitStatus states whether a transaction was applied, as far as Commit can
// determine it.
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
	// Time is the store's clock at the commit if Status is CommitApplied or
	// CommitConflict.
	Time time.Time
	// Err is the cause if Status is CommitUnknown or CommitNotApplied.
	Err error
}

// ReadResult is the outcome of a read of the table service.
type ReadResult struct {
	// Rows holds the rows found, in key order for Get and Scan and in commit
	// order for Changes. Get returns existing rows only.
	Rows []Row
	// Next is the value of after for the next call of Changes.
	Next uint64
	// More reports that the limit truncated the result.
	More bool
	// Time is the store's clock at the read.
	Time time.Time
}

// ChangesOption selects what Table.Changes returns.
type ChangesOption int

// KeysOnly leaves out the values of the rows.
const KeysOnly ChangesOption = 1

// Table is the transactional table service. A read that returns an error
// returns no rows; the error wraps ErrUnavailable if a retry may succeed.
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
	// Commit applies a transaction. The result always has a status; failures are
	// reported in it, not by an error.
	Commit(ctx context.Context, txn Txn) CommitResult
}

// Objects is the object store.
type Objects interface {
	// PutObject stores an object under a name, replacing an earlier one.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns ErrNotFound if there is no such object.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole is the kind of process that runs on a VM.
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
	// Incarnation increases each time the VM with this ID is replaced or restarted.
	Incarnation uint64 `json:"incarnation"`
	// Service is the name of the service if Role is RoleServer.
	Service       string `json:"service,omitempty"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// Address is host:port of the server, or of the gateway's peer listener.
	Address string  `json:"address"`
	State   VMState `json:"state"`
	// Slots is the number of requests that a server processes concurrently, 0 if
	// the list does not contain it.
	Slots int `json:"slots,omitempty"`
	// WarmupMillis is the remaining time for which a server is slow after its start.
	WarmupMillis int64 `json:"warmupMillis,omitempty"`
}

// VMList is the platform's list of VMs, which lags behind their actual state.
type VMList interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// Platform combines the three services.
type Platform interface {
	Table
	Objects
	VMList
}
