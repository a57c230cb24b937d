package membership

import (
	"cmp"
	"slices"
	"time"

	"balsamhill/pkg/platform"
)

const (
	// RegionTimeout is how long a silent gateway of the own region counts as alive.
	RegionTimeout = 3 * time.Second
	// RelayTimeout is the same for speakers of the far region.
	RelayTimeout = 6 * time.Second
	// RemoteTimeout is the same for other gateways of the far region; it spans two
	// heartbeats of RemoteInterval.
	RemoteTimeout = 35 * time.Second
	// LocalInterval is the time between heartbeats within a region and between
	// speakers.
	LocalInterval = time.Second
	// RemoteInterval is the time between heartbeats of other pairs across the link.
	RemoteInterval = 15 * time.Second
)

// Gateway is one gateway as seen by another.
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
	// inRows and inList say which source named it when last read.
	inRows, inList bool
	// heardAt is the time of the last heartbeat, 0 if none.
	heardAt int64
	// heardSinceRead says that a heartbeat came since the last read of the rows.
	heardSinceRead bool
	// introducedAt is when a peer named it, 0 if none did.
	introducedAt int64
	// replacedAt is when an earlier incarnation was found replaced, 0 if none was.
	// The new one does not know the calls of its predecessor.
	replacedAt int64
	// spokeSince is when it became one of the expected speakers, 0 if it is none.
	spokeSince int64
	// mute marks an expected speaker that sent no heartbeat in time.
	mute bool
}

// View is what one gateway knows of the others. Times are nanoseconds on its
// monotonic clock. It is not safe for concurrent use.
type View struct {
	self    Gateway
	members map[string]*member
	// rowsRead says that the gateway rows were read at least once.
	rowsRead bool
	// feedReadAt is when the last complete read of the claims began.
	feedReadAt int64
	// latest is the time of the last event.
	latest int64
}

// NewView returns the view of a gateway that knows only itself.
func NewView(self Gateway) *View {
	return &View{self: self, members: make(map[string]*member)}
}

// ApplyRows takes a complete read of the gateway rows; storeTime is the store's
// clock at the read. Rows older than RowTTL are ignored. Between reads, for
// example while the store is down, the last read stays valid.
func (v *View) ApplyRows(now int64, storeTime time.Time, rows []Row) {
	v.latest = now
	v.rowsRead = true
	for _, m := range v.members {
		m.inRows = false
		m.heardSinceRead = v.heardRecently(now, m)
	}
	for _, row := range rows {
		if row.ID == v.self.ID || storeTime.Sub(row.WrittenAt) > RowTTL {
			continue
		}
		m := v.learn(Gateway{
			ID: row.ID, Incarnation: row.Incarnation, Region: row.Region,
			Peer: row.Peer, State: row.State, Revision: row.Revision,
		})
		m.inRows = m.Incarnation == row.Incarnation
	}
}

// ApplyList takes the platform's list. Its incarnations are those of VMs and
// are not compared to those of gateway processes.
func (v *View) ApplyList(vms []platform.VM) {
	for _, m := range v.members {
		m.inList = false
	}
	for _, vm := range vms {
		if vm.Role != platform.RoleGateway || vm.ID == v.self.ID {
			continue
		}
		m := v.members[vm.ID]
		if m == nil {
			m = v.learn(Gateway{ID: vm.ID, Region: vm.Region, Peer: vm.Address})
		}
		m.inList = true
		if m.Peer == "" {
			m.Peer = vm.Address
		}
	}
}

// AddGateway takes a gateway that a peer named. It is kept for RowTTL unless
// another source names it or it is heard.
func (v *View) AddGateway(now int64, g Gateway) {
	if g.ID == v.self.ID || v.members[g.ID] != nil {
		return
	}
	v.latest = now
	m := v.learn(Gateway{ID: g.ID, Region: g.Region, Peer: g.Peer})
	m.introducedAt = now
}

// RecordHeartbeat takes a heartbeat. It reports false for a heartbeat of an incarnation
// that has been replaced; its session must be closed.
func (v *View) RecordHeartbeat(now int64, beat Gateway) bool {
	known := v.members[beat.ID]
	if beat.ID == v.self.ID || (known != nil && beat.Incarnation < known.Incarnation) {
		return false
	}
	v.latest = now
	m := v.learn(beat)
	m.heardAt = now
	m.heardSinceRead = true
	m.mute = false
	return true
}

// learn merges what a source says. A higher incarnation replaces everything, an
// older one changes nothing, and within one incarnation the revision only rises.
func (v *View) learn(g Gateway) *member {
	m := v.members[g.ID]
	switch {
	case m == nil:
		m = &member{Gateway: g}
		v.members[g.ID] = m
	case g.Incarnation > m.Incarnation:
		peer, replacedAt := cmp.Or(g.Peer, m.Peer), m.replacedAt
		if m.Incarnation != 0 {
			replacedAt = v.latest
		}
		*m = member{Gateway: g, inList: m.inList, replacedAt: replacedAt}
		m.Peer = peer
	case g.Incarnation == m.Incarnation:
		m.State = g.State
		m.Region = g.Region
		m.Revision = max(m.Revision, g.Revision)
		m.Peer = cmp.Or(g.Peer, m.Peer)
	}
	return m
}

// Expire removes gateways that are silent and that no source names any more. It
// also marks silent speakers, so that the next in rank takes their place.
func (v *View) Expire(now int64) {
	for id, m := range v.members {
		if !v.keep(now, m) {
			delete(v.members, id)
		}
	}
	speaks := v.IsRelay(now)
	for region := range v.farRegions() {
		v.expectSpeakers(now, region, speaks)
	}
}

func (v *View) keep(now int64, m *member) bool {
	if m.inRows || m.inList || m.heardSinceRead || v.heardRecently(now, m) {
		return true
	}
	return m.introducedAt != 0 && now-m.introducedAt <= int64(RowTTL)
}

func (v *View) farRegions() map[string]bool {
	regions := make(map[string]bool)
	for _, m := range v.members {
		if m.Region != v.self.Region {
			regions[m.Region] = true
		}
	}
	return regions
}

// expectSpeakers starts the clock of new speakers and marks silent ones. Only a
// speaker may expect their frequent heartbeats.
func (v *View) expectSpeakers(now int64, region string, speaks bool) {
	speakers := v.Relays(now, region)
	for _, m := range v.members {
		if m.Region != region {
			continue
		}
		switch {
		case !speaks || !slices.Contains(speakers, m.ID):
			m.spokeSince = 0
		case m.spokeSince == 0:
			m.spokeSince = now
		case now-max(m.spokeSince, m.heardAt) > int64(RelayTimeout):
			m.mute = true
			m.spokeSince = 0
		}
	}
}

func (v *View) heardRecently(now int64, m *member) bool {
	if m.heardAt == 0 {
		return false
	}
	return now-m.heardAt <= int64(v.timeout(m))
}

// timeout returns the silence after which the member no longer counts as heard.
// Silent speakers are handled by expectSpeakers.
func (v *View) timeout(m *member) time.Duration {
	if m.Region == v.self.Region {
		return RegionTimeout
	}
	return RemoteTimeout
}

// Alive reports whether a gateway counts as alive: in the own region if its
// heartbeat is recent, in the far region if its row is valid or its heartbeat
// is recent, and it is not a silent speaker.
func (v *View) Alive(now int64, id string) bool {
	if id == v.self.ID {
		return true
	}
	m := v.members[id]
	if m == nil || m.mute {
		return false
	}
	if m.Region == v.self.Region {
		return v.heardRecently(now, m)
	}
	return m.inRows || v.heardRecently(now, m)
}

// RecordFeedRead records that all claims until a time were read. Attempts of earlier
// incarnations are among them.
func (v *View) RecordFeedRead(startedAt int64) {
	v.feedReadAt = startedAt
}

// PossibleAttemptHolders returns the gateways that may hold an attempt of a key: those
// with a row at the last read, those heard since even if they are silent now,
// those in the platform's list and those that a peer named. It reports false if
// there may be others: the rows were never read, or a gateway was replaced since
// the claims were last read, so that nobody speaks for its predecessor.
func (v *View) PossibleAttemptHolders() ([]string, bool) {
	var ids []string
	complete := v.rowsRead
	for id, m := range v.members {
		if m.replacedAt != 0 && m.replacedAt >= v.feedReadAt {
			complete = false
		}
		if m.inRows || m.inList || m.heardSinceRead || m.introducedAt != 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids, complete
}

// WithRows returns the gateways with a valid row at the last read.
func (v *View) WithRows() []string {
	var ids []string
	for id, m := range v.members {
		if m.inRows {
			ids = append(ids, id)
		}
	}
	return ids
}

// KnownGateways returns all known gateways but the own one, in ID order.
func (v *View) KnownGateways() []Gateway {
	known := make([]Gateway, 0, len(v.members))
	for _, m := range v.members {
		known = append(known, m.Gateway)
	}
	slices.SortFunc(known, func(a, b Gateway) int { return cmp.Compare(a.ID, b.ID) })
	return known
}

// LastHeartbeatAt returns the time of the last heartbeat of a gateway, 0 if none.
func (v *View) LastHeartbeatAt(id string) int64 {
	m := v.members[id]
	if m == nil {
		return 0
	}
	return m.heardAt
}

// HeartbeatTimeout returns the silence after which the session with a gateway is
// broken.
func (v *View) HeartbeatTimeout(id string) time.Duration {
	m := v.members[id]
	switch {
	case m == nil:
		return RegionTimeout
	case m.mute:
		return RelayTimeout
	default:
		return v.timeout(m)
	}
}
