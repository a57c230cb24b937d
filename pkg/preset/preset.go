// Package preset defines presets: named sets of the values that operators may
// change while the system runs. Exactly one preset is in force at any moment.
// The package does no I/O.
package preset

import (
	"time"
)

// Kind says what sort of day a preset is meant for.
type Kind string

// Kinds of presets.
const (
	KindOrdinary    Kind = "ordinary"
	KindPeak        Kind = "peak"
	KindMaintenance Kind = "maintenance"
)

// Policy names a policy for choosing a server.
type Policy string

// Policies that a preset may name; package routing implements each in a file
// of its own.
const (
	PolicyRandom               Policy = "random"
	PolicyRoundRobin           Policy = "round-robin"
	PolicyLeastInFlight        Policy = "least-in-flight"
	PolicyPowerOfTwo           Policy = "power-of-two"
	PolicyWeightedLoad         Policy = "weighted-load"
	PolicyHotCold              Policy = "hot-cold"
	PolicyLeastExpectedLatency Policy = "paced"
)

// Class names a route class, which decides on timeouts and on what may be
// retried or hedged.
type Class string

// Route classes.
const (
	ClassFetch   Class = "fetch"
	ClassBooking Class = "booking"
	ClassUpload  Class = "upload"
)

// Preset is one document. All fields have defaults; see Default.
type Preset struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Description is shown by the operator tool.
	Description string            `json:"description,omitempty"`
	Classes     map[Class]Limits  `json:"classes,omitempty"`
	Services    map[string]Tuning `json:"services,omitempty"`
	Measuring   Measuring         `json:"measuring"`
	SpillOver   SpillOver         `json:"spillOver"`
	// Maintenance lists IDs of server VMs that receive no new work.
	Maintenance []string `json:"maintenance,omitempty"`
}

// Limits are the limits of one route class.
type Limits struct {
	// TimeoutMillis is the time from arrival to the answer's header. 0 means no limit.
	TimeoutMillis int64 `json:"timeoutMillis"`
	// IdleMillis is the longest time without progress of either body.
	IdleMillis int64 `json:"idleMillis"`
	// MaxBodyBytes is the largest request body. 0 means no limit.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// RetryPercent is the budget for retries in percent of recent calls.
	RetryPercent float64 `json:"retryPercent"`
	// HedgePercent is the budget for hedges in percent of recent calls.
	HedgePercent float64 `json:"hedgePercent"`
	// RetryErrors allows another attempt of an idempotent call after a 5xx answer.
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

// Tuning holds the values of one service.
type Tuning struct {
	Policy Policy `json:"policy,omitempty"`
	// QueueFactor bounds the requests in flight per server to slots times this.
	QueueFactor float64 `json:"queueFactor,omitempty"`
	// QueueMillis is how long a call may wait for admission.
	QueueMillis int64 `json:"queueMillis,omitempty"`
	// CrossDomainNanosPerByte and CrossRegionNanosPerByte are the price of a byte that crosses to
	// another failure domain or region, as the delay in nanoseconds that is worth
	// as much. Only the policy paced weighs them.
	CrossDomainNanosPerByte float64 `json:"-"`
	CrossRegionNanosPerByte float64 `json:"-"`
}

// Measuring holds the budgets for measuring server state, for the whole fleet.
type Measuring struct {
	// ProbePercent is the share of server time that probes may take.
	ProbePercent float64 `json:"probePercent"`
	// LinkPercent is the share of the cross-region link that gateways may use.
	LinkPercent float64 `json:"linkPercent"`
}

// SpillOver says when calls may go to the other region.
type SpillOver struct {
	Enabled bool `json:"enabled"`
	// LoadPercent is the own region's load from which calls spill over.
	LoadPercent float64 `json:"loadPercent"`
}

// Version is a preset together with its place in the order of changes. It is
// what gateways exchange.
type Version struct {
	// Revision is the revision of the last change to what is in force.
	Revision uint64
	Preset   *Preset
	// Document is the JSON text as stored.
	Document []byte
	// Routing is set if the routes come with the version and not from settings.
	Routing *Routing
}
