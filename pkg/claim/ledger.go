package claim

// Ledger holds the attempts of one gateway that have not ended. It is not safe
// for concurrent use.
type Ledger struct {
	attempts map[ID]int
	claims   map[string]ID
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{attempts: make(map[ID]int), claims: make(map[string]ID)}
}

// Enter adds an attempt.
func (l *Ledger) Enter(id ID) {
	l.attempts[id]++
}

// Leave removes an attempt that can no longer be dispatched.
func (l *Ledger) Leave(id ID) {
	if l.attempts[id] <= 1 {
		delete(l.attempts, id)
		return
	}
	l.attempts[id]--
}

// Own records that an attempt holds a claim and may be dispatched.
func (l *Ledger) Own(id ID, claimID string) {
	l.claims[claimID] = id
}

// Owns reports whether the claim is held and not finished.
func (l *Ledger) Owns(claimID string) bool {
	_, ok := l.claims[claimID]
	return ok
}

// Finish ends a claim and its attempt. It reports false if the claim is not held,
// for example because it was finished before.
func (l *Ledger) Finish(claimID string) bool {
	id, ok := l.claims[claimID]
	if !ok {
		return false
	}
	delete(l.claims, claimID)
	l.Leave(id)
	return true
}

// Has reports whether an attempt of the key has not ended.
func (l *Ledger) Has(id ID) bool {
	return l.attempts[id] > 0
}

// Len returns the number of keys with attempts.
func (l *Ledger) Len() int {
	return len(l.attempts)
}
