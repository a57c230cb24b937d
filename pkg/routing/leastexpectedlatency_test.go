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

func pacedView(servers []*Server) *ServiceView {
	return NewServiceView("s", 4, "r", preset.Tuning{Policy: preset.PolicyLeastExpectedLatency}, servers)
}

// share returns how many of 1,000 choices fall on the first server.
func share(view *ServiceView, pick Pick) int {
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

// TestPacedAvoidsWorseServers guards against work for a server that is expected
// to answer later than the others.
func TestPacedAvoidsWorseServers(t *testing.T) {
	tests := []struct {
		desc   string
		worsen func(*Server)
		bytes  int64
		most   int
	}{
		{"noisy neighbour", func(s *Server) { s.Stats.ReportSlowdown(7000) }, 0, 0},
		{"full", func(s *Server) { s.Stats.Report(testNow, 5) }, 0, 0},
		{"last slot", func(s *Server) { s.Stats.Report(testNow, 3) }, 0, 0},
		{"silent", func(s *Server) { s.Stats.SetUnresponsive(true) }, 0, 0},
		{"just started", func(s *Server) { s.ColdUntil = testNow + 1 }, 0, 0},
		{"other region", func(s *Server) { s.Region = "far"; s.Penalty = 60 * millis }, 0, 0},
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
			test.worsen(servers[0])
			count := share(pacedView(servers), Pick{ServiceTime: 100 * millis, Bytes: test.bytes})
			assert.Assert(t, count <= test.most, "chosen %d times of 1,000", count)
		})
	}
}

// TestPacedSpreadsOverEqualServers guards against all gateways choosing the same
// of several equal servers.
func TestPacedSpreadsOverEqualServers(t *testing.T) {
	count := share(pacedView(testServers(4)), Pick{ServiceTime: 100 * millis})
	assert.Assert(t, count > 150 && count < 350, "chosen %d times of 1,000", count)
}

// TestOldPaceCountsLess guards against a server that stays avoided because of a
// report of long ago.
func TestOldPaceCountsLess(t *testing.T) {
	stats := &Stats{}
	stats.Report(testNow, 0)
	stats.ReportSlowdown(7000)
	assert.Assert(t, stats.Slowdown(testNow, 2) > 6.9)
	assert.Assert(t, stats.Slowdown(testNow+1000*millis, 2) < 2.5)
}

// TestOlderReportOfPeer guards against a delayed datagram that replaces what this
// gateway saw later.
func TestOlderReportOfPeer(t *testing.T) {
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

// TestSplitHoldsItsShares guards against a route whose services get other shares
// than their weights.
func TestSplitHoldsItsShares(t *testing.T) {
	route := Route{Service: "a", Backends: []preset.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range 10_000 {
		counts[route.ChooseService(random)]++
	}
	assert.Assert(t, counts["b"] > 850 && counts["b"] < 1150, "%v", counts)
	assert.Equal(t, counts["a"]+counts["b"], 10_000)
}

// TestLongestPrefixOfHost guards against a route of another host, or a shorter
// prefix, that takes a call.
func TestLongestPrefixOfHost(t *testing.T) {
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

// TestUnmeasuredServerIsNotTakenForIdle guards against gateways that send their
// overflow to servers of which they know nothing, and fill them unseen: on a large
// site a quarter of the calls met full servers in other failure domains.
func TestUnmeasuredServerIsNotTakenForIdle(t *testing.T) {
	servers := testServers(4)
	for _, server := range servers[1:] {
		server.Stats.Report(testNow, 4)
		server.Stats.ReportSlowdown(1000)
	}
	assert.Equal(t, pacedView(servers).HeadroomOf(servers[0], testNow, usualCrowding), HeadroomNone)
	for _, server := range servers[1:] {
		server.Stats.Report(testNow, 0)
	}
	assert.Equal(t, pacedView(servers).HeadroomOf(servers[0], testNow, usualCrowding), HeadroomFree)
}
