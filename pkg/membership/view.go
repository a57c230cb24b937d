package membership

import (
	"cmp"
	"slices"
	"time"

	"balsamhill/pkg/platform"
)

const (
	// LocalTimeout is how long after its last heartbeat a gateway of the same
	// region counts as alive.
	LocalTimeout = 3 * time.Second
	// RelayTimeout is how long after its last heartbeat a relay of another region
	// counts as responsive.
	RelayTimeout = 6 * time.Second
	// RemoteTimeout is how long after its last heartbeat any other gateway of another
	// region counts as alive. It spans two heartbeats of RemoteInterval.
	RemoteTimeout = 35 * time.Second
	// LocalInterval is the time between heartbeats within a region and between
	// relays.
	LocalInterval = time.Second
	// RemoteInterval is the time between heartbeats of all other pairs of
	// gateways in different regions.
	RemoteInterval = 15 * time.Second
)

// Gateway describes one gateway.
type Gateway struct {
	ID          string
	Incarnation uint64
	Region      string
	// Peer is host:port of the peer listener, empty if it has none.
	Peer     string
	State    State
	Revision uint64
}

// member is one known gateway.
type member struct {
	Gateway
	// listedInStore says that the last read of the gateway rows listed it,
	// listedByPlatform that the platform's last list did.
	listedInStore, listedByPlatform bool
	// lastHeartbeatAt is the time of the last heartbeat, 0 if none.
	lastHeartbeatAt int64
	// heartbeatSinceRead says that a heartbeat arrived since the last read of the
	// rows.
	heartbeatSinceRead bool
	// listedAt is when a peer listed it, 0 if none did.
	listedAt int64
	// replacedAt is when this gateway found an earlier incarnation replaced, 0 if
	// none was. The new one has no record of its predecessor's attempts; see
	// GatewaysWithPossibleAttempts.
	replacedAt int64
	// relaySince is when this gateway began to expect the frequent heartbeats of
	// a relay from it, 0 if it does not expect them.
	relaySince int64
	// unresponsiveRelay marks a relay that sent no heartbeat within RelayTimeout.
	unresponsiveRelay bool
}

// View is one gateway's record of the others. Times are nanoseconds on its
// monotonic clock. It is not safe for concurrent use.
type View struct {
	self    Gateway
	members map[string]*member
	// rowsRead says that the gateway rows were read at least once.
	rowsRead bool
	// claimsReadAt is when the last complete read of the claims began.
	claimsReadAt int64
	// lastEventAt is the time of the last event.
	lastEventAt int64
}

// NewView returns a view without other gateways.
func NewView(self Gateway) *View {
	return &View{self: self, members: make(map[string]*member)}
}

// ApplyRows applies a complete read of the gateway rows; storeTime is the store's
// clock at the read. Rows older than RowTTL are ignored. Between reads, for
// example while the store is down, the last read stays valid.
func (v *View) ApplyRows(now int64, storeTime time.Time, rows []Row) {
	v.lastEventAt = now
	v.rowsRead = true
	for _, m := range v.members {
		m.listedInStore = false
		m.heartbeatSinceRead = v.hasRecentHeartbeat(now, m)
	}
	for _, row := range rows {
		if row.ID == v.self.ID || storeTime.Sub(row.WrittenAt) > RowTTL {
			continue
		}
		m := v.merge(Gateway{
			ID: row.ID, Incarnation: row.Incarnation, Region: row.Region,
			Peer: row.Peer, State: row.State, Revision: row.Revision,
		})
		m.listedInStore = m.Incarnation == row.Incarnation
	}
}

// ApplyList applies the platform's list. Its incarnations are those of VMs and
// are not compared to those of gateway processes.
func (v *View) ApplyList(vms []platform.VM) {
	for _, m := range v.members {
		m.listedByPlatform = false
	}
	for _, vm := range vms {
		if vm.Role != platform.RoleGateway || vm.ID == v.self.ID {
			continue
		}
		m := v.members[vm.ID]
		if m == nil {
			m = v.merge(Gateway{ID: vm.ID, Region: vm.Region, Peer: vm.Address})
		}
		m.listedByPlatform = true
		if m.Peer == "" {
			m.Peer = vm.Address
		}
	}
}

// AddGateway adds a gateway that a peer listed. It is kept for RowTTL unless
// another source lists it or it sends a heartbeat.
func (v *View) AddGateway(now int64, g Gateway) {
	if g.ID == v.self.ID || v.members[g.ID] != nil {
		return
	}
	v.lastEventAt = now
	m := v.merge(Gateway{ID: g.ID, Region: g.Region, Peer: g.Peer})
	m.listedAt = now
}

// RecordHeartbeat records a heartbeat. It returns false for a heartbeat of an
// incarnation that has been replaced; its session must be closed.
func (v *View) RecordHeartbeat(now int64, heartbeat Gateway) bool {
	existing := v.members[heartbeat.ID]
	if heartbeat.ID == v.self.ID || (existing != nil && heartbeat.Incarnation < existing.Incarnation) {
		return false
	}
	v.lastEventAt = now
	m := v.merge(heartbeat)
	m.lastHeartbeatAt = now
	m.heartbeatSinceRead = true
	m.unresponsiveRelay = false
	return true
}

// merge applies the description of a gateway from one source. A higher
// incarnation replaces everything, a lower one changes nothing, and within one
// incarnation the revision only rises.
func (v *View) merge(g Gateway) *member {
	m := v.members[g.ID]
	switch {
	case m == nil:
		m = &member{Gateway: g}
		v.members[g.ID] = m
	case g.Incarnation > m.Incarnation:
		peer, replacedAt := cmp.Or(g.Peer, m.Peer), m.replacedAt
		if m.Incarnation != 0 {
			replacedAt = v.lastEventAt
		}
		*m = member{Gateway: g, listedByPlatform: m.listedByPlatform, replacedAt: replacedAt}
		m.Peer = peer
	case g.Incarnation == m.Incarnation:
		m.State = g.State
		m.Region = g.Region
		m.Revision = max(m.Revision, g.Revision)
		m.Peer = cmp.Or(g.Peer, m.Peer)
	}
	return m
}

// Expire removes gateways that send no heartbeats and that no source lists any
// more. It also marks unresponsive relays, so that the next gateways in rank replace
// them.
func (v *View) Expire(now int64) {
	for id, m := range v.members {
		if !v.shouldKeep(now, m) {
			delete(v.members, id)
		}
	}
	isRelay := v.IsRelay(now)
	for region := range v.remoteRegions() {
		v.checkRelays(now, region, isRelay)
	}
}

func (v *View) shouldKeep(now int64, m *member) bool {
	if m.listedInStore || m.listedByPlatform || m.heartbeatSinceRead || v.hasRecentHeartbeat(now, m) {
		return true
	}
	return m.listedAt != 0 && now-m.listedAt <= int64(RowTTL)
}

func (v *View) remoteRegions() map[string]bool {
	regions := make(map[string]bool)
	for _, m := range v.members {
		if m.Region != v.self.Region {
			regions[m.Region] = true
		}
	}
	return regions
}

// checkRelays starts the timeout of new relays of a region and marks unresponsive
// ones. Only a relay may expect their frequent heartbeats.
func (v *View) checkRelays(now int64, region string, isRelay bool) {
	relays := v.Relays(now, region)
	for _, m := range v.members {
		if m.Region != region {
			continue
		}
		switch {
		case !isRelay || !slices.Contains(relays, m.ID):
			m.relaySince = 0
		case m.relaySince == 0:
			m.relaySince = now
		case now-max(m.relaySince, m.lastHeartbeatAt) > int64(RelayTimeout):
			m.unresponsiveRelay = true
			m.relaySince = 0
		}
	}
}

func (v *View) hasRecentHeartbeat(now int64, m *member) bool {
	if m.lastHeartbeatAt == 0 {
		return false
	}
	return now-m.lastHeartbeatAt <= int64(v.heartbeatTimeout(m))
}

// heartbeatTimeout returns the time without a heartbeat after which the member's
// last heartbeat no longer counts as recent. checkRelays handles unresponsive
// relays.
func (v *View) heartbeatTimeout(m *member) time.Duration {
	if m.Region == v.self.Region {
		return LocalTimeout
	}
	return RemoteTimeout
}

// Alive reports whether a gateway counts as alive: in this gateway's region if
// its heartbeat is recent, in another region if its row is valid or its heartbeat
// is recent, unless it is an unresponsive relay.
func (v *View) Alive(now int64, id string) bool {
	if id == v.self.ID {
		return true
	}
	m := v.members[id]
	if m == nil || m.unresponsiveRelay {
		return false
	}
	if m.Region == v.self.Region {
		return v.hasRecentHeartbeat(now, m)
	}
	return m.listedInStore || v.hasRecentHeartbeat(now, m)
}

// RecordClaimsRead records a complete read of the claims that began at startedAt.
// The claims include the attempts of earlier incarnations.
func (v *View) RecordClaimsRead(startedAt int64) {
	v.claimsReadAt = startedAt
}

// GatewaysWithPossibleAttempts returns the gateways that may have an attempt
// of a call with an idempotency key in flight: those with a row at the last
// read, those that sent a heartbeat since, even if they are unresponsive now,
// those in the platform's list and those that a peer listed. It reports false
// if there may be others: the rows were never read, or a gateway was replaced
// since the claims were last read, so that no gateway can report the attempts
// of its predecessor.
func (v *View) GatewaysWithPossibleAttempts() ([]string, bool) {
	var ids []string
	complete := v.rowsRead
	for id, m := range v.members {
		if m.replacedAt != 0 && m.replacedAt >= v.claimsReadAt {
			complete = false
		}
		if m.listedInStore || m.listedByPlatform || m.heartbeatSinceRead || m.listedAt != 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids, complete
}

// IDsWithRow returns the IDs of the gateways with a valid row at the last read.
func (v *View) IDsWithRow() []string {
	var ids []string
	for id, m := range v.members {
		if m.listedInStore {
			ids = append(ids, id)
		}
	}
	return ids
}

// KnownGateways returns all known gateways except this one, in ID order.
func (v *View) KnownGateways() []Gateway {
	gateways := make([]Gateway, 0, len(v.members))
	for _, m := range v.members {
		gateways = append(gateways, m.Gateway)
	}
	slices.SortFunc(gateways, func(a, b Gateway) int { return cmp.Compare(a.ID, b.ID) })
	return gateways
}

// LastHeartbeatAt returns the time of the last heartbeat of a gateway, 0 if none.
func (v *View) LastHeartbeatAt(id string) int64 {
	m := v.members[id]
	if m == nil {
		return 0
	}
	return m.lastHeartbeatAt
}

// SessionTimeout returns the time without a heartbeat after which the session
// with a gateway is closed.
func (v *View) SessionTimeout(id string) time.Duration {
	m := v.members[id]
	switch {
	case m == nil:
		return LocalTimeout
	case m.unresponsiveRelay:
		return RelayTimeout
	default:
		return v.heartbeatTimeout(m)
	}
}
