package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"balsamhill/pkg/admission"
	"balsamhill/pkg/claim"
	"balsamhill/pkg/crashguard"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// service is what traffic remembers about one service.
type service struct {
	limiter admission.Limiter
	retries retry.Budget
	hedges  retry.Budget
	latency retry.HedgeDelay
	work    routing.ServiceTimeEstimator
	// waiting counts the calls that wait for a free slot.
	waiting  atomic.Int64
	Counters *serviceMetrics
}

// minRetries lets a service with little traffic retry at all: one retry in 10 s.
const minRetries = 1

func (p *Proxy) service(name string) *service {
	found, ok := p.services.Load(name)
	if !ok {
		found, _ = p.services.LoadOrStore(name, &service{
			retries:  retry.Budget{Floor: minRetries},
			Counters: p.config.Metrics.service(name),
		})
	}
	return found.(*service)
}

// ServiceState is what the traffic path knows of a service at a moment.
type ServiceState struct {
	// Waiting counts the calls that wait for a free slot.
	Waiting int64
	// RetriesRemaining is how many retries the budget would allow now.
	RetriesRemaining int64
	// SaturationFactor is the learnt factor by which calls take longer on a server with
	// all slots taken.
	SaturationFactor float64
}

// ServiceState returns the state of a service whose retries are bounded to a
// percentage of its calls.
func (p *Proxy) ServiceState(name string, now int64, retryPercent float64) ServiceState {
	s := p.service(name)
	return ServiceState{
		Waiting:          s.waiting.Load(),
		RetriesRemaining: s.retries.Remaining(now, retryPercent, p.retryBase()),
		SaturationFactor: s.work.SaturationFactor(),
	}
}

// call is one caller's request on its way. It belongs to the handler's goroutine.
type call struct {
	proxy   *Proxy
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	route   *routing.Route
	// revision is that of the preset that the call sees.
	revision uint64
	// target is the name of the service that receives the call.
	target    string
	service   *service
	limits    preset.Limits
	view      *routing.ServiceView
	arrived   int64
	deadline  int64
	peer      netip.Addr
	trusted   bool
	requestID string
	upgrade   string

	safety          retry.Safety
	incomingAttempt int
	key             string
	claimCall       claim.Call
	ticket          *claim.Ticket
	finished        bool

	// admitted and headerAt are the times of admission and of the answer's header.
	admitted int64
	headerAt int64

	// base is the context of all attempts.
	base     context.Context
	body     callerBody
	informer informer
	log      retry.AttemptLog
	// fingerprint identifies the request towards the crash guard.
	fingerprint crashguard.Fingerprint
	tried       []*routing.Server
	triedBuf    [2]*routing.Server
	sent        int
	// lateness is the timer to the route's target, nil if nobody is told.
	lateness *time.Timer
	// newest is the last attempt that was started, for the timer's goroutine.
	newest atomic.Pointer[attempt]
	// refused counts the attempts that certainly did not run.
	refused int
}

var randPool = sync.Pool{New: func() any {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}}

// end releases what the call holds, also when the handler panics.
func (c *call) end() {
	if c.lateness != nil {
		c.lateness.Stop()
	}
	c.informer.close()
	c.body.finish()
	if c.body.c == nil {
		boundUnreadBody(c.w, c.r)
	}
	if c.ticket != nil && !c.finished {
		// Only a panic between claim and result leads here; the call may have run.
		c.finish(claim.Result{Kind: claim.ResultUnknown})
	}
}

// serve runs the call from admission to the answer.
func (c *call) serve(limits preset.Limits, view *routing.ServiceView) {
	c.limits = limits
	c.view = view
	c.deadline = retry.Deadline(c.arrived, limits.Timeout(), c.proxy.config.Protocol.TimeoutMillis(c.r.Header))
	c.base = c.r.Context()
	c.tried = c.triedBuf[:0]
	c.watchLateness()
	c.informer.w = c.w
	c.informer.dialect = c.proxy.config.Protocol
	c.service.retries.RecordCall(c.arrived)
	c.service.hedges.RecordCall(c.arrived)
	if limits.MaxBodyBytes > 0 && c.r.ContentLength > limits.MaxBodyBytes {
		c.refuseTooLarge()
		return
	}
	c.body.open(c)
	if !c.bufferBody() {
		return
	}
	if !c.admit() {
		return
	}
	defer c.leave()
	if c.candidates() == 0 {
		c.refuseWithoutServer()
		return
	}
	if c.safety == retry.Keyed && !c.claim() {
		return
	}
	// Claims and the crash guard may take long. They come before the choice,
	// because Stats.Start must follow Choose at once: the detection of silent
	// servers measures from the choice.
	if !c.passGuard() {
		return
	}
	server := c.chooseFirst()
	if server == nil {
		return
	}
	var won *attempt
	if c.mayRace() {
		won = c.race(server)
	} else {
		won = c.sequence(server)
	}
	c.conclude(won)
}

// candidates returns how many servers the call may be sent to: the usable ones,
// else those that are only noticed as leaving.
func (c *call) candidates() int {
	if c.view == nil {
		return 0
	}
	if usable := c.view.Usable(); usable > 0 {
		return usable
	}
	return len(c.view.LastResort)
}

func (c *call) refuseWithoutServer() {
	c.proxy.config.Metrics.noServer.Inc()
	c.refuse(http.StatusServiceUnavailable, "no server of "+c.target+" is available")
}

// admit waits for a place among the calls in flight of the service.
func (c *call) admit() bool {
	now := c.proxy.config.Now()
	limiter := &c.service.limiter
	verdict, ticket := limiter.Acquire(now, c.deadline, c.bounds())
	if verdict == admission.Waiting {
		verdict = c.waitForPlace(ticket)
	}
	if verdict == admission.Admitted {
		c.admitted = c.proxy.config.Now()
		return true
	}
	c.proxy.config.Metrics.shed[verdict].Inc()
	c.refuse(http.StatusServiceUnavailable, "too many calls of "+c.target+" are in flight")
	return false
}

// leave gives the place back. The time to the answer's header counts as service
// time, because deadlines end with the header; bodies may be streamed for hours.
func (c *call) leave() {
	took := int64(0)
	if c.headerAt != 0 && c.route.Class != preset.ClassUpload {
		took = c.headerAt - c.admitted
	}
	c.service.limiter.Release(c.proxy.config.Now(), took)
}

func (c *call) waitForPlace(ticket *admission.Ticket) admission.Decision {
	timer := time.NewTimer(time.Duration(c.view.Tuning.QueueMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case verdict := <-ticket.Decided:
		return verdict
	case <-timer.C:
	case <-c.r.Context().Done():
	}
	if c.service.limiter.Abandon(ticket) {
		return admission.ShedExpired
	}
	return <-ticket.Decided
}

// bounds returns servers × slots × factor as the limit; without servers the
// call is refused a step later.
func (c *call) bounds() admission.Bounds {
	candidates := c.candidates()
	if candidates == 0 {
		return admission.Bounds{Limit: 1 << 30}
	}
	limit := float64(candidates*c.view.Slots) * c.view.Tuning.QueueFactor
	return admission.Bounds{
		Limit:   max(1, int64(limit)),
		MaxWait: c.view.Tuning.QueueMillis * int64(time.Millisecond),
	}
}

// mayTryAgain reports whether another server may be tried after an attempt.
// It takes from the retry budget if so.
func (c *call) mayTryAgain(last *attempt) bool {
	if !c.mayRunAgain() || last.denied || !retry.MayRepeat(c.incomingAttempt) {
		return false
	}
	if !c.mayFollow(last) || !c.body.replayable() {
		return false
	}
	now := c.proxy.config.Now()
	if retry.Expired(now, c.deadline) || c.base.Err() != nil {
		return false
	}
	if !c.service.retries.Take(now, c.limits.RetryPercent, c.proxy.retryBase()) {
		c.service.Counters.retriesDenied.Inc()
		return false
	}
	return true
}

const (
	// defaultAttempts is the number of servers that may run a call of a route that
	// does not say.
	defaultAttempts = 2
	// maxSends bounds the attempts of a call that servers refuse.
	maxSends = 4
)

func (p *Proxy) retryBase() float64 {
	if p.config.RetryBase == nil {
		return 0
	}
	return p.config.RetryBase()
}

// mayRunAgain reports whether the route allows another server to run the call.
func (c *call) mayRunAgain() bool {
	return c.sent-c.refused < c.maxAttempts() && c.sent < maxSends
}

func (c *call) maxAttempts() int {
	if c.route.MaxAttempts > 0 {
		return c.route.MaxAttempts
	}
	return defaultAttempts
}

// mayFollow reports whether the end of an attempt allows another one.
func (c *call) mayFollow(last *attempt) bool {
	if last.end == retry.ServerError && c.limits.RetryErrors {
		return c.safety == retry.Idempotent
	}
	return retry.MayRetry(c.safety, last.end)
}

// sequence sends attempts one after the other.
func (c *call) sequence(server *routing.Server) *attempt {
	for {
		a := c.newAttempt(server)
		stop := a.limit(c.attemptTime())
		a.send()
		stop()
		c.record(a)
		if a.end == retry.ResponseReceived || !c.mayTryAgain(a) {
			return a
		}
		next := c.choose()
		if next == nil {
			return a
		}
		c.service.Counters.retries.Inc()
		a.discard()
		server = next
	}
}

// attemptTime returns how long the next attempt may wait for its answer, 0 for
// no limit.
func (c *call) attemptTime() time.Duration {
	if c.deadline == 0 {
		return 0
	}
	return max(1, time.Duration(c.deadline-c.proxy.config.Now()))
}

// record takes note of how an attempt ended.
func (c *call) record(a *attempt) {
	c.log.Add(a.end)
	if a.end.DidNotRun() {
		c.refused++
	}
	c.observe(a)
	c.service.Counters.attempts[a.end].Inc()
}

// conclude hands the last attempt's result to the caller.
func (c *call) conclude(a *attempt) {
	if a.response != nil && a.end == retry.RefusedNotRun && c.proxy.config.ReplaceRefusals {
		a.done()
		c.proxy.config.Metrics.failed[a.end].Inc()
		status := http.StatusServiceUnavailable
		if !c.log.DidNotRun() {
			status = http.StatusBadGateway
		}
		c.refuse(status, "the servers of "+c.target+" refused the call")
		return
	}
	if a.response != nil {
		c.headerAt = c.proxy.config.Now()
		c.deliver(a)
		return
	}
	a.cancel(errDone)
	status, detail := http.StatusBadGateway, "the server did not answer"
	switch {
	case a.guarded != "":
		status, detail = http.StatusServiceUnavailable, a.guarded
	case a.denied && !a.resent:
		status, detail = http.StatusServiceUnavailable, "the claim of the idempotency key is too old"
	case errors.Is(c.body.failure(), errBodyTooLarge):
		c.refuseTooLarge()
		return
	case errors.Is(c.body.failure(), os.ErrDeadlineExceeded):
		status, detail = http.StatusRequestTimeout, "the body did not arrive in time"
	case c.body.failed():
		status, detail = http.StatusBadRequest, "the body could not be read"
	case a.timedOut():
		status, detail = http.StatusGatewayTimeout, "the server did not answer in time"
	case a.end == retry.NeverWritten:
		status, detail = http.StatusServiceUnavailable, "no connection to a server of "+c.target
	}
	c.proxy.config.Metrics.failed[a.end].Inc()
	c.refuse(status, detail)
}

func (c *call) refuseTooLarge() {
	c.proxy.config.Metrics.tooLarge.Inc()
	c.refuse(http.StatusRequestEntityTooLarge,
		"the body is larger than "+strconv.FormatInt(c.limits.MaxBodyBytes, 10)+" bytes")
}
