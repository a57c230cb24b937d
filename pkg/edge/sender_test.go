package edge

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
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
	other := gossip.Gateway{ID: "g2", Region: "r", FailureDomain: "d", HighCapacity: true, Incarnation: 1}
	peers.ApplyMessage(1, &gossip.Message{Key: gossip.KeyOf(other.ID), Incarnation: 1, Sequence: 1, Sender: &other})
	behind := peers.Assign(1)
	assert.Assert(t, alone.ShouldProbe("a", "d") && !behind.ShouldProbe("a", "d"))

	s, server := newSender()
	server.Stats.SetUnresponsive(true)
	now := int64(1e9)
	reports := newsOf(s, now, server, &alone)
	assert.Assert(t, len(reports) == 1 && reports[0].Unresponsive)
	now += int64(repeatInterval)
	assert.Equal(t, len(newsOf(s, now, server, &alone)), 1)
	now += int64(repeatInterval)
	assert.Equal(t, len(newsOf(s, now, server, &behind)), 0)

	server.Stats.SetUnresponsive(false)
	server.Stats.ReportLoad(now, 1, 1000)
	reports = newsOf(s, now, server, &behind)
	assert.Assert(t, len(reports) == 1 && !reports[0].Unresponsive)
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

// emptySender returns the sender of a gateway that has sent nothing yet.
func emptySender(e *Edge) *sender {
	return &sender{
		edge: e, told: make(map[string]telling), random: rand.New(rand.NewPCG(1, 2)),
		near: relayLink{told: make(map[string]telling)}, far: relayLink{told: make(map[string]telling)},
	}
}

// TestFollowerSendsLittle guards against a large region whose gateways all answer
// each change, and each gateway that joins, with a message to all others: their
// number grows with the square of the gateways.
func TestFollowerSendsLittle(t *testing.T) {
	e := idleEdge(t, "follower")
	e.self.HighCapacity = false
	e.peers = gossip.NewPeers(e.self)
	const others = 35
	sequence := uint64(0)
	heartbeats := func() {
		sequence++
		for i := range others {
			peer := gossip.Gateway{
				ID: fmt.Sprint("g", i), Region: "r", FailureDomain: "d", HighCapacity: i < 2, Incarnation: 1,
				Address: e.datagrams.LocalAddr().String(),
			}
			e.receive(&gossip.Message{
				Key: gossip.KeyOf(peer.ID), Incarnation: 1, Sequence: sequence, Sender: &peer,
				Interval: followerMeeting, StoreReachable: true,
			})
		}
	}
	heartbeats()
	e.snapshot.Store(&routing.Snapshot{})
	e.listRead.Store(true)
	s := emptySender(e)
	length := followerMeeting - 100*time.Millisecond
	for start := time.Now(); time.Since(start) < length; {
		// Each look finds a change and a gateway that joins.
		e.watchers[0].mirror.Apply(e.now(), feed.Batch{Full: true, AsOf: uint64(e.now())})
		e.greet.Store(true)
		time.Sleep(s.tick())
	}
	// One message to all, and two heartbeats a second to each of two measurers.
	most := others + 2*int(length/followerHeartbeat+1)
	assert.Assert(t, e.counters.messagesSent.Get() <= uint64(most), "%d messages, at most %d", e.counters.messagesSent.Get(), most)
}

// TestNewcomerIntroducesItselfAtOnce guards against a gateway that is not heard for
// half a second or more after its start, because it follows the weak ones that it
// heard first: on a site of 139 gateways weak ones had no configuration for 0.5 to
// 1.1 s after a loss of power.
func TestNewcomerIntroducesItselfAtOnce(t *testing.T) {
	e := idleEdge(t, "newcomer")
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
	s := emptySender(e)
	s.tick()
	assert.Assert(t, !e.assignment.Load().SharesReports())
	e.learn([]gossip.Gateway{{
		ID: "strong", Region: "r", FailureDomain: "d", HighCapacity: true, Incarnation: 1, Address: other.LocalAddr().String(),
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
