// Package admission bounds the calls of one service that a gateway has in
// flight. Calls beyond the limit wait in a short queue. The package does no I/O,
// starts no goroutine and reads no clock: times are nanoseconds on the gateway's
// monotonic clock. Waiting goroutines are told the decision through a buffered
// channel, so deciding never blocks.
package admission

import (
	"sync"
	"sync/atomic"
)

// Decision is the decision about a call.
type Decision int

const (
	// Admitted means that the call may go on and must be released once.
	Admitted Decision = iota
	// Waiting means that the decision follows on the ticket's channel.
	Waiting
	// ShedFull means that the queue had no room or that newer calls displaced
	// this one.
	ShedFull
	// ShedDeadline means that the call could not have met its deadline.
	ShedDeadline
	// ShedExpired means that the call waited as long as it may.
	ShedExpired
)

// Bounds are the values that may change while the limiter runs.
type Bounds struct {
	// Limit is the number of calls in flight, at least 1.
	Limit int64
	// MaxWait is the longest time in the queue, in nanoseconds.
	MaxWait int64
}

// Ticket is a call in the queue.
type Ticket struct {
	// Decided receives exactly one verdict, Admitted or one of the sheds, unless
	// Abandon returned true before.
	Decided chan Decision

	expires  int64
	deadline int64
	queued   bool
	previous *Ticket
	next     *Ticket
}

const (
	// queuePerLimit bounds the queue to as many calls as may be in flight: more
	// could not be served within the usual wait, and each holds memory.
	queuePerLimit = 1
	// maxQueue bounds the queue for very large limits.
	maxQueue = 4096
	// serviceTimeWeight is the weight of a sample in the moving average.
	serviceTimeWeight = 0.05
)

// Limiter is the admission of one service. It is safe for concurrent use. Below
// the limit a call costs two atomic operations and takes no lock.
//
// Order of service: first in, first out while the queue drains now and then,
// which is fair for short bursts. When the queue has not been empty for longer
// than MaxWait, all calls would wait almost as long as they may and then run
// close to their deadlines, and work would be spent on callers that have given
// up. From then on the newest call is served first, and the oldest are shed:
// most calls then either succeed at once or fail (adaptive LIFO; Maurer, "Fail
// at Scale", ACM Queue 2015). CoDel was weighed: it needs a target delay for
// each service, while this rule needs only MaxWait, which the preset has.
type Limiter struct {
	inFlight    atomic.Int64
	waiting     atomic.Int64
	serviceTime atomic.Int64

	mu     sync.Mutex
	bounds Bounds
	oldest *Ticket
	newest *Ticket
	// busySince is when the queue was last empty, 0 while it is empty.
	busySince int64
}

// InFlight returns the number of admitted calls.
func (l *Limiter) InFlight() int64 { return l.inFlight.Load() }

// Waiting returns the number of calls in the queue.
func (l *Limiter) Waiting() int64 { return l.waiting.Load() }

// Acquire decides about a call that arrives now. The deadline is 0 for none.
// The ticket is not nil if and only if the verdict is Waiting.
func (l *Limiter) Acquire(now, deadline int64, bounds Bounds) (Decision, *Ticket) {
	if l.waiting.Load() == 0 && l.tryEnter(bounds.Limit) {
		return Admitted, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = bounds
	l.dropExpired(now)
	// The count is raised before the second try, so that a call that ends in
	// between either frees its place for this try or sees the queue.
	l.waiting.Add(1)
	if l.oldest == nil && l.tryEnter(bounds.Limit) {
		l.waiting.Add(-1)
		return Admitted, nil
	}
	verdict := l.mayQueue(now, deadline, bounds)
	if verdict != Waiting {
		l.waiting.Add(-1)
		return verdict, nil
	}
	ticket := &Ticket{Decided: make(chan Decision, 1), expires: now + bounds.MaxWait, deadline: deadline}
	l.push(now, ticket)
	return Waiting, ticket
}

func (l *Limiter) tryEnter(limit int64) bool {
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

// mayQueue decides whether a call may join the queue, and makes room in it.
func (l *Limiter) mayQueue(now, deadline int64, bounds Bounds) Decision {
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

// Release ends an admitted call that took the given time. 0 leaves the estimate
// of the service time as it is; calls that last as long as their body, such as
// uploads, must not count, or short calls would be shed for their deadlines.
func (l *Limiter) Release(now, took int64) {
	old := l.serviceTime.Load()
	switch {
	case took <= 0:
	case old == 0:
		l.serviceTime.Store(took)
	default:
		// A lost update of the average is harmless, so no compare-and-swap loop.
		l.serviceTime.Store(old + int64(serviceTimeWeight*float64(took-old)))
	}
	l.inFlight.Add(-1)
	if l.waiting.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
	for l.oldest != nil && l.tryEnter(l.bounds.Limit) {
		l.decide(l.nextInLine(now), Admitted)
	}
}

// Abandon takes a call out of the queue because its caller left or its wait
// ended. It reports false if the decision was made already; the ticket's channel
// then holds it, and an admission must be released.
func (l *Limiter) Abandon(ticket *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ticket.queued {
		return false
	}
	l.unlink(ticket)
	return true
}

func (l *Limiter) nextInLine(now int64) *Ticket {
	if l.overloaded(now) {
		return l.newest
	}
	return l.oldest
}

func (l *Limiter) overloaded(now int64) bool {
	return l.busySince != 0 && now-l.busySince > l.bounds.MaxWait
}

// dropExpired sheds calls that waited as long as they may. The oldest call
// expires first unless MaxWait was changed, which delays a shed by one wait.
func (l *Limiter) dropExpired(now int64) {
	for l.oldest != nil {
		ticket := l.oldest
		switch {
		case now >= ticket.expires:
			l.decide(ticket, ShedExpired)
		case ticket.deadline != 0 && now+l.serviceTime.Load() > ticket.deadline:
			l.decide(ticket, ShedDeadline)
		default:
			return
		}
	}
}

func (l *Limiter) decide(ticket *Ticket, verdict Decision) {
	l.unlink(ticket)
	ticket.Decided <- verdict
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
		l.busySince = now
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
		l.busySince = 0
	}
}
