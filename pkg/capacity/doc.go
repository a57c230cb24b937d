// Package capacity measures how the cost of each role of a gateway grows with the
// number of servers, services and gateways. It contains only benchmarks and tests of
// their fixtures. docs/CAPACITY.md extrapolates from the slopes. Run it with:
// go test -run '^$' -bench Capacity ./pkg/capacity
package capacity
