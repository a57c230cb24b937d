package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"balsamhill/pkg/preset"
)

// Route maps requests to one service, or to several by weight, and to a class.
type Route struct {
	// Name identifies the route in logs; it may be empty.
	Name       string
	Host       string
	PathPrefix string
	Methods    []string
	// Service receives all calls unless Backends is set.
	Service string
	// Backends share the calls in proportion to their weights.
	Backends []preset.Backend
	Class    preset.Class
	// IdempotencyFromClass says that the class alone determines whether a call may run
	// more than once, whatever its method and headers.
	IdempotencyFromClass bool
	// Timeout is the longest time from the arrival of a call to its response, 0 for
	// that of the class.
	Timeout time.Duration
	// LatencyTarget is the target for the time from the arrival of a call to its
	// response, 0 for none.
	LatencyTarget time.Duration
	// MaxAttempts is the maximum number of attempts of one call, 0 for the default.
	MaxAttempts int
}

// ChooseService returns the service for one call.
func (r *Route) ChooseService(random *rand.Rand) string {
	total := 0.0
	for _, backend := range r.Backends {
		total += backend.Weight
	}
	if total <= 0 {
		return r.Service
	}
	remaining := random.Float64() * total
	for _, backend := range r.Backends {
		remaining -= backend.Weight
		if remaining < 0 {
			return backend.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// RouteTable finds the route of a request in a time that depends on the number of segments
// of its longest prefix, not on the number of routes. It is immutable.
type RouteTable struct {
	// byHost holds the routes of each host in lower case; "" holds those that
	// match any host.
	byHost map[string]*prefixTable
}

// prefixTable holds the routes of a host.
type prefixTable struct {
	// byPrefix holds the routes of each path prefix, those with more methods first.
	byPrefix map[string][]Route
	// longest is the length of the longest prefix.
	longest int
}

// NewRouteTable orders the routes by how specific they are: routes with a host
// precede those without, longer path prefixes precede shorter ones, and more methods
// precede fewer, so that a route with methods precedes one without.
func NewRouteTable(routes []Route) *RouteTable {
	table := &RouteTable{byHost: make(map[string]*prefixTable)}
	for _, route := range routes {
		table.forHost(route.Host).add(route)
	}
	for _, host := range table.byHost {
		for _, routes := range host.byPrefix {
			slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Methods), len(a.Methods)) })
		}
	}
	return table
}

// forHost returns the routes of a host, an empty table for a new one.
func (t *RouteTable) forHost(host string) *prefixTable {
	name := strings.ToLower(host)
	if t.byHost[name] == nil {
		t.byHost[name] = &prefixTable{byPrefix: make(map[string][]Route)}
	}
	return t.byHost[name]
}

func (t *prefixTable) add(route Route) {
	t.byPrefix[route.PathPrefix] = append(t.byPrefix[route.PathPrefix], route)
	t.longest = max(t.longest, len(route.PathPrefix))
}

// Match returns the route of a request. The host may include a port. A host that
// is an IPv6 address matches only routes without a host, because everything after
// its first colon is taken for the port.
func (t *RouteTable) Match(method, host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(host, ":")
	name = strings.ToLower(name)
	if route := t.byHost[name].match(method, path); route != nil {
		return route, true
	}
	if name == "" {
		return nil, false
	}
	route := t.byHost[""].match(method, path)
	return route, route != nil
}

// match looks up the prefixes of a path that end at the boundary of a segment, with or without
// the slash, longest first, so that /booking does not match /bookings. t may be nil.
func (t *prefixTable) match(method, path string) *Route {
	if t == nil {
		return nil
	}
	if len(path) <= t.longest {
		if route := t.withMethod(path, method); route != nil {
			return route
		}
	}
	// The slash behind the longest prefix is included: that prefix may lack it.
	path = path[:min(len(path), t.longest+1)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := t.withMethod(path[:end+1], method); route != nil {
			return route
		}
		if route := t.withMethod(path[:end], method); route != nil {
			return route
		}
	}
	return t.withMethod("", method)
}

// withMethod returns the first route of a prefix that allows the method.
func (t *prefixTable) withMethod(prefix, method string) *Route {
	routes := t.byPrefix[prefix]
	for i := range routes {
		if len(routes[i].Methods) == 0 || slices.Contains(routes[i].Methods, method) {
			return &routes[i]
		}
	}
	return nil
}
