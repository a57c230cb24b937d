package routing

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/preset"
)

const (
	millis  = int64(1e6)
	testNow = int64(10e9)
)

func newLatencyView(servers []*Server) *ServiceView {
	return NewServiceView("s", 4, "r", preset.Tuning{Policy: preset.PolicyLeastExpectedLatency}, servers)
}

// countFirstServer returns how many of 1,000 choices select the first server.
func countFirstServer(view *ServiceView, pick Pick) int {
	pick.Rand = rand.New(rand.NewPCG(1, 2))
	pick.Now = testNow
	count := 0
	for range 1000 {
		if view.Choose(pick) == view.Servers[0] {
			count++
		}
	}
	return count
}

// TestLeastExpectedLatencyAvoidsSlowServers guards against calls sent to a server
// that is expected to respond later than the others.
func TestLeastExpectedLatencyAvoidsSlowServers(t *testing.T) {
	tests := []struct {
		desc    string
		degrade func(*Server)
		bytes   int64
		max     int
	}{
		{"noisy neighbour", func(s *Server) { s.Stats.ReportSlowdown(7000) }, 0, 0},
		{"full", func(s *Server) { s.Stats.Report(testNow, 5) }, 0, 0},
		{"last slot", func(s *Server) { s.Stats.Report(testNow, 3) }, 0, 0},
		{"no response to probes", func(s *Server) { s.Stats.SetUnresponsive(true) }, 0, 0},
		{"just started", func(s *Server) { s.WarmupUntil = testNow + 1 }, 0, 0},
		{"other region", func(s *Server) { s.Region = "other"; s.NetworkLatency = 60 * millis }, 0, 0},
		{"an upload to another failure domain", func(s *Server) { s.ByteNanos = 8000 }, 60_000, 0},
		{"a small call to another failure domain", func(s *Server) { s.ByteNanos = 8000 }, 1000, 400},
		{"failing", func(s *Server) { s.Stats.Failure(); s.Stats.Failure(); s.Stats.Failure() }, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			servers := testServers(4)
			for _, server := range servers {
				server.Stats.Report(testNow, 0)
				server.Stats.ReportSlowdown(1000)
			}
			test.degrade(servers[0])
			count := countFirstServer(newLatencyView(servers), Pick{ServiceTime: 100 * millis, Bytes: test.bytes})
			assert.Assert(t, count <= test.max, "chosen %d times of 1,000", count)
		})
	}
}

// TestLeastExpectedLatencySpreadsOverEqualServers guards against all gateways
// choosing the same one of several equal servers.
func TestLeastExpectedLatencySpreadsOverEqualServers(t *testing.T) {
	count := countFirstServer(newLatencyView(testServers(4)), Pick{ServiceTime: 100 * millis})
	assert.Assert(t, count > 150 && count < 350, "chosen %d times of 1,000", count)
}

// TestReportedSlowdownDecays guards against a server that is avoided because of an
// outdated load report.
func TestReportedSlowdownDecays(t *testing.T) {
	stats := &Stats{}
	stats.Report(testNow, 0)
	stats.ReportSlowdown(7000)
	assert.Assert(t, stats.Slowdown(testNow, 2) > 6.9)
	assert.Assert(t, stats.Slowdown(testNow+1000*millis, 2) < 2.5)
}

// TestOlderPeerReportIsIgnored guards against a delayed datagram that replaces a
// newer load report.
func TestOlderPeerReportIsIgnored(t *testing.T) {
	stats := &Stats{}
	stats.Report(testNow, 2)
	stats.ReportSlowdown(1000)
	stats.ReportFromPeer(testNow-millis, 9, 7000)
	assert.Equal(t, stats.ReportedInFlight(), 2.0)
	assert.Equal(t, stats.ReportedSlowdown(), 1.0)
	stats.ReportFromPeer(testNow+millis, 3, 7000)
	assert.Equal(t, stats.ReportedInFlight(), 3.0)
	assert.Equal(t, stats.ReportedSlowdown(), 7.0)
	assert.Equal(t, stats.OwnReportedAt(), testNow)
}

// TestBackendsReceiveTheirShares guards against a route that splits calls in other
// proportions than the weights of its back ends.
func TestBackendsReceiveTheirShares(t *testing.T) {
	route := Route{Service: "a", Backends: []preset.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range 10_000 {
		counts[route.ChooseService(random)]++
	}
	assert.Assert(t, counts["b"] > 850 && counts["b"] < 1150, "%v", counts)
	assert.Equal(t, counts["a"]+counts["b"], 10_000)
}

// TestLongestPrefixMatchesWithinHost guards against a route of another host, or of a
// shorter prefix, that matches a request.
func TestLongestPrefixMatchesWithinHost(t *testing.T) {
	table := NewRouteTable([]Route{
		{Name: "short", Host: "A.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example:80", "/x/y/z/1", "long"},
		{"b.example", "/x/y/z/1", "other"},
		{"b.example", "/x/1", ""},
		{"c.example", "/x/1", ""},
		{"", "/x/1", ""},
	}
	for _, test := range tests {
		route, ok := table.Match("GET", test.host, test.path)
		assert.Equal(t, ok, test.want != "", "%s%s", test.host, test.path)
		if ok {
			assert.Equal(t, route.Name, test.want)
		}
	}
}

// TestServerWithoutReportIsNotAssumedIdle guards against gateways that send their
// overflow to servers without load reports in other failure domains, which then fill
// up.
func TestServerWithoutReportIsNotAssumedIdle(t *testing.T) {
	servers := testServers(4)
	for _, server := range servers[1:] {
		server.Stats.Report(testNow, 4)
		server.Stats.ReportSlowdown(1000)
	}
	assert.Equal(t, newLatencyView(servers).HeadroomOf(servers[0], testNow, defaultSaturationFactor), HeadroomNone)
	for _, server := range servers[1:] {
		server.Stats.Report(testNow, 0)
	}
	assert.Equal(t, newLatencyView(servers).HeadroomOf(servers[0], testNow, defaultSaturationFactor), HeadroomFree)
}
