package withdrawal

import "maps"

// Server identifies one incarnation of a server.
type Server struct {
	ID          string
	Incarnation uint64
}

const (
	// retention is how long in nanoseconds the status of a server is kept that is no longer
	// listed. It exceeds the age of the copies from which a store returns.
	retention = 600e9
	// expireInterval is how often in nanoseconds the book looks for servers to forget.
	expireInterval = 10e9
)

// record is the status of a server, and since when the server is not listed, 0 while it is.
type record struct {
	status     *Status
	unlistedAt int64
}

// Book holds the status of each incarnation of each server. A server whose entry disappears
// and returns has the same status as before, which responses that arrived meanwhile have
// updated. It is not safe for concurrent use, but the statuses are. The zero value is empty.
type Book struct {
	records   map[Server]record
	expiredAt int64
}

// Status returns the status of a server, always the same one.
func (b *Book) Status(server Server) *Status {
	known, ok := b.records[server]
	if !ok {
		known.status = &Status{}
	}
	if b.records == nil {
		b.records = make(map[Server]record)
	}
	known.unlistedAt = 0
	b.records[server] = known
	return known.status
}

// Expire forgets the servers that have not been listed for the retention time.
func (b *Book) Expire(now int64, listed func(Server) bool) {
	if now-b.expiredAt < expireInterval {
		return
	}
	b.expiredAt = now
	for server, known := range b.records {
		switch {
		case listed(server):
			known.unlistedAt = 0
		case known.unlistedAt == 0:
			known.unlistedAt = now
		}
		b.records[server] = known
	}
	maps.DeleteFunc(b.records, func(_ Server, known record) bool {
		return known.unlistedAt != 0 && now-known.unlistedAt > retention
	})
}
