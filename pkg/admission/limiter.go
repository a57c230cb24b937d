// Package admission bounds the calls of one service that a gateway has in flight.
// Calls beyond the limit wait in a short queue. The proxy acquires admission for each
// call and releases it when the call ends. The package does no I/O, starts no
// goroutine and reads no clock: times are nanoseconds on the gateway's monotonic
// clock. Waiting goroutines receive the decision through a buffered channel, so that
// deciding never blocks.
package admission

import (
	"sync"
	"sync/atomic"
)

// Decision is the decision about a call.
type Decision int

const (
	// Admitted means that the call may proceed. Release must be called once for it.
	Admitted Decision = iota
	// Waiting means that the call is queued and its ticket's channel receives the
	// decision.
	Waiting
	// ShedFull means that the queue was full or that a newer call displaced this one.
	ShedFull
	// ShedDeadline means that the call could not have met its deadline.
	ShedDeadline
	// ShedExpired means that the call waited in the queue for MaxWait. The proxy also uses
	// it for calls whose callers disconnected while they waited.
	ShedExpired
)

// Bounds are the settings of a limiter. They may differ from call to call; those of the
// last call that was not admitted at once apply to the whole queue.
type Bounds struct {
	// Limit is the maximum number of calls in flight, at least 1.
	Limit int64
	// MaxWait is the maximum time in the queue, in nanoseconds.
	MaxWait int64
}

// Ticket is a call in the queue.
type Ticket struct {
	// Decided receives exactly one decision, Admitted or one of the Shed values, unless
	// Abandon returned true before.
	Decided chan Decision

	expiresAt int64
	deadline  int64
	queued    bool
	previous  *Ticket
	next      *Ticket
}

const (
	// queuePerLimit is the queue's capacity as a multiple of Limit. More calls would
	// have to wait longer than one service time, and each one holds memory.
	queuePerLimit = 1
	// maxQueue bounds the queue for very large limits.
	maxQueue = 4096
	// serviceTimeWeight is the weight of one sample in the moving average of service
	// times.
	serviceTimeWeight = 0.05
)

// Limiter is the concurrency limiter of one service. It is safe for concurrent use.
// Below the limit, a call costs two atomic operations and takes no lock.
//
// The queue is first in, first out as long as it becomes empty from time to time,
// which is fair for short bursts. If it has not been empty for longer than MaxWait,
// all calls would wait for almost MaxWait and then run close to their deadlines, and
// servers would work for callers that have given up. From then on the newest call is
// served first and the oldest ones are shed, so that most calls either succeed at
// once or fail (adaptive LIFO; Maurer, "Fail at Scale", ACM Queue 2015). Unlike CoDel,
// which needs a target delay for each service, this rule needs only MaxWait, which the
// preset contains.
type Limiter struct {
	inFlight atomic.Int64
	waiting  atomic.Int64
	// serviceTime is the mean service time in nanoseconds, 0 if unknown.
	serviceTime atomic.Int64

	mu sync.Mutex
	// bounds are those of the last call that was not admitted at once.
	bounds Bounds
	oldest *Ticket
	newest *Ticket
	// queuedSince is the time since which the queue has not been empty, 0 while it is
	// empty.
	queuedSince int64
}

// InFlight returns the number of admitted calls.
func (l *Limiter) InFlight() int64 { return l.inFlight.Load() }

// Waiting returns the number of calls in the queue.
func (l *Limiter) Waiting() int64 { return l.waiting.Load() }

// Acquire decides whether a call that arrives now is admitted, queued or shed. The
// deadline is 0 for none. The ticket is not nil if and only if the decision is
// Waiting.
func (l *Limiter) Acquire(now, deadline int64, bounds Bounds) (Decision, *Ticket) {
	if l.waiting.Load() == 0 && l.tryAdmit(bounds.Limit) {
		return Admitted, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = bounds
	l.shedExpired(now)
	// The count is raised before the second attempt to admit the call. A call that ends
	// in between either frees its slot for this attempt or finds the queue not empty.
	l.waiting.Add(1)
	if l.oldest == nil && l.tryAdmit(bounds.Limit) {
		l.waiting.Add(-1)
		return Admitted, nil
	}
	decision := l.joinQueue(now, deadline, bounds)
	if decision != Waiting {
		l.waiting.Add(-1)
		return decision, nil
	}
	ticket := &Ticket{Decided: make(chan Decision, 1), expiresAt: now + bounds.MaxWait, deadline: deadline}
	l.push(now, ticket)
	return Waiting, ticket
}

func (l *Limiter) tryAdmit(limit int64) bool {
	for {
		current := l.inFlight.Load()
		if current >= max(1, limit) {
			return false
		}
		if l.inFlight.CompareAndSwap(current, current+1) {
			return true
		}
	}
}

// joinQueue returns Waiting if a call may join the queue, otherwise why it is shed. If
// the queue is full under overload, it sheds the oldest queued call instead.
func (l *Limiter) joinQueue(now, deadline int64, bounds Bounds) Decision {
	if bounds.MaxWait <= 0 {
		return ShedFull
	}
	if deadline != 0 && now+l.expectedWait(now, bounds)+l.serviceTime.Load() > deadline {
		return ShedDeadline
	}
	if l.waiting.Load() <= min(maxQueue, max(1, bounds.Limit)*queuePerLimit) {
		return Waiting
	}
	if !l.overloaded(now) {
		return ShedFull
	}
	l.decide(l.oldest, ShedFull)
	return Waiting
}

// expectedWait estimates the time in the queue from the mean service time.
func (l *Limiter) expectedWait(now int64, bounds Bounds) int64 {
	ahead := l.waiting.Load()
	if l.overloaded(now) {
		ahead = 1
	}
	return ahead * l.serviceTime.Load() / max(1, bounds.Limit)
}

// Release ends an admitted call and records its duration as a service time. A
// duration of 0 leaves the estimate unchanged. Calls that last as long as the
// transfer of their body, such as uploads, must pass 0: otherwise the estimate would
// grow and short calls would be shed for their deadlines.
func (l *Limiter) Release(now, duration int64) {
	old := l.serviceTime.Load()
	switch {
	case duration <= 0:
	case old == 0:
		l.serviceTime.Store(duration)
	default:
		// A lost update of the average is harmless, so no compare-and-swap loop.
		l.serviceTime.Store(old + int64(serviceTimeWeight*float64(duration-old)))
	}
	l.inFlight.Add(-1)
	if l.waiting.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shedExpired(now)
	for l.oldest != nil && l.tryAdmit(l.bounds.Limit) {
		l.decide(l.nextTicket(now), Admitted)
	}
}

// Abandon removes a call from the queue because its caller disconnected or its wait
// timed out. It returns false if the call was already decided: the ticket's channel
// then holds the decision, and the call must be released if it was admitted.
func (l *Limiter) Abandon(ticket *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ticket.queued {
		return false
	}
	l.unlink(ticket)
	return true
}

func (l *Limiter) nextTicket(now int64) *Ticket {
	if l.overloaded(now) {
		return l.newest
	}
	return l.oldest
}

func (l *Limiter) overloaded(now int64) bool {
	return l.queuedSince != 0 && now-l.queuedSince > l.bounds.MaxWait
}

// shedExpired sheds calls that waited for MaxWait or can no longer meet their
// deadlines, starting with the oldest. It stops at the first call that remains: the
// oldest call expires first unless MaxWait was changed, which delays a shed by at most
// one MaxWait.
func (l *Limiter) shedExpired(now int64) {
	for l.oldest != nil {
		ticket := l.oldest
		switch {
		case now >= ticket.expiresAt:
			l.decide(ticket, ShedExpired)
		case ticket.deadline != 0 && now+l.serviceTime.Load() > ticket.deadline:
			l.decide(ticket, ShedDeadline)
		default:
			return
		}
	}
}

func (l *Limiter) decide(ticket *Ticket, decision Decision) {
	l.unlink(ticket)
	ticket.Decided <- decision
}

func (l *Limiter) push(now int64, ticket *Ticket) {
	ticket.queued = true
	ticket.previous = l.newest
	if l.newest != nil {
		l.newest.next = ticket
	}
	l.newest = ticket
	if l.oldest == nil {
		l.oldest = ticket
		l.queuedSince = now
	}
}

func (l *Limiter) unlink(ticket *Ticket) {
	if ticket.previous != nil {
		ticket.previous.next = ticket.next
	} else {
		l.oldest = ticket.next
	}
	if ticket.next != nil {
		ticket.next.previous = ticket.previous
	} else {
		l.newest = ticket.previous
	}
	ticket.queued = false
	ticket.previous, ticket.next = nil, nil
	l.waiting.Add(-1)
	if l.oldest == nil {
		l.queuedSince = 0
	}
}
