package control

import (
	"maps"
	"slices"
	"time"

	"balsamhill/pkg/health"
)

// pendingNotice is a drain notice of an incarnation that the list does not contain
// yet.
type pendingNotice struct {
	incarnation uint64
	// at is when the server sent the notice, on this gateway's clock.
	at int64
}

// maxPendingNotices bounds the memory that wrong notices of peers can take.
const maxPendingNotices = 1024

func (s *State) applyDrain(now int64, notice DrainNoticed) {
	at := now - max(0, notice.Age)
	row, ok := s.servers[notice.ServerID]
	if !ok || notice.Incarnation > row.incarnation {
		s.recordPendingNotice(now, notice, at)
		return
	}
	if notice.Incarnation != 0 && notice.Incarnation < row.incarnation {
		return
	}
	s.recordDrainNotice(now, row, at, notice.FromPeer == "")
}

// minNoticeAdvance is the minimum by which a peer's notice must be newer than the
// known one to be forwarded. It is below 10 s, the interval at which a gateway that
// receives notices from the server notifies its peers. It is above the transit time
// of a notice, so that a gateway's own notice does not count as newer when a peer
// returns it.
const minNoticeAdvance = int64(5 * time.Second)

// recordDrainNotice records a notice and notifies the peers in three cases: it is
// the first one; the server repeated it to this gateway (fromServer); or a peer sent
// it and it is newer. Forwarding the notices of peers reaches gateways that are not
// neighbours of their senders. Each notice is forwarded once, because its copies are
// not newer.
func (s *State) recordDrainNotice(now int64, row *serverRow, at int64, fromServer bool) {
	newer := min(at, now)-row.drain.LastNoticeAt() > minNoticeAdvance
	first := row.drain.RecordNotice(now, at)
	s.dirty = s.dirty || first
	if !row.drain.NoticeValid(now) || (!first && !fromServer && !newer) {
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

// recordPendingNotice records a notice of an incarnation that this gateway's list
// does not contain yet. The notice is kept for that incarnation, and the known older
// incarnation gets no new work either, because it no longer exists.
func (s *State) recordPendingNotice(now int64, notice DrainNoticed, at int64) {
	s.storePendingNotice(now, notice, at)
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

func (s *State) storePendingNotice(now int64, notice DrainNoticed, at int64) {
	known, ok := s.pendingNotices[notice.ServerID]
	if !ok && len(s.pendingNotices) >= maxPendingNotices {
		return
	}
	if now-at > int64(health.NoticeTTL) || notice.Incarnation < known.incarnation {
		return
	}
	if notice.Incarnation == known.incarnation {
		at = max(at, known.at)
	}
	s.pendingNotices[notice.ServerID] = pendingNotice{incarnation: notice.Incarnation, at: at}
}

// applyPendingNotice applies a notice that arrived before the server was listed. A
// notice of a newer incarnation than the row's is kept for the row that will replace
// it.
func (s *State) applyPendingNotice(now int64, row *serverRow) {
	notice, ok := s.pendingNotices[row.id]
	if !ok {
		return
	}
	if notice.incarnation <= row.incarnation {
		delete(s.pendingNotices, row.id)
	}
	if notice.incarnation == 0 || notice.incarnation >= row.incarnation {
		row.drain.RecordNotice(now, notice.at)
	}
}

// updateDrains applies the drain notices that requests and probes
// recorded in the statistics.
func (s *State) updateDrains(now int64) {
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
	for id, notice := range s.pendingNotices {
		if now-notice.at > int64(health.NoticeTTL) {
			delete(s.pendingNotices, id)
		}
	}
}

// confirmDrain records that the list contains a server as leaving. Peers whose list
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
		if _, newer := s.pendingNotices[row.id]; newer || !row.drain.Draining(now) {
			continue
		}
		drain := AnnounceDrain{ServerID: row.id, Incarnation: row.incarnation}
		if !row.drain.Listed() {
			drain.Age = now - row.drain.LastNoticeAt()
		}
		drains = append(drains, drain)
	}
	for _, id := range slices.Sorted(maps.Keys(s.pendingNotices)) {
		notice := s.pendingNotices[id]
		drains = append(drains, AnnounceDrain{ServerID: id, Incarnation: notice.incarnation, Age: now - notice.at})
	}
	return drains
}
