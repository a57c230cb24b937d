package serverlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// grant is a lease as a gateway counts it: one that it granted or overheard.
type grant struct {
	rate    float64
	expires int64
	// earlierRate is the higher rate of a lease that this one replaced, which the holder
	// may use until earlierExpires if it misses the change.
	earlierRate    float64
	earlierExpires int64
}

// rateAt returns the highest rate that the holder may use at a time.
func (g grant) rateAt(now int64) float64 {
	rate := 0.0
	if now < g.expires {
		rate = g.rate
	}
	if now < g.earlierExpires {
		rate = max(rate, g.earlierRate)
	}
	return rate
}

// replacedBy returns the grant after a renewal with the given rate.
func (g grant) replacedBy(now int64, rate float64, ttl time.Duration) grant {
	next := grant{rate: rate, expires: now + int64(ttl+leaseGuard)}
	if highest := g.rateAt(now); highest > rate {
		next.earlierRate, next.earlierExpires = highest, max(g.expires, g.earlierExpires)
	}
	return next
}

// entry is the limit of one server.
type entry struct {
	statement Statement
	// own is the lease of this gateway, ownUntil when it expires, and ownLimit the limit
	// of which it is a part.
	ownRate, ownLimit float64
	ownUntil          int64
	// grants holds the leases of all gateways that this one granted or overheard.
	grants map[uint64]grant
	// coordinatesSince is when this gateway began to coordinate the limit, 0 if it does
	// not.
	coordinatesSince int64
	renewedAt        int64
	// toldAt and told are when and how often the group was told of a statement that
	// this gateway heard from the server.
	toldAt int64
	told   int
	// listedAt is when a table listed the server last.
	listedAt int64
}

// Book holds the limits that a gateway knows. It is not safe for concurrent use.
type Book struct {
	self    uint64
	entries map[uint32]*entry
	// forgotten holds when Forget was called for a server.
	forgotten map[uint32]int64
	// members are the keys of the last view, and changedAt when they changed.
	members   []uint64
	changedAt int64
	// revision rises with each changed statement.
	revision uint64
}

// NewBook returns a book without limits. self is the key of this gateway.
func NewBook(self uint64) *Book {
	return &Book{self: self, entries: make(map[uint32]*entry), forgotten: make(map[uint32]int64)}
}

// Revision returns a number that rises with each changed statement.
func (b *Book) Revision() uint64 {
	return b.revision
}

// Limited returns the keys of the servers with a limit, in order.
func (b *Book) Limited() []uint32 {
	var keys []uint32
	for key, e := range b.entries {
		if !e.statement.Ended {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Empty reports whether the book holds no limit and no end of one.
func (b *Book) Empty() bool {
	return len(b.entries) == 0
}

// Knows reports whether the book holds a limit of a server, or the end of one.
func (b *Book) Knows(server uint32) bool {
	return b.entries[server] != nil
}

// Name records that an answer, which arrived at a time, named a limit. It reports
// whether that changed the limit.
func (b *Book) Name(at int64, server uint32, rate float64) (changed bool) {
	// Messages carry thousandths; a finer value would differ from that of the others.
	rate = math.Round(rate*1000) / 1000
	return b.learn(at, server, Statement{Rate: rate, At: at, Since: at})
}

// End records an answer without a limit to a request that was sent at sentAt. An
// answer to a request that was sent before the limit was last named may be older than
// the limit and does not end it. It reports whether the limit ended.
func (b *Book) End(at int64, server uint32, sentAt int64) (changed bool) {
	e := b.entries[server]
	if e == nil || e.statement.Ended || sentAt <= e.statement.At {
		return false
	}
	return b.learn(at, server, Statement{Ended: true, At: at, Since: at})
}

// learn adopts a statement if it is newer than the known one.
func (b *Book) learn(now int64, server uint32, statement Statement) (changed bool) {
	if statement.At <= b.forgotten[server] {
		return false
	}
	e := b.entries[server]
	if e == nil {
		if statement.Ended {
			return false
		}
		e = &entry{grants: make(map[uint64]grant), listedAt: now}
		b.entries[server] = e
	} else if statement.At <= e.statement.At {
		return false
	}
	old := e.statement
	changed = old.At == 0 || old.Ended != statement.Ended || old.Rate != statement.Rate
	if old.At != 0 && !old.Ended && !statement.Ended {
		statement.Since = min(statement.Since, old.Since)
	}
	if !changed {
		// The statement is confirmed; who told it first stays known.
		statement.From = old.From
	}
	e.statement = statement
	if changed {
		b.revision++
		e.told, e.toldAt = 0, 0
	}
	if statement.Ended {
		e.ownRate, e.ownUntil = 0, 0
		clear(e.grants)
	}
	return changed
}

// Forget drops the limit of a server that started again and knows nothing of it.
func (b *Book) Forget(now int64, server uint32) {
	delete(b.entries, server)
	b.forgotten[server] = now
}

// Apply applies a notice of another gateway and reports whether it changed the limit.
func (b *Book) Apply(now int64, from uint64, notice Notice) (changed bool) {
	changed = b.learn(now, notice.Server, Statement{
		Rate: notice.Rate, Ended: notice.Ended, From: from,
		At: now - int64(notice.Age), Since: now - int64(notice.SinceAge),
	})
	e := b.entries[notice.Server]
	if e == nil || e.statement.Ended || !notice.Coordinated {
		return changed
	}
	for _, lease := range notice.Leases {
		ttl := min(lease.TTL, LeaseTTL)
		if ttl <= 0 {
			continue
		}
		e.grants[lease.Holder] = e.grants[lease.Holder].replacedBy(now, lease.Rate, ttl)
		if lease.Holder == b.self {
			e.hold(now, lease.Rate, notice.Rate, ttl)
		}
	}
	return changed
}

func (e *entry) hold(now int64, rate, limit float64, ttl time.Duration) {
	e.ownRate, e.ownLimit, e.ownUntil = rate, limit, now+int64(ttl)
}

// Allowances returns what this gateway may send to each server of which it knows a
// limit or the end of one, in order of their keys.
func (b *Book) Allowances(now int64) []Allowance {
	allowances := make([]Allowance, 0, len(b.entries))
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		allowances = append(allowances, b.Allowance(now, key))
	}
	return allowances
}

// Allowance returns what this gateway may send to a server.
func (b *Book) Allowance(now int64, server uint32) Allowance {
	e := b.entries[server]
	if e == nil {
		return Allowance{Server: server}
	}
	allowance := Allowance{Server: server, Limited: !e.statement.Ended, Limit: e.statement.Rate, Statement: e.statement}
	if !allowance.Limited || now >= e.ownUntil {
		return allowance
	}
	allowance.Rate, allowance.Until = e.ownRate, e.ownUntil
	if e.statement.Rate < e.ownLimit {
		// The limit was lowered after the lease was granted.
		allowance.Rate *= e.statement.Rate / e.ownLimit
	}
	return allowance
}

// Tick expires old state, grants the leases that are due as coordinator and returns the
// notices for the group.
func (b *Book) Tick(now int64, view View) []Notice {
	b.recordMembers(now, view.Members)
	b.expire(now, view)
	var notices []Notice
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		e := b.entries[key]
		if notice, ok := b.coordinate(now, key, e, view); ok {
			notices = append(notices, notice)
			continue
		}
		if e.statement.From == 0 && e.told < repeatCount && now-e.toldAt >= int64(RenewInterval) {
			e.told++
			e.toldAt = now
			notices = append(notices, e.notice(now, key))
		}
	}
	return notices
}

// Statements returns notices of all limits without leases, for other groups.
func (b *Book) Statements(now int64) []Notice {
	return b.statements(now, func(*entry) bool { return true })
}

// UncoordinatedStatements returns notices of the limits that no gateway of this group is
// known to coordinate, so that its gateways learn of them from the relay.
func (b *Book) UncoordinatedStatements(now int64) []Notice {
	return b.statements(now, func(e *entry) bool {
		for _, g := range e.grants {
			if g.rateAt(now) > 0 {
				return false
			}
		}
		return true
	})
}

func (b *Book) statements(now int64, include func(*entry) bool) []Notice {
	var notices []Notice
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		if e := b.entries[key]; include(e) {
			notices = append(notices, e.notice(now, key))
		}
	}
	return notices
}

func (e *entry) notice(now int64, key uint32) Notice {
	return Notice{
		Server: key, Rate: e.statement.Rate, Ended: e.statement.Ended,
		Age: time.Duration(now - e.statement.At), SinceAge: time.Duration(now - e.statement.Since),
	}
}

// recordMembers records when the members of the group changed last.
func (b *Book) recordMembers(now int64, members []Member) {
	keys := make([]uint64, 0, len(members))
	for _, member := range members {
		keys = append(keys, member.Key)
	}
	slices.SortFunc(keys, cmp.Compare)
	if b.changedAt == 0 || !slices.Equal(keys, b.members) {
		b.members, b.changedAt = keys, now
	}
}

// expire removes limits that ended or whose server is gone.
func (b *Book) expire(now int64, view View) {
	for key, e := range b.entries {
		if _, listed := view.Server(key); listed {
			e.listedAt = now
		}
		ended := e.statement.Ended && now-e.statement.At > int64(endedTTL)
		if ended || now-e.listedAt > int64(unlistedTTL) {
			delete(b.entries, key)
			b.forgotten[key] = e.statement.At
		}
	}
	maps.DeleteFunc(b.forgotten, func(_ uint32, at int64) bool { return now-at > int64(unlistedTTL) })
}
