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
	homeRegion = "khomas"
	farRegion  = "erongo"
	// domainsPerRegion gives the 6 failure domains of the size to design for.
	domainsPerRegion = 3
)

// size is one step of a series.
type size struct {
	servers, services int
}

// sizes ends with the size to design for.
var sizes = []size{{10, 1}, {100, 10}, {910, 47}}

// fleetSizes are the numbers of gateways of a series.
var fleetSizes = []int{12, 48, 150}

func (s size) String() string {
	return fmt.Sprintf("servers=%d/services=%d", s.servers, s.services)
}

func serviceName(i int) string {
	return fmt.Sprintf("service-%02d", i)
}

// regionOf spreads members over both regions.
func regionOf(i int) string {
	if i%2 == 0 {
		return homeRegion
	}
	return farRegion
}

// serverList returns the VM list of a size, spread evenly over services, regions
// and failure domains.
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

func version(revision uint64) preset.Version {
	return preset.Version{Revision: revision, Preset: preset.Default("ordinary", preset.KindOrdinary)}
}

// newState returns a control state that knows no server yet.
func newState(s size) *control.State {
	config := control.Config{
		GatewayID: "gw-khomas-01", Region: homeRegion, FailureDomain: "khomas-1",
		DomainLatency: int64(time.Millisecond), RegionLatency: int64(60 * time.Millisecond),
	}
	for i := range s.services {
		config.Services = append(config.Services, control.ServiceConfig{Name: serviceName(i), Slots: 4})
	}
	state := control.NewState(config)
	state.Apply(1, control.PresetOffered{Version: version(1), Source: "store"})
	return state
}

// heapBytes returns the live heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime returns what this process has used so far.
func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// report prints figures that were measured once, without the time per operation.
func report(b *testing.B, figures map[string]float64) {
	b.ReportMetric(0, "ns/op")
	for unit, value := range figures {
		b.ReportMetric(value, unit)
	}
}

// repeat returns the mean time of a call in microseconds.
func repeat(f func()) float64 {
	const times = 500
	began := time.Now()
	for range times {
		f()
	}
	return float64(time.Since(began).Nanoseconds()) / 1000 / times
}
