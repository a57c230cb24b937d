package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamhill/pkg/preset"
)

// Snapshot holds the routes, services and servers that calls are handled with. It is
// immutable; the control loop publishes a new one after each change.
type Snapshot struct {
	Version preset.Version
	// Routes is nil if the routes come from the settings.
	Routes   *RouteTable
	Services map[string]*ServiceView
	// ServersByID holds the servers of all services.
	ServersByID map[string]*Server
}

// HasServer reports whether a service has a server that may get calls.
func (s *Snapshot) HasServer() bool {
	for _, view := range s.Services {
		if len(view.candidates()) > 0 {
			return true
		}
	}
	return false
}

// ServiceView is one service in a snapshot.
type ServiceView struct {
	Name string
	// Slots applies to servers without a number of their own; see Server.Slots.
	Slots int
	// Servers holds all known servers, whether available or not.
	Servers []*Server
	// Local holds the available servers of the gateway's region, Remote those of other
	// regions.
	Local  []*Server
	Remote []*Server
	// LastResort holds the servers whose Server.LastResort is set. They are used if
	// Local and Remote are empty.
	LastResort []*Server
	// All holds Local and Remote, for policies that account for network latency
	// themselves.
	All []*Server
	// SpillShare is the share of calls, 0 to 1, that are sent to Remote although Local
	// is not empty.
	SpillShare float64
	Tuning     preset.Tuning
	policy     Policy
}

// Pick holds what a policy needs for the choice of a server for one attempt.
type Pick struct {
	// Rand is owned by the calling goroutine.
	Rand *rand.Rand
	// Now is the time in nanoseconds.
	Now int64
	// Tried holds servers that must not be chosen again for this call.
	Tried []*Server
	// Slots is the number of requests that a server of the service runs at once;
	// ServiceView.Choose sets it.
	Slots int
	// ServiceTime is the expected time of the call on an idle server without slowdown,
	// in nanoseconds, 0 if unknown.
	ServiceTime int64
	// SaturationFactor is the factor by which the call takes longer on a server with
	// all slots taken, 0 if unknown; see ServiceTimeEstimator.SaturationFactor.
	SaturationFactor float64
	// MaxLatency, if set, excludes servers that have no headroom (see HeadroomOf), that
	// are expected to respond later than in this many nanoseconds, or to which
	// transferring the bytes of the call costs more than serving it gains.
	// Only LeastExpectedLatency uses it.
	MaxLatency int64
	// Bytes is the expected size of the request and response bodies.
	Bytes int64
}

// Policy chooses one of the candidates, of which there is at least one.
// Implementations are safe for concurrent use, take no lock, and look at a bounded
// number of candidates unless their comment says otherwise.
type Policy interface {
	Choose(candidates []*Server, pick Pick) *Server
}

// Wait returns the shortest time until this gateway may send a request to one of the
// servers of the service, false if it cannot be known: each one leaves, or has a limit of
// which this gateway holds no lease.
func (v *ServiceView) Wait(now int64) (wait time.Duration, ok bool) {
	for _, server := range v.candidates() {
		current, known := server.Stats.wait(now)
		if known && (!ok || current < wait) {
			wait, ok = current, true
		}
	}
	return wait, ok
}

// Withdrawals counts the servers of the service that leave according to their responses, and
// those that want no request of this gateway for some time.
func (v *ServiceView) Withdrawals(now int64) (leaving, paused int) {
	for _, server := range v.Servers {
		status := server.Stats.Withdrawal
		_, _, leaves := status.Leaving()
		switch {
		case leaves:
			leaving++
		case !status.MaySend(now):
			paused++
		}
	}
	return leaving, paused
}

// AllWithdrawn reports whether there are servers and each of them is withdrawn.
func (v *ServiceView) AllWithdrawn(now int64) bool {
	candidates := v.candidates()
	for _, server := range candidates {
		if server.Stats.Withdrawal.MaySend(now) {
			return false
		}
	}
	return len(candidates) > 0
}

// candidates returns the available servers, those of last resort if there are none.
func (v *ServiceView) candidates() []*Server {
	if len(v.All) == 0 {
		return v.LastResort
	}
	return v.All
}

// Usable returns the number of available servers, without those of last resort.
func (v *ServiceView) Usable() int {
	return len(v.Local) + len(v.Remote)
}

// maxChoiceAttempts bounds how often a choice is repeated because the policy returned
// a server that the call has already tried.
const maxChoiceAttempts = 4

// Choose returns a server, or nil if none is available that has not been tried.
func (v *ServiceView) Choose(pick Pick) *Server {
	pick.Slots = v.Slots
	if _, crossRegion := v.policy.(LeastExpectedLatency); crossRegion {
		return v.chooseByExpectedLatency(pick)
	}
	first, second := v.Local, v.Remote
	if len(first) == 0 || (len(second) > 0 && v.SpillShare > 0 && pick.Rand.Float64() < v.SpillShare) {
		first, second = second, first
	}
	server := v.chooseFrom(first, pick)
	if server == nil {
		server = v.chooseFrom(second, pick)
	}
	if server == nil && v.Usable() == 0 {
		server = v.chooseFrom(v.LastResort, pick)
	}
	if server != nil {
		server.Stats.recordChoice(pick.Now)
	}
	return server
}

func (v *ServiceView) chooseByExpectedLatency(pick Pick) *Server {
	server := v.policy.Choose(v.candidates(), pick)
	if server != nil {
		server.Stats.recordChoice(pick.Now)
	}
	return server
}

func (v *ServiceView) chooseFrom(candidates []*Server, pick Pick) *Server {
	if len(candidates) == 0 {
		return nil
	}
	for range maxChoiceAttempts {
		server := v.policy.Choose(candidates, pick)
		if !pick.excludes(server) {
			return server
		}
	}
	// Falls back to a scan that starts at a random candidate, so that an untried
	// server is found if there is one.
	start := pick.Rand.IntN(len(candidates))
	for i := range candidates {
		server := candidates[(start+i)%len(candidates)]
		if !pick.excludes(server) {
			return server
		}
	}
	return nil
}

// excludes reports whether a server must not be chosen: it was tried, or takes no request
// of this gateway now.
func (p *Pick) excludes(server *Server) bool {
	return contains(p.Tried, server) || !server.Stats.MaySend(p.Now)
}

func contains(servers []*Server, wanted *Server) bool {
	for _, server := range servers {
		if server.ID == wanted.ID {
			return true
		}
	}
	return false
}

// NewServiceView returns the view of a service for a gateway in the given region.
func NewServiceView(name string, slots int, region string, tuning preset.Tuning, servers []*Server) *ServiceView {
	view := &ServiceView{
		Name:    name,
		Slots:   slots,
		Servers: servers,
		Tuning:  tuning,
		policy:  NewPolicy(tuning.Policy),
	}
	for _, server := range servers {
		switch {
		case server.LastResort:
			view.LastResort = append(view.LastResort, server)
		case server.Availability != Available:
		case server.Region == region:
			view.Local = append(view.Local, server)
		default:
			view.Remote = append(view.Remote, server)
		}
	}
	view.All = slices.Concat(view.Local, view.Remote)
	return view
}

// NewPolicy returns the policy with the given name, HotCold if the name is unknown.
func NewPolicy(name preset.Policy) Policy {
	switch name {
	case preset.PolicyRandom:
		return Random{}
	case preset.PolicyRoundRobin:
		return &RoundRobin{}
	case preset.PolicyLeastInFlight:
		return LeastInFlight{}
	case preset.PolicyPowerOfTwo:
		return PowerOfTwo{}
	case preset.PolicyWeightedLoad:
		return WeightedLoad{}
	case preset.PolicyLeastExpectedLatency:
		return LeastExpectedLatency{}
	default:
		return HotCold{}
	}
}
