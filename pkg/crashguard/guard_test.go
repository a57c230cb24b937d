package crashguard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestInnocentIsDelayedNotBlocked guards against blocking a request that was in
// flight when one server died for another reason.
func TestInnocentIsDelayedNotBlocked(t *testing.T) {
	g := New()
	now := int64(time.Second)
	assert.Equal(t, g.Admit(now, 1), Allowed)
	g.Done(now, 1, ResultConnectionLost, "a")
	g.AddPeerSuspicion(now, 1, "a", "peer")
	assert.Equal(t, g.Admit(now, 1), Allowed)
	assert.Equal(t, g.Admit(now, 1), Busy)
	assert.Equal(t, g.Admit(now, 2), Allowed)
	g.Done(now, 1, ResultOther, "b")
	assert.Equal(t, g.Admit(now, 1), Allowed)
	g.Done(now, 1, ResultResponded, "b")
	assert.Equal(t, g.Admit(now, 1), Allowed)
	assert.Equal(t, g.Admit(now, 1), Allowed)
	assert.Equal(t, g.suspected.Load(), int64(0))
}

// TestBlockEnds guards against a fingerprint that stays blocked for good.
func TestBlockEnds(t *testing.T) {
	g := New()
	now := int64(time.Second)
	g.Done(now, 1, ResultConnectionLost, "a")
	g.AddPeerSuspicion(now, 1, "b", "peer")
	assert.Equal(t, g.Admit(now, 1), Blocked)
	assert.Equal(t, g.Admit(now+int64(BlockTime)-1, 1), Blocked)
	assert.Equal(t, g.Admit(now+int64(BlockTime), 1), Allowed)
	assert.Equal(t, g.Expire(now+int64(BlockTime)).Suspected, 0)
	assert.DeepEqual(t, g.Outgoing(), []Suspicion{
		{Fingerprint: 1, ServerID: "a"}, {Fingerprint: 1, ServerID: "b", From: "peer"},
	})
}

// TestMemoryIsBounded guards against a crash storm that fills the memory, and
// against dropping blocked fingerprints before single suspicions.
func TestMemoryIsBounded(t *testing.T) {
	g := New()
	now := int64(time.Second)
	g.Done(now, 0, ResultConnectionLost, "a")
	g.Done(now, 0, ResultConnectionLost, "b")
	for i := range 2 * MaxSuspects {
		g.Done(now, Fingerprint(i+1), ResultConnectionLost, "a")
	}
	assert.Equal(t, len(g.suspects), MaxSuspects)
	assert.Equal(t, g.suspected.Load(), int64(MaxSuspects))
	assert.Equal(t, len(g.outgoing), MaxOutgoing)
	assert.Equal(t, g.Admit(now, 0), Blocked)
}

// message is a suspicion on its way to a gateway.
type message struct {
	at, to int
	Suspicion
}

// fleet is a set of guards that exchange suspicions with delays of up to delay
// steps. It counts the servers that a bad request takes down.
type fleet struct {
	guards   []*Guard
	delay    int
	now      int
	messages []message
	broken   map[string]bool
}

func newFleet(gateways, delay int) *fleet {
	f := &fleet{delay: delay, now: 1, broken: make(map[string]bool)}
	for range gateways {
		f.guards = append(f.guards, New())
	}
	return f
}

func (f *fleet) deliver() {
	var rest []message
	for _, m := range f.messages {
		if m.at > f.now {
			rest = append(rest, m)
			continue
		}
		f.guards[m.to].AddPeerSuspicion(int64(f.now), m.Fingerprint, m.ServerID, "peer")
	}
	f.messages = rest
}

func (f *fleet) crash(t *rapid.T, gateway int) {
	server := fmt.Sprint("server-", len(f.broken))
	f.broken[server] = true
	f.guards[gateway].Done(int64(f.now), 1, ResultConnectionLost, server)
	for _, s := range f.guards[gateway].Outgoing() {
		if s.From != "" {
			continue
		}
		for to := range f.guards {
			if to != gateway {
				at := f.now + rapid.IntRange(0, f.delay).Draw(t, "delay")
				f.messages = append(f.messages, message{at: at, to: to, Suspicion: s})
			}
		}
	}
}

// TestSequentialResendsAreBounded proves the bound min(2*G, 2 + floor(d/s)) for a
// caller that sends a request again after each failure, through any gateway.
func TestSequentialResendsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 8).Draw(t, "gateways")
		delay := rapid.IntRange(0, 20).Draw(t, "delay")
		gap := rapid.IntRange(1, 8).Draw(t, "gap")
		f := newFleet(gateways, delay)
		for range 60 {
			f.deliver()
			gateway := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			if f.guards[gateway].Admit(int64(f.now), 1) == Allowed {
				f.crash(t, gateway)
			}
			f.now += gap + rapid.IntRange(0, 3).Draw(t, "pause")
		}
		bound := min(2*gateways, 2+delay/gap)
		assert.Assert(t, len(f.broken) <= bound, "%d servers broke, bound %d", len(f.broken), bound)
	})
}

// TestConcurrentResendsAreBounded checks the bound for sends at the same time: 2,
// plus the sends that were in flight at a gateway when it learned of the second
// suspicion, or that were admitted there before it learned of it.
func TestConcurrentResendsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 8).Draw(t, "gateways")
		f := newFleet(gateways, rapid.IntRange(0, 20).Draw(t, "delay"))
		inFlight := make([]int, gateways)
		late := 0
		secondAt := 0
		for range 200 {
			f.deliver()
			gateway := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			g := f.guards[gateway]
			if rapid.Bool().Draw(t, "send") {
				if g.Admit(int64(f.now), 1) != Allowed {
					continue
				}
				inFlight[gateway]++
				assert.Assert(t, secondAt == 0 || f.now <= secondAt+f.delay, "admitted after the second suspicion reached all gateways")
				if secondAt != 0 {
					late++
				}
			} else if inFlight[gateway] > 0 {
				inFlight[gateway]--
				f.crash(t, gateway)
				if len(f.broken) == 2 {
					secondAt = f.now
					for _, n := range inFlight {
						late += n
					}
				}
			}
			f.now++
		}
		assert.Assert(t, len(f.broken) <= 2+late, "%d servers broke, bound %d", len(f.broken), 2+late)
	})
}

// BenchmarkAdmitWithoutSuspects measures the fast path.
func BenchmarkAdmitWithoutSuspects(b *testing.B) {
	g := New()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			g.Admit(1, 1)
			g.Done(1, 1, ResultResponded, "a")
		}
	})
}
