package health

import "time"

// Drain holds the evidence that one incarnation of a server is leaving. The
// zero value is none.
type Drain struct {
	// listed says that the platform's list showed the server as leaving. It is
	// never withdrawn for this incarnation, because a list that lags may show an
	// earlier state again.
	listed bool
	// noticedAt is the time of the last notice from the wire or from a peer.
	noticedAt int64
	// peersNotifiedAt is when peers were last told.
	peersNotifiedAt int64
}

const (
	// NoticeTTL is how long a notice that the list does not confirm stays in
	// force after it was last repeated.
	NoticeTTL = 60 * time.Second
	// notifyInterval bounds how often a repeated notice is passed on. It is well
	// below NoticeTTL, so that the evidence of peers does not expire while this
	// gateway still sees the server announce.
	notifyInterval = 10 * time.Second
)

// ConfirmListed records that the platform's list shows the server as leaving.
// It reports whether that is new.
func (d *Drain) ConfirmListed() bool {
	isNew := !d.listed
	d.listed = true
	return isNew
}

// Notice records a notice that was seen on the wire at a time, by this gateway
// or by a peer. Times after now count as now. It reports whether the server was
// not known to be leaving before.
func (d *Drain) Notice(now, at int64) bool {
	at = min(at, now)
	if now-at > int64(NoticeTTL) {
		return false
	}
	first := !d.Leaving(now)
	d.noticedAt = max(d.noticedAt, at)
	return first
}

// ShouldNotifyPeers reports whether peers should hear of a notice now, and remembers
// that they did.
func (d *Drain) ShouldNotifyPeers(now int64) bool {
	if d.peersNotifiedAt != 0 && now-d.peersNotifiedAt < int64(notifyInterval) {
		return false
	}
	d.peersNotifiedAt = now
	return true
}

// Leaving reports whether the server must get no new work.
func (d *Drain) Leaving(now int64) bool {
	return d.listed || d.Noticed(now)
}

// Listed reports whether the platform's list showed the server as leaving.
func (d *Drain) Listed() bool {
	return d.listed
}

// Noticed reports whether a notice is in force.
func (d *Drain) Noticed(now int64) bool {
	return d.noticedAt != 0 && now-d.noticedAt <= int64(NoticeTTL)
}

// NoticedAt returns the time of the last notice, 0 for none.
func (d *Drain) NoticedAt() int64 {
	return d.noticedAt
}
