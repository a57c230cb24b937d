package edge

import (
	"time"

	"balsamhill/pkg/feed"
)

const (
	// readerMinBackoff and readerMaxBackoff bound the delays of a reader after failed
	// calls. They are short because the other gateways rely on the reader to detect the
	// recovery of the store.
	readerMinBackoff = 200 * time.Millisecond
	readerMaxBackoff = 500 * time.Millisecond
	// nonReaderMinBackoff is the minimum delay of the other gateways, or
	// minBackoffPerGateway for each live peer of the group if that is longer.
	nonReaderMinBackoff  = time.Second
	minBackoffPerGateway = 100 * time.Millisecond
	// maxBackoff is the maximum delay of all gateways but the reader.
	maxBackoff = 8 * time.Second
	// firstReadMinBackoff is the minimum delay of a gateway that has no copy of the table.
	firstReadMinBackoff = 300 * time.Millisecond
)

// storeBackoff returns the bounds on the delay between calls to an unreachable store.
func (e *Edge) storeBackoff(known, reader bool) feed.Backoff {
	switch {
	case reader:
		return feed.Backoff{Min: readerMinBackoff, Max: readerMaxBackoff}
	case !known:
		return feed.Backoff{Min: firstReadMinBackoff, Max: maxBackoff}
	default:
		minBackoff := max(nonReaderMinBackoff, time.Duration(e.livePeers.Load())*minBackoffPerGateway)
		return feed.Backoff{Min: min(minBackoff, maxBackoff), Max: maxBackoff}
	}
}
