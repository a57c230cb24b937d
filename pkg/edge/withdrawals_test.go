package edge

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/gossip"
	"balsamhill/pkg/prober"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/withdrawal"
)

// leaves reports whether a gateway knows that a server leaves.
func (e *Edge) leaves(id string) bool {
	_, _, leaving := e.server(id).Stats.Withdrawal.Leaving()
	return leaving
}

// TestAllGatewaysLearnThatServerLeaves guards against a gateway that still uses a server
// although another gateway, of the same or of another region, was told that it leaves, or
// that starts later; and against a new process of the server that is taken for the old one.
func TestAllGatewaysLearnThatServerLeaves(t *testing.T) {
	store := storeWith("a", "b")
	first := startEdge(t, "first", store)
	gateways := []*Edge{
		first, startEdge(t, "second", store, first.settings.BootstrapAddress),
		startEdgeIn(t, "far", "other", "far", store, first.settings.BootstrapAddress),
	}
	eventuallyAll(t, "all have the server", 5*time.Second, gateways, func(e *Edge) bool {
		return e.hasServer("a") && e.hasServer("b")
	})
	first.server("a").Stats.Withdrawal.RecordLeaving(first.now(), withdrawal.SourceResponse)
	knows := func(e *Edge) bool { return e.hasServer("a") && e.leaves("a") }
	eventuallyAll(t, "all know that the server leaves", 2*time.Second, gateways, knows)
	late := startEdge(t, "late", store, first.settings.BootstrapAddress)
	eventually(t, "a late gateway knows it", 5*time.Second, func() bool { return knows(late) })
	gateways = append(gateways, late)
	for _, e := range gateways {
		assert.Assert(t, !e.leaves("b"))
	}
	restarted := uint64(time.Now().UnixMilli())
	store.write(feed.Servers, "a", entry("a", restarted), false)
	eventuallyAll(t, "the new process is used", 2*time.Second, gateways, func(e *Edge) bool {
		return e.server("a").Incarnation == restarted && e.server("a").Availability == routing.Available
	})
	time.Sleep(2 * leavingRepeatInterval)
	for _, e := range gateways {
		assert.Equal(t, e.server("a").Availability, routing.Available, e.self.ID)
	}
}

// leavingSnapshot returns a snapshot with count leaving servers of which this gateway learned
// from the given source.
func leavingSnapshot(count int, source withdrawal.Source) *indexedSnapshot {
	var servers []*routing.Server
	for i := range count {
		status := &withdrawal.Status{}
		status.RecordLeaving(1, source)
		servers = append(servers, &routing.Server{ID: string(rune('a' + i)), Incarnation: 1, Stats: &routing.Stats{Withdrawal: status}})
	}
	snapshot := snapshotOf(servers...)
	snapshot.ServersByID = make(map[string]*routing.Server)
	for _, server := range servers {
		snapshot.ServersByID[server.ID] = server
	}
	return newIndexedSnapshot(snapshot)
}

// TestLeavingNoticesAreRepeated guards against notices that are sent once although datagrams
// get lost, that are sent with each message, or of which some are never sent.
func TestLeavingNoticesAreRepeated(t *testing.T) {
	const count = leavingPerMessage + 5
	indexed := leavingSnapshot(count, withdrawal.SourceResponse)
	var notices leavingNotices
	sent := map[gossip.LeavingServer]int{}
	const interval = 20 * time.Millisecond
	for now := int64(1e9); now < int64(1e9+4*leavingRepeatInterval); now += int64(interval) {
		due := notices.take(now, indexed, false)
		assert.Assert(t, len(due) <= leavingPerMessage)
		for _, notice := range due {
			sent[notice]++
		}
	}
	assert.Equal(t, len(sent), count)
	for notice, times := range sent {
		assert.Assert(t, times == 4, "%v was sent %d times", notice, times)
	}
}

// TestNoticesOfPeersAreForwardedByRelaysOnly guards against gateways of a group that repeat
// each other's notices.
func TestNoticesOfPeersAreForwardedByRelaysOnly(t *testing.T) {
	indexed := leavingSnapshot(1, withdrawal.SourcePeer)
	var notices leavingNotices
	assert.Assert(t, !notices.untold(indexed, false))
	assert.Equal(t, len(notices.take(1e9, indexed, false)), 0)
	assert.Assert(t, notices.untold(indexed, true))
	assert.Equal(t, len(notices.take(1e9, indexed, true)), 1)
	assert.Assert(t, !notices.untold(indexed, true))
}

// TestPassiveGatewayTellsAllThatServerLeaves guards against a gateway of a large region that
// tells the probers only, that tells again with each heartbeat, or whose lost notice is never
// sent again.
func TestPassiveGatewayTellsAllThatServerLeaves(t *testing.T) {
	e := idleEdge(t, "passive")
	e.self.HighCapacity = false
	e.peers = gossip.NewPeers(e.self)
	const others = 35
	for i := range others {
		peer := gossip.Gateway{
			ID: fmt.Sprint("g", i), Region: "r", FailureDomain: "d", HighCapacity: i < 2, Incarnation: 1,
			Address: e.datagrams.LocalAddr().String(),
		}
		e.receive(&gossip.Message{
			Key: gossip.KeyOf(peer.ID), Incarnation: 1, Sequence: 1, Sender: &peer,
			Interval: passiveBroadcastInterval, StoreReachable: true,
		})
	}
	e.snapshot.Store(&routing.Snapshot{})
	e.serversLoaded.Store(true)
	s := newSenderOf(e)
	s.tick()
	e.indexed.Store(leavingSnapshot(1, withdrawal.SourceResponse))
	const broadcasts = 2
	for start := time.Now(); time.Since(start) < passiveBroadcastInterval+300*time.Millisecond; {
		time.Sleep(s.tick())
	}
	assert.Equal(t, countLeavingNotices(t, e), broadcasts*others)
}

// countLeavingNotices reads the datagrams that a gateway has received, and counts those with a
// leaving server.
func countLeavingNotices(t *testing.T, e *Edge) int {
	t.Helper()
	count := 0
	assert.NilError(t, e.datagrams.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	buffer := make([]byte, 64<<10)
	for {
		n, err := e.datagrams.Read(buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return count
		}
		assert.NilError(t, err)
		message, err := gossip.Unmarshal(buffer[:n])
		assert.NilError(t, err)
		if len(message.Leaving) > 0 {
			count++
		}
	}
}

// probeCodec is fakeCodec with a protocol that reads withdrawals.
type probeCodec struct{ fakeCodec }

func (probeCodec) Protocol() proxy.Protocol { return probeProtocol{} }

// probeProtocol reads "Server", "Leaving" and "Retry-After". Its other methods are not called.
type probeProtocol struct{ proxy.Protocol }

func (probeProtocol) Withdrawal(response *http.Response) proxy.Withdrawal {
	pause, ok := withdrawal.ParseRetryAfter(response.Header)
	return proxy.Withdrawal{
		ServerID: response.Header.Get("Server"), Leaving: response.Header.Get("Leaving") != "", Pause: pause, Unreadable: !ok,
	}
}

// TestProbeLearnsWithdrawalsAndEnds guards against a probe whose response says that the server
// withdraws and is not understood, also before its body is complete, against probes of a
// withdrawn server, and against a withdrawal of another server.
func TestProbeLearnsWithdrawalsAndEnds(t *testing.T) {
	tests := []struct {
		desc, header string
		want         bool
	}{
		{"leaves", "Server: a\r\nLeaving: 1\r\n", true},
		{"pauses", "Server: a\r\nRetry-After: 60\r\n", true},
		{"another server leaves", "Server: b\r\nLeaving: 1\r\n", false},
		{"no server named", "Leaving: 1\r\n", false},
		{"unreadable", "Server: a\r\nRetry-After: soon\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			p := newSchedulerWithServer(t)
			p.edge.codec = probeCodec{}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go answerTruncated(listener, "HTTP/1.1 503 Service Unavailable\r\n"+test.header+"Content-Length: 10\r\n\r\nx")
			server := &routing.Server{
				ID: "a", Service: "s", Address: listener.Addr().String(), Region: "r", FailureDomain: "d",
				Stats: &routing.Stats{Withdrawal: &withdrawal.Status{}},
			}
			p.edge.snapshot.Store(snapshotOf(server))
			assignWithPeers(p)
			p.tick(t.Context())
			p.handleResult(<-p.results)
			assert.Equal(t, server.Stats.Withdrawal.Withdrawn(p.edge.now()), test.want)
			time.Sleep(prober.MaxReportAge)
			p.tick(t.Context())
			assert.Equal(t, p.states["a"].running, !test.want)
		})
	}
}

// answerTruncated answers the first request on each connection with bytes and closes it.
func answerTruncated(listener net.Listener, answer string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = conn.Write([]byte(answer))
		_ = conn.Close()
	}
}
