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
	// summaryBytesPerSecond bounds what a gateway sends in summaries to all its
	// neighbours together. Control traffic of a node may take 15 KB/s; heartbeats
	// and notices need the rest. Load reports on answers remain the main source.
	summaryBytesPerSecond = 8 << 10
	// summaryBurst is the time for which unused bytes may be saved.
	summaryBurst = time.Second
	// frameOverhead is what a summary costs on top of its own bytes within the
	// region: 12 for yamux, 22 for TLS, 80 for TCP, IP and the acknowledgement.
	frameOverhead = 114
	// loadOverhead is the framing of one load within a message.
	loadOverhead = 3
)

// summaries is what the neighbours were told about servers. An entry that is nil
// was told to some neighbour, but not to all.
type summaries struct {
	last   map[string]*peerpb.ServerLoad
	bucket *budget.Bucket
}

func newSummaries(now int64) summaries {
	return summaries{
		last:   make(map[string]*peerpb.ServerLoad),
		bucket: budget.NewBucket(now, summaryBurst, summaryBytesPerSecond),
	}
}

// ShareSummary takes the view of all servers and sends what changed most to the
// neighbours in the region, within the limit of bytes. What is left out is sent
// later. A neighbour that joins makes everything count as changed.
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
		if !s.summarised {
			s.summarised = true
			e.summaries.forget()
		}
	}
	loads := e.summaries.choose(now, all, len(targets))
	if len(loads) == 0 {
		return
	}
	for _, s := range targets {
		// A neighbour whose queue is full counts as new, so that it misses nothing.
		s.summarised = s.send(summaryFrame(loads), false)
	}
}

// forget makes all servers count as changed. Those that were told stay known, so
// that neighbours hear of their end.
func (m *summaries) forget() {
	for id := range m.last {
		m.last[id] = nil
	}
}

// ended returns zeros for servers that were told and are not among all.
func (m *summaries) ended(all []*peerpb.ServerLoad) []*peerpb.ServerLoad {
	present := make(map[string]bool, len(all))
	for _, load := range all {
		present[load.GetServerId()] = true
	}
	var ended []*peerpb.ServerLoad
	for id := range m.last {
		if !present[id] {
			ended = append(ended, &peerpb.ServerLoad{ServerId: id})
		}
	}
	return ended
}

// choose returns the loads to send to this many neighbours now.
func (m *summaries) choose(now int64, all []*peerpb.ServerLoad, neighbours int) []*peerpb.ServerLoad {
	var changed []*peerpb.ServerLoad
	for _, load := range all {
		if m.change(load) > 0 {
			changed = append(changed, load)
		}
	}
	ended := m.ended(all)
	for _, load := range ended {
		if m.change(load) > 0 {
			changed = append(changed, load)
		} else {
			delete(m.last, load.GetServerId())
		}
	}
	slices.SortStableFunc(changed, func(a, b *peerpb.ServerLoad) int {
		return cmp.Or(cmp.Compare(m.change(b), m.change(a)), cmp.Compare(a.GetServerId(), b.GetServerId()))
	})
	var chosen []*peerpb.ServerLoad
	cost := float64(frameOverhead * neighbours)
	for _, load := range changed[:min(len(changed), maxListed)] {
		cost += float64((proto.Size(load) + loadOverhead) * neighbours)
		if !m.bucket.Take(now, summaryBytesPerSecond, cost) {
			break
		}
		cost = 0
		m.last[load.GetServerId()] = load
		chosen = append(chosen, load)
	}
	for _, load := range ended {
		if m.last[load.GetServerId()] == load {
			delete(m.last, load.GetServerId())
		}
	}
	return chosen
}

// changeOfState puts a server that was never told or changed its state before
// any change of numbers.
const changeOfState = 1e9

// change returns how much a load differs from what was told, 0 if not at all. A
// change of latency alone is not sent: it made up to a third of the bytes, and
// receivers choose by their own latencies.
func (m *summaries) change(load *peerpb.ServerLoad) float64 {
	last := m.last[load.GetServerId()]
	if last == nil || last.GetEjected() != load.GetEjected() {
		return changeOfState
	}
	return float64(max(load.GetInFlight()-last.GetInFlight(), last.GetInFlight()-load.GetInFlight()))
}

func summaryFrame(loads []*peerpb.ServerLoad) *peerpb.Frame {
	summary := &peerpb.ServerSummary{Loads: loads}
	return &peerpb.Frame{Body: &peerpb.Frame_ServerSummary{ServerSummary: summary}}
}
