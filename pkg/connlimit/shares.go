package connlimit

// Shares is what each part of a gateway may use of its machine.
type Shares struct {
	// Callers, Gateways, Bootstrap and Auxiliary are the connections at the listeners for callers,
	// for other gateways, for gateways that start, and for each of readiness checks, metrics and
	// administration.
	Callers, Gateways, Bootstrap, Auxiliary int
	// Servers is the number of connections to servers. To other gateways there may be as many as
	// from them.
	Servers int
	// HeadMemory is the memory in bytes for large heads, and BodyMemory that for bodies that are
	// kept.
	HeadMemory, BodyMemory int64
}

const (
	// connectionMemory is the memory in bytes that a connection takes whose request is at a server:
	// the goroutines and buffers of both sides.
	connectionMemory = 48 << 10
	// connectionsMemoryShare is the share of the memory for connections of callers. The rest is for
	// heads, bodies, the state of the gateway and the heap that is not collected yet.
	connectionsMemoryShare = 0.4
	headMemoryShare        = 0.08
	bodyMemoryShare        = 0.1

	callersShare   = 0.4
	gatewaysShare  = 0.1
	bootstrapShare = 0.05
	auxiliaryShare = 0.02
	serversShare   = 0.28
	// minConnections is the minimum for each listener.
	minConnections = 16
)

// Divide divides what the process may use.
func Divide(usable Capacity) Shares {
	memoryBytes := usable.MemoryBytes
	part := func(share float64) int { return max(minConnections, int(share*float64(usable.Descriptors))) }
	byMemory := int(connectionsMemoryShare * float64(memoryBytes) / connectionMemory)
	return Shares{
		Callers:   max(minConnections, min(part(callersShare), byMemory)),
		Gateways:  part(gatewaysShare),
		Bootstrap: part(bootstrapShare),
		Auxiliary: part(auxiliaryShare),
		Servers:   part(serversShare),

		HeadMemory: int64(headMemoryShare * float64(memoryBytes)),
		BodyMemory: int64(bodyMemoryShare * float64(memoryBytes)),
	}
}
