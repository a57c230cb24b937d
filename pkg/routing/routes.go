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

// RouteTable finds the route of a request. It is immutable.
type RouteTable struct {
	// byHost holds the routes of each host in lower case; "" holds those that
	// match any host. Within a host, the most specific route comes first.
	byHost map[string][]Route
}

// NewRouteTable orders the routes by how specific they are: routes with a host
// precede those without, longer path prefixes precede shorter ones, and more methods
// precede fewer, so that a route with methods precedes one without.
func NewRouteTable(routes []Route) *RouteTable {
	table := &RouteTable{byHost: make(map[string][]Route)}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int {
			return cmp.Or(
				cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
				cmp.Compare(len(b.Methods), len(a.Methods)),
			)
		})
	}
	return table
}

// Match returns the route of a request. The host may include a port. A host that
// is an IPv6 address matches only routes without a host, because everything after
// its first colon is taken for the port.
func (t *RouteTable) Match(method, host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(host, ":")
	name = strings.ToLower(name)
	if route := firstMatch(t.byHost[name], method, path); route != nil {
		return route, true
	}
	if name == "" {
		return nil, false
	}
	route := firstMatch(t.byHost[""], method, path)
	return route, route != nil
}

func firstMatch(routes []Route, method, path string) *Route {
	for i := range routes {
		if routes[i].matches(method, path) {
			return &routes[i]
		}
	}
	return nil
}

func (r *Route) matches(method, path string) bool {
	if !matchesPrefix(path, r.PathPrefix) {
		return false
	}
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// matchesPrefix compares whole path segments, so that /booking does not match
// /bookings.
func matchesPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return prefix == "" || strings.HasSuffix(prefix, "/") || rest == "" || rest[0] == '/'
}
