package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// matchByScan finds the route of a request among all routes, as the documentation of
// RouteTable defines it.
func matchByScan(routes []Route, method, host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	ordered := slices.Clone(routes)
	slices.SortStableFunc(ordered, func(a, b Route) int {
		return cmp.Or(
			-cmp.Compare(min(1, len(a.Host)), min(1, len(b.Host))),
			cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
			cmp.Compare(len(b.Methods), len(a.Methods)),
		)
	})
	for i, route := range ordered {
		rest, ok := strings.CutPrefix(path, route.PathPrefix)
		wholeSegments := route.PathPrefix == "" || strings.HasSuffix(route.PathPrefix, "/") || rest == "" || strings.HasPrefix(rest, "/")
		hostMatches := route.Host == "" || strings.EqualFold(route.Host, name)
		methodMatches := len(route.Methods) == 0 || slices.Contains(route.Methods, method)
		if ok && wholeSegments && hostMatches && methodMatches {
			return &ordered[i]
		}
	}
	return nil
}

// TestMatchFindsMostSpecificRoute guards against a request that is sent by another route than
// the most specific one that matches.
func TestMatchFindsMostSpecificRoute(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"", "h", "H", "other"})
	paths := rapid.StringMatching(`(/[ab]{0,2}){0,4}`)
	methods := rapid.SampledFrom([][]string{nil, {"GET"}, {"GET", "POST"}})
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			routes = append(routes, Route{
				Name: fmt.Sprint(i), Host: hosts.Draw(t, "route host"), PathPrefix: paths.Draw(t, "prefix"), Methods: methods.Draw(t, "methods"),
			})
		}
		table := NewRouteTable(routes)
		for range 8 {
			method := rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "method")
			host, path := hosts.Draw(t, "host"), paths.Draw(t, "path")
			want := matchByScan(routes, method, host, path)
			got, ok := table.Match(method, host, path)
			assert.Equal(t, ok, want != nil)
			if ok {
				assert.Equal(t, got.Name, want.Name, "%s %s%s", method, host, path)
			}
		}
	})
}

// BenchmarkMatch measures the time to find a route, and to find that none matches.
func BenchmarkMatch(b *testing.B) {
	for _, count := range []int{20, 2_400, 24_000} {
		routes := make([]Route, count)
		for i := range routes {
			routes[i] = Route{Host: fmt.Sprint("h", i%3), PathPrefix: fmt.Sprintf("/route%05d/", i)}
		}
		table := NewRouteTable(routes)
		for _, path := range []string{"/route00012/x", "/none/x"} {
			b.Run(fmt.Sprintf("%d routes%s", count, strings.ReplaceAll(path, "/", " ")), func(b *testing.B) {
				for b.Loop() {
					table.Match("GET", "h0", path)
				}
			})
		}
	}
}
