package claim

// OpenAttempts holds the keys of the attempts of one gateway that have not ended,
// and the claims under which they may be dispatched. It is not safe for concurrent
// use.
type OpenAttempts struct {
	attempts map[ID]int
	claims   map[string]ID
}

// NewOpenAttempts returns a set without attempts.
func NewOpenAttempts() *OpenAttempts {
	return &OpenAttempts{attempts: make(map[ID]int), claims: make(map[string]ID)}
}

// Add adds an attempt of a key.
func (o *OpenAttempts) Add(id ID) {
	o.attempts[id]++
}

// Remove removes an attempt that can no longer be dispatched.
func (o *OpenAttempts) Remove(id ID) {
	if o.attempts[id] <= 1 {
		delete(o.attempts, id)
		return
	}
	o.attempts[id]--
}

// AddClaim records that an attempt of the key holds a claim and may be dispatched.
func (o *OpenAttempts) AddClaim(id ID, claimID string) {
	o.claims[claimID] = id
}

// HasClaim reports whether the claim is held and not finished.
func (o *OpenAttempts) HasClaim(claimID string) bool {
	_, ok := o.claims[claimID]
	return ok
}

// Finish ends a claim and its attempt. It reports false if the claim is not held,
// for example because it was finished before.
func (o *OpenAttempts) Finish(claimID string) bool {
	id, ok := o.claims[claimID]
	if !ok {
		return false
	}
	delete(o.claims, claimID)
	o.Remove(id)
	return true
}

// Has reports whether the key has an open attempt.
func (o *OpenAttempts) Has(id ID) bool {
	return o.attempts[id] > 0
}

// Len returns the number of keys with open attempts.
func (o *OpenAttempts) Len() int {
	return len(o.attempts)
}
