// Package preset defines presets: named sets of the settings that operators may
// change at run time. At most one preset is in force at any time. Package
// presetstore stores presets, and package control applies the one in force. Package
// preset does no I/O.
package preset

import (
	"time"
)

// Kind is the kind of operation that a preset is meant for.
type Kind string

// Kinds of presets.
const (
	KindOrdinary    Kind = "ordinary"
	KindPeak        Kind = "peak"
	KindMaintenance Kind = "maintenance"
)

// Policy names a load-balancing policy.
type Policy string

// Load-balancing policies, each implemented in a file of its own in package
// routing. See Policies for those that a document may name.
const (
	PolicyRandom               Policy = "random"
	PolicyRoundRobin           Policy = "round-robin"
	PolicyLeastInFlight        Policy = "least-in-flight"
	PolicyPowerOfTwo           Policy = "power-of-two"
	PolicyWeightedLoad         Policy = "weighted-load"
	PolicyHotCold              Policy = "hot-cold"
	PolicyLeastExpectedLatency Policy = "paced"
)

// Class names a route class, which determines timeouts and whether calls may be
// retried or hedged.
type Class string

// Route classes.
const (
	ClassFetch   Class = "fetch"
	ClassBooking Class = "booking"
	ClassUpload  Class = "upload"
)

// Preset is the content of one preset document. All fields have defaults; see
// Default.
type Preset struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Description is shown by the operator tool.
	Description string            `json:"description,omitempty"`
	Classes     map[Class]Limits  `json:"classes,omitempty"`
	Services    map[string]Tuning `json:"services,omitempty"`
	Measuring   Measuring         `json:"measuring"`
	SpillOver   SpillOver         `json:"spillOver"`
	// Maintenance lists the IDs of server VMs that receive no new calls.
	Maintenance []string `json:"maintenance,omitempty"`
}

// Limits are the limits of one route class.
type Limits struct {
	// TimeoutMillis is the maximum time from the arrival of a call to the header of
	// its response. 0 means no limit.
	TimeoutMillis int64 `json:"timeoutMillis"`
	// IdleMillis is the maximum time without progress of the request body or the
	// response body.
	IdleMillis int64 `json:"idleMillis"`
	// MaxBodyBytes is the size of the largest accepted request body. 0 means no
	// limit.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// RetryPercent is the retry budget, in percent of recent calls.
	RetryPercent float64 `json:"retryPercent"`
	// HedgePercent is the hedge budget, in percent of recent calls.
	HedgePercent float64 `json:"hedgePercent"`
	// RetryErrors allows retries of idempotent calls after a 5xx response.
	RetryErrors bool `json:"-"`
}

// Timeout returns TimeoutMillis as a duration.
func (l Limits) Timeout() time.Duration {
	return time.Duration(l.TimeoutMillis) * time.Millisecond
}

// Idle returns IdleMillis as a duration.
func (l Limits) Idle() time.Duration {
	return time.Duration(l.IdleMillis) * time.Millisecond
}

// Tuning holds the load-balancing and admission settings of one service.
type Tuning struct {
	Policy Policy `json:"policy,omitempty"`
	// QueueFactor determines the maximum number of requests in flight at a server: its
	// slots times QueueFactor.
	QueueFactor float64 `json:"queueFactor,omitempty"`
	// QueueMillis is the maximum time that a call waits for admission.
	QueueMillis int64 `json:"queueMillis,omitempty"`
	// CrossDomainNanosPerByte and CrossRegionNanosPerByte are the cost of a byte that
	// is sent to another failure domain or region, as the latency in nanoseconds with
	// the same cost. Only PolicyLeastExpectedLatency uses them.
	CrossDomainNanosPerByte float64 `json:"-"`
	CrossRegionNanosPerByte float64 `json:"-"`
}

// Measuring holds the budgets for probes of servers and for messages between
// gateways, each for the whole fleet of gateways.
type Measuring struct {
	// ProbePercent is the maximum share of server time used by probes.
	ProbePercent float64 `json:"probePercent"`
	// LinkPercent is the maximum share of the cross-region link used by gateways.
	LinkPercent float64 `json:"linkPercent"`
}

// SpillOver determines when calls may be sent to the other region.
type SpillOver struct {
	Enabled bool `json:"enabled"`
	// LoadPercent is the load of the gateway's region above which calls spill over.
	LoadPercent float64 `json:"loadPercent"`
}

// Version is a preset with its revision, as gateways exchange it.
type Version struct {
	// Revision is the revision of the last change to what is in force.
	Revision uint64
	Preset   *Preset
	// Document is the JSON text as stored.
	Document []byte
	// Routing is set if the routes come with the version rather than from the
	// settings.
	Routing *Routing
}
