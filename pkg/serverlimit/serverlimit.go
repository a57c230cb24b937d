// Package serverlimit divides the request rate that an overloaded server allows among
// the gateways of a deployment. A server names its limit in its answers, for all
// gateways together. A gateway that knows of a limit sends the server nothing without
// a lease: one gateway of the server's group coordinates the limit and leases parts of
// it, for a short time, to a few gateways with calls for the server's service. A call
// therefore never waits for a message.
//
// The sum of the leases of a server stays within its limit while leases move, because
// a coordinator counts each lease that it granted or overheard until it has expired.
// A coordinator that hears only a part of its group leases only that part of the
// limit, so that the parts of a divided group keep to the limit together.
//
// The package does no I/O, starts no goroutine and reads no clock: times are
// nanoseconds on the gateway's monotonic clock. Package gossip defines the messages,
// package edge sends them and applies the leases to the traffic path.
package serverlimit

import "time"

const (
	// LeaseTTL is how long a lease is valid.
	LeaseTTL = time.Second
	// RenewInterval is how often a coordinator renews its leases. Several renewals may
	// be lost before a lease expires.
	RenewInterval = 250 * time.Millisecond
	// leaseGuard is how much longer than LeaseTTL a coordinator counts a lease, because
	// the transfer of a message takes time that its receiver cannot measure.
	leaseGuard = 150 * time.Millisecond
	// ProbeShare is the share of a limit that is left for probes.
	ProbeShare = 0.1
	// minRate is the least rate in requests per second that is leased: a server whose
	// limit is about 0 would otherwise get no request whose answer could end the limit.
	minRate = 0.1
	// ratePerHolder is the rate in requests per second for which one gateway holds a
	// lease. Higher limits are divided among more gateways.
	ratePerHolder = 2.0
	// otherDomainWeight multiplies the demand of gateways in another failure domain
	// than the server, because bytes between failure domains cost.
	otherDomainWeight = 0.125
	// holderWeight multiplies the demand of a gateway that holds a lease, so that small
	// changes of the demand do not move leases.
	holderWeight = 2.0
	// minDemand stands for the demand of a gateway that reported none.
	minDemand = 0.01
	// endedTTL is how long the end of a limit is remembered and repeated.
	endedTTL = 10 * time.Second
	// unlistedTTL is how long the limit of a server is kept that no table lists.
	unlistedTTL = 30 * time.Second
	// repeatCount is how often a gateway tells its group of a statement that it heard
	// from the server itself, every RenewInterval.
	repeatCount = 3
)

// Statement is what a server said of its limit.
type Statement struct {
	// Rate is the limit in requests per second. It does not apply if Ended is set.
	Rate float64
	// Ended says that the server answered without naming a limit.
	Ended bool
	// At is when the answer arrived at the gateway that heard it, Since when the
	// server first named a limit.
	At, Since int64
	// From is the gateway from which the statement was learnt, 0 for the server itself.
	From uint64
}

// Lease is a gateway's right to send requests to a server.
type Lease struct {
	// Holder is the key of the gateway.
	Holder uint64
	// Rate is in requests per second.
	Rate float64
	// TTL is the remaining time of validity.
	TTL time.Duration
}

// Notice is a message about the limit of a server.
type Notice struct {
	Server uint32
	Rate   float64
	Ended  bool
	// Age and SinceAge are the times since Statement.At and Statement.Since.
	Age, SinceAge time.Duration
	// Coordinated says that the sender coordinates the limit; Leases are then all leases
	// that it granted.
	Coordinated bool
	Leases      []Lease
}

// Member is a live gateway of the group that keeps limits.
type Member struct {
	Key           uint64
	FailureDomain string
	// MayCoordinate says that the gateway has the capacity to coordinate limits.
	MayCoordinate bool
	// Demand is the rate of its calls per second by service key.
	Demand map[uint32]float64
}

// Server describes a server to a View.
type Server struct {
	Service       uint32
	FailureDomain string
	// Coverage says which gateways coordinate the limit of the server.
	Coverage Coverage
}

// Coverage says which gateways coordinate the limit of a server.
type Coverage int

const (
	// OtherGroup means the gateways of another group.
	OtherGroup Coverage = iota
	// OwnGroup means one of the members of this gateway's group.
	OwnGroup
	// StandIn means this gateway alone, because the server's group has no live gateway.
	StandIn
)

// View is what a gateway knows of its surroundings.
type View struct {
	// Members holds the live gateways of the group that keep limits, this one included.
	Members []Member
	// Live and Known count the gateways of the group, this one included: those that are
	// live, and those that were heard of lately and did not announce their stop.
	Live, Known int
	// Server describes a server by its key, false if it is not listed.
	Server func(key uint32) (Server, bool)
}

// Allowance is what a gateway may send to a server.
type Allowance struct {
	Server uint32
	// Limited is false if the server names no limit. Rate and Until then do not apply.
	Limited bool
	// Limit is the rate that the server named.
	Limit float64
	// Rate is in requests per second, until the time Until.
	Rate  float64
	Until int64
	// Statement is the statement that the allowance follows from.
	Statement Statement
}
