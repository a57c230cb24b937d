package preset

// Routing holds the routes and the services. Documents of the operator tool do not
// contain it: routes and services then come from the settings of the gateways. A
// platform whose operators change routes at run time supplies it with each version.
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
	// TimeoutMillis is the maximum time from the arrival of a call to the header of its
	// response. 0 means the timeout of the class.
	TimeoutMillis int64
	// LatencyTargetMillis is the latency target: a later response is of less value
	// to the caller.
	LatencyTargetMillis int64
	MaxAttempts         int
}

// Backend is a service that receives a share of the calls of a route.
type Backend struct {
	Service string
	// Weight is relative to the sum over the backends of the route.
	Weight float64
}

// ServiceRule describes a service of a Routing.
type ServiceRule struct {
	Name string
	// ProbePath is the path at which a server responds with its load.
	ProbePath string
	// MaxConnections is the connection limit of one server, shared by all gateways.
	MaxConnections int
}
