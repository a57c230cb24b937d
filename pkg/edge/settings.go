// Package edge assembles a gateway whose routes and servers come from tables of
// a platform's store, for machines that keep nothing and do nothing else. One
// gateway of a region reads the store and the others take changes from it; each
// one knows how old its view is and reads the store itself when it is too old.
// Servers are probed by one gateway each, which tells the others in datagrams.
package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

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
	// Regions maps all failure domains to their regions.
	Regions map[string]string
	// TrafficAddress is host:port for callers, ReadyAddress for the balancer in front.
	TrafficAddress, ReadyAddress string
	ReadyPath                    string
	// BootstrapAddress is host:port for gateways that know nothing yet; empty switches it
	// off. Seeds are such addresses of a few machines; they may be stale.
	BootstrapAddress string
	Seeds            []string
	// InternalPort is the port for datagrams and reads between gateways.
	InternalPort int
	// MetricsPort is a port of IP for /metrics, 0 for none.
	MetricsPort int
	// CPUShare is the share of a core that the process gets.
	CPUShare float64
	Limits   Limits
}

// Limits are the bounds that the platform sets.
type Limits struct {
	// ShutdownGracePeriod is the time between the request to stop and the kill.
	ShutdownGracePeriod time.Duration
	// MaxConfigDelay is the time in which an accepted configuration must be in force,
	// MaxDrainDelay that in which a leaving server must get no more requests.
	MaxConfigDelay, MaxDrainDelay time.Duration
	// RetryPercent of the calls of a service in RetryWindow and RetryBurst more may
	// be repeated by all gateways together.
	RetryPercent float64
	RetryBurst   float64
	RetryWindow  time.Duration
	// ProbesPerSecond is the mean number of probes of one server per second.
	ProbesPerSecond float64
}

// Members is the table in which gateways leave their addresses.
const Members feed.Table = "members"

// ErrHistoryGone means that the changes since a version are no longer known, so
// that the table has to be read as a whole.
var ErrHistoryGone = errors.New("the history since this version is gone")

// Store is the platform's store. A returned error means that nothing was
// learned, and for Put that the row may or may not have been written.
type Store interface {
	// Read returns a whole table.
	Read(ctx context.Context, table feed.Table) (feed.Batch, error)
	// Changes waits until a table has changes after a version, at most for wait.
	// It returns ErrHistoryGone if they are no longer known.
	Changes(ctx context.Context, table feed.Table, after uint64, wait time.Duration) (feed.Batch, error)
	// Put writes a row of a table, whatever it holds.
	Put(ctx context.Context, table feed.Table, key string, value []byte) error
}

// Document is a decoded configuration.
type Document struct {
	// Revision rises with each version.
	Revision     uint64
	Routing      *preset.Routing
	MaxBodyBytes int64
}

// Codec decodes what the platform and its servers say.
type Codec interface {
	// DecodeConfig reads a row of the table feed.Config. It returns nil without an
	// error if the row is not the configuration.
	DecodeConfig(row feed.Row) (*Document, error)
	// DecodeEntry reads a row of the table feed.Servers.
	DecodeEntry(row feed.Row) (registry.Entry, error)
	// Protocol is that of callers and servers.
	Protocol() proxy.Protocol
	// ParseProbeResponse reads the answer to a probe: the server that gave it and its load.
	ParseProbeResponse(header http.Header) (serverID string, report loadreport.Report, ok bool)
}
