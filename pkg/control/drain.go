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
	// at is when the server sent the notice, on this gateway's clock.
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
	s.recordDrainNotice(now, row, at, notice.FromPeer == "")
}

// minNoticeAdvance is by how much the time of a peer's notice must exceed that of
// the known one to be passed on. It is below 10 s, the interval at which a
// gateway that receives notices from the server notifies its peers, and above the
// time that a notice takes to arrive, which makes a gateway's own notice look
// newer when a peer returns it.
const minNoticeAdvance = int64(5 * time.Second)

// recordDrainNotice records a notice and notifies the peers of it if it is the
// first one, if it is repeated and this gateway received it from the server
// (observed), or if it is a peer's and newer. Passing on a peer's notices reaches
// gateways that are not neighbours of its sender. Each notice is passed on once,
// because its copies are not newer.
func (s *State) recordDrainNotice(now int64, row *serverRow, at int64, observed bool) {
	newer := min(at, now)-row.drain.LastNoticeAt() > minNoticeAdvance
	first := row.drain.RecordNotice(now, at)
	s.dirty = s.dirty || first
	if !row.drain.NoticeValid(now) || (!first && !observed && !newer) {
		return
	}
	if !row.drain.ShouldNotifyPeers(now) && !first {
		return
	}
	s.actions = append(s.actions, AnnounceDrain{
		ServerID:    row.id,
		Incarnation: row.incarnation,
		Age:         now - row.drain.LastNoticeAt(),
	})
}

// applyNewerNotice applies a notice of an incarnation that this gateway's list
// does not show yet. The notice is kept for that incarnation, and the older
// incarnation in the table gets no new work either, because it no longer exists.
func (s *State) applyNewerNotice(now int64, notice DrainNoticed, at int64) {
	s.storeEarlyNotice(now, notice, at)
	row, ok := s.servers[notice.ServerID]
	if !ok || !row.drain.RecordNotice(now, at) {
		return
	}
	s.dirty = true
	if row.drain.ShouldNotifyPeers(now) {
		s.actions = append(s.actions, AnnounceDrain{
			ServerID: notice.ServerID, Incarnation: notice.Incarnation, Age: now - row.drain.LastNoticeAt(),
		})
	}
}

func (s *State) storeEarlyNotice(now int64, notice DrainNoticed, at int64) {
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

// applyEarlyNotice applies a notice that arrived before the row. A notice of a
// newer incarnation than the row's is kept for the row that will replace it.
func (s *State) applyEarlyNotice(now int64, row *serverRow) {
	notice, ok := s.earlyNotices[row.id]
	if !ok {
		return
	}
	if notice.incarnation <= row.incarnation {
		delete(s.earlyNotices, row.id)
	}
	if notice.incarnation == 0 || notice.incarnation >= row.incarnation {
		row.drain.RecordNotice(now, notice.at)
	}
}

// runDrainNoticeSystem applies the drain notices that requests and probes
// recorded in the statistics.
func (s *State) runDrainNoticeSystem(now int64) {
	for _, row := range s.sortedServers() {
		noticedAt := row.stats.DrainNoticedAt.Load()
		if noticedAt > row.lastNoticeAt {
			row.lastNoticeAt = noticedAt
			s.recordDrainNotice(now, row, noticedAt, true)
		}
		if drainNoticed := row.drain.NoticeValid(now); drainNoticed != row.drainNoticed {
			row.drainNoticed = drainNoticed
			s.dirty = true
		}
	}
	for id, notice := range s.earlyNotices {
		if now-notice.at > int64(health.NoticeTTL) {
			delete(s.earlyNotices, id)
		}
	}
}

// confirmDrain records that the list shows a server as leaving. Peers whose list
// lags are notified as if the server had sent a notice now.
func (s *State) confirmDrain(now int64, row *serverRow) {
	if !row.drain.RecordListed() {
		return
	}
	s.dirty = true
	if row.drain.ShouldNotifyPeers(now) {
		s.actions = append(s.actions, AnnounceDrain{ServerID: row.id, Incarnation: row.incarnation})
	}
}

// Drains returns the drain evidence in force. A gateway sends it to a peer when a
// session starts, because a restarted peer has lost its evidence and notices are
// otherwise sent only once.
func (s *State) Drains(now int64) []AnnounceDrain {
	var drains []AnnounceDrain
	for _, row := range s.sortedServers() {
		if _, newer := s.earlyNotices[row.id]; newer || !row.drain.Draining(now) {
			continue
		}
		drain := AnnounceDrain{ServerID: row.id, Incarnation: row.incarnation}
		if !row.drain.Listed() {
			drain.Age = now - row.drain.LastNoticeAt()
		}
		drains = append(drains, drain)
	}
	for _, id := range slices.Sorted(maps.Keys(s.earlyNotices)) {
		notice := s.earlyNotices[id]
		drains = append(drains, AnnounceDrain{ServerID: id, Incarnation: notice.incarnation, Age: now - notice.at})
	}
	return drains
}
