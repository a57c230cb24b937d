// Package capacity measures how the cost of each role of a gateway grows with the
// number of servers, services and gateways. It contains only benchmarks and tests of
// their fixtures. docs/CAPACITY.md extrapolates from the slopes. Run it with:
// go test -run '^$' -bench Capacity ./pkg/capacity
package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"balsamhill/pkg/control"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
)

const (
	localRegion  = "khomas"
	remoteRegion = "erongo"
	// domainsPerRegion gives the 6 failure domains of the design size.
	domainsPerRegion = 3
)

// size is one point of a series of measurements.
type size struct {
	servers, services int
}

// sizes ends with the design size.
var sizes = []size{{10, 1}, {100, 10}, {910, 47}}

// fleetSizes are the numbers of gateways in a series of measurements.
var fleetSizes = []int{12, 48, 150}

func (s size) String() string {
	return fmt.Sprintf("servers=%d/services=%d", s.servers, s.services)
}

func serviceName(i int) string {
	return fmt.Sprintf("service-%02d", i)
}

// regionOf assigns members to the two regions in turn.
func regionOf(i int) string {
	if i%2 == 0 {
		return localRegion
	}
	return remoteRegion
}

// serverList returns the VM list of a size. Servers are distributed evenly over
// services, regions and failure domains.
func serverList(s size) []platform.VM {
	vms := make([]platform.VM, 0, s.servers)
	for i := range s.servers {
		service := serviceName(i % s.services)
		region := regionOf(i / s.services)
		vms = append(vms, platform.VM{
			ID:            fmt.Sprintf("%s-%s-%04d", service, region, i),
			Role:          platform.RoleServer,
			Incarnation:   1_780_000_000_000_000,
			Service:       service,
			Region:        region,
			FailureDomain: fmt.Sprintf("%s-%d", region, i%domainsPerRegion+1),
			Address:       fmt.Sprintf("10.20.%d.%d:8080", i/250, i%250+1),
			State:         platform.VMLive,
		})
	}
	return vms
}

func presetVersion(revision uint64) preset.Version {
	return preset.Version{Revision: revision, Preset: preset.Default("ordinary", preset.KindOrdinary)}
}

// newState returns a control state with a preset and without servers.
func newState(s size) *control.State {
	config := control.Config{
		GatewayID: "gw-khomas-01", Region: localRegion, FailureDomain: "khomas-1",
		DomainLatency: int64(time.Millisecond), RegionLatency: int64(60 * time.Millisecond),
	}
	for i := range s.services {
		config.Services = append(config.Services, control.ServiceConfig{Name: serviceName(i), Slots: 4})
	}
	state := control.NewState(config)
	state.Apply(1, control.PresetOffered{Version: presetVersion(1), Source: "store"})
	return state
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// cpuTime returns the user and system time that this process has used so far.
func cpuTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// report reports figures that were measured once, and suppresses ns/op.
func report(b *testing.B, figures map[string]float64) {
	b.ReportMetric(0, "ns/op")
	for unit, value := range figures {
		b.ReportMetric(value, unit)
	}
}

// meanMicros returns the mean duration of a call of f in microseconds.
func meanMicros(f func()) float64 {
	const times = 500
	start := time.Now()
	for range times {
		f()
	}
	return float64(time.Since(start).Nanoseconds()) / 1000 / times
}
