package edge

import (
	"fmt"
	"strings"
	"time"

	"balsamhill/pkg/serverlimit"
)

const (
	// usageLogInterval is how often the usage of shares is logged.
	usageLogInterval = 5 * time.Second
	// limitsPerLogLine bounds the servers that one log line describes.
	limitsPerLogLine = 24
	// shareLogRatio is the ratio between two rates of a share up to which a change is not
	// logged.
	shareLogRatio = 1.25
)

// shareChanged reports whether this gateway's share of a server's limit differs enough from
// the one that was logged last, and records it if so.
func (l *serverLimits) shareChanged(allowance serverlimit.Allowance) bool {
	logged, rate := l.loggedRates[allowance.Server], allowance.Rate
	if (logged == 0) == (rate == 0) && max(logged, rate) <= shareLogRatio*min(logged, rate) {
		return false
	}
	if rate == 0 {
		delete(l.loggedRates, allowance.Server)
	} else {
		l.loggedRates[allowance.Server] = rate
	}
	return true
}

// logUsage logs every usageLogInterval what this gateway may send to the servers with a
// limit, and how many requests it sent them.
func (l *serverLimits) logUsage(now int64, indexed *indexedSnapshot) {
	if now-l.usageLoggedAt < int64(usageLogInterval) {
		return
	}
	l.usageLoggedAt = now
	count, limits, shares, sent := 0, 0.0, 0.0, uint64(0)
	for _, allowance := range l.book.Allowances(now) {
		server := indexed.byKey[allowance.Server]
		if server == nil || !allowance.Limited {
			continue
		}
		count++
		limits += allowance.Limit
		shares += allowance.Rate
		sent += server.Stats.Gate.Sent()
	}
	if count > 0 {
		l.edge.log.Info("server limits in force", "count", count, "limits", limits, "ownShares", shares,
			"sent", sent-min(sent, l.sentBefore))
	}
	l.sentBefore = sent
}

// logChanges logs which limits this gateway learnt of, from whom and since when.
func (l *serverLimits) logChanges(now int64, indexed *indexedSnapshot, changed []uint32) {
	if len(changed) == 0 {
		return
	}
	lines := make([]string, 0, len(changed))
	for _, key := range changed {
		statement := l.book.Allowance(now, key).Statement
		id := fmt.Sprintf("%08x", key)
		if server := indexed.byKey[key]; server != nil {
			id = server.ID
		}
		limit := "none"
		if !statement.Ended {
			limit = fmt.Sprintf("%.2f", statement.Rate)
		}
		lines = append(lines, fmt.Sprintf("%s=%s from %s since %s", id, limit, l.sourceOf(statement),
			time.Duration(now-statement.Since).Round(time.Millisecond)))
	}
	l.edge.log.Info("server limits changed", "count", len(lines), "limits", joinForLog(lines))
}

func (l *serverLimits) sourceOf(statement serverlimit.Statement) string {
	if statement.From == 0 {
		return "its answer"
	}
	l.edge.peersMu.Lock()
	defer l.edge.peersMu.Unlock()
	return l.edge.peers.IDOf(statement.From)
}

func (l *serverLimits) logLeases(lines []string) {
	if len(lines) > 0 {
		l.edge.log.Info("own share of server limits changed", "count", len(lines), "shares", joinForLog(lines))
	}
}

func joinForLog(lines []string) string {
	return strings.Join(lines[:min(len(lines), limitsPerLogLine)], "; ")
}
