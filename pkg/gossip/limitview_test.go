package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/serverlimit"
)

const viewTime = int64(100e9)

// keepingLimits returns a message of a gateway that keeps limits.
func keepingLimits(g Gateway, sequence uint64) *Message {
	message := messageFrom(g, sequence)
	message.KeepsLimits = true
	return message
}

// TestOlderBuildHoldsNoShare guards against shares of a limit for a gateway of an older
// build, which does not know of them, and against its counting as silent.
func TestOlderBuildHoldsNoShare(t *testing.T) {
	self, newer, older, silent := gateway(0, "d", true), gateway(1, "d", true), gateway(2, "d", true), gateway(3, "d", true)
	p := NewPeers(self)
	p.ApplyMessage(viewTime, keepingLimits(newer, 1))
	p.ApplyMessage(viewTime, messageFrom(older, 1))
	p.AddGateway(viewTime, silent)
	assignment := p.Assign(viewTime)
	members, live, known := p.LimitMembers(viewTime, &assignment)
	assert.Equal(t, len(members), 1)
	assert.Equal(t, members[0].Key, KeyOf(newer.ID))
	assert.Assert(t, members[0].MayCoordinate)
	assert.Equal(t, live, 3)
	assert.Equal(t, known, 4)
}

// TestStandInForSilentGroup guards against servers whose limits nobody coordinates because
// all gateways of their group are gone, and against two groups that both do.
func TestStandInForSilentGroup(t *testing.T) {
	self := gateway(0, "d", true)
	far := Gateway{ID: "far", Incarnation: 1, Address: "10.1.0.1:1", Region: "z", FailureDomain: "z1", HighCapacity: true}
	p := NewPeers(self)
	p.ApplyMessage(viewTime, keepingLimits(far, 1))
	assert.Equal(t, p.LimitCoverage(viewTime, "r", "d"), serverlimit.OwnGroup)
	assert.Equal(t, p.LimitCoverage(viewTime, "z", "z1"), serverlimit.OtherGroup)
	later := viewTime + int64(standInDelay) + int64(time.Second)
	assert.Equal(t, p.LimitCoverage(later, "z", "z1"), serverlimit.StandIn)
	first := Gateway{ID: "first", Incarnation: 1, Address: "10.2.0.1:1", Region: "a", FailureDomain: "a1", HighCapacity: true}
	p.ApplyMessage(later, keepingLimits(first, 1))
	assert.Equal(t, p.LimitCoverage(later, "z", "z1"), serverlimit.OtherGroup)
}
