package connlimit

// Capacity is what the process may use of the machine; 0 means unknown.
type Capacity struct {
	MemoryBytes int64
	// Descriptors is the number of sockets.
	Descriptors int
}

const (
	// defaultMemoryBytes and defaultDescriptors are assumed where the system does not tell.
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 1024
)

// OrDefault returns the capacity with defaults in place of what is unknown.
func (c Capacity) OrDefault() Capacity {
	if c.MemoryBytes == 0 {
		c.MemoryBytes = defaultMemoryBytes
	}
	if c.Descriptors == 0 {
		c.Descriptors = defaultDescriptors
	}
	return c
}

// Restrict returns the smaller capacity of both in each respect.
func (c Capacity) Restrict(other Capacity) Capacity {
	return Capacity{
		MemoryBytes: smallerKnown(c.MemoryBytes, other.MemoryBytes),
		Descriptors: smallerKnown(c.Descriptors, other.Descriptors),
	}
}

// smallerKnown returns the smaller of two values of which 0 means unknown.
func smallerKnown[T int | int64](a, b T) T {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
