package proxy

import (
	"net/http"

	"balsamhill/pkg/handoff"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// Handoff hands calls off to other gateways while this one reaches no server. Other gateways are
// servers with Server.Gateway set. Implementations are safe for concurrent use.
type Handoff interface {
	// Required reports whether this gateway reaches no server.
	Required() bool
	// Choose returns a gateway that is not in tried, nil if there is none.
	Choose(tried []*routing.Server) *routing.Server
	// Lost reports whether a gateway is no longer heard. It may have stopped working on its calls.
	Lost(gateway *routing.Server) bool
	// Failed records that a gateway declined a call or did not respond to it.
	Failed(gateway *routing.Server)
	// RoundTrip sends a request to a gateway, on a fresh connection if fresh is set; see
	// ServerTransport.
	RoundTrip(fresh bool, request *http.Request) (*http.Response, error)
}

// ServeHandoff processes a call that another gateway handed off.
func (p *Proxy) ServeHandoff(w http.ResponseWriter, r *http.Request) {
	request, err := handoff.ParseRequest(r.Header.Get(handoff.Header))
	if err != nil {
		p.config.Metrics.handoffsUnreadable.Inc()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Header.Del(handoff.Header)
	// A refusal before the call has a route leaves it to another gateway.
	w.Header().Set(handoff.Header, string(handoff.Declined))
	if p.handoffRequired() {
		p.config.Metrics.handoffsDeclined.Inc()
		p.refuseUnrouted(w, r, p.config.Now(), 0, http.StatusServiceUnavailable, isolatedDetail)
		return
	}
	p.config.Metrics.handoffsReceived.Inc()
	p.serve(w, r, &request)
}

const isolatedDetail = "this gateway reaches no server"

func (p *Proxy) handoffRequired() bool {
	return p.config.Handoff != nil && p.config.Handoff.Required()
}

// mustHandOff reports whether the next attempt of the call goes to another gateway. A call that
// was handed off once is not handed off again.
func (c *call) mustHandOff() bool {
	return c.handedOff || c.received == nil && c.view != nil && c.proxy.handoffRequired()
}

// handOff sends the call to another gateway, or refuses it if there is none.
func (c *call) handOff() {
	gateway := c.chooseGateway()
	if gateway == nil {
		c.refuseIsolated()
		return
	}
	c.respond(c.run(gateway))
}

func (c *call) chooseGateway() *routing.Server {
	return c.markTried(c.proxy.config.Handoff.Choose(c.tried))
}

// refuseIsolated refuses a call because neither this gateway nor another one that it knows
// reaches a server.
func (c *call) refuseIsolated() {
	c.proxy.config.Metrics.isolated.Inc()
	c.refuse(http.StatusServiceUnavailable, "no gateway that reaches a server of "+c.serviceName+" took the call")
}

// recordHandoff describes the attempts before a, for the gateway to which a hands off the call.
func (a *attempt) recordHandoff() {
	c := a.call
	earlier := c.attemptCount - 1
	a.handoff = handoff.Request{
		Gateway: c.proxy.config.GatewayID, Caller: c.peer, Counted: !c.handedOff,
		Sent: earlier - c.unsentCount, MayHaveRun: earlier - c.notRunCount,
	}
}

// classifyHandoff determines what the response of another gateway means for the call.
func (a *attempt) classifyHandoff() {
	outcome := handoff.Outcome(a.response.Header.Get(handoff.Header))
	switch outcome {
	case handoff.Answered:
		a.responseKind = ResponseFinal
	case handoff.RefusedUnknown:
		a.responseKind, a.refusedElsewhere = ResponseFinal, true
	case handoff.Declined:
		a.responseKind, a.declined = ResponseNotRun, true
	case handoff.RefusedNotRun:
		a.responseKind, a.conclusive = ResponseNotRun, true
	default:
		// Another program may have the address of the gateway now.
		a.responseKind = ResponseMismatched
	}
}

// recordHandoffResult records whether the gateway took the call.
func (a *attempt) recordHandoffResult() {
	c := a.call
	c.proxy.config.Metrics.handoff(a.handoffResult()).Inc()
	took := a.response != nil && !a.declined
	if !took && a.result != retry.Canceled {
		c.proxy.config.Handoff.Failed(a.server)
	}
}

// handoffResult returns the label of the metric for a call that was handed off.
func (a *attempt) handoffResult() string {
	switch {
	case a.declined:
		return "declined"
	case a.response == nil:
		return "failed"
	default:
		return "taken"
	}
}

// respondConclusive passes on the refusal of the gateway to which the call was handed off. What
// it says does not hold if an earlier attempt may have run.
func (c *call) respondConclusive(a *attempt) {
	if c.attemptLog.DidNotRun() {
		c.headerAt = c.proxy.config.Now()
		c.deliver(a)
		return
	}
	a.finish()
	c.refuse(http.StatusBadGateway, "another gateway refused a call that may have run before")
}

// setHandoffOutcome tells the gateway that handed off the call what became of it.
func (c *call) setHandoffOutcome(header http.Header, outcome handoff.Outcome) {
	if c.received != nil {
		header.Set(handoff.Header, string(outcome))
	}
}

// refusalOutcome is the outcome of a refusal for the gateway that handed off the call. That one
// chooses another gateway if the servers are out of reach here, or this gateway stops.
func (c *call) refusalOutcome(outcome Outcome) handoff.Outcome {
	switch {
	case outcome != NotRun:
		return handoff.RefusedUnknown
	case c.proxy.handoffRequired() || c.outlivesGateway():
		return handoff.Declined
	default:
		return handoff.RefusedNotRun
	}
}

// countsForBudget reports whether the call counts for the retry budget of this gateway. Each call
// counts at one gateway: at the first one that sends it to servers.
func (c *call) countsForBudget() bool {
	return !c.handedOff && (c.received == nil || !c.received.Counted)
}

// earlierAttempts returns how many attempts of other gateways may have reached a server, and how
// many of these may have run.
func (c *call) earlierAttempts() (sent, mayHaveRun int) {
	if c.received == nil {
		return 0, 0
	}
	return c.received.Sent, c.received.MayHaveRun
}
