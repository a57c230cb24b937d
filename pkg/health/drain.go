package health

import "time"

// Drain holds the evidence that a server is leaving. The zero value is none.
type Drain struct {
	// listed says that the platform's list shows the server as leaving.
	listed bool
	// noticedAt is the time of the last notice from the wire or from a peer.
	noticedAt int64
}

// noticeLife is how long a notice that the list does not confirm stays in force
// after it was last repeated.
const noticeLife = 60 * time.Second

// SetListed records what the platform's list says.
func (d *Drain) SetListed(leaving bool) {
	d.listed = leaving
}

// Notice records a notice from the wire or from a peer. It reports whether it
// is news that peers should hear of.
func (d *Drain) Notice(at int64) bool {
	news := !d.listed && (d.noticedAt == 0 || at-d.noticedAt > int64(noticeLife))
	d.noticedAt = max(d.noticedAt, at)
	return news
}

// Leaving reports whether the server must get no new work.
func (d *Drain) Leaving(now int64) bool {
	return d.listed || d.Noticed(now)
}

// Listed reports whether the platform's list shows the server as leaving.
func (d *Drain) Listed() bool {
	return d.listed
}

// Noticed reports whether a notice is in force.
func (d *Drain) Noticed(now int64) bool {
	return d.noticedAt != 0 && now-d.noticedAt <= int64(noticeLife)
}
