package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/gossip"
)

// TestAllSuspicionsReachPeers guards against suspicions that no peer hears of, because a
// message has no room for them or is lost.
func TestAllSuspicionsReachPeers(t *testing.T) {
	const count, maxSends = 2*suspicionsPerMessage + 10, int(suspicionNoticePeriod/suspicionRepeatInterval) + 1
	var own []crashguard.Suspicion
	for i := range count {
		own = append(own, crashguard.Suspicion{Fingerprint: crashguard.Fingerprint(i), Server: crashguard.Server{ID: "a"}})
	}
	var notices suspicionNotices
	var told toldSuspicions
	times := make(map[uint64]int)
	began := int64(time.Second)
	for now := began; now < began+2*int64(suspicionNoticePeriod); now += int64(sendInterval) {
		notices.record(now, own)
		own = nil
		taken := told.take(now, &notices, false)
		assert.Assert(t, len(taken) <= suspicionsPerMessage)
		for _, suspicion := range taken {
			times[suspicion.Fingerprint]++
		}
	}
	assert.Equal(t, len(times), count)
	for fingerprint, sent := range times {
		assert.Assert(t, sent >= 3 && sent <= maxSends, "suspicion %d was sent %d times", fingerprint, sent)
	}
	assert.Equal(t, len(notices.recent), 0)
}

// TestOnlyRelayForwardsSuspicions guards against suspicions that each gateway of a group
// sends to all others of the group again.
func TestOnlyRelayForwardsSuspicions(t *testing.T) {
	for _, isRelay := range []bool{false, true} {
		t.Run(fmt.Sprint("relay: ", isRelay), func(t *testing.T) {
			var notices suspicionNotices
			var told toldSuspicions
			server := crashguard.Server{ID: "a", Incarnation: 3}
			notices.record(1, []crashguard.Suspicion{{Fingerprint: 1, Server: server}, {Fingerprint: 2, Server: server, From: "peer"}})
			want := []gossip.Suspicion{{Fingerprint: 1, Server: gossip.ServerKey("a"), Incarnation: 3}}
			if isRelay {
				want = append(want, gossip.Suspicion{Fingerprint: 2, Server: gossip.ServerKey("a"), Incarnation: 3})
			}
			assert.DeepEqual(t, told.take(1, &notices, isRelay), want)
		})
	}
}

// TestRepeatedSuspicionsNeedNoMessage guards against passive gateways that send messages to
// their whole group only to repeat a suspicion.
func TestRepeatedSuspicionsNeedNoMessage(t *testing.T) {
	var notices suspicionNotices
	var told toldSuspicions
	notices.record(1, []crashguard.Suspicion{{Fingerprint: 1}, {Fingerprint: 2, From: "peer"}})
	assert.Assert(t, told.untold(&notices, false))
	assert.Equal(t, len(told.take(1, &notices, false)), 1)
	assert.Assert(t, !told.untold(&notices, false))
	assert.Assert(t, told.untold(&notices, true))
	later := 1 + int64(suspicionRepeatInterval)
	assert.Equal(t, len(told.take(later, &notices, false)), 1)
}
