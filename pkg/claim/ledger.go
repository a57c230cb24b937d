package claim

// OpenAttempts holds the attempts of one gateway that have not ended. It is not safe
// for concurrent use.
type OpenAttempts struct {
	attempts map[ID]int
	claims   map[string]ID
}

// NewOpenAttempts returns an empty ledger.
func NewOpenAttempts() *OpenAttempts {
	return &OpenAttempts{attempts: make(map[ID]int), claims: make(map[string]ID)}
}

// Enter adds an attempt.
func (l *OpenAttempts) Enter(id ID) {
	l.attempts[id]++
}

// Leave removes an attempt that can no longer be dispatched.
func (l *OpenAttempts) Leave(id ID) {
	if l.attempts[id] <= 1 {
		delete(l.attempts, id)
		return
	}
	l.attempts[id]--
}

// Own records that an attempt holds a claim and may be dispatched.
func (l *OpenAttempts) Own(id ID, claimID string) {
	l.claims[claimID] = id
}

// Owns reports whether the claim is held and not finished.
func (l *OpenAttempts) Owns(claimID string) bool {
	_, ok := l.claims[claimID]
	return ok
}

// Finish ends a claim and its attempt. It reports false if the claim is not held,
// for example because it was finished before.
func (l *OpenAttempts) Finish(claimID string) bool {
	id, ok := l.claims[claimID]
	if !ok {
		return false
	}
	delete(l.claims, claimID)
	l.Leave(id)
	return true
}

// Has reports whether an attempt of the key has not ended.
func (l *OpenAttempts) Has(id ID) bool {
	return l.attempts[id] > 0
}

// Len returns the number of keys with attempts.
func (l *OpenAttempts) Len() int {
	return len(l.attempts)
}
