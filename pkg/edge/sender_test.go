package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
)

// newsOf returns what a gateway tells its group of a server at a moment, and takes
// note of it as the loop that sends does.
func newsOf(s *sender, now int64, server *routing.Server, assignment *gossip.Assignment) []gossip.Report {
	current, ok := s.news(server.ID, server, assignment)
	if !ok {
		return nil
	}
	return appendNews(nil, s.told, now, server.ID, server.Stats, current)
}

// newSender returns the sender of a gateway, and a server next to it.
func newSender() (*sender, *routing.Server) {
	return &sender{
			edge: &Edge{settings: &Settings{ID: "g1", Region: "r", FailureDomain: "d"}}, told: make(map[string]telling),
		},
		&routing.Server{ID: "a", Region: "r", FailureDomain: "d", Stats: &routing.Stats{}}
}

// TestFormerMeasurerIsQuiet guards against a gateway that goes on telling that a
// server is silent after another one has taken over its measurement.
func TestFormerMeasurerIsQuiet(t *testing.T) {
	self := gossip.Gateway{ID: "g1", Region: "r", FailureDomain: "d"}
	peers := gossip.NewPeers(self)
	alone := peers.Assign(1)
	other := gossip.Gateway{ID: "g2", Region: "r", FailureDomain: "d", Strong: true, Incarnation: 1}
	peers.Hear(1, &gossip.Message{Key: gossip.KeyOf(other.ID), Incarnation: 1, Sequence: 1, Introduction: &other})
	behind := peers.Assign(1)
	assert.Assert(t, alone.Measures("a", "d") && !behind.Measures("a", "d"))

	s, server := newSender()
	server.Stats.SetSilent(true)
	now := int64(1e9)
	reports := newsOf(s, now, server, &alone)
	assert.Assert(t, len(reports) == 1 && reports[0].Silent)
	now += int64(repeatInterval)
	assert.Equal(t, len(newsOf(s, now, server, &alone)), 1)
	now += int64(repeatInterval)
	assert.Equal(t, len(newsOf(s, now, server, &behind)), 0)

	server.Stats.SetSilent(false)
	server.Stats.ReportLoad(now, 1, 1000)
	reports = newsOf(s, now, server, &behind)
	assert.Assert(t, len(reports) == 1 && !reports[0].Silent)
}

// TestUnchangedReportIsRepeatedForAWhile guards against reports that are sent once,
// so that a lost message leaves a gateway ignorant, and against old ones that are
// sent for ever.
func TestUnchangedReportIsRepeatedForAWhile(t *testing.T) {
	peers := gossip.NewPeers(gossip.Gateway{ID: "g1", Region: "r", FailureDomain: "d"})
	assignment := peers.Assign(1)
	s, server := newSender()
	start := int64(1e9)
	assert.Equal(t, len(newsOf(s, start, server, &assignment)), 0)
	server.Stats.ReportLoad(start, 1, 1000)
	count := 0
	for now := start; now <= start+int64(2*repeatedAge); now += int64(sendInterval) {
		count += len(newsOf(s, now, server, &assignment))
	}
	assert.Equal(t, count, 1+int(repeatedAge/repeatInterval))
}
