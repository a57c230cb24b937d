// Package attempts decides what becomes of the attempts of one call: which result decides the
// call, when a further attempt may be sent, and which attempts are canceled. Package proxy sends
// them. The package does no I/O, starts no goroutine and reads no clock.
//
// An attempt that is in flight is never canceled for another one that has no usable response
// yet, because whether that one can be sent, and what becomes of it, is known only afterwards:
// the gateway may stop, the crash guard may deny it, its server may refuse the connection or the
// call. Attempts therefore run side by side until one of them has a response that decides the
// call.
package attempts

// Number identifies an attempt of a call, starting at 1 in the order in which they are sent.
type Number int

// Result is what the proxy knows of an attempt that ended.
type Result struct {
	// Final says that the response decides the call whatever becomes of other attempts.
	Final bool
	// Response says that there is a response that can be passed on, if no better one comes.
	Response bool
	// MayHaveRun says that the call may have run at the server of the attempt.
	MayHaveRun bool
}

// Step is what the caller of End does next.
type Step int

const (
	// Await means that the result of another attempt is needed.
	Await Step = iota
	// Retry means that a further attempt may be sent. If none is, the caller calls NoRetry.
	Retry
	// Decided means that Winner decides the call and all other attempts are canceled.
	Decided
)

// Set holds the attempts of one call. The zero value has none. It is not safe for concurrent use.
type Set struct {
	attempts []attempt
	winner   Number
	// fallback is the best attempt that ended without deciding the call, 0 for none.
	fallback Number
}

type attempt struct {
	ended bool
	// overdue says that the first-byte timeout of the attempt has passed.
	overdue bool
	result  Result
}

// Start adds an attempt that is sent now and returns its number.
func (s *Set) Start() Number {
	s.attempts = append(s.attempts, attempt{})
	return Number(len(s.attempts))
}

// Started returns the number of attempts.
func (s *Set) Started() int {
	return len(s.attempts)
}

// MarkOverdue records that the first-byte timeout of an attempt has passed. Others are tried in
// its place from then on, while it goes on.
func (s *Set) MarkOverdue(n Number) {
	s.attempts[n-1].overdue = true
}

// Overdue reports whether the first-byte timeout of an attempt passed before it ended.
func (s *Set) Overdue(n Number) bool {
	return s.attempts[n-1].overdue
}

// Ended reports whether an attempt has ended.
func (s *Set) Ended(n Number) bool {
	return s.attempts[n-1].ended
}

// End records the result of an attempt and returns the next step. It returns Decided for an
// attempt that ends after the call was decided; Winner tells whether it is that attempt.
func (s *Set) End(n Number, result Result) Step {
	s.attempts[n-1].ended, s.attempts[n-1].result = true, result
	if s.winner != 0 {
		return Decided
	}
	if result.Final {
		s.winner = n
		return Decided
	}
	s.fallback = s.better(s.fallback, n)
	if s.Promising() {
		return Await
	}
	return Retry
}

// NoRetry records that no further attempt is sent after End returned Retry.
func (s *Set) NoRetry() Step {
	if s.inFlight() {
		return Await
	}
	s.winner = s.fallback
	return Decided
}

// Winner returns the attempt that decides the call, 0 while there is none.
func (s *Set) Winner() Number {
	return s.winner
}

// better returns the attempt whose result says more about the call: one that may have run rather
// than one that did not, then one with a response, then the latest response or the first failure.
func (s *Set) better(earlier, later Number) Number {
	if earlier == 0 {
		return later
	}
	first, second := s.attempts[earlier-1].result, s.attempts[later-1].result
	replaces := second.Response
	switch {
	case first.MayHaveRun != second.MayHaveRun:
		replaces = second.MayHaveRun
	case first.Response != second.Response:
		replaces = second.Response
	}
	if replaces {
		return later
	}
	return earlier
}

// Promising reports whether an attempt is in flight that is not overdue.
func (s *Set) Promising() bool {
	for _, a := range s.attempts {
		if !a.ended && !a.overdue {
			return true
		}
	}
	return false
}

func (s *Set) inFlight() bool {
	for _, a := range s.attempts {
		if !a.ended {
			return true
		}
	}
	return false
}
