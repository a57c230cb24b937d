package health

import "time"

// Drain holds the evidence that one incarnation of a server is draining. The zero
// value holds no evidence.
type Drain struct {
	// listed says that the platform's list showed the server as draining. It is never
	// reset for this incarnation, because a list that lags behind may show an earlier
	// state again.
	listed bool
	// noticedAt is the time of the last drain notice, received in a response of the
	// server or from a peer.
	noticedAt int64
	// peersNotifiedAt is when a notice was last sent to peers.
	peersNotifiedAt int64
}

const (
	// NoticeTTL is how long a notice that the list does not confirm remains valid after
	// it was last repeated.
	NoticeTTL = 60 * time.Second
	// notifyInterval is the minimum interval between notifications of peers about the
	// same server. It is well below NoticeTTL, so that the evidence of peers does not
	// expire while this gateway still receives notices from the server.
	notifyInterval = 10 * time.Second
)

// RecordListed records that the platform's list shows the server as draining. It
// reports whether this is new.
func (d *Drain) RecordListed() bool {
	isNew := !d.listed
	d.listed = true
	return isNew
}

// RecordNotice records a drain notice that this gateway or a peer received from the server
// at receivedAt. A time after now counts as now; a notice older than NoticeTTL is
// ignored. It reports whether the server was not known to be draining before.
func (d *Drain) RecordNotice(now, receivedAt int64) bool {
	receivedAt = min(receivedAt, now)
	if now-receivedAt > int64(NoticeTTL) {
		return false
	}
	first := !d.Draining(now)
	d.noticedAt = max(d.noticedAt, receivedAt)
	return first
}

// ShouldNotifyPeers reports whether peers should be notified of a drain notice now, and
// records the notification if so.
func (d *Drain) ShouldNotifyPeers(now int64) bool {
	if d.peersNotifiedAt != 0 && now-d.peersNotifiedAt < int64(notifyInterval) {
		return false
	}
	d.peersNotifiedAt = now
	return true
}

// Draining reports whether the server is draining and must receive no new calls. If this
// is not confirmed by the platform's list, it may still receive calls as last resort.
func (d *Drain) Draining(now int64) bool {
	return d.listed || d.NoticeValid(now)
}

// Listed reports whether the platform's list showed the server as draining.
func (d *Drain) Listed() bool {
	return d.listed
}

// NoticeValid reports whether there is a drain notice within NoticeTTL.
func (d *Drain) NoticeValid(now int64) bool {
	return d.noticedAt != 0 && now-d.noticedAt <= int64(NoticeTTL)
}

// LastNoticeAt returns the time of the last drain notice, 0 for none.
func (d *Drain) LastNoticeAt() int64 {
	return d.noticedAt
}
