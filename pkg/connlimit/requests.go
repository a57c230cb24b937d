package connlimit

import "time"

// Requests are the limits of requests that an operator sets. A caller that keeps to them is served.
type Requests struct {
	// MaxHeadBytes and MaxBodyBytes are the sizes of the largest head and the largest body.
	MaxHeadBytes int
	MaxBodyBytes int64
	// HeaderTimeout is how long a head may take, and IdleTimeout how long a caller may pause.
	HeaderTimeout, IdleTimeout time.Duration
}

// DefaultRequests apply where the operator sets no limit.
var DefaultRequests = Requests{MaxHeadBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 5 * time.Minute}

// OrDefault returns the limits with defaults in place of those that are not set.
func (r Requests) OrDefault() *Requests {
	if r.MaxHeadBytes <= 0 {
		r.MaxHeadBytes = DefaultRequests.MaxHeadBytes
	}
	if r.HeaderTimeout <= 0 {
		r.HeaderTimeout = DefaultRequests.HeaderTimeout
	}
	if r.IdleTimeout <= 0 {
		r.IdleTimeout = DefaultRequests.IdleTimeout
	}
	return &r
}

// Rules returns the limits of a listener with a number of connections, where heads may be larger by
// extraHeadBytes.
func (r *Requests) Rules(shares *Shares, connections, extraHeadBytes int) Rules {
	return Rules{
		MaxConnections: connections, HeadMemory: shares.HeadMemory, BodyMemory: shares.BodyMemory,
		MaxHeadBytes: r.MaxHeadBytes + extraHeadBytes, HeaderTimeout: r.HeaderTimeout, IdleTimeout: r.IdleTimeout,
	}
}
