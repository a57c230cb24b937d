package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
)

func farGateway(i int) Gateway {
	g := gateway(i, "far", true)
	g.ID, g.Region = fmt.Sprintf("f%d", i), "other"
	return g
}

// TestOneRelay guards against a region whose gateways all talk to the other
// region, which pays for each byte on a narrow link, and against one that stays
// without a relay when its relay stops.
func TestOneRelay(t *testing.T) {
	const now = int64(10e9)
	var gateways []Gateway
	for i := range 6 {
		gateways = append(gateways, gateway(i, "d", true))
	}
	tables := fleet(now, gateways)
	relays := func(stopped int) (found []int) {
		for i, table := range tables {
			if i != stopped && table.IsRelay(now) {
				found = append(found, i)
			}
		}
		return found
	}
	first := relays(-1)
	assert.Equal(t, len(first), 1)
	for i, table := range tables {
		if i != first[0] {
			stopping := heard(gateways[first[0]], 2)
			stopping.Stopping = true
			table.ApplyMessage(now, stopping)
		}
	}
	next := relays(first[0])
	assert.Equal(t, len(next), 1)
	assert.Assert(t, next[0] != first[0])
}

// TestRelaysFindEachOther guards against regions that never exchange reports
// because the known gateways of the other one are gone, and against messages to
// many gateways of it at once.
func TestRelaysFindEachOther(t *testing.T) {
	now := int64(10e9)
	p := NewPeers(gateway(0, "d", true))
	for i := range 5 {
		p.AddGateway(now, farGateway(i))
	}
	asked := map[string]bool{}
	for range 10 {
		targets := p.RelayTargets(now)
		assert.Assert(t, len(targets) <= searchFanout)
		for _, target := range targets {
			asked[target.Address] = true
		}
		now += int64(silentInterval)
	}
	assert.Equal(t, len(asked), 5)
	newer, _ := p.ApplyMessage(now, heard(farGateway(3), 1))
	assert.Equal(t, newer, true)
	assert.DeepEqual(t, p.RelayTargets(now), []RelayTarget{{farGateway(3).Address, farGateway(3).Region}})
	newer, _ = p.ApplyMessage(now, heard(farGateway(3), 1))
	assert.Equal(t, newer, false, "a repeated message")
	now += int64(remoteLife) + 1
	assert.Assert(t, len(p.RelayTargets(now)) <= searchFanout)
}

// TestRemotesAreForgotten guards against addresses of gateways that are gone for
// ever being passed on from gateway to gateway.
func TestRemotesAreForgotten(t *testing.T) {
	now := int64(10e9)
	random := rand.New(rand.NewPCG(1, 2))
	p := NewPeers(gateway(0, "d", true))
	m := heard(gateway(1, "d", true), 1)
	m.KnownGateways = []Gateway{farGateway(0)}
	p.ApplyMessage(now, m)
	assert.Equal(t, len(p.RelayTargets(now)), 1, "a gateway that a peer named is tried")
	_, ok := p.SampleRemote(random)
	assert.Equal(t, ok, false, "but not passed on")
	for i := range 2 * mostRemotes {
		p.AddGateway(now, farGateway(i))
	}
	assert.Equal(t, len(p.remotes), mostRemotes)
	_, ok = p.SampleRemote(random)
	assert.Equal(t, ok, true)
	now += int64(forgetAfter) + int64(time.Second)
	p.AddGateway(now, farGateway(99))
	assert.Equal(t, len(p.remotes), 1)
}

// TestFarGatewaysAreKept guards against a large region whose gateways forget those
// of other failure domains, which never send them messages: each one then took
// too large a share of the retry budget after half a minute.
func TestFarGatewaysAreKept(t *testing.T) {
	now := int64(10e9)
	p := NewPeers(gateway(0, "d0", true))
	const known = 3 * wideRegion
	for i := 1; i < known; i++ {
		p.AddGateway(now, gateway(i, fmt.Sprint("d", i%3), true))
	}
	for sequence := uint64(1); sequence < 90; sequence++ {
		for i := 3; i < known; i += 3 {
			p.ApplyMessage(now, heard(gateway(i, "d0", true), sequence))
		}
		p.Targets(now)
		now += int64(time.Second)
	}
	assert.Equal(t, p.KnownCount(), known)
}

// TestOneGroupReadsForAll guards against a fleet in which each group of gateways
// reads the store, which is paid for, and against one that nobody reads for because
// the reading group is silent, stopping, late or cut off from the store.
func TestOneGroupReadsForAll(t *testing.T) {
	const now = int64(10e9)
	const limit = time.Second
	fresh := []feed.TableState{{LastChange: 5, AsOf: 7}, {LastChange: 6, AsOf: 7}}
	tests := []struct {
		desc string
		say  func(m *Message)
		at   int64
		want bool
	}{
		{"the other group reads", func(*Message) {}, now, true},
		{"its relay is silent", func(*Message) {}, now + int64(remoteLife) + 1, false},
		{"its relay does not reach the store", func(m *Message) { m.StoreReachable = false }, now, false},
		{"its relay stops", func(m *Message) { m.Stopping = true }, now, false},
		{"its tables are old", func(m *Message) { m.TableStates = []feed.TableState{fresh[0], {AsOf: 7, Age: int64(limit) + 1}} }, now, false},
		{"its tables were fresh then", func(m *Message) { m.TableStates = []feed.TableState{fresh[0], {AsOf: 7, Age: int64(limit) - 1}} }, now + 2, false},
		{"it lacks a table", func(m *Message) { m.TableStates = []feed.TableState{fresh[0], {}} }, now, false},
		{"it says nothing of tables", func(m *Message) { m.TableStates = nil }, now, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			// The region "other" comes before the region "r".
			p := NewPeers(gateway(0, "d", true))
			m := heard(farGateway(1), 1)
			m.TableStates = fresh
			test.say(m)
			p.ApplyMessage(now, m)
			assert.Equal(t, p.OtherGroupReads(test.at, 2, limit), test.want)
		})
	}
	leading := NewPeers(farGateway(1))
	m := heard(gateway(0, "d", true), 1)
	m.TableStates = fresh
	leading.ApplyMessage(now, m)
	assert.Equal(t, leading.OtherGroupReads(now, 2, limit), false, "the first group reads itself")
}

// TestNewestOfOtherGroups guards against a relay that hears of a change from another
// group and does not know whom to ask for it.
func TestNewestOfOtherGroups(t *testing.T) {
	const now = int64(10e9)
	p := NewPeers(gateway(0, "d", true))
	peer := heard(gateway(1, "d", true), 1)
	peer.TableStates = []feed.TableState{{LastChange: 5, AsOf: 9}}
	p.ApplyMessage(now, peer)
	relay := heard(farGateway(1), 1)
	relay.TableStates = []feed.TableState{{LastChange: 6, AsOf: 6, Age: 3}}
	p.ApplyMessage(now, relay)
	address, mark, ok := p.FreshestTable(now+4, 0)
	assert.Equal(t, ok, true)
	assert.Equal(t, address, farGateway(1).Address)
	assert.Equal(t, mark, feed.TableState{LastChange: 6, AsOf: 6, Age: 7})
	address, _, _ = p.FreshestTable(now+int64(remoteLife)+1, 0)
	assert.Assert(t, address != farGateway(1).Address, "the relay is silent")
}

// TestUnknownRelayIsHeard guards against a relay that is never heard because its
// group's other gateways fill the table: on a site of 139 gateways two groups read
// the store for that reason.
func TestUnknownRelayIsHeard(t *testing.T) {
	const now = int64(10e9)
	p := NewPeers(gateway(0, "d", true))
	for i := range mostRemotes + 3 {
		p.AddGateway(now, farGateway(i))
	}
	relay := farGateway(mostRemotes + 5)
	m := heard(relay, 1)
	m.TableStates = []feed.TableState{{LastChange: 1, AsOf: 1}}
	p.ApplyMessage(now, m)
	address, _, ok := p.FreshestTable(now, 0)
	assert.Assert(t, ok && address == relay.Address)
	assert.Assert(t, len(p.remotes) <= mostRemotes)
}
