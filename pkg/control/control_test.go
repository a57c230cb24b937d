package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/serverlimit"
)

const second = int64(time.Second)

// harness drives one State with explicit time and keeps its last snapshot.
type harness struct {
	state     *State
	snapshot  *routing.Snapshot
	changes   []ServerChanged
	announced []AnnounceDrain
}

func newHarness(id string) *harness {
	return &harness{state: NewState(Config{
		GatewayID: id, Region: "r0", FailureDomain: "r0-d0", RegionLatency: 60e6,
		Services: []ServiceConfig{{Name: "s", Slots: 4}},
	})}
}

func (h *harness) tick(now int64) {
	h.announced = nil
	for _, action := range h.state.Tick(now) {
		switch a := action.(type) {
		case Publish:
			h.snapshot = a.Snapshot
		case ServerChanged:
			h.changes = append(h.changes, a)
		case AnnounceDrain:
			h.announced = append(h.announced, a)
		}
	}
}

func (h *harness) view() *routing.ServiceView {
	return h.snapshot.Services["s"]
}

func (h *harness) server(id string) *routing.Server {
	for _, server := range h.view().Servers {
		if server.ID == id {
			return server
		}
	}
	return nil
}

func vm(id string, incarnation uint64, state platform.VMState) platform.VM {
	return platform.VM{
		ID: id, Role: platform.RoleServer, Service: "s", Region: "r0", FailureDomain: "r0-d0",
		Address: id, Incarnation: incarnation, State: state,
	}
}

func liveVMs(n int) []platform.VM {
	vms := make([]platform.VM, n)
	for i := range vms {
		vms[i] = vm(fmt.Sprintf("s%d", i), 1, platform.VMLive)
	}
	return vms
}

func version(revision uint64, maintenance ...string) preset.Version {
	p := preset.Default(fmt.Sprintf("p%d", revision), preset.KindOrdinary)
	p.Maintenance = maintenance
	p.Services["s"] = preset.Tuning{QueueMillis: int64(revision)}
	return preset.Version{Revision: revision, Preset: p}
}

// TestServerListEvents guards against a lagging or empty list that removes all
// servers of a service or makes a leaving server available again.
func TestServerListEvents(t *testing.T) {
	live, leaving := platform.VMLive, platform.VMLeaving
	both := []platform.VM{vm("a", 1, live), vm("b", 1, live)}
	onlyB := []platform.VM{vm("b", 1, live)}
	type step struct {
		at   int64
		list []platform.VM
		// failures of server a between this list and the next step.
		failures int
	}
	tests := []struct {
		desc  string
		steps []step
		until int64
		want  string
	}{
		{"empty for a moment", []step{{1, both, 0}, {2, nil, 0}}, 3, "available"},
		{"empty for long", []step{{1, both, 0}, {2, nil, 0}}, 1000, "available"},
		{"unlisted for less than unlistedTTL", []step{{1, both, 0}, {2, onlyB, 0}}, 60, "available"},
		{"unlisted for longer than unlistedTTL", []step{{1, both, 0}, {2, onlyB, 0}}, 64, "gone"},
		{"unlisted and fails", []step{{1, both, 0}, {2, onlyB, 3}}, 3, "gone"},
		{"fails, but the list is empty", []step{{1, both, 0}, {2, nil, 3}}, 3, "available"},
		{"leaving, then live again in an older list",
			[]step{{1, both, 0}, {2, []platform.VM{vm("a", 1, leaving), vm("b", 1, live)}, 0}, {3, both, 0}}, 4, "draining"},
		{"leaving, unlisted, then live again in an older list",
			[]step{{1, []platform.VM{vm("a", 1, leaving), vm("b", 1, live)}, 0}, {2, onlyB, 0}, {300, both, 0}}, 301, "draining"},
		{"leaving, then a newer incarnation",
			[]step{{1, []platform.VM{vm("a", 1, leaving)}, 0}, {2, []platform.VM{vm("a", 2, live)}, 0}}, 3, "available"},
		{"older incarnation leaving in an older list",
			[]step{{1, []platform.VM{vm("a", 2, live)}, 0}, {2, []platform.VM{vm("a", 1, leaving)}, 0}}, 3, "available"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			h := newHarness("g")
			h.state.Apply(second, PresetOffered{Version: version(1)})
			for _, step := range test.steps {
				h.state.Apply(step.at*second, ServerListRead{VMs: step.list})
				h.tick(step.at * second)
				for range step.failures {
					h.server("a").Stats.Failure()
				}
			}
			h.tick(test.until * second)
			got := "gone"
			if server := h.server("a"); server != nil {
				got = server.Availability.String()
			}
			assert.Equal(t, got, test.want)
		})
	}
}

// TestFixedServerSurvivesList guards against a list that makes a server of the
// settings removable.
func TestFixedServerSurvivesList(t *testing.T) {
	h := newHarness("g")
	h.state.AddFixedServer("s", vm("a", 0, platform.VMLive))
	h.state.Apply(second, PresetOffered{Version: version(1)})
	h.state.Apply(second, ServerListRead{VMs: liveVMs(2)})
	h.state.Apply(2*second, ServerListRead{VMs: []platform.VM{vm("a", 3, platform.VMLive)}})
	h.state.Apply(3*second, ServerListRead{VMs: liveVMs(2)})
	h.tick(300 * second)
	assert.Assert(t, h.server("a") != nil)
}

// TestLastResort guards against a service without a server while one is left that
// only a drain notice shows as draining, and against the use of a server that is
// listed as leaving.
func TestLastResort(t *testing.T) {
	h := newHarness("g")
	h.state.Apply(second, PresetOffered{Version: version(1, "s1")})
	h.state.Apply(second, ServerListRead{VMs: liveVMs(2)})
	h.state.Apply(second, DrainNoticed{ServerID: "s0"})
	h.tick(second)
	assert.Equal(t, h.view().Usable(), 0)
	assert.Equal(t, len(h.view().LastResort), 1)
	h.state.Apply(2*second, ServerListRead{VMs: []platform.VM{vm("s0", 1, platform.VMLeaving), vm("s1", 1, platform.VMLive)}})
	h.tick(2 * second)
	assert.Equal(t, len(h.view().LastResort), 0)
}

// TestServerChanged guards against changes of availability that are missing in
// the log or repeated.
func TestServerChanged(t *testing.T) {
	h := newHarness("g")
	h.state.Apply(second, PresetOffered{Version: version(1)})
	h.state.Apply(second, ServerListRead{VMs: liveVMs(4)})
	h.tick(second)
	h.tick(2 * second)
	for range 5 {
		h.server("s0").Stats.Failure()
	}
	h.tick(3 * second)
	h.tick(9 * second)
	h.state.Apply(10*second, ServerListRead{VMs: liveVMs(4)[1:]})
	h.tick(11 * second)
	h.tick(100 * second)
	var got []string
	for _, change := range h.changes {
		if change.ServerID == "s0" {
			got = append(got, change.From+">"+change.To)
		}
	}
	assert.DeepEqual(t, got, []string{"unknown>available", "available>ejected", "ejected>available", "available>removed"})
}

// TestPeerInFlightSums guards against sums that differ from what the peers
// reported last.
func TestPeerInFlightSums(t *testing.T) {
	h := newHarness("g")
	h.state.Apply(second, PresetOffered{Version: version(1)})
	h.state.Apply(second, PeerLoadReport{Peer: "g", Loads: []PeerLoad{{ServerID: "s0", InFlight: 100}}})
	h.state.Apply(second, PeerLoadReport{Peer: "p1", Loads: []PeerLoad{{ServerID: "s0", InFlight: 3}, {ServerID: "s1", InFlight: -5}}})
	h.state.Apply(second, ServerListRead{VMs: liveVMs(2)})
	h.state.Apply(second, PeerLoadReport{Peer: "p2", Loads: []PeerLoad{{ServerID: "s0", InFlight: 4}}})
	h.state.Apply(second, PeerLoadReport{Peer: "p2", Loads: []PeerLoad{{ServerID: "s1", InFlight: 1}}})
	assert.Equal(t, h.state.servers["s0"].stats.PeersInFlight(), int64(7))
	assert.Equal(t, h.state.servers["s1"].stats.PeersInFlight(), int64(1))
	h.state.Apply(second, PeerLost{Peer: "p1"})
	assert.Equal(t, h.state.servers["s0"].stats.PeersInFlight(), int64(4))
	h.state.Apply(second, PeerLost{Peer: "p2"})
	assert.Equal(t, len(h.state.peers.sums), 0)
}

// BenchmarkTick measures one tick with 910 servers in 47 services, the
// largest supported deployment, without a change and with one that publishes a snapshot.
func BenchmarkTick(b *testing.B) {
	for _, publish := range []bool{false, true} {
		b.Run(fmt.Sprintf("publish=%v", publish), func(b *testing.B) {
			config := Config{GatewayID: "g", Region: "r0"}
			for i := range 47 {
				config.Services = append(config.Services, ServiceConfig{Name: fmt.Sprintf("s%d", i), Slots: 4})
			}
			state := NewState(config)
			vms := liveVMs(910)
			for i := range vms {
				vms[i].Service = fmt.Sprintf("s%d", i%47)
			}
			state.Apply(second, PresetOffered{Version: version(1)})
			state.Apply(second, ServerListRead{VMs: vms})
			state.Tick(second)
			b.ReportAllocs()
			for i := range b.N {
				state.dirty = publish
				state.Tick(2*second + int64(i)*tick)
			}
		})
	}
}

// TestSubsetPrefersLocalServers guards against a gateway of a large service that
// uses mostly servers of other failure domains and regions, and against one that
// has no alternative when the servers of its failure domain are full while
// those of another one are idle.
func TestSubsetPrefersLocalServers(t *testing.T) {
	s := NewState(Config{GatewayID: "g", Region: "r1", FailureDomain: "d1"})
	for i := range 3 * subsetSize {
		region, domain := "r1", "d1"
		switch i % 6 {
		case 0, 1:
			domain = "d2"
		case 2, 3, 4:
			region, domain = "r2", "d3"
		}
		s.AddFixedServer("s", platform.VM{ID: fmt.Sprint("server", i), Region: region, FailureDomain: domain})
	}
	s.updateSubset(1)
	used := map[string]int{}
	for _, row := range s.sortedServers() {
		if !row.outsideSubset {
			used[row.failureDomain]++
		}
	}
	assert.DeepEqual(t, used, map[string]int{"d1": subsetSize / 2, "d2": subsetSize / 4, "d3": subsetSize / 4})
}

// TestLeasedServerIsUsedOutsideSubset guards against a part of a server's limit that
// nobody uses, because it was leased to a gateway whose subset lacks the server.
func TestLeasedServerIsUsedOutsideSubset(t *testing.T) {
	h := newHarness("g")
	h.state.Apply(second, ServerListRead{VMs: liveVMs(2 * subsetSize)})
	h.state.Apply(second, PresetOffered{Version: version(1)})
	h.tick(second)
	var outside *serverRow
	for _, row := range h.state.sortedServers() {
		if row.outsideSubset {
			outside = row
		}
	}
	assert.Equal(t, outside.published.availability, routing.OutsideSubset)
	outside.stats.Gate.Allow(second, serverlimit.Allowance{Limited: true, Limit: 2, Rate: 1, Until: 3 * second})
	h.tick(2 * second)
	assert.Equal(t, outside.published.availability, routing.Available)
	h.tick(4 * second)
	assert.Equal(t, outside.published.availability, routing.OutsideSubset)
}

// TestCutOfOwnLinksDoesNotEjectServers guards against servers that get no calls for seconds after the
// links of the gateway are back, because their failures while it was cut off count, and against
// an older ejection that ends with the cut.
func TestCutOfOwnLinksDoesNotEjectServers(t *testing.T) {
	h := newHarness("g")
	h.state.Apply(second, PresetOffered{Version: version(1)})
	h.state.Apply(second, ServerListRead{VMs: liveVMs(6)})
	h.tick(second)
	fail := func(id string) {
		for range 6 {
			h.server(id).Stats.Failure()
		}
	}
	fail("s0")
	h.tick(2 * second)
	cutAt := 3 * second
	fail("s1")
	fail("s2")
	h.tick(cutAt + 1)
	for _, id := range []string{"s0", "s1", "s2"} {
		assert.Equal(t, h.server(id).Availability, routing.Ejected)
	}
	fail("s3")
	h.state.Apply(4*second, LinksRestored{LostAt: cutAt})
	h.tick(4 * second)
	assert.Equal(t, h.server("s0").Availability, routing.Ejected)
	for _, id := range []string{"s1", "s2", "s3"} {
		assert.Equal(t, h.server(id).Availability, routing.Available)
		assert.Equal(t, h.server(id).Weight, 1.0)
	}
	h.server("s1").Stats.Failure()
	h.tick(5 * second)
	assert.Equal(t, h.server("s1").Availability, routing.Available)
}
