// Package edge assembles a gateway whose routes and servers come from tables in the
// store of a platform, on VMs that keep no state and run nothing else. An Edge is one such
// gateway. The gateways of a region form a group; in a large region, which is then grouped
// by failure domain, those of each failure domain do. One gateway of a group reads the
// store, and the others read the changes from it. Each gateway tracks the age of its copies
// and reads the store itself when they are too old. Each server is probed by one gateway,
// which sends the results to the others by UDP (package gossip). One relay per group
// exchanges load reports with the other groups.
//
// The package platform runs it and provides the Store and the Codec. Package edge does
// not depend on the formats of a platform.
package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"balsamhill/pkg/connlimit"
	"balsamhill/pkg/feed"
	"balsamhill/pkg/loadreport"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/registry"
)

// Settings are the static settings of one gateway.
type Settings struct {
	ID            string
	IP            string
	Region        string
	FailureDomain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// TrafficAddress is the host:port that serves callers, ReadyAddress the one that serves
	// readiness checks of the balancer in front, at ReadyPath.
	TrafficAddress, ReadyAddress string
	ReadyPath                    string
	// BootstrapAddress is the host:port at which starting gateways register; empty
	// disables it. Seeds are the bootstrap addresses of a few VMs and may be stale.
	BootstrapAddress string
	Seeds            []string
	// InternalPort is the port for datagrams (UDP) and table reads (TCP) between gateways.
	InternalPort int
	// MetricsPort is the port of IP that serves /metrics, 0 for none.
	MetricsPort int
	// CPUShare is the share of a core that the process may use.
	CPUShare float64
	// Capacity is what the process may use of the machine; what is unknown is read from the system.
	Capacity connlimit.Capacity
	Limits   Limits
}

// Limits are the bounds that the platform sets for all gateways.
type Limits struct {
	// ShutdownGracePeriod is the time between SIGTERM and SIGKILL.
	ShutdownGracePeriod time.Duration
	// MaxConfigDelay is the time within which an accepted configuration must be in force,
	// MaxDrainDelay the time after which a draining server must get no more requests.
	MaxConfigDelay, MaxDrainDelay time.Duration
	// RetryPercent of the calls to a service within RetryWindow, plus RetryBurst, is the
	// number of retries that all gateways together may make.
	RetryPercent float64
	RetryBurst   float64
	RetryWindow  time.Duration
	// ProbesPerSecond is the maximum mean number of probes per second that a server may
	// get from all gateways together.
	ProbesPerSecond float64
}

// Members is the table in which gateways store their descriptions.
const Members feed.Table = "members"

// ErrHistoryGone means that the store no longer has the changes since a version, so that
// the whole table has to be read.
var ErrHistoryGone = errors.New("changes since this version are no longer available")

// ErrReadRefused is the cause of a failed read that the store or a gateway responded to
// with an error status.
var ErrReadRefused = errors.New("the source refused the read")

// Store is the platform's store. Read and Changes return an error if a response does not
// begin in time or makes no progress; a slow response of any size is received to its end.
// With an error, the batch contains only the number of bytes that were received. If Put
// returns an error, the row may or may not have been written.
type Store interface {
	// Read returns a whole table.
	Read(ctx context.Context, table feed.Table) (feed.Batch, error)
	// Changes returns the changes of a table after a version. If there are none, it waits
	// for them for at most wait. It returns ErrHistoryGone if the store no longer has them.
	Changes(ctx context.Context, table feed.Table, after uint64, wait time.Duration) (feed.Batch, error)
	// Put writes a row of a table unconditionally.
	Put(ctx context.Context, table feed.Table, key string, value []byte) error
}

// Document is a decoded configuration.
type Document struct {
	// Revision increases with each version of the configuration.
	Revision uint64
	Routing  *preset.Routing
	Limits   connlimit.Requests
}

// Codec decodes the rows of the platform's tables and the headers of its servers.
type Codec interface {
	// DecodeConfig decodes a row of the table feed.Config. It returns nil and no error if
	// the row is not the configuration.
	DecodeConfig(row feed.Row) (*Document, error)
	// ConfigRevision returns the revision of a configuration without decoding the rest of
	// it, 0 if the row is not the configuration or has none that can be read.
	ConfigRevision(row feed.Row) uint64
	// DecodeEntry decodes a row of the table feed.Servers.
	DecodeEntry(row feed.Row) (registry.Entry, error)
	// Protocol returns the header protocol of callers and servers.
	Protocol() proxy.Protocol
	// ParseProbeResponse returns the ID of the server that responded to a probe and its
	// load; ok is false if the response has no valid load.
	ParseProbeResponse(header http.Header) (serverID string, report loadreport.Report, ok bool)
}
