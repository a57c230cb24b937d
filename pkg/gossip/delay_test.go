package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
)

// TestDelayedMessageHasRealAges guards against a copy or a load report that counts as
// fresh although the message about it waited in a queue or in the socket of a paused process.
func TestDelayedMessageHasRealAges(t *testing.T) {
	const (
		age    = 10 * time.Millisecond
		waited = 5 * time.Second
	)
	sender := gateway(2, "d", true)
	peers := NewPeers(gateway(1, "d", true))
	receive := func(now, sentAt int64) *Message {
		m := messageFrom(sender, uint64(sentAt))
		m.SentAt = sentAt
		m.TableStates = []feed.TableState{{LastChange: 1, AsOf: 1, Age: int64(age)}}
		m.Reports = []Report{{Server: 1, Age: age}}
		peers.ApplyMessage(now, m)
		return m
	}
	receive(10e9, 10e9)
	m := receive(10e9+int64(waited)+1, 10e9+1)
	assert.Equal(t, m.Reports[0].Age, age+waited)
	assert.Equal(t, m.TableStates[0].Age, int64(age+waited))
	source, ok := peers.NewestTable(10e9+int64(waited)+1, 0, func(string) bool { return false })
	assert.Assert(t, ok)
	assert.Equal(t, source.State.Age, int64(age+waited))
}
