package claim

// BodyPart is the part of a fingerprint that describes the request body.
type BodyPart uint32

const (
	// BodyNotRead stands for a body that was not read in advance. Whether a body is
	// read in advance depends on how the request frames it, so BodyNotRead matches
	// every other body.
	BodyNotRead BodyPart = 0
	// BodyLarge stands for a body that is too large to be read in advance.
	BodyLarge BodyPart = 1
	// firstBodyHash is the lowest value that stands for a hash of a body.
	firstBodyHash = 2
)

// BodyPartOfHash returns the part for a body that was read completely.
func BodyPartOfHash(hash uint64) BodyPart {
	return BodyPart(max(uint32(hash), firstBodyHash))
}

// NewFingerprint combines a hash of the request's method and path with the part
// for its body.
func NewFingerprint(head uint64, body BodyPart) uint64 {
	return head<<32 | uint64(body)
}

// SameRequest reports whether two fingerprints may belong to the same request.
func SameRequest(a, b uint64) bool {
	if a>>32 != b>>32 {
		return false
	}
	bodyA, bodyB := BodyPart(a), BodyPart(b)
	return bodyA == bodyB || bodyA == BodyNotRead || bodyB == BodyNotRead
}
