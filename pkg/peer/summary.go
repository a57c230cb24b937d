package peer

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamhill/pkg/budget"
	"balsamhill/pkg/peer/peerpb"
)

const (
	// summaryBytesPerSecond bounds the summaries that a gateway sends to all its
	// neighbours together. The control traffic of a gateway may take 15 KB/s, of which
	// heartbeats and notices need the rest. Gateways receive loads mainly from the load
	// reports in responses.
	summaryBytesPerSecond = 8 << 10
	// summaryBurst is the time over which unused bytes accumulate.
	summaryBurst = time.Second
	// summaryOverheadBytes is the number of bytes that a summary adds beyond its own within
	// the region: 12 for yamux, 22 for TLS, 80 for TCP, IP and the acknowledgement.
	summaryOverheadBytes = 114
	// loadOverhead is the framing in bytes of one load within a message.
	loadOverhead = 3
)

// summaries holds the values of servers that the neighbours have received.
type summaries struct {
	// last maps a server to the values last sent. A nil value means that they must be
	// sent again because some neighbour has not received them.
	last   map[string]*peerpb.ServerLoad
	bucket *budget.Bucket
}

func newSummaries(now int64) summaries {
	return summaries{
		last:   make(map[string]*peerpb.ServerLoad),
		bucket: budget.NewBucket(now, summaryBurst, summaryBytesPerSecond),
	}
}

// ShareSummary sends the servers of all that changed most to the neighbours in the
// region, within the limit of bytes. The others are sent later. When a neighbour
// joins, all servers count as changed.
func (e *Exchange) ShareSummary(all []*peerpb.ServerLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	var targets []*session
	for _, id := range e.view.Neighbours(now) {
		s := e.sessions[id]
		if s == nil {
			continue
		}
		targets = append(targets, s)
		if !s.summarySynced {
			s.summarySynced = true
			e.summaries.markAllChanged()
		}
	}
	loads := e.summaries.selectLoads(now, all, len(targets))
	if len(loads) == 0 {
		return
	}
	for _, s := range targets {
		// A neighbour whose queue is full is treated as new, so that it receives all
		// servers again.
		s.summarySynced = s.send(summaryFrame(loads), false)
	}
}

// markAllChanged makes all servers count as changed. It keeps the IDs, so that the
// removal of a server is still sent.
func (m *summaries) markAllChanged() {
	for id := range m.last {
		m.last[id] = nil
	}
}

// removedServers returns zero values for the servers that were sent before and are
// not in all.
func (m *summaries) removedServers(all []*peerpb.ServerLoad) []*peerpb.ServerLoad {
	present := make(map[string]bool, len(all))
	for _, load := range all {
		present[load.GetServerId()] = true
	}
	var removed []*peerpb.ServerLoad
	for id := range m.last {
		if !present[id] {
			removed = append(removed, &peerpb.ServerLoad{ServerId: id})
		}
	}
	return removed
}

// selectLoads returns the loads to send to the given number of neighbours now.
func (m *summaries) selectLoads(now int64, all []*peerpb.ServerLoad, neighbours int) []*peerpb.ServerLoad {
	var changed []*peerpb.ServerLoad
	for _, load := range all {
		if m.difference(load) > 0 {
			changed = append(changed, load)
		}
	}
	removed := m.removedServers(all)
	for _, load := range removed {
		if m.difference(load) > 0 {
			changed = append(changed, load)
		} else {
			delete(m.last, load.GetServerId())
		}
	}
	slices.SortStableFunc(changed, func(a, b *peerpb.ServerLoad) int {
		return cmp.Or(cmp.Compare(m.difference(b), m.difference(a)), cmp.Compare(a.GetServerId(), b.GetServerId()))
	})
	var selected []*peerpb.ServerLoad
	cost := float64(summaryOverheadBytes * neighbours)
	for _, load := range changed[:min(len(changed), maxListed)] {
		cost += float64((proto.Size(load) + loadOverhead) * neighbours)
		if !m.bucket.Take(now, summaryBytesPerSecond, cost) {
			break
		}
		cost = 0
		m.last[load.GetServerId()] = load
		selected = append(selected, load)
	}
	for _, load := range removed {
		if m.last[load.GetServerId()] == load {
			delete(m.last, load.GetServerId())
		}
	}
	return selected
}

// stateChangeRank is the difference of a server that was not sent before or whose ejection
// changed, in calls in flight. It ranks above every change of their number.
const stateChangeRank = 1e9

// difference returns how much a load differs from the values last sent, 0 if it does
// not. A change of latency alone is not sent: such changes took up to a third of the
// bytes, and receivers select servers by the latencies that they measure themselves.
func (m *summaries) difference(load *peerpb.ServerLoad) float64 {
	last := m.last[load.GetServerId()]
	if last == nil || last.GetEjected() != load.GetEjected() {
		return stateChangeRank
	}
	return float64(max(load.GetInFlight()-last.GetInFlight(), last.GetInFlight()-load.GetInFlight()))
}

func summaryFrame(loads []*peerpb.ServerLoad) *peerpb.Frame {
	summary := &peerpb.ServerSummary{Loads: loads}
	return &peerpb.Frame{Body: &peerpb.Frame_ServerSummary{ServerSummary: summary}}
}
