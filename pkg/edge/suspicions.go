package edge

import (
	"slices"
	"time"

	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/gossip"
)

const (
	// suspicionRepeatInterval is how long after the first notice of a suspicion a gateway
	// sends it again, for lost messages, and suspicionNoticePeriod how long it is sent at all.
	suspicionRepeatInterval = time.Second
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

// record adds suspicions and removes those that are no longer sent.
func (n *suspicionNotices) record(now int64, suspicions []crashguard.Suspicion) {
	n.recent = slices.DeleteFunc(n.recent, func(notice suspicionNotice) bool {
		return now-notice.recordedAt >= int64(suspicionNoticePeriod)
	})
	for _, suspicion := range suspicions {
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
			suspicions = append(suspicions, gossipSuspicion(notice.suspicion))
			at, told = now, true
		}
		if told {
			toldAt[notice.number] = at
		}
	}
	t.toldAt = toldAt
	return suspicions
}

func gossipSuspicion(suspicion crashguard.Suspicion) gossip.Suspicion {
	return gossip.Suspicion{
		Fingerprint: uint64(suspicion.Fingerprint), Server: gossip.ServerKey(suspicion.Server.ID),
		Incarnation: suspicion.Server.Incarnation,
	}
}

// applySuspicions applies the suspicions of another gateway.
func (e *Edge) applySuspicions(now int64, indexed *indexedSnapshot, suspicions []gossip.Suspicion) {
	for _, suspicion := range suspicions {
		server, ok := indexed.byKey[suspicion.Server]
		if !ok {
			continue
		}
		lost := crashguard.Server{ID: server.ID, Incarnation: suspicion.Incarnation}
		e.guard.AddPeerSuspicion(now, crashguard.Fingerprint(suspicion.Fingerprint), lost, "peer")
	}
}
