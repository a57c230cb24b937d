package edge

import (
	"time"

	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
)

// reportVersion identifies the version of a server's load report: the time of the report
// and whether the server is unresponsive.
type reportVersion struct {
	reportedAt   int64
	unresponsive bool
}

// sentReport is the report of a server that was last sent, and when.
type sentReport struct {
	reportVersion
	sentAt int64
}

const (
	// resendInterval is how often an unchanged report is sent again, because messages may
	// be lost and gateways that join later missed the earlier ones.
	resendInterval = time.Second
	// maxResendAge is the age up to which the load of a server is sent again. Routing
	// ignores older loads. That a server is unresponsive is sent until it responds.
	maxResendAge = 5 * time.Second
)

// due reports whether the current state of a server has to be sent.
func (r sentReport) due(now int64, current reportVersion) bool {
	switch {
	case current != r.reportVersion:
		return true
	case now-r.sentAt < int64(resendInterval):
		return false
	}
	return current.unresponsive || current.reportedAt != 0 && now-current.reportedAt <= int64(maxResendAge)
}

// newReports returns the reports that are due to the group of this gateway.
func (s *sender) newReports(now int64, assignment *gossip.Assignment) []gossip.Report {
	indexed := s.edge.indexed.Load()
	if indexed == nil {
		return nil
	}
	var reports []gossip.Report
	for id, server := range indexed.snapshot.ServersByID {
		current, ok := s.ownReportVersion(id, server, assignment)
		if ok {
			reports = appendIfDue(reports, s.sent, now, id, server.Stats, current)
		}
	}
	return reports
}

// ownReportVersion returns the state of a server as this gateway reports it to its group,
// false if it does not. Of the group's servers it reports what it received itself; of the
// servers of other groups only the relay reports, all that it holds.
func (s *sender) ownReportVersion(id string, server *routing.Server, assignment *gossip.Assignment) (reportVersion, bool) {
	if !s.edge.inOwnGroup(server, assignment.GroupedByDomain()) {
		if !s.edge.isRelay.Load() {
			return reportVersion{}, false
		}
		return reportVersionOf(server.Stats), true
	}
	current := reportVersion{reportedAt: server.Stats.OwnReportedAt()}
	if !server.Stats.Unresponsive() {
		return current, true
	}
	if assignment.ShouldProbe(id, server.FailureDomain) && !s.edge.contact.Doubtful() {
		current.unresponsive = true
		return current, true
	}
	// Only the gateway that probes a server reports it as unresponsive, unless its own links may
	// have failed. Any gateway that receives a new response from it reports it as responsive.
	return current, current.reportedAt != s.sent[id].reportedAt
}

func reportVersionOf(stats *routing.Stats) reportVersion {
	return reportVersion{reportedAt: stats.ReportedAt(), unresponsive: stats.Unresponsive()}
}

// appendIfDue appends the report of a server if it is due, and records it in sent.
func appendIfDue(reports []gossip.Report, sent map[string]sentReport, now int64, id string, stats *routing.Stats,
	current reportVersion,
) []gossip.Report {
	if !sent[id].due(now, current) {
		return reports
	}
	sent[id] = sentReport{reportVersion: current, sentAt: now}
	return append(reports, gossip.Report{
		Server:           gossip.ServerKey(id),
		Age:              time.Duration(now - current.reportedAt),
		InFlight:         int64(stats.ReportedInFlight()),
		SlowdownPermille: stats.SlowdownPermille(),
		Unresponsive:     current.unresponsive,
	})
}
