package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/serverlimit"
)

func drawMessage(t *rapid.T) Message {
	m := Message{
		Key:            rapid.Uint64Min(1).Draw(t, "key"),
		Incarnation:    rapid.Uint64().Draw(t, "incarnation"),
		Sequence:       rapid.Uint64().Draw(t, "sequence"),
		SentAt:         rapid.Int64Range(0, 3600e6).Draw(t, "sent at") * 1000,
		Stopping:       rapid.Bool().Draw(t, "stopping"),
		Isolated:       rapid.Bool().Draw(t, "isolated"),
		StoreReachable: rapid.Bool().Draw(t, "reachable"),
		Interval:       time.Duration(rapid.IntRange(0, 10_000).Draw(t, "interval")) * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "has sender description") {
		m.Sender = &Gateway{
			ID: "g", Incarnation: m.Incarnation, Address: "10.0.0.1:1", Region: "r", FailureDomain: "d",
			HighCapacity: rapid.Bool().Draw(t, "high capacity"), TakesHandoffs: rapid.Bool().Draw(t, "takes handoffs"),
		}
	}
	for range rapid.IntRange(0, 2).Draw(t, "known gateways") {
		m.KnownGateways = append(m.KnownGateways, Gateway{ID: rapid.String().Draw(t, "id"), Incarnation: rapid.Uint64().Draw(t, "inc")})
	}
	for range rapid.IntRange(0, 2).Draw(t, "table states") {
		m.TableStates = append(m.TableStates, feed.TableState{
			Era: rapid.Uint64().Draw(t, "era"), Rank: rapid.Uint64().Draw(t, "rank"),
			LastChange: rapid.Uint64().Draw(t, "last change"), AsOf: rapid.Uint64().Draw(t, "as of"),
			Age: rapid.Int64Range(0, 3600e6).Draw(t, "age") * 1000, ReadEmpty: rapid.Bool().Draw(t, "read empty"),
		})
	}
	for range rapid.IntRange(0, 5).Draw(t, "reports") {
		m.Reports = append(m.Reports, Report{
			Server: rapid.Uint32().Draw(t, "server"), Age: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "age")) * time.Microsecond,
			InFlight: rapid.Int64Range(0, 1000).Draw(t, "in flight"), SlowdownPermille: rapid.Int64Range(0, 10_000).Draw(t, "slowdown"),
			Unresponsive: rapid.Bool().Draw(t, "unresponsive"),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "suspicions") {
		suspicion := Suspicion{
			Fingerprint: rapid.Uint64().Draw(t, "fingerprint"), Server: rapid.Uint32().Draw(t, "server"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"), Cleared: rapid.Bool().Draw(t, "cleared"),
		}
		if !suspicion.Cleared {
			suspicion.SentAge = time.Duration(rapid.IntRange(0, 1e6).Draw(t, "sent age")) * time.Microsecond
			suspicion.LostAge = time.Duration(rapid.IntRange(0, 1e6).Draw(t, "lost age")) * time.Microsecond
		}
		m.Suspicions = append(m.Suspicions, suspicion)
	}
	for range rapid.IntRange(0, 2).Draw(t, "leaving") {
		m.Leaving = append(m.Leaving, LeavingServer{
			Server: rapid.Uint32().Draw(t, "server"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		})
	}
	m.KeepsLimits = rapid.Bool().Draw(t, "keeps limits")
	for range rapid.IntRange(0, 2).Draw(t, "limits") {
		m.Limits = append(m.Limits, drawLimit(t))
	}
	for range rapid.IntRange(0, 2).Draw(t, "demands") {
		m.Demands = append(m.Demands, Demand{Service: rapid.Uint32().Draw(t, "service"), Rate: drawRate(t)})
	}
	return m
}

func drawLimit(t *rapid.T) serverlimit.Notice {
	notice := serverlimit.Notice{
		Server: rapid.Uint32().Draw(t, "server"), Rate: drawRate(t), Ended: rapid.Bool().Draw(t, "ended"),
		Age:      time.Duration(rapid.IntRange(0, 1e6).Draw(t, "age")) * time.Microsecond,
		SinceAge: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "since")) * time.Microsecond, Coordinated: rapid.Bool().Draw(t, "coordinated"),
	}
	for range rapid.IntRange(0, 2).Draw(t, "leases") {
		notice.Leases = append(notice.Leases, serverlimit.Lease{
			Holder: rapid.Uint64().Draw(t, "holder"), Rate: drawRate(t),
			TTL: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "ttl")) * time.Microsecond,
		})
	}
	return notice
}

func drawRate(t *rapid.T) float64 {
	return float64(rapid.IntRange(0, 100_000).Draw(t, "rate")) / 1000
}

// TestMessageRoundTrip guards against a field that is lost or decoded wrongly.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		got, err := Unmarshal(m.Marshal(nil))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m)
	})
}

// FuzzUnmarshal guards against a datagram of another writer that stops the
// process or contains values that distort estimates.
func FuzzUnmarshal(f *testing.F) {
	m := Message{Key: 1, Sender: &Gateway{ID: "g"}, Reports: []Report{{Server: 1, SlowdownPermille: 7000}}}
	f.Add(m.Marshal(nil))
	limited := Message{Key: 1, KeepsLimits: true, Limits: []serverlimit.Notice{{Server: 1, Rate: 2.5, Leases: []serverlimit.Lease{{Holder: 1, Rate: 1}}}}}
	f.Add(limited.Marshal(nil))
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Unmarshal(data)
		if err != nil {
			return
		}
		for _, report := range got.Reports {
			if report.SlowdownPermille < 0 || report.SlowdownPermille > maxReportValue || report.Age < 0 || report.Age > maxAge {
				t.Fatalf("unbounded report %+v", report)
			}
		}
		for _, limit := range got.Limits {
			if !(limit.Rate >= 0 && limit.Rate <= maxRate) || limit.Age < 0 || limit.SinceAge < 0 {
				t.Fatalf("unbounded limit %+v", limit)
			}
		}
		if got.Interval < 0 || got.Interval > maxInterval {
			t.Fatalf("interval %s", got.Interval)
		}
	})
}

func gateway(i int, domain string, highCapacity bool) Gateway {
	return Gateway{
		ID: fmt.Sprintf("g%d", i), Incarnation: 1, Address: fmt.Sprintf("10.0.0.%d:1", i),
		Region: "r", FailureDomain: domain, HighCapacity: highCapacity,
	}
}

// newFleet returns the peer tables of gateways that have all received a message
// from each other.
func newFleet(now int64, gateways []Gateway) []*Peers {
	fleet := make([]*Peers, len(gateways))
	for i, self := range gateways {
		fleet[i] = NewPeers(self)
		for _, other := range gateways {
			fleet[i].ApplyMessage(now, messageFrom(other, 1))
		}
	}
	return fleet
}

func messageFrom(g Gateway, sequence uint64) *Message {
	return &Message{
		Key: KeyOf(g.ID), Incarnation: g.Incarnation, Sequence: sequence, Sender: &g,
		StoreReachable: true, Interval: 100 * time.Millisecond,
	}
}

// TestEachServerHasOneProber guards against servers that no gateway probes or
// that several gateways probe: the probes of a server are limited for the whole
// fleet.
func TestEachServerHasOneProber(t *testing.T) {
	const now = int64(10e9)
	tests := []struct {
		desc         string
		perDomain    int
		highCapacity int
	}{
		{"small region", 4, 4},
		{"large region with high-capacity gateways", 30, 2},
		{"large region without high-capacity gateways", 30, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var gateways []Gateway
			for i := range 2 * test.perDomain {
				gateways = append(gateways, gateway(i, fmt.Sprint("d", i%2), i/2 < test.highCapacity))
			}
			fleet := newFleet(now, gateways)
			for server := range 100 {
				probers := 0
				for i, table := range fleet {
					if table.Assign(now).ShouldProbe(fmt.Sprint("s", server), fmt.Sprint("d", server%2)) {
						probers++
						assert.Equal(t, gateways[i].FailureDomain, fmt.Sprint("d", server%2))
						assert.Assert(t, test.highCapacity == 0 || gateways[i].HighCapacity)
					}
				}
				assert.Equal(t, probers, 1, "server %d", server)
			}
		})
	}
}

// TestServersOfIsolatedGatewaysAreProbedByOthers guards against servers that are probed only by
// gateways that reach none, and against shares of limits that such gateways keep.
func TestServersOfIsolatedGatewaysAreProbedByOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = int64(10e9)
		var gateways []Gateway
		count := rapid.IntRange(2, 40).Draw(t, "gateways")
		for i := range count {
			gateways = append(gateways, gateway(i, fmt.Sprint("d", i%2), rapid.Bool().Draw(t, "highCapacity")))
		}
		fleet := newFleet(now, gateways)
		isolated := make([]bool, count)
		reachableIn := make(map[string]int)
		for i, g := range gateways {
			isolated[i] = rapid.Bool().Draw(t, "isolated")
			if !isolated[i] {
				reachableIn[g.FailureDomain]++
			}
			fleet[i].SetIsolated(isolated[i])
			message := messageFrom(g, 2)
			message.Isolated = isolated[i]
			message.KeepsLimits = true
			for _, table := range fleet {
				table.ApplyMessage(now, message)
			}
		}
		for server := range 20 {
			domain, probers := fmt.Sprint("d", server%2), 0
			for i, table := range fleet {
				assignment := table.Assign(now)
				if assignment.ShouldProbe(fmt.Sprint("s", server), domain) {
					probers++
					assert.Assert(t, !isolated[i])
				}
			}
			// In a large region only the gateways of a domain probe its servers.
			if reachableIn[domain] > 0 || count <= maxFullMesh && len(reachableIn) > 0 {
				assert.Equal(t, probers, 1)
			}
		}
		for _, table := range fleet {
			assignment := table.Assign(now)
			members, _, _ := table.LimitMembers(now, &assignment)
			for _, member := range members {
				assert.Assert(t, !table.IsIsolated(member.Key))
			}
		}
	})
}

// TestHandoffCandidates guards against calls that are handed off to gateways that cannot take them.
func TestHandoffCandidates(t *testing.T) {
	const now = int64(10e9)
	tests := []struct {
		desc   string
		change func(g *Gateway, m *Message)
		heard  bool
		age    int64
		want   bool
	}{
		{"in touch", func(*Gateway, *Message) {}, true, 0, true},
		{"stopping", func(_ *Gateway, m *Message) { m.Stopping = true }, true, 0, false},
		{"isolated", func(_ *Gateway, m *Message) { m.Isolated = true }, true, 0, false},
		{"silent", func(*Gateway, *Message) {}, true, int64(minPeerTimeout) + 1, false},
		{"older build", func(g *Gateway, _ *Message) { g.TakesHandoffs = false }, true, 0, false},
		{"other region, never heard", func(g *Gateway, _ *Message) { g.Region = "other" }, false, 0, true},
		{"other region, older build", func(g *Gateway, _ *Message) { g.Region, g.TakesHandoffs = "other", false }, false, 0, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			other := gateway(1, "d", true)
			other.TakesHandoffs = true
			table := NewPeers(gateway(0, "d", true))
			message := messageFrom(other, 1)
			test.change(&other, message)
			message.Sender = &other
			table.AddGateway(now, other)
			if test.heard {
				table.ApplyMessage(now, message)
			}
			candidates := table.HandoffCandidates(now + test.age)
			assert.Equal(t, len(candidates) == 1, test.want)
			assert.Assert(t, !test.want || candidates[0].Heard == test.heard)
		})
	}
}

// TestOneStoreReader guards against two store readers, and against a reader that
// does not reach the store while another gateway does.
func TestOneStoreReader(t *testing.T) {
	const now = int64(10e9)
	var gateways []Gateway
	for i := range 9 {
		gateways = append(gateways, gateway(i, fmt.Sprint("d", i%2), true))
	}
	fleet := newFleet(now, gateways)
	reader := -1
	for i, table := range fleet {
		if table.IsStoreReader(now, true) {
			assert.Equal(t, reader, -1)
			reader = i
		}
	}
	assert.Assert(t, reader >= 0)
	assert.Equal(t, fleet[reader].IsStoreReader(now, false), false)
	for _, table := range fleet {
		unreachable := messageFrom(gateways[reader], 2)
		unreachable.StoreReachable = false
		table.ApplyMessage(now, unreachable)
	}
	readers := 0
	for i, table := range fleet {
		if i != reader && table.IsStoreReader(now, true) {
			readers++
		}
	}
	assert.Equal(t, readers, 1)
}

// TestUnresponsivePeerIsNotAlive guards against tasks that stay assigned to a
// gateway that was partitioned, killed or frozen.
func TestUnresponsivePeerIsNotAlive(t *testing.T) {
	now := int64(10e9)
	p := NewPeers(gateway(0, "d", true))
	p.ApplyMessage(now, messageFrom(gateway(1, "d", true), 1))
	assert.Equal(t, p.AliveInGroup(now), 1)
	assert.Equal(t, p.AliveInGroup(now+int64(minPeerTimeout)+1), 0)
	p.ApplyMessage(now+int64(time.Second), messageFrom(gateway(1, "d", true), 1))
	assert.Equal(t, p.AliveInGroup(now+int64(time.Second)), 0, "a repeated message makes no peer alive")
	p.ApplyMessage(now+int64(time.Second), messageFrom(gateway(1, "d", true), 2))
	assert.Equal(t, p.AliveInGroup(now+int64(time.Second)), 1)
	assert.DeepEqual(t, p.NextTargets(now+int64(time.Minute)), []string(nil))
}

// TestGatewaysOfDifferentSeedsDiscoverEachOther guards against gateways of a
// region that never discover each other because they used different seeds: one
// gateway that knows both groups is enough.
func TestGatewaysOfDifferentSeedsDiscoverEachOther(t *testing.T) {
	const now = int64(10e9)
	random := rand.New(rand.NewPCG(1, 2))
	bridge := NewPeers(gateway(0, "d", true))
	for i := 1; i < 9; i++ {
		bridge.ApplyMessage(now, messageFrom(gateway(i, "d", true), 1))
	}
	joining := NewPeers(gateway(9, "d", true))
	for sequence := range 40 {
		m := messageFrom(gateway(0, "d", true), uint64(sequence+1))
		m.KnownGateways = bridge.SampleAlive(now, 2, random)
		joining.ApplyMessage(now, m)
	}
	assert.Equal(t, len(joining.NextTargets(now)), 9)
}

func avoidNone(string) bool { return false }

// TestTablesAreReadFromHighCapacityPeers guards against small VMs that send whole
// tables to many gateways at a start: this saturates their links, and most gateways
// are not ready when traffic begins.
func TestTablesAreReadFromHighCapacityPeers(t *testing.T) {
	const now = int64(10e9)
	p := NewPeers(gateway(0, "d", false))
	for i := 1; i < 20; i++ {
		m := messageFrom(gateway(i, "d", i == 7), 1)
		m.TableStates = []feed.TableState{{LastChange: 5, AsOf: uint64(5 + i)}}
		p.ApplyMessage(now, m)
	}
	source, ok := p.NewestTable(now, 0, avoidNone)
	assert.Equal(t, ok, true)
	assert.Equal(t, source.Address, gateway(7, "d", true).Address)
	newer := messageFrom(gateway(9, "d", false), 2)
	newer.TableStates = []feed.TableState{{LastChange: 6, AsOf: 6}}
	p.ApplyMessage(now, newer)
	source, _ = p.NewestTable(now, 0, avoidNone)
	assert.Equal(t, source.Address, gateway(9, "d", false).Address)
}

// TestTableReadsAreDividedAmongSources guards against a change that all gateways of a
// group read from the same one although several hold it, and against a gateway that
// reads again from a source that has just failed.
func TestTableReadsAreDividedAmongSources(t *testing.T) {
	const now = int64(10e9)
	readers := map[string]int{}
	for reader := 10; reader < 50; reader++ {
		p := NewPeers(gateway(reader, "d", false))
		for i := range 4 {
			m := messageFrom(gateway(i, "d", true), 1)
			m.TableStates = []feed.TableState{{LastChange: 5, AsOf: uint64(5 + i)}}
			p.ApplyMessage(now, m)
		}
		first, ok := p.NewestTable(now, 0, avoidNone)
		assert.Assert(t, ok)
		readers[first.Address]++
		second, ok := p.NewestTable(now, 0, func(address string) bool { return address == first.Address })
		assert.Assert(t, ok && second.Address != first.Address)
	}
	assert.Equal(t, len(readers), 4)
	for address, count := range readers {
		assert.Assert(t, count <= 20, "%d of 40 gateways read from %s", count, address)
	}
}

// TestPassiveGatewaysReportMainlyToProbers guards against a number of messages
// that grows with the square of the gateways of a large region: of a gateway that
// neither probes nor reads the store, only probers need frequent messages.
func TestPassiveGatewaysReportMainlyToProbers(t *testing.T) {
	const now = int64(10e9)
	var gateways []Gateway
	for i := range 36 {
		gateways = append(gateways, gateway(i, "d", i < 2))
	}
	passive := newFleet(now, gateways)[20]
	assignment := passive.Assign(now)
	assert.Equal(t, assignment.SendsReports(), false)
	assert.DeepEqual(t, passive.NextProberTargets(now, &assignment), []string{gateways[0].Address, gateways[1].Address})
	assert.Equal(t, len(passive.NextTargets(now)), 35)
}
