package edge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/gossip"
)

const (
	// suspicionRepeatInterval is how often a gateway sends a suspicion again, for lost messages
	// and gateways that have just started, and suspicionNoticePeriod is for how long. A caller
	// sends a request that failed again after about a second.
	suspicionRepeatInterval = 400 * time.Millisecond
	suspicionNoticePeriod   = 2500 * time.Millisecond
	// suspicionsPerMessage keeps messages below the usual maximum size of a packet.
	suspicionsPerMessage = 20
)

// suspicionNotice is a suspicion that other gateways are told.
type suspicionNotice struct {
	number     uint64
	suspicion  crashguard.Suspicion
	recordedAt int64
}

// suspicionNotices holds the suspicions of the last suspicionNoticePeriod, those of peers too.
type suspicionNotices struct {
	recent []suspicionNotice
	last   uint64
}

// record adds suspicions and removes those that are no longer sent, or whose request a server
// has responded to.
func (n *suspicionNotices) record(now int64, suspicions []crashguard.Suspicion) {
	n.recent = slices.DeleteFunc(n.recent, func(notice suspicionNotice) bool {
		return now-notice.recordedAt >= int64(suspicionNoticePeriod)
	})
	for _, suspicion := range suspicions {
		if suspicion.Cleared {
			n.recent = slices.DeleteFunc(n.recent, func(notice suspicionNotice) bool {
				return notice.suspicion.Fingerprint == suspicion.Fingerprint
			})
		}
		n.last++
		n.recent = append(n.recent, suspicionNotice{number: n.last, suspicion: suspicion, recordedAt: now})
	}
}

// toldSuspicions says when some of the other gateways were told suspicions, by the number of
// the notice.
type toldSuspicions struct {
	toldAt map[uint64]int64
}

// take returns the suspicions for the next message, and records that they are sent. Unless
// all is set, it leaves out those that this gateway knows from a peer.
func (t *toldSuspicions) take(now int64, notices *suspicionNotices, all bool) []gossip.Suspicion {
	if len(notices.recent) == 0 {
		t.toldAt = nil
		return nil
	}
	var suspicions []gossip.Suspicion
	toldAt := make(map[uint64]int64, len(notices.recent))
	for _, notice := range notices.recent {
		at, told := t.toldAt[notice.number]
		due := !told || now-at >= int64(suspicionRepeatInterval)
		if due && len(suspicions) < suspicionsPerMessage && (all || notice.suspicion.From == "") {
			suspicions = append(suspicions, gossipSuspicion(now, notice.suspicion))
			at, told = now, true
		}
		if told {
			toldAt[notice.number] = at
		}
	}
	t.toldAt = toldAt
	return suspicions
}

// untold reports whether there are suspicions that take has not returned yet.
func (t *toldSuspicions) untold(notices *suspicionNotices, all bool) bool {
	return slices.ContainsFunc(notices.recent, func(notice suspicionNotice) bool {
		_, told := t.toldAt[notice.number]
		return !told && (all || notice.suspicion.From == "")
	})
}

func gossipSuspicion(now int64, suspicion crashguard.Suspicion) gossip.Suspicion {
	encoded := gossip.Suspicion{Fingerprint: uint64(suspicion.Fingerprint), Cleared: suspicion.Cleared}
	if suspicion.Cleared {
		return encoded
	}
	encoded.Server, encoded.Incarnation = gossip.ServerKey(suspicion.Server.ID), suspicion.Server.Incarnation
	if suspicion.SentAt != 0 {
		encoded.SentAge, encoded.LostAge = time.Duration(now-suspicion.SentAt), time.Duration(now-suspicion.LostAt)
	}
	return encoded
}

// applySuspicions applies the suspicions of another gateway.
func (e *Edge) applySuspicions(now int64, indexed *indexedSnapshot, suspicions []gossip.Suspicion) {
	for _, suspicion := range suspicions {
		applied := crashguard.Suspicion{
			Fingerprint: crashguard.Fingerprint(suspicion.Fingerprint), Cleared: suspicion.Cleared,
			LostAt: now - int64(suspicion.LostAge), From: "peer",
		}
		if suspicion.SentAge != 0 {
			applied.SentAt = now - int64(suspicion.SentAge)
		}
		if !suspicion.Cleared {
			server, ok := indexed.byKey[suspicion.Server]
			if !ok {
				continue
			}
			applied.Server = crashguard.Server{ID: server.ID, Incarnation: suspicion.Incarnation}
		}
		e.guard.AddPeerSuspicion(now, applied)
	}
}

// recordSuspicions records the suspicions that are new to this gateway.
func (s *sender) recordSuspicions(now int64) {
	suspicions := s.edge.guard.Outgoing()
	s.edge.logSuspicions(suspicions)
	s.suspicions.record(now, suspicions)
}

// logSuspicions logs suspicions that are new to this gateway.
func (e *Edge) logSuspicions(suspicions []crashguard.Suspicion) {
	for _, suspicion := range suspicions {
		request := fmt.Sprintf("%016x", uint64(suspicion.Fingerprint))
		source := cmp.Or(suspicion.From, "own")
		if suspicion.Cleared {
			e.log.Info("server has responded to a request that was suspected of crashing servers", "fingerprint", request, "source", source)
			continue
		}
		e.log.Info("request was in flight when the connection to a server was lost", "fingerprint", request,
			"server", suspicion.Server.ID, "incarnation", suspicion.Server.Incarnation, "source", source,
			"took", suspicion.Duration().String())
	}
}
