package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"balsamhill/pkg/control"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/routing"
)

// Policy is one policy of the comparison.
type Policy struct {
	Name         string
	presetPolicy preset.Policy
	// ideal chooses with exact and current data of all servers.
	ideal  bool
	hedges bool
	probes bool
}

// Policies returns the ideal policy, the baselines, and the default policy without
// and with hedges.
func Policies() []Policy {
	return []Policy{
		{Name: "ideal", presetPolicy: preset.PolicyRandom, ideal: true},
		{Name: "random", presetPolicy: preset.PolicyRandom},
		{Name: "round-robin", presetPolicy: preset.PolicyRoundRobin},
		{Name: "least-in-flight", presetPolicy: preset.PolicyLeastInFlight},
		{Name: "power-of-two", presetPolicy: preset.PolicyPowerOfTwo},
		{Name: "weighted-load", presetPolicy: preset.PolicyWeightedLoad},
		{Name: "hot-cold", presetPolicy: preset.PolicyHotCold, probes: true},
		{Name: "hot-cold-hedged", presetPolicy: preset.PolicyHotCold, probes: true, hedges: true},
	}
}

const (
	gatewaysPerRegion = 6
	// listLag is the delay until the platform's list shows a change.
	listLag      = 3 * time.Second
	listInterval = time.Second
	// startTime is not 0, because the simulated packages use the time 0 for "never".
	startTime = int64(time.Second)
)

// run is one simulation.
type run struct {
	clock      clock
	random     *rand.Rand
	deployment Deployment
	workload   Workload
	policy     Policy
	servers    []*server
	byID       map[string]*server
	gateways   []*gateway
	// list is the VM list that the platform serves now.
	list       []platform.VM
	rateFactor float64
	shares     []float64
	result     Result
}

// Run simulates one policy under one workload. Equal arguments give equal results.
func Run(deployment Deployment, workload Workload, policy Policy, seed uint64) *Result {
	r := &run{
		random:     rand.New(rand.NewPCG(seed, 1)),
		deployment: deployment,
		workload:   workload,
		policy:     policy,
		byID:       make(map[string]*server),
		rateFactor: 1,
	}
	r.clock.now = startTime
	if r.workload.Length == 0 {
		r.workload.Length = defaultLength
	}
	r.addServers()
	r.list = r.currentList()
	r.addGateways(seed)
	r.readList()
	if workload.Disturb != nil {
		workload.Disturb(r)
	}
	if workload.Shift {
		r.redrawRates()
	}
	r.scheduleArrival()
	r.clock.runUntil(startTime + int64(r.workload.Length))
	r.result.summarize(r)
	return &r.result
}

func (r *run) addServers() {
	for i := range r.deployment.Servers {
		s := &server{
			clock:       &r.clock,
			id:          fmt.Sprintf("s%02d", i),
			region:      fmt.Sprintf("r%d", i%2),
			domain:      fmt.Sprintf("r%d-d%d", i%2, i/2%2),
			incarnation: 1,
		}
		r.servers = append(r.servers, s)
		r.byID[s.id] = s
	}
}

func (r *run) addGateways(seed uint64) {
	version := preset.Version{Revision: 1, Preset: presetFor(r.policy.presetPolicy)}
	for i := range 2 * gatewaysPerRegion {
		g := &gateway{
			run:      r,
			id:       fmt.Sprintf("g%02d", i),
			region:   fmt.Sprintf("r%d", i%2),
			domain:   fmt.Sprintf("r%d-d%d", i%2, i/2%2),
			random:   rand.New(rand.NewPCG(seed, uint64(i)+100)),
			probedAt: make(map[string]int64),
		}
		g.state = control.NewState(control.Config{
			GatewayID:     g.id,
			Region:        g.region,
			FailureDomain: g.domain,
			Services:      []control.ServiceConfig{{Name: serviceName, Slots: slots}},
			DomainLatency: int64(2 * r.deployment.Domain),
			RegionLatency: int64(2 * r.deployment.Region),
		})
		g.state.Apply(r.clock.now, control.ServerListRead{VMs: r.list})
		g.state.Apply(r.clock.now, control.PresetOffered{Version: version, Source: "store"})
		r.gateways = append(r.gateways, g)
	}
	r.shares = make([]float64, len(r.gateways))
	for i := range r.shares {
		r.shares[i] = r.regionShare(i) / gatewaysPerRegion
	}
	for i, g := range r.gateways {
		g.tick()
		// Gateways send their summaries at different times.
		r.clock.after(time.Duration(i)*summaryInterval/time.Duration(len(r.gateways)), g.sendSummary)
	}
}

// regionShare returns the share of calls of a gateway's region, which equals its
// share of the servers.
func (r *run) regionShare(gateway int) float64 {
	first := float64((r.deployment.Servers + 1) / 2)
	if gateway%2 == 0 {
		return first / float64(r.deployment.Servers)
	}
	return 1 - first/float64(r.deployment.Servers)
}

func (r *run) currentList() []platform.VM {
	var vms []platform.VM
	for _, s := range r.servers {
		state := platform.VMLive
		if s.draining {
			state = platform.VMLeaving
		}
		vms = append(vms, platform.VM{
			ID: s.id, Role: platform.RoleServer, Incarnation: s.incarnation, Service: serviceName,
			Region: s.region, FailureDomain: s.domain, Address: s.id, State: state,
		})
	}
	return vms
}

// publishList makes the current state visible in the list after listLag.
func (r *run) publishList() {
	list := r.currentList()
	r.clock.after(listLag, func() { r.list = list })
}

func (r *run) readList() {
	for _, g := range r.gateways {
		g.state.Apply(r.clock.now, control.ServerListRead{VMs: r.list})
	}
	r.clock.after(listInterval, r.readList)
}

// redrawRates redraws the total rate and the shares of the gateways.
func (r *run) redrawRates() {
	r.rateFactor = 0.5 + r.random.Float64()
	sums := [2]float64{}
	for i := range r.shares {
		r.shares[i] = 0.2 + r.random.Float64()
		sums[i%2] += r.shares[i]
	}
	for i := range r.shares {
		r.shares[i] *= r.regionShare(i) / sums[i%2]
	}
	r.clock.after(shiftInterval, r.redrawRates)
}

// capacity returns the capacity of all servers in calls per second.
func (r *run) capacity() float64 {
	return float64(r.deployment.Servers*slots) / meanService.Seconds()
}

func (r *run) scheduleArrival() {
	load := r.workload.Load
	if r.overloaded(r.clock.now) {
		load = overloadShare
	}
	perSecond := load * r.rateFactor * r.capacity()
	gap := time.Duration(float64(exponential(r.random, time.Second)) / perSecond)
	r.clock.after(gap, func() {
		r.pickGateway().startCall()
		r.scheduleArrival()
	})
}

func (r *run) overloaded(at int64) bool {
	since := time.Duration(at - startTime)
	return r.workload.OverloadUntil > 0 && since >= r.workload.OverloadFrom && since < r.workload.OverloadUntil
}

func (r *run) pickGateway() *gateway {
	x := r.random.Float64()
	for i, share := range r.shares {
		x -= share
		if x < 0 {
			return r.gateways[i]
		}
	}
	return r.gateways[len(r.gateways)-1]
}

func (r *run) oneWayLatency(regionA, domainA, regionB, domainB string) time.Duration {
	switch {
	case regionA != regionB:
		return r.deployment.Region
	case domainA != domainB:
		return r.deployment.Domain
	default:
		return sameDomain
	}
}

// idealServer returns the server with the lowest expected response time, computed
// from its exact number of outstanding requests, its slowdown and its network latency.
func (r *run) idealServer(g *gateway, c *call) (*server, *routing.Server) {
	var best *server
	bestTime := 0.0
	offset := r.random.IntN(len(r.servers))
	for i := range r.servers {
		s := r.servers[(offset+i)%len(r.servers)]
		used := slices.ContainsFunc(c.attempts, func(a *attempt) bool { return a.server == s })
		if s.draining || s.down || s.failing || used {
			continue
		}
		waiting := max(0, s.outstanding+1-slots)
		expected := s.slowdown() * float64(meanService) * (1 + float64(waiting)/slots)
		expected += 2 * float64(r.oneWayLatency(g.region, g.domain, s.region, s.domain))
		if best == nil || expected < bestTime {
			best, bestTime = s, expected
		}
	}
	return best, nil
}
