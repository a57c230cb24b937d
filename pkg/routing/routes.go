package routing

import (
	"cmp"
	"slices"
	"strings"

	"balsamhill/pkg/preset"
)

// Route maps requests to a service and a class.
type Route struct {
	Host       string
	PathPrefix string
	Methods    []string
	Service    string
	Class      preset.Class
}

// RouteTable finds the route of a request. It is immutable.
type RouteTable struct {
	routes []Route
}

// NewRouteTable orders routes so that the most specific match comes first: with
// a host before without, longer prefixes before shorter ones, with methods
// before without.
func NewRouteTable(routes []Route) *RouteTable {
	sorted := slices.Clone(routes)
	slices.SortStableFunc(sorted, func(a, b Route) int {
		return cmp.Or(
			cmp.Compare(len(b.Host), len(a.Host)),
			cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
			cmp.Compare(len(b.Methods), len(a.Methods)),
		)
	})
	return &RouteTable{routes: sorted}
}

// Match returns the route of a request. The host may carry a port.
func (t *RouteTable) Match(method, host, path string) (Route, bool) {
	name, _, found := strings.Cut(host, ":")
	if !found {
		name = host
	}
	for _, route := range t.routes {
		if route.matches(method, name, path) {
			return route, true
		}
	}
	return Route{}, false
}

func (r Route) matches(method, host, path string) bool {
	if r.Host != "" && !strings.EqualFold(r.Host, host) {
		return false
	}
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
