package preset

// Routing says which calls there are and where they go. Documents of the
// operator tool leave it out: routes and services then come from the settings
// of the gateways. A platform whose operators change routes at run time
// supplies it with each version.
type Routing struct {
	Rules    []Rule
	Services []ServiceRule
}

// Rule is one route of a Routing.
type Rule struct {
	Name       string
	Host       string
	PathPrefix string
	Class      Class
	// Backends has at least one entry.
	Backends []Backend
	// TimeoutMillis is the time from arrival to the answer. 0 means the class's.
	TimeoutMillis int64
	// LatencyTargetMillis is the time within which an answer has its full worth.
	LatencyTargetMillis int64
	MaxAttempts         int
}

// Backend is a service that receives a share of a route's calls.
type Backend struct {
	Service string
	// Weight is relative to the sum over the backends of the route.
	Weight float64
}

// ServiceRule describes a service of a Routing.
type ServiceRule struct {
	Name string
	// ProbePath answers with the server's load.
	ProbePath string
	// MaxConnections is the connection limit of one server, shared by all gateways.
	MaxConnections int
}
