package edge

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"balsamhill/pkg/contact"
	"balsamhill/pkg/feed"
	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
)

// dueReports returns the reports of a server that are due to the group, and records them as
// sent, as newReports does.
func dueReports(s *sender, now int64, server *routing.Server, assignment *gossip.Assignment) []gossip.Report {
	current, ok := s.ownReportVersion(server.ID, server, assignment)
	if !ok {
		return nil
	}
	return appendIfDue(nil, s.sent, now, server.ID, server.Stats, current)
}

// newSenderAndServer returns the sender of a gateway, and a server in the same failure
// domain.
func newSenderAndServer() (*sender, *routing.Server) {
	return &sender{
			edge: &Edge{
				settings: &Settings{ID: "g1", Region: "r", FailureDomain: "d"},
				contact:  contact.NewMonitor(contact.Config{Metrics: metrics.NewSet()}),
			},
			sent: make(map[string]sentReport),
		},
		&routing.Server{ID: "a", Region: "r", FailureDomain: "d", Stats: &routing.Stats{}}
}

// TestFormerProberStopsReportingUnresponsive guards against a gateway that still reports a
// server as unresponsive after another gateway has taken over its probes.
func TestFormerProberStopsReportingUnresponsive(t *testing.T) {
	self := gossip.Gateway{ID: "g1", Region: "r", FailureDomain: "d"}
	peers := gossip.NewPeers(self)
	before := peers.Assign(1)
	other := gossip.Gateway{ID: "g2", Region: "r", FailureDomain: "d", HighCapacity: true, Incarnation: 1}
	peers.ApplyMessage(1, &gossip.Message{Key: gossip.KeyOf(other.ID), Incarnation: 1, Sequence: 1, Sender: &other})
	after := peers.Assign(1)
	assert.Assert(t, before.ShouldProbe("a", "d") && !after.ShouldProbe("a", "d"))

	s, server := newSenderAndServer()
	server.Stats.SetUnresponsive(true)
	now := int64(1e9)
	reports := dueReports(s, now, server, &before)
	assert.Assert(t, len(reports) == 1 && reports[0].Unresponsive)
	now += int64(resendInterval)
	assert.Equal(t, len(dueReports(s, now, server, &before)), 1)
	now += int64(resendInterval)
	assert.Equal(t, len(dueReports(s, now, server, &after)), 0)

	server.Stats.SetUnresponsive(false)
	server.Stats.ReportLoad(now, 1, 1000)
	reports = dueReports(s, now, server, &after)
	assert.Assert(t, len(reports) == 1 && !reports[0].Unresponsive)
}

// TestUnchangedReportIsResentUntilTooOld guards against reports that are sent only once, so
// that a gateway misses them if the message is lost, and against outdated reports that are
// sent indefinitely.
func TestUnchangedReportIsResentUntilTooOld(t *testing.T) {
	peers := gossip.NewPeers(gossip.Gateway{ID: "g1", Region: "r", FailureDomain: "d"})
	assignment := peers.Assign(1)
	s, server := newSenderAndServer()
	start := int64(1e9)
	assert.Equal(t, len(dueReports(s, start, server, &assignment)), 0)
	server.Stats.ReportLoad(start, 1, 1000)
	count := 0
	for now := start; now <= start+int64(2*maxResendAge); now += int64(sendInterval) {
		count += len(dueReports(s, now, server, &assignment))
	}
	assert.Equal(t, count, 1+int(maxResendAge/resendInterval))
}

// newSenderOf returns the sender of a gateway that has sent no messages, with its links to
// other groups.
func newSenderOf(e *Edge) *sender {
	return &sender{
		edge: e, sent: make(map[string]sentReport), random: rand.New(rand.NewPCG(1, 2)),
		otherDomains: relayLink{sent: make(map[string]sentReport)}, otherRegions: relayLink{sent: make(map[string]sentReport)},
	}
}

// TestPassiveGatewaySendsFewMessages guards against gateways of a large region that react
// to each change, and to each gateway that joins, with a message to all others. The number
// of such messages grows with the square of the number of gateways.
func TestPassiveGatewaySendsFewMessages(t *testing.T) {
	e := idleEdge(t, "passive")
	e.self.HighCapacity = false
	e.peers = gossip.NewPeers(e.self)
	const others = 35
	sequence := uint64(0)
	receiveHeartbeats := func() {
		sequence++
		for i := range others {
			peer := gossip.Gateway{
				ID: fmt.Sprint("g", i), Region: "r", FailureDomain: "d", HighCapacity: i < 2, Incarnation: 1,
				Address: e.datagrams.LocalAddr().String(),
			}
			e.receive(&gossip.Message{
				Key: gossip.KeyOf(peer.ID), Incarnation: 1, Sequence: sequence, Sender: &peer,
				Interval: passiveBroadcastInterval, StoreReachable: true,
			})
		}
	}
	receiveHeartbeats()
	e.snapshot.Store(&routing.Snapshot{})
	e.serversLoaded.Store(true)
	s := newSenderOf(e)
	duration := passiveBroadcastInterval - 100*time.Millisecond
	for start := time.Now(); time.Since(start) < duration; {
		// Each tick finds a changed table and a gateway that has joined.
		e.watchers[0].mirror.Apply(e.now(), feed.Batch{Full: true, AsOf: uint64(e.now())})
		e.announcePending.Store(true)
		time.Sleep(s.tick())
	}
	// One message to all, and two heartbeats a second to each of two probers.
	limit := others + 2*int(duration/passiveHeartbeatInterval+1)
	assert.Assert(t, e.counters.messagesSent.Get() <= uint64(limit), "%d messages, at most %d", e.counters.messagesSent.Get(), limit)
}

// TestJoiningGatewayAnnouncesItselfAtOnce guards against a gateway that remains unknown to
// its peers for half a second or more after its start: the first messages that it received
// were from gateways without high capacity, so it became passive and sent only rare
// heartbeats before it held the tables. Such gateways would have no configuration for 0.5 to
// 1.1 s after their start.
func TestJoiningGatewayAnnouncesItselfAtOnce(t *testing.T) {
	e := idleEdge(t, "joining")
	e.self.HighCapacity = false
	e.peers = gossip.NewPeers(e.self)
	other, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { assert.Check(t, other.Close()) }()
	for i := range 20 {
		peer := gossip.Gateway{
			ID: fmt.Sprint("g", i), Region: "r", FailureDomain: "d", Incarnation: 1,
			Address: e.datagrams.LocalAddr().String(),
		}
		e.receive(&gossip.Message{Key: gossip.KeyOf(peer.ID), Incarnation: 1, Sequence: 1, Sender: &peer})
	}
	s := newSenderOf(e)
	s.tick()
	assert.Assert(t, !e.assignment.Load().SendsReports())
	e.addGateways([]gossip.Gateway{{
		ID: "high-capacity", Region: "r", FailureDomain: "d", HighCapacity: true, Incarnation: 1, Address: other.LocalAddr().String(),
	}})
	s.tick()
	assert.NilError(t, other.SetReadDeadline(time.Now().Add(time.Second)))
	buffer := make([]byte, 64<<10)
	n, err := other.Read(buffer)
	assert.NilError(t, err)
	message, err := gossip.Unmarshal(buffer[:n])
	assert.NilError(t, err)
	assert.Assert(t, message.Sender != nil)
}
