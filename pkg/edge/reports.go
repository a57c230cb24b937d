package edge

import (
	"time"

	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
)

// told is what the peers know of a server.
type told struct {
	reportedAt int64
	silent     bool
}

// telling is a report as it was last sent.
type telling struct {
	told
	at int64
}

const (
	// repeatInterval is how often an unchanged report is sent again, because a
	// message may be lost and a gateway that joins has not had the earlier ones.
	repeatInterval = time.Second
	// repeatedAge is the age up to which the load of a server is sent again. At
	// that age routing no longer counts it; silence lasts until the server answers.
	repeatedAge = 5 * time.Second
)

// due reports whether the load or the silence of a server is to be sent.
func (t telling) due(now int64, current told) bool {
	switch {
	case current != t.told:
		return true
	case now-t.at < int64(repeatInterval):
		return false
	}
	return current.silent || current.reportedAt != 0 && now-current.reportedAt <= int64(repeatedAge)
}

// newReports returns what this gateway has learnt itself since the last message.
func (s *sender) newReports(now int64, assignment *gossip.Assignment) []gossip.Report {
	view := s.edge.view.Load()
	if view == nil {
		return nil
	}
	var reports []gossip.Report
	for id, server := range view.snapshot.ServersByID {
		current, ok := s.news(id, server, assignment)
		if ok {
			reports = appendNews(reports, s.told, now, id, server.Stats, current)
		}
	}
	return reports
}

// news returns what this gateway has to tell its group of a server, false if
// nothing: what it learnt itself of its group's servers and, if it is the relay,
// what it holds of those of other groups. appendNews leaves out what was told.
func (s *sender) news(id string, server *routing.Server, assignment *gossip.Assignment) (told, bool) {
	if !s.edge.ownGroup(server, assignment.GroupedByDomain()) {
		if !s.edge.relay.Load() {
			return told{}, false
		}
		return toldOf(server.Stats), true
	}
	current := told{reportedAt: server.Stats.OwnReportedAt()}
	if !server.Stats.Unresponsive() {
		return current, true
	}
	if assignment.ShouldProbe(id, server.FailureDomain) {
		current.silent = true
		return current, true
	}
	// Only the gateway that measures a server says that it is silent, and only a new
	// answer speaks against it.
	return current, current.reportedAt != s.told[id].reportedAt
}

func toldOf(stats *routing.Stats) told {
	return told{reportedAt: stats.ReportedAt(), silent: stats.Unresponsive()}
}

// appendNews appends a report on a server if the receivers are to be told of it.
func appendNews(reports []gossip.Report, tellings map[string]telling, now int64, id string, stats *routing.Stats,
	current told,
) []gossip.Report {
	if !tellings[id].due(now, current) {
		return reports
	}
	tellings[id] = telling{told: current, at: now}
	return append(reports, gossip.Report{
		Server:           gossip.ServerKey(id),
		Age:              time.Duration(now - current.reportedAt),
		InFlight:         int64(stats.ReportedInFlight()),
		SlowdownPermille: stats.SlowdownPermille(),
		Unresponsive:     current.silent,
	})
}
