package capacity

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/control"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/routing"
)

// publishedSnapshot returns the snapshot that the actions publish, nil if there is
// none.
func publishedSnapshot(actions []control.Action) *routing.Snapshot {
	for _, action := range actions {
		if publish, ok := action.(control.Publish); ok {
			return publish.Snapshot
		}
	}
	return nil
}

// BenchmarkCapacityControl measures one tick of the control loop: without changes,
// after a read of the VM list, and with a snapshot to build.
func BenchmarkCapacityControl(b *testing.B) {
	for _, s := range sizes {
		vms := serverList(s)
		revision := uint64(1)
		for _, tick := range []struct {
			desc   string
			before func(state *control.State, now int64)
		}{
			{"idle", func(*control.State, int64) {}},
			{"list", func(state *control.State, now int64) { state.Apply(now, control.ServerListRead{VMs: vms}) }},
			{"publish", func(state *control.State, now int64) {
				revision++
				state.Apply(now, control.PresetOffered{Version: presetVersion(revision), Source: "store"})
			}},
		} {
			perTick := measureTick(s, vms, tick.before)
			b.Run(s.String()+"/"+tick.desc, func(b *testing.B) { report(b, map[string]float64{"µs/tick": perTick}) })
		}
	}
}

// measureTick returns the mean time of a tick in microseconds.
func measureTick(s size, vms []platform.VM, before func(*control.State, int64)) float64 {
	state := newState(s)
	now := int64(time.Second)
	state.Apply(now, control.ServerListRead{VMs: vms})
	state.Tick(now)
	return meanMicros(func() {
		now += int64(control.TickInterval)
		before(state, now)
		state.Tick(now)
	})
}

// BenchmarkCapacityControlMemory reports the memory of the control state with one
// published snapshot, and that of each further snapshot.
func BenchmarkCapacityControlMemory(b *testing.B) {
	for _, s := range sizes {
		vms := serverList(s)
		before := heapBytes()
		state := newState(s)
		state.Apply(1, control.ServerListRead{VMs: vms})
		first := publishedSnapshot(state.Tick(1))
		tables := heapBytes()
		state.Apply(2, control.PresetOffered{Version: presetVersion(2), Source: "store"})
		second := publishedSnapshot(state.Tick(2))
		both := heapBytes()
		runtime.KeepAlive([]any{state, first, second, vms})
		b.Run(s.String(), func(b *testing.B) {
			report(b, map[string]float64{
				"B/server":          float64(tables-before) / float64(s.servers),
				"snapshot-B/server": float64(both-tables) / float64(s.servers),
			})
		})
	}
}

// BenchmarkCapacityChoose measures the choice of a server of one service.
func BenchmarkCapacityChoose(b *testing.B) {
	for _, servers := range []int{10, 100, 910} {
		s := size{servers: servers, services: 1}
		b.Run(s.String(), func(b *testing.B) {
			view := newServiceView(s)
			pick := routing.Pick{Rand: rand.New(rand.NewPCG(1, 2)), Now: int64(time.Second)}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				view.Choose(pick)
			}
		})
	}
}

func newServiceView(s size) *routing.ServiceView {
	state := newState(s)
	state.Apply(1, control.ServerListRead{VMs: serverList(s)})
	return publishedSnapshot(state.Tick(1)).Services[serviceName(0)]
}

// Guards against allocations in the choice of a server, whose cost would grow with the
// calls per second.
func TestChooseAllocatesNothing(t *testing.T) {
	view := newServiceView(size{servers: 910, services: 1})
	pick := routing.Pick{Rand: rand.New(rand.NewPCG(1, 2)), Now: int64(time.Second)}
	assert.Equal(t, testing.AllocsPerRun(1000, func() { view.Choose(pick) }), 0.0)
}

// Guards the fixture: the last size must be the design size, and each service must have
// servers in both regions.
func TestFixtureHasDesignSize(t *testing.T) {
	s := sizes[len(sizes)-1]
	assert.Equal(t, s, size{servers: 910, services: 47})
	state := newState(s)
	state.Apply(1, control.ServerListRead{VMs: serverList(s)})
	snapshot := publishedSnapshot(state.Tick(1))
	total := 0
	for _, view := range snapshot.Services {
		assert.Assert(t, len(view.Local) > 0 && len(view.Remote) > 0, view.Name)
		total += len(view.Servers)
	}
	assert.Equal(t, total, s.servers)
}
