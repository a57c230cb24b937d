package crashguard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSingleSuspicionDoesNotBlock guards against blocking a request that happened to
// be in flight when a server crashed for another reason. Such a request is only sent
// one attempt at a time until a server responds to it.
func TestSingleSuspicionDoesNotBlock(t *testing.T) {
	g := New()
	now := int64(time.Second)
	assert.Equal(t, g.Admit(now, 1), Allowed)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "a"}}, ResultConnectionLost)
	g.AddPeerSuspicion(now, Suspicion{Fingerprint: 1, Server: Server{ID: "a"}, From: "peer"})
	assert.Equal(t, g.Admit(now, 1), Allowed)
	assert.Equal(t, g.Admit(now, 1), Busy)
	assert.Equal(t, g.Admit(now, 2), Allowed)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "b"}}, ResultOther)
	assert.Equal(t, g.Admit(now, 1), Allowed)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "b"}}, ResultResponded)
	assert.Equal(t, g.Admit(now, 1), Allowed)
	assert.Equal(t, g.Admit(now, 1), Allowed)
	assert.Equal(t, g.suspected.Load(), int64(0))
}

// TestBlockExpires guards against a fingerprint that stays blocked forever.
func TestBlockExpires(t *testing.T) {
	g := New()
	now := int64(time.Second)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "a"}}, ResultConnectionLost)
	g.AddPeerSuspicion(now, Suspicion{Fingerprint: 1, Server: Server{ID: "b"}, From: "peer"})
	assert.Equal(t, g.Admit(now, 1), Blocked)
	assert.Equal(t, g.Admit(now+int64(DefaultBlockDuration)-1, 1), Blocked)
	assert.Equal(t, g.Admit(now+int64(DefaultBlockDuration), 1), Allowed)
	assert.Equal(t, g.Expire(now+int64(DefaultBlockDuration)).Suspected, 0)
	assert.DeepEqual(t, g.Outgoing(), []Suspicion{
		{Fingerprint: 1, Server: Server{ID: "a"}, SentAt: now, LostAt: now}, {Fingerprint: 1, Server: Server{ID: "b"}, From: "peer"},
	})
}

// TestMemoryIsBounded guards against unbounded memory when many servers crash at
// once, and against evicting blocked fingerprints before those that are only
// suspected.
func TestMemoryIsBounded(t *testing.T) {
	g := New()
	now := int64(time.Second)
	g.Done(now, Attempt{Fingerprint: 0, SentAt: now, Server: Server{ID: "a"}}, ResultConnectionLost)
	g.Done(now, Attempt{Fingerprint: 0, SentAt: now, Server: Server{ID: "b"}}, ResultConnectionLost)
	for i := range 2 * MaxSuspectedFingerprints {
		g.Done(now, Attempt{Fingerprint: Fingerprint(i + 1), SentAt: now, Server: Server{ID: "a"}}, ResultConnectionLost)
	}
	assert.Equal(t, len(g.suspects), MaxSuspectedFingerprints)
	assert.Equal(t, g.suspected.Load(), int64(MaxSuspectedFingerprints))
	assert.Equal(t, len(g.outgoing), MaxQueuedSuspicions)
	assert.Equal(t, g.Admit(now, 0), Blocked)
}

// message is a suspicion in transit to a gateway.
type message struct {
	deliverAt, recipient int
	Suspicion
}

// fleet is a set of guards that exchange suspicions with a latency of at most delay
// steps. It records the servers that one request crashes.
type fleet struct {
	guards  []*Guard
	delay   int
	now     int
	pending []message
	crashed map[string]bool
}

func newFleet(gateways, delay int) *fleet {
	f := &fleet{delay: delay, now: 1, crashed: make(map[string]bool)}
	for range gateways {
		f.guards = append(f.guards, New())
	}
	return f
}

func (f *fleet) deliver() {
	var rest []message
	for _, m := range f.pending {
		if m.deliverAt > f.now {
			rest = append(rest, m)
			continue
		}
		m.From = "peer"
		f.guards[m.recipient].AddPeerSuspicion(int64(f.now), m.Suspicion)
	}
	f.pending = rest
}

func (f *fleet) crash(t *rapid.T, gateway int) {
	server := fmt.Sprint("server-", len(f.crashed))
	f.crashed[server] = true
	f.guards[gateway].Done(int64(f.now), Attempt{Fingerprint: 1, SentAt: int64(f.now), Server: Server{ID: server}}, ResultConnectionLost)
	for _, s := range f.guards[gateway].Outgoing() {
		if s.From != "" {
			continue
		}
		for to := range f.guards {
			if to != gateway {
				at := f.now + rapid.IntRange(0, f.delay).Draw(t, "delay")
				f.pending = append(f.pending, message{deliverAt: at, recipient: to, Suspicion: s})
			}
		}
	}
}

// TestSequentialResendsAreBounded checks the bound min(2*G, 2 + floor(d/s)) of Guard
// for a caller that resends a request after each failure through any gateway.
func TestSequentialResendsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 8).Draw(t, "gateways")
		delay := rapid.IntRange(0, 20).Draw(t, "delay")
		minInterval := rapid.IntRange(1, 8).Draw(t, "gap")
		f := newFleet(gateways, delay)
		for range 60 {
			f.deliver()
			gateway := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			if f.guards[gateway].Admit(int64(f.now), 1) == Allowed {
				f.crash(t, gateway)
			}
			f.now += minInterval + rapid.IntRange(0, 3).Draw(t, "pause")
		}
		bound := min(2*gateways, 2+delay/minInterval)
		assert.Assert(t, len(f.crashed) <= bound, "%d servers crashed, bound %d", len(f.crashed), bound)
	})
}

// TestConcurrentResendsAreBounded checks the bound for concurrent sends: 2, plus the
// sends that were in flight at a gateway at the second crash, or that a gateway
// admitted before it received the second suspicion.
func TestConcurrentResendsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 8).Draw(t, "gateways")
		f := newFleet(gateways, rapid.IntRange(0, 20).Draw(t, "delay"))
		inFlight := make([]int, gateways)
		extraSends := 0
		secondCrashAt := 0
		for range 200 {
			f.deliver()
			gateway := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			g := f.guards[gateway]
			if rapid.Bool().Draw(t, "send") {
				if g.Admit(int64(f.now), 1) != Allowed {
					continue
				}
				inFlight[gateway]++
				assert.Assert(t, secondCrashAt == 0 || f.now <= secondCrashAt+f.delay, "admitted after the second suspicion reached all gateways")
				if secondCrashAt != 0 {
					extraSends++
				}
			} else if inFlight[gateway] > 0 {
				inFlight[gateway]--
				f.crash(t, gateway)
				if len(f.crashed) == 2 {
					secondCrashAt = f.now
					for _, n := range inFlight {
						extraSends += n
					}
				}
			}
			f.now++
		}
		assert.Assert(t, len(f.crashed) <= 2+extraSends, "%d servers crashed, bound %d", len(f.crashed), 2+extraSends)
	})
}

// BenchmarkAdmitWithoutSuspects measures the lock-free path of Admit and Done.
func BenchmarkAdmitWithoutSuspects(b *testing.B) {
	g := New()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			g.Admit(1, 1)
			g.Done(1, Attempt{Fingerprint: 1, SentAt: 1, Server: Server{ID: "a"}}, ResultResponded)
		}
	})
}

// TestCrashesOfRestartedServerCount guards against a request that crashes the same few servers
// again and again, because a server that has started again under its ID counts as the same one.
func TestCrashesOfRestartedServerCount(t *testing.T) {
	g := NewWithLimits(Limits{Servers: 3, SuspicionDuration: time.Minute, BlockDuration: time.Minute})
	now := int64(time.Second)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "a", Incarnation: 1}}, ResultConnectionLost)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "b", Incarnation: 1}}, ResultConnectionLost)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "a", Incarnation: 1}}, ResultConnectionLost)
	assert.Equal(t, g.Admit(now, 1), Allowed)
	g.AddPeerSuspicion(now, Suspicion{Fingerprint: 1, Server: Server{ID: "a", Incarnation: 2}, From: "peer"})
	assert.Equal(t, g.Admit(now, 1), Blocked)
}

// TestUnknownIncarnationCountsOnce guards against one crash that counts twice because a peer
// of an older build reports it without the incarnation of the server.
func TestUnknownIncarnationCountsOnce(t *testing.T) {
	g := New()
	now := int64(time.Second)
	g.AddPeerSuspicion(now, Suspicion{Fingerprint: 1, Server: Server{ID: "a"}, From: "peer"})
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "a", Incarnation: 4}}, ResultConnectionLost)
	g.AddPeerSuspicion(now, Suspicion{Fingerprint: 1, Server: Server{ID: "a"}, From: "peer"})
	assert.Equal(t, g.Admit(now, 1), Allowed)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "a", Incarnation: 5}}, ResultConnectionLost)
	assert.Equal(t, g.Admit(now, 1), Blocked)
}

// TestRequestThatStillCrashesIsHeldBackLonger guards against a request that crashes as many
// servers as before each time that its block ends.
func TestRequestThatStillCrashesIsHeldBackLonger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: 1, crashed: make(map[string]bool)}
		f.delay = rapid.IntRange(0, int(500*time.Millisecond)).Draw(t, "delay")
		for range rapid.IntRange(1, 6).Draw(t, "gateways") {
			duration := time.Duration(rapid.IntRange(30, 60).Draw(t, "seconds")) * time.Second
			f.guards = append(f.guards, NewWithLimits(Limits{Servers: 3, SuspicionDuration: time.Minute, BlockDuration: duration, Memory: time.Hour}))
		}
		send := func(until, interval time.Duration) (crashes int) {
			before := len(f.crashed)
			for f.now < int(until) {
				f.deliver()
				gateway := rapid.IntRange(0, len(f.guards)-1).Draw(t, "gateway")
				if f.guards[gateway].Admit(int64(f.now), 1) == Allowed {
					f.crash(t, gateway)
				}
				f.now += int(interval)
			}
			return len(f.crashed) - before
		}
		assert.Equal(t, send(20*time.Second, time.Second), 3)
		late := send(10*time.Minute, 5*time.Second)
		assert.Assert(t, late >= 1 && late <= 3, "%d servers crashed later", late)
	})
}

// TestResponseAfterBlockEndsSuspicion guards against a request that is held back again for a
// single crash, although a server has responded to it since its block ended.
func TestResponseAfterBlockEndsSuspicion(t *testing.T) {
	g := NewWithLimits(Limits{Servers: 2, SuspicionDuration: time.Minute, BlockDuration: time.Minute, Memory: time.Hour})
	now := int64(time.Second)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "a"}}, ResultConnectionLost)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "b"}}, ResultConnectionLost)
	assert.Equal(t, g.Admit(now+int64(time.Minute)-1, 1), Blocked)
	now += int64(time.Minute)
	assert.Equal(t, g.Admit(now, 1), Allowed)
	assert.Equal(t, g.Admit(now, 1), Busy)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "c"}}, ResultResponded)
	assert.Equal(t, g.Expire(now).Suspected, 0)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "c"}}, ResultConnectionLost)
	assert.Equal(t, g.Admit(now, 1), Allowed)
}

// TestSimultaneousLossesCountAsOneCrash guards against a request that is blocked because
// several attempts of it were in flight when several servers failed together.
func TestSimultaneousLossesCountAsOneCrash(t *testing.T) {
	limits := Limits{Servers: 3, SuspicionDuration: time.Minute, BlockDuration: time.Minute}
	g := NewWithLimits(limits)
	sent, now := int64(time.Second), int64(1200*time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		now += int64(10 * time.Millisecond)
		g.Done(now, Attempt{Fingerprint: 1, SentAt: sent, Server: Server{ID: id}}, ResultConnectionLost)
	}
	peers := NewWithLimits(limits)
	for _, suspicion := range g.Outgoing() {
		peers.AddPeerSuspicion(now, suspicion)
	}
	for _, guard := range []*Guard{g, peers} {
		assert.Equal(t, guard.Admit(now, 1), Allowed)
		assert.Equal(t, guard.Admit(now, 1), Busy)
		guard.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "d"}}, ResultConnectionLost)
		assert.Equal(t, guard.Admit(now, 1), Allowed)
		guard.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: "e"}}, ResultConnectionLost)
		assert.Equal(t, guard.Admit(now, 1), Blocked)
	}
}

// TestLossesInTurnCount guards against a request that crashes one server after the other by
// way of gateways that have not heard of the earlier crashes, or hear of them in another order.
func TestLossesInTurnCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithLimits(Limits{Servers: 3, SuspicionDuration: time.Minute, BlockDuration: time.Minute})
		now := int64(time.Second)
		var suspicions []Suspicion
		for _, id := range []string{"a", "b", "c"} {
			sent := now
			now += rapid.Int64Range(1, int64(time.Second)).Draw(t, "took")
			suspicions = append(suspicions, Suspicion{Fingerprint: 1, Server: Server{ID: id}, SentAt: sent, LostAt: now, From: "peer"})
		}
		for _, suspicion := range rapid.Permutation(suspicions).Draw(t, "order") {
			g.AddPeerSuspicion(now, suspicion)
		}
		assert.Equal(t, g.Admit(now, 1), Blocked)
	})
}

// TestResponseEndsBlockEverywhere guards against a request that stays blocked, at the gateway
// that has seen a server respond to it or at its peers.
func TestResponseEndsBlockEverywhere(t *testing.T) {
	g, peer := New(), New()
	sent, now := int64(time.Second), int64(2*time.Second)
	for _, id := range []string{"a", "b"} {
		g.Done(now, Attempt{Fingerprint: 1, SentAt: now, Server: Server{ID: id}}, ResultConnectionLost)
	}
	for _, suspicion := range g.Outgoing() {
		peer.AddPeerSuspicion(now, suspicion)
	}
	assert.Equal(t, g.Admit(now, 1), Blocked)
	assert.Equal(t, peer.Admit(now, 1), Blocked)
	g.Done(now, Attempt{Fingerprint: 1, SentAt: sent, Server: Server{ID: "c"}}, ResultResponded)
	outgoing := g.Outgoing()
	assert.DeepEqual(t, outgoing, []Suspicion{{Fingerprint: 1, Cleared: true}})
	_ = peer.Outgoing()
	for range 2 {
		peer.AddPeerSuspicion(now, outgoing[0])
	}
	assert.Equal(t, len(peer.Outgoing()), 1)
	for _, guard := range []*Guard{g, peer} {
		assert.Equal(t, guard.Admit(now, 1), Allowed)
		assert.Equal(t, guard.Expire(now).Suspected, 0)
	}
}
