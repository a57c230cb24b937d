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
	"balsamhill/pkg/handoff"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/responsecheck"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// service is the state of the traffic path for one service.
type service struct {
	limiter     admission.Limiter
	retryBudget retry.Budget
	hedgeBudget retry.Budget
	hedgeDelay  retry.HedgeDelay
	serviceTime routing.ServiceTimeEstimator
	// waitingForHeadroom counts the calls that wait until a server has headroom.
	waitingForHeadroom atomic.Int64
	// calls counts the calls to the service, whatever becomes of them.
	calls   atomic.Int64
	Metrics *serviceMetrics
}

// minRetriesPerWindow is how many retries a service may make within
// retry.WindowNanos, however few calls it has; see retry.Budget.MinAllowed.
const minRetriesPerWindow = 1

func (p *Proxy) service(name string) *service {
	found, ok := p.services.Load(name)
	if !ok {
		found, _ = p.services.LoadOrStore(name, &service{
			retryBudget: retry.Budget{MinAllowed: minRetriesPerWindow},
			Metrics:     p.config.Metrics.service(name),
		})
	}
	return found.(*service)
}

// ServiceState is the current state of a service in the traffic path.
type ServiceState struct {
	// Waiting counts the calls that wait until a server has headroom.
	Waiting int64
	// RetriesRemaining is how many retries the budget would allow now.
	RetriesRemaining int64
	// SaturationFactor is the estimated factor by which calls take longer on a
	// server with all slots taken.
	SaturationFactor float64
}

// ServiceState returns the state of a service whose retries are limited to
// retryPercent of its calls.
func (p *Proxy) ServiceState(name string, now int64, retryPercent float64) ServiceState {
	s := p.service(name)
	return ServiceState{
		Waiting:          s.waitingForHeadroom.Load(),
		RetriesRemaining: s.retryBudget.Remaining(now, retryPercent, p.retryBase()),
		SaturationFactor: s.serviceTime.SaturationFactor(),
	}
}

// Calls returns how many calls to a service have arrived.
func (p *Proxy) Calls(name string) int64 {
	return p.service(name).calls.Load()
}

// call is one caller's request while it is processed. It belongs to the handler's
// goroutine; hedgedCall guards the fields that parallel attempts change.
type call struct {
	proxy   *Proxy
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	route   *routing.Route
	// revision is the revision of the preset that the call uses.
	revision uint64
	// serviceName is the name of the service that receives the call.
	serviceName string
	service     *service
	limits      preset.Limits
	view        *routing.ServiceView
	// arrived and deadline are times on the clock of Config.Now; deadline is 0 if
	// the call has none.
	arrived  int64
	deadline int64
	// peer is the address of the connection, or that of the caller of a call that another
	// gateway handed off. trusted reports whether the headers of gateways are kept: the
	// connection is that of another gateway or of one of Config.TrustedProxies.
	peer      netip.Addr
	trusted   bool
	requestID string
	// upgrade is the protocol of a requested upgrade, empty if there is none.
	upgrade string

	safety retry.Safety
	// incomingAttempt is the attempt number that a trusted proxy sent, else 0.
	incomingAttempt int
	// idempotencyKey is empty if the call needs no claim. claimCall is what
	// claimIdentity returned; ticket is nil until the claim is granted; claimFinished
	// reports whether its result was recorded.
	idempotencyKey string
	claimCall      claim.Call
	ticket         *claim.Ticket
	claimFinished  bool

	// admittedAt and headerAt are when the call was admitted and when the response
	// header arrived, on the clock of Config.Now; 0 means not yet.
	admittedAt int64
	headerAt   int64
	// headSent says that the caller was sent the head of a server's response.
	headSent bool

	// baseContext is the parent context of all attempts.
	baseContext   context.Context
	body          requestBody
	informational informationalWriter
	attemptLog    retry.AttemptLog
	// crashFingerprint identifies the request to the crash guard.
	crashFingerprint crashguard.Fingerprint
	// tried holds the servers that choose must not return again.
	tried        []*routing.Server
	triedBuf     [2]*routing.Server
	attemptCount int
	// lateTimer fires at the route's latency target; nil without a target or an
	// observer.
	lateTimer *time.Timer
	// latestAttempt is the attempt that was started last. It is atomic because
	// reportLate reads it in the timer's goroutine.
	latestAttempt atomic.Pointer[attempt]
	// atLimit says that the call is refused because of the limits that servers named.
	atLimit bool
	// notRunCount is the number of attempts that certainly did not run, and unsentCount that
	// of those that reached neither a server nor a gateway that took the call.
	notRunCount, unsentCount int
	// received describes a call that another gateway handed off, nil for a call of a caller.
	received *handoff.Request
	// handedOff says that this gateway reached no server when the call arrived.
	handedOff bool
}

var randPool = sync.Pool{New: func() any {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}}

// cleanUp releases everything that the call holds, also when the handler panics.
func (c *call) cleanUp() {
	if c.lateTimer != nil {
		c.lateTimer.Stop()
	}
	c.informational.close()
	c.body.close()
	if c.body.call == nil {
		limitUnreadBodyDrain(c.w, c.r)
	}
	if c.ticket != nil && !c.claimFinished {
		// Only a panic between claim and result leads here; the call may have run.
		c.finishClaim(claim.Result{Kind: claim.ResultUnknown})
	}
}

// serve processes the call from admission to the response.
func (c *call) serve(limits preset.Limits, view *routing.ServiceView) {
	c.limits = limits
	c.view = view
	c.deadline = retry.Deadline(c.arrived, limits.Timeout(), c.proxy.config.Protocol.TimeoutMillis(c.r.Header))
	c.baseContext = c.r.Context()
	c.tried = c.triedBuf[:0]
	c.startLateTimer()
	c.informational.w = c.w
	c.informational.protocol = c.proxy.config.Protocol
	c.handedOff = c.mustHandOff()
	if c.countsForBudget() {
		c.service.calls.Add(1)
		c.service.retryBudget.RecordCall(c.arrived)
		c.service.hedgeBudget.RecordCall(c.arrived)
	}
	if limits.MaxBodyBytes > 0 && c.r.ContentLength > limits.MaxBodyBytes {
		c.refuseTooLarge()
		return
	}
	c.body.init(c)
	if c.outlivesGateway() {
		c.refuseStopping()
		return
	}
	if !c.bufferBody() {
		return
	}
	if c.handedOff {
		c.handOff()
		return
	}
	if !c.admit() {
		return
	}
	defer c.releaseAdmission()
	if c.candidateCount() == 0 {
		c.refuseWithoutServer()
		return
	}
	if c.safety == retry.Keyed && !c.acquireClaim() {
		return
	}
	// The claim and the crash guard may block. They precede the choice of the
	// server, because Stats.Start must follow Choose immediately: the detection of
	// unresponsive servers measures from the choice.
	if !c.acquireCrashGuard() {
		return
	}
	server := c.chooseFirst()
	if server == nil {
		return
	}
	c.respond(c.run(server))
}

// run sends attempts, the first one to the given server, and returns the one that decides the
// call.
func (c *call) run(server *routing.Server) *attempt {
	if c.mayRunInParallel() {
		return c.runWithHedging(server)
	}
	return c.runSequentially(server)
}

// candidateCount returns how many servers the call may be sent to: the usable ones
// or, if there are none, those that announced that they are draining.
func (c *call) candidateCount() int {
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
	c.refuse(http.StatusServiceUnavailable, "no server of "+c.serviceName+" is available")
}

// refuseAtLimit refuses a call because this gateway may not send it to any server now.
func (c *call) refuseAtLimit() {
	c.atLimit = true
	c.proxy.config.Metrics.serversAtLimit.Inc()
	c.refuse(http.StatusServiceUnavailable, "all servers of "+c.serviceName+" have reached the limits that they named")
}

// admit waits until the service's limit on calls in flight allows the call, and
// refuses the call if it does not.
func (c *call) admit() bool {
	now := c.proxy.config.Now()
	limiter := &c.service.limiter
	decision, ticket := limiter.Acquire(now, c.deadline, c.admissionBounds())
	if decision == admission.Waiting {
		decision = c.waitForAdmission(ticket)
	}
	if decision == admission.Admitted {
		c.admittedAt = c.proxy.config.Now()
		return true
	}
	c.proxy.config.Metrics.shed[decision].Inc()
	c.refuse(http.StatusServiceUnavailable, "too many calls of "+c.serviceName+" are in flight")
	return false
}

// releaseAdmission ends the admission. Only the time to the response header counts
// as service time, because the deadline ends with the header and bodies may be
// streamed for hours.
func (c *call) releaseAdmission() {
	serviceTime := int64(0)
	if c.headerAt != 0 && c.route.Class != preset.ClassUpload {
		serviceTime = c.headerAt - c.admittedAt
	}
	c.service.limiter.Release(c.proxy.config.Now(), serviceTime)
}

func (c *call) waitForAdmission(ticket *admission.Ticket) admission.Decision {
	timer := time.NewTimer(time.Duration(c.view.Tuning.QueueMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case decision := <-ticket.Decided:
		return decision
	case <-timer.C:
	case <-c.r.Context().Done():
	}
	if c.service.limiter.Abandon(ticket) {
		return admission.ShedExpired
	}
	return <-ticket.Decided
}

// admissionBounds returns servers × slots × queue factor as the limit. Without
// servers the limit is so high that it never applies, because the call is refused in
// the next step.
func (c *call) admissionBounds() admission.Bounds {
	candidates := c.candidateCount()
	if candidates == 0 {
		return admission.Bounds{Limit: 1 << 30}
	}
	limit := float64(candidates*c.view.Slots) * c.view.Tuning.QueueFactor
	return admission.Bounds{
		Limit:   max(1, int64(limit)),
		MaxWait: c.view.Tuning.QueueMillis * int64(time.Millisecond),
	}
}

// respond forwards the response of the last attempt, or refuses the call if there
// is none.
func (c *call) respond(a *attempt) {
	if a.conclusive {
		c.respondConclusive(a)
		return
	}
	if a.declined {
		a.finish()
		c.refuseIsolated()
		return
	}
	if a.response != nil && a.result == retry.RefusedNotRun && c.proxy.config.ReplaceRejections {
		a.finish()
		c.proxy.config.Metrics.failed[a.result].Inc()
		status := http.StatusServiceUnavailable
		if !c.attemptLog.DidNotRun() {
			status = http.StatusBadGateway
		}
		c.refuse(status, "the servers of "+c.serviceName+" refused the call")
		return
	}
	if a.response != nil {
		c.headerAt = c.proxy.config.Now()
		c.deliver(a)
		return
	}
	c.refuseFailed(a)
}

// refuseFailed refuses a call because of the failure of its last attempt.
func (c *call) refuseFailed(a *attempt) {
	a.cancel(errCallEnded)
	ended := c.proxy.config.Metrics.failed[a.result]
	status, detail := http.StatusBadGateway, "the server did not answer"
	switch {
	case a.denyReason != "":
		status, detail = http.StatusServiceUnavailable, a.denyReason
	case a.denied && !a.resent:
		status, detail = http.StatusServiceUnavailable, "the claim of the idempotency key is too old"
	case errors.Is(c.body.readError(), errBodyTooLarge):
		c.refuseTooLarge()
		return
	case errors.Is(c.body.readError(), os.ErrDeadlineExceeded):
		status, detail = http.StatusRequestTimeout, "the body did not arrive in time"
	case c.body.readFailed():
		status, detail = http.StatusBadRequest, "the body could not be read"
	case a.timedOut():
		status, detail = http.StatusGatewayTimeout, "the server did not answer in time"
	case a.result == retry.NeverWritten:
		status, detail = http.StatusServiceUnavailable, "no connection to a server of "+c.serviceName
	case a.refused() == responsecheck.ReasonUnframed:
		ended, detail = c.proxy.config.Metrics.unframedResponse, "the server's answer has neither a length nor chunks"
	case a.refused() != "":
		detail = "the server sent no valid response"
	}
	ended.Inc()
	c.refuse(status, detail)
}

func (c *call) refuseTooLarge() {
	c.proxy.config.Metrics.tooLarge.Inc()
	c.refuse(http.StatusRequestEntityTooLarge,
		"the body is larger than "+strconv.FormatInt(c.limits.MaxBodyBytes, 10)+" bytes")
}
