package control

import (
	"math"
	"time"

	"balsamhill/pkg/withdrawal"
)

// draining reports whether the server gets no new calls because it leaves.
func (r *serverRow) draining(now int64) bool {
	return r.leaving || r.drain.Draining(now)
}

// updateWithdrawals applies and reports what servers said of the work that they want.
func (s *State) updateWithdrawals(now int64) {
	for _, row := range s.sortedServers() {
		s.updateLeaving(row)
		s.updatePause(now, row)
	}
	s.withdrawals.Expire(now, func(server withdrawal.Server) bool {
		row, ok := s.servers[server.ID]
		return ok && row.incarnation == server.Incarnation
	})
}

func (s *State) updateLeaving(row *serverRow) {
	if row.leaving {
		return
	}
	at, source, leaving := row.stats.Withdrawal.Leaving()
	if !leaving {
		return
	}
	row.leaving = true
	s.dirty = true
	withdrew := row.withdrew()
	withdrew.Leaving, withdrew.Source, withdrew.At = true, source, at
	s.actions = append(s.actions, withdrew)
}

// updatePause reports the begin and the end of a pause, also if it lasted for less than a
// tick.
func (s *State) updatePause(now int64, row *serverRow) {
	pause := row.stats.Withdrawal.Pause()
	if pause.Number == 0 {
		return
	}
	withdrew := row.withdrew()
	withdrew.At, withdrew.Until = pause.From, pause.To
	if pause.Number != row.pause.Number {
		row.pauseEnded = false
		s.actions = append(s.actions, withdrew)
	}
	row.pause = pause
	if !row.pauseEnded && now >= pause.To {
		row.pauseEnded = true
		s.actions = append(s.actions, WithdrawalEnded{ServerWithdrew: withdrew, EndedAt: pause.To})
	}
}

func (r *serverRow) withdrew() ServerWithdrew {
	return ServerWithdrew{ServerID: r.id, Service: r.service, Incarnation: r.incarnation}
}

// reportLeft reports that a server that was leaving is gone.
func (s *State) reportLeft(now int64, row *serverRow) {
	at, source, leaving := row.stats.Withdrawal.Leaving()
	if !leaving || !row.leaving {
		return
	}
	withdrew := row.withdrew()
	withdrew.Leaving, withdrew.Source, withdrew.At = true, source, at
	s.actions = append(s.actions, WithdrawalEnded{ServerWithdrew: withdrew, EndedAt: now})
}

// linkWithdrawals lets a new process of a server have what it said in responses that were taken
// for those of the old one, because its entry had not been read yet.
func (s *State) linkWithdrawals(old, row *serverRow) {
	if s.unixAtZero == 0 {
		return
	}
	started := int64(min(row.incarnation, math.MaxInt64/uint64(time.Millisecond))) * int64(time.Millisecond)
	old.stats.Withdrawal.SucceededBy(row.stats.Withdrawal, started-s.unixAtZero)
}
