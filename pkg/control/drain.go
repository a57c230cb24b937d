package control

import (
	"maps"
	"slices"
	"time"

	"balsamhill/pkg/health"
)

// earlyNotice is a drain notice of an incarnation that is not in the table.
type earlyNotice struct {
	incarnation uint64
	// at is when the server announced, on this gateway's clock.
	at int64
}

// maxEarlyNotices bounds the memory that wrong reports of peers can take.
const maxEarlyNotices = 1024

func (s *State) applyDrain(now int64, notice DrainNoticed) {
	at := now - max(0, notice.Age)
	row, ok := s.servers[notice.ServerID]
	if !ok || notice.Incarnation > row.incarnation {
		s.applyNewerNotice(now, notice, at)
		return
	}
	if notice.Incarnation != 0 && notice.Incarnation < row.incarnation {
		return
	}
	s.noticeDrain(now, row, at, notice.FromPeer == "")
}

// newerNotice is by how much the time of a peer's notice must exceed that of the
// known one to be passed on. It is below the interval at which the gateway that
// sees the server announce tells of it, which is 10 s, and above the time that a
// notice travels, which makes its own echo look newer.
const newerNotice = int64(5 * time.Second)

// noticeDrain takes a notice in and tells the peers of it: of the first one, of
// a repeated one if this gateway saw it on the wire, and of a peer's that is
// newer. Passing a peer's notices on reaches gateways that are not neighbours of
// its sender. Each announcement is passed on once, because its echo is not newer.
func (s *State) noticeDrain(now int64, row *serverRow, at int64, onWire bool) {
	newer := min(at, now)-row.drain.NoticedAt() > newerNotice
	first := row.drain.Notice(now, at)
	s.dirty = s.dirty || first
	if !row.drain.Noticed(now) || (!first && !onWire && !newer) {
		return
	}
	if !row.drain.ShouldNotifyPeers(now) && !first {
		return
	}
	s.actions = append(s.actions, AnnounceDrain{
		ServerID:    row.id,
		Incarnation: row.incarnation,
		Age:         now - row.drain.NoticedAt(),
	})
}

// applyNewerNotice takes in a notice of an incarnation that this gateway's list
// does not show yet. The notice waits for it, and the older incarnation in the
// table gets no new work either, because it no longer exists.
func (s *State) applyNewerNotice(now int64, notice DrainNoticed, at int64) {
	s.keepEarlyNotice(now, notice, at)
	row, ok := s.servers[notice.ServerID]
	if !ok || !row.drain.Notice(now, at) {
		return
	}
	s.dirty = true
	if row.drain.ShouldNotifyPeers(now) {
		s.actions = append(s.actions, AnnounceDrain{
			ServerID: notice.ServerID, Incarnation: notice.Incarnation, Age: now - row.drain.NoticedAt(),
		})
	}
}

func (s *State) keepEarlyNotice(now int64, notice DrainNoticed, at int64) {
	known, ok := s.earlyNotices[notice.ServerID]
	if !ok && len(s.earlyNotices) >= maxEarlyNotices {
		return
	}
	if now-at > int64(health.NoticeTTL) || notice.Incarnation < known.incarnation {
		return
	}
	if notice.Incarnation == known.incarnation {
		at = max(at, known.at)
	}
	s.earlyNotices[notice.ServerID] = earlyNotice{incarnation: notice.Incarnation, at: at}
}

// applyEarlyNotice uses a notice that came before a row. A notice of a newer
// incarnation than the row's stays, for the row that will replace it.
func (s *State) applyEarlyNotice(now int64, row *serverRow) {
	notice, ok := s.earlyNotices[row.id]
	if !ok {
		return
	}
	if notice.incarnation <= row.incarnation {
		delete(s.earlyNotices, row.id)
	}
	if notice.incarnation == 0 || notice.incarnation >= row.incarnation {
		row.drain.Notice(now, notice.at)
	}
}

// runWireDrainSystem takes drain notices that traffic left in the statistics.
func (s *State) runWireDrainSystem(now int64) {
	for _, row := range s.sortedServers() {
		noticedAt := row.stats.DrainNoticedAt.Load()
		if noticedAt > row.lastNotice {
			row.lastNotice = noticedAt
			s.noticeDrain(now, row, noticedAt, true)
		}
		if noticed := row.drain.Noticed(now); noticed != row.noticed {
			row.noticed = noticed
			s.dirty = true
		}
	}
	for id, notice := range s.earlyNotices {
		if now-notice.at > int64(health.NoticeTTL) {
			delete(s.earlyNotices, id)
		}
	}
}

// confirmDrain takes in that the list shows a server as leaving. Peers whose
// list lags hear of it like of a notice that was seen now.
func (s *State) confirmDrain(now int64, row *serverRow) {
	if !row.drain.ConfirmListed() {
		return
	}
	s.dirty = true
	if row.drain.ShouldNotifyPeers(now) {
		s.actions = append(s.actions, AnnounceDrain{ServerID: row.id, Incarnation: row.incarnation})
	}
}

// Drains returns the evidence in force. A gateway sends it to a peer when a
// session starts, because a restarted peer has lost its evidence and notices are
// otherwise sent only once.
func (s *State) Drains(now int64) []AnnounceDrain {
	var drains []AnnounceDrain
	for _, row := range s.sortedServers() {
		if _, newer := s.earlyNotices[row.id]; newer || !row.drain.Leaving(now) {
			continue
		}
		learned := AnnounceDrain{ServerID: row.id, Incarnation: row.incarnation}
		if !row.drain.Listed() {
			learned.Age = now - row.drain.NoticedAt()
		}
		drains = append(drains, learned)
	}
	for _, id := range slices.Sorted(maps.Keys(s.earlyNotices)) {
		notice := s.earlyNotices[id]
		drains = append(drains, AnnounceDrain{ServerID: id, Incarnation: notice.incarnation, Age: now - notice.at})
	}
	return drains
}
