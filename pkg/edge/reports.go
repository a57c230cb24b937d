package edge

import (
	"time"

	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
)

// reportState is what the peers know of a server.
type reportState struct {
	reportedAt   int64
	unresponsive bool
}

// sentReport is a report as it was last sent.
type sentReport struct {
	reportState
	sentAt int64
}

const (
	// resendInterval is how often an unchanged report is sent again, because a
	// message may be lost and a gateway that joins has not had the earlier ones.
	resendInterval = time.Second
	// maxResendAge is the age up to which the load of a server is sent again. At
	// that age routing no longer counts it; silence lasts until the server answers.
	maxResendAge = 5 * time.Second
)

// due reports whether the load or the silence of a server is to be sent.
func (r sentReport) due(now int64, current reportState) bool {
	switch {
	case current != r.reportState:
		return true
	case now-r.sentAt < int64(resendInterval):
		return false
	}
	return current.unresponsive || current.reportedAt != 0 && now-current.reportedAt <= int64(maxResendAge)
}

// newReports returns what this gateway has learnt itself since the last message.
func (s *sender) newReports(now int64, assignment *gossip.Assignment) []gossip.Report {
	view := s.edge.view.Load()
	if view == nil {
		return nil
	}
	var reports []gossip.Report
	for id, server := range view.snapshot.ServersByID {
		current, ok := s.ownReportState(id, server, assignment)
		if ok {
			reports = appendIfDue(reports, s.sent, now, id, server.Stats, current)
		}
	}
	return reports
}

// ownReportState returns what this gateway has to tell its group of a server, false if
// nothing: what it learnt itself of its group's servers and, if it is the relay,
// what it holds of those of other groups. appendNews leaves out what was told.
func (s *sender) ownReportState(id string, server *routing.Server, assignment *gossip.Assignment) (reportState, bool) {
	if !s.edge.inOwnGroup(server, assignment.GroupedByDomain()) {
		if !s.edge.isRelay.Load() {
			return reportState{}, false
		}
		return reportStateOf(server.Stats), true
	}
	current := reportState{reportedAt: server.Stats.OwnReportedAt()}
	if !server.Stats.Unresponsive() {
		return current, true
	}
	if assignment.ShouldProbe(id, server.FailureDomain) {
		current.unresponsive = true
		return current, true
	}
	// Only the gateway that measures a server says that it is silent, and only a new
	// answer speaks against it.
	return current, current.reportedAt != s.sent[id].reportedAt
}

func reportStateOf(stats *routing.Stats) reportState {
	return reportState{reportedAt: stats.ReportedAt(), unresponsive: stats.Unresponsive()}
}

// appendIfDue appends a report on a server if the receivers are to be told of it.
func appendIfDue(reports []gossip.Report, sent map[string]sentReport, now int64, id string, stats *routing.Stats,
	current reportState,
) []gossip.Report {
	if !sent[id].due(now, current) {
		return reports
	}
	sent[id] = sentReport{reportState: current, sentAt: now}
	return append(reports, gossip.Report{
		Server:           gossip.ServerKey(id),
		Age:              time.Duration(now - current.reportedAt),
		InFlight:         int64(stats.ReportedInFlight()),
		SlowdownPermille: stats.SlowdownPermille(),
		Unresponsive:     current.unresponsive,
	})
}
