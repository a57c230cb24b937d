package serverlimit

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// gateBurst is the time in which a gate collects the requests that it lets through
	// at once.
	gateBurst = time.Second
	// minGateBurst is the least number of requests that a gate collects, so that a rate
	// of a few requests per second is not lost between two calls.
	minGateBurst = 2
)

// Answers is what the recent answers of a server said of its limit.
type Answers struct {
	// Rate is the limit that was named last, at NamedAt, 0 for never.
	Rate    float64
	NamedAt int64
	// UnnamedAt is when the last answer without a limit arrived, UnnamedSentAt when its
	// request was sent.
	UnnamedAt, UnnamedSentAt int64
}

// Gate bounds the requests of one gateway to one server. It is safe for concurrent
// use. The zero value lets all requests through.
type Gate struct {
	limited atomic.Bool

	mu      sync.Mutex
	answers Answers
	// limit is the limit of the server, rate the part of it that this gateway may use
	// until a time.
	limit, rate float64
	until       int64
	tokens      float64
	filledAt    int64
	sent        uint64
}

// Limited reports whether the server named a limit.
func (g *Gate) Limited() bool {
	return g.limited.Load()
}

// Limit returns the limit of the server in requests per second, false if it names none.
func (g *Gate) Limit() (rate float64, limited bool) {
	if !g.limited.Load() {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit, true
}

// RecordNamed records an answer that named a limit. From then on the gate lets only
// requests with an allowance through.
func (g *Gate) RecordNamed(now int64, rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers.Rate, g.answers.NamedAt = rate, now
	g.limit = rate
	g.limited.Store(true)
}

// RecordUnnamed records an answer without a limit to a request that was sent at sentAt.
func (g *Gate) RecordUnnamed(now, sentAt int64) {
	if !g.limited.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if sentAt >= g.answers.UnnamedSentAt {
		g.answers.UnnamedAt, g.answers.UnnamedSentAt = now, sentAt
	}
}

// TakeAnswers returns the answers that were recorded since the last call.
func (g *Gate) TakeAnswers() Answers {
	if !g.limited.Load() {
		return Answers{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	answers := g.answers
	g.answers = Answers{}
	return answers
}

// Allow sets what the gateway may send.
func (g *Gate) Allow(now int64, allowance Allowance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fill(now)
	g.limit, g.rate, g.until = allowance.Limit, allowance.Rate, allowance.Until
	if allowance.Limited && g.answers.NamedAt != 0 {
		// The answer has not been taken yet.
		g.limit = g.answers.Rate
	}
	if !allowance.Limited && g.answers.NamedAt == 0 {
		g.tokens = 0
		g.limited.Store(false)
		return
	}
	g.limited.Store(true)
}

// Sent returns how many requests the gate let through while the server named a limit.
func (g *Gate) Sent() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sent
}

// Leased reports whether the server named a limit and the gateway holds a part of it.
func (g *Gate) Leased(now int64) bool {
	if !g.limited.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rate > 0 && now < g.until
}

// MaySend reports whether a request may be sent now.
func (g *Gate) MaySend(now int64) bool {
	if !g.limited.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fill(now)
	return g.tokens >= 1
}

// Take reports whether a request may be sent now, and counts it if so.
func (g *Gate) Take(now int64) bool {
	if !g.limited.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fill(now)
	if g.tokens < 1 {
		return false
	}
	g.tokens--
	g.sent++
	return true
}

// Wait returns the time until a request may be sent at the current rate, false if the
// gateway holds no lease.
func (g *Gate) Wait(now int64) (wait time.Duration, ok bool) {
	if !g.limited.Load() {
		return 0, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fill(now)
	if g.rate <= 0 || now >= g.until {
		return 0, false
	}
	return time.Duration(max(0, 1-g.tokens) / g.rate * float64(time.Second)), true
}

// fill adds the tokens of the time since the last call in which the lease was valid.
func (g *Gate) fill(now int64) {
	elapsed := time.Duration(max(0, min(now, g.until)-g.filledAt)).Seconds()
	g.filledAt = max(g.filledAt, now)
	if now >= g.until {
		// Tokens do not outlive the lease that they come from.
		g.tokens = 0
		return
	}
	g.tokens = min(g.tokens+g.rate*elapsed, max(minGateBurst, g.rate*gateBurst.Seconds()))
}
