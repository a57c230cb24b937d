package claim

// BodyPart is what a fingerprint says of a body.
type BodyPart uint32

const (
	// BodyNotRead is a body that was not read in advance. Whether it is depends on
	// how a send frames the body, so that it must match every other body.
	BodyNotRead BodyPart = 0
	// BodyLarge is a body that is too large to be read in advance.
	BodyLarge BodyPart = 1
	// firstBodyHash is the lowest value of a hash.
	firstBodyHash = 2
)

// BodyPartOfHash returns the part for a body that was read in whole.
func BodyPartOfHash(hash uint64) BodyPart {
	return BodyPart(max(uint32(hash), firstBodyHash))
}

// NewFingerprint combines the hash of what every send shows of a request, its
// method and path, with the part for its body.
func NewFingerprint(head uint64, body BodyPart) uint64 {
	return head<<32 | uint64(body)
}

// SameRequest reports whether two sends may be the same request.
func SameRequest(a, b uint64) bool {
	if a>>32 != b>>32 {
		return false
	}
	bodyA, bodyB := BodyPart(a), BodyPart(b)
	return bodyA == bodyB || bodyA == BodyNotRead || bodyB == BodyNotRead
}
