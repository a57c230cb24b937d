package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
)

func remoteGateway(i int) Gateway {
	g := gateway(i, "other-domain", true)
	g.ID, g.Region = fmt.Sprintf("remote%d", i), "other"
	return g
}

// TestOneRelay guards against a region in which every gateway sends messages to
// the other region over a narrow link whose bytes are billed, and against a
// region that has no relay after its relay stops.
func TestOneRelay(t *testing.T) {
	const now = int64(10e9)
	var gateways []Gateway
	for i := range 6 {
		gateways = append(gateways, gateway(i, "d", true))
	}
	fleet := newFleet(now, gateways)
	relays := func(stopped int) (found []int) {
		for i, table := range fleet {
			if i != stopped && table.IsRelay(now) {
				found = append(found, i)
			}
		}
		return found
	}
	first := relays(-1)
	assert.Equal(t, len(first), 1)
	for i, table := range fleet {
		if i != first[0] {
			stopping := messageFrom(gateways[first[0]], 2)
			stopping.Stopping = true
			table.ApplyMessage(now, stopping)
		}
	}
	next := relays(first[0])
	assert.Equal(t, len(next), 1)
	assert.Assert(t, next[0] != first[0])
}

// TestRelaysDiscoverEachOther guards against regions that never exchange reports
// because some known gateways of the other region have stopped, and against messages
// to many gateways of that region at once.
func TestRelaysDiscoverEachOther(t *testing.T) {
	now := int64(10e9)
	p := NewPeers(gateway(0, "d", true))
	for i := range 5 {
		p.AddGateway(now, remoteGateway(i))
	}
	contacted := map[string]bool{}
	for range 10 {
		targets := p.NextRelayTargets(now)
		assert.Assert(t, len(targets) <= discoveryFanout)
		for _, target := range targets {
			contacted[target.Address] = true
		}
		now += int64(retryInterval)
	}
	assert.Equal(t, len(contacted), 5)
	newer, _ := p.ApplyMessage(now, messageFrom(remoteGateway(3), 1))
	assert.Equal(t, newer, true)
	assert.DeepEqual(t, p.NextRelayTargets(now), []RelayTarget{{remoteGateway(3).Address, remoteGateway(3).Region}})
	newer, _ = p.ApplyMessage(now, messageFrom(remoteGateway(3), 1))
	assert.Equal(t, newer, false, "a repeated message")
	now += int64(remoteTimeout) + 1
	assert.Assert(t, len(p.NextRelayTargets(now)) <= discoveryFanout)
}

// TestRemotesExpire guards against addresses of stopped gateways that the other
// gateways keep forwarding to each other.
func TestRemotesExpire(t *testing.T) {
	now := int64(10e9)
	random := rand.New(rand.NewPCG(1, 2))
	p := NewPeers(gateway(0, "d", true))
	m := messageFrom(gateway(1, "d", true), 1)
	m.KnownGateways = []Gateway{remoteGateway(0)}
	p.ApplyMessage(now, m)
	assert.Equal(t, len(p.NextRelayTargets(now)), 1, "a gateway that only a peer listed gets messages")
	_, ok := p.SampleRemote(random)
	assert.Equal(t, ok, false, "a gateway that only a peer listed is not forwarded")
	for i := range 2 * maxRemotes {
		p.AddGateway(now, remoteGateway(i))
	}
	assert.Equal(t, len(p.remotes), maxRemotes)
	_, ok = p.SampleRemote(random)
	assert.Equal(t, ok, true)
	now += int64(peerTTL) + int64(time.Second)
	p.AddGateway(now, remoteGateway(99))
	assert.Equal(t, len(p.remotes), 1)
}

// TestGatewaysOfOtherDomainsAreKept guards against a region grouped by failure
// domain whose gateways drop those of other failure domains, which never send
// them messages: after peerTTL each gateway would take too large a share of the
// retry budget.
func TestGatewaysOfOtherDomainsAreKept(t *testing.T) {
	now := int64(10e9)
	p := NewPeers(gateway(0, "d0", true))
	const gatewayCount = 3 * maxFullMesh
	for i := 1; i < gatewayCount; i++ {
		p.AddGateway(now, gateway(i, fmt.Sprint("d", i%3), true))
	}
	for sequence := uint64(1); sequence < 90; sequence++ {
		for i := 3; i < gatewayCount; i += 3 {
			p.ApplyMessage(now, messageFrom(gateway(i, "d0", true), sequence))
		}
		p.NextTargets(now)
		now += int64(time.Second)
	}
	assert.Equal(t, p.KnownInRegion(), gatewayCount)
}

// TestOneGroupReadsForAll guards against a fleet in which each group of gateways
// reads the store, whose calls are billed, and against a group without a reader
// because the reading group is unresponsive, stopping, late or cut off from the
// store.
func TestOneGroupReadsForAll(t *testing.T) {
	const now = int64(10e9)
	const limit = time.Second
	fresh := []feed.TableState{{LastChange: 5, AsOf: 7}, {LastChange: 6, AsOf: 7}}
	tests := []struct {
		desc   string
		modify func(m *Message)
		at     int64
		want   bool
	}{
		{"the other group reads", func(*Message) {}, now, true},
		{"its relay is unresponsive", func(*Message) {}, now + int64(remoteTimeout) + 1, false},
		{"its relay does not reach the store", func(m *Message) { m.StoreReachable = false }, now, false},
		{"its relay is stopping", func(m *Message) { m.Stopping = true }, now, false},
		{"its tables are old", func(m *Message) { m.TableStates = []feed.TableState{fresh[0], {AsOf: 7, Age: int64(limit) + 1}} }, now, false},
		{"its tables have become too old since", func(m *Message) { m.TableStates = []feed.TableState{fresh[0], {AsOf: 7, Age: int64(limit) - 1}} }, now + 2, false},
		{"it lacks a table", func(m *Message) { m.TableStates = []feed.TableState{fresh[0], {}} }, now, false},
		{"it sent no table states", func(m *Message) { m.TableStates = nil }, now, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			// The region "other" comes before the region "r".
			p := NewPeers(gateway(0, "d", true))
			m := messageFrom(remoteGateway(1), 1)
			m.TableStates = fresh
			test.modify(m)
			p.ApplyMessage(now, m)
			assert.Equal(t, p.OtherGroupReads(test.at, 2, limit), test.want)
		})
	}
	firstGroup := NewPeers(remoteGateway(1))
	m := messageFrom(gateway(0, "d", true), 1)
	m.TableStates = fresh
	firstGroup.ApplyMessage(now, m)
	assert.Equal(t, firstGroup.OtherGroupReads(now, 2, limit), false, "the first group reads itself")
}

// TestNewestTableOfOtherGroups guards against a relay that receives the table
// state of another group and does not read the newer table from it.
func TestNewestTableOfOtherGroups(t *testing.T) {
	const now = int64(10e9)
	p := NewPeers(gateway(0, "d", true))
	peer := messageFrom(gateway(1, "d", true), 1)
	peer.TableStates = []feed.TableState{{LastChange: 5, AsOf: 9}}
	p.ApplyMessage(now, peer)
	relay := messageFrom(remoteGateway(1), 1)
	relay.TableStates = []feed.TableState{{LastChange: 6, AsOf: 6, Age: 3}}
	p.ApplyMessage(now, relay)
	source, ok := p.NewestTable(now+4, 0, avoidNone)
	assert.Equal(t, ok, true)
	assert.Equal(t, source.Address, remoteGateway(1).Address)
	assert.Equal(t, source.State, feed.TableState{LastChange: 6, AsOf: 6, Age: 7})
	source, _ = p.NewestTable(now+int64(remoteTimeout)+1, 0, avoidNone)
	assert.Assert(t, source.Address != remoteGateway(1).Address, "the relay is unresponsive")
}

// TestUnknownRelayReplacesStaleGateway guards against a relay whose messages are
// ignored because other gateways of its group fill the table: two groups would read
// the store.
func TestUnknownRelayReplacesStaleGateway(t *testing.T) {
	const now = int64(10e9)
	p := NewPeers(gateway(0, "d", true))
	for i := range maxRemotes + 3 {
		p.AddGateway(now, remoteGateway(i))
	}
	relay := remoteGateway(maxRemotes + 5)
	m := messageFrom(relay, 1)
	m.TableStates = []feed.TableState{{LastChange: 1, AsOf: 1}}
	p.ApplyMessage(now, m)
	source, ok := p.NewestTable(now, 0, avoidNone)
	assert.Assert(t, ok && source.Address == relay.Address)
	assert.Assert(t, len(p.remotes) <= maxRemotes)
}
