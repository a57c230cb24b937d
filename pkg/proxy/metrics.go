package proxy

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"balsamhill/pkg/admission"
	"balsamhill/pkg/claim"
	"balsamhill/pkg/retry"
)

// Metrics are the counters of the traffic path; docs/METRICS.md describes them.
type Metrics struct {
	set *metrics.Set

	completed        *metrics.Counter
	truncated        *metrics.Counter
	canceled         *metrics.Counter
	upgraded         *metrics.Counter
	badRequest       *metrics.Counter
	noRoute          *metrics.Counter
	noServer         *metrics.Counter
	notReady         *metrics.Counter
	tooLarge         *metrics.Counter
	badBody          *metrics.Counter
	unframedResponse *metrics.Counter
	serversFull      *metrics.Counter
	serversAtLimit   *metrics.Counter
	serversWithdrawn *metrics.Counter
	gatewayStopping  *metrics.Counter
	isolated         *metrics.Counter
	crowded          *metrics.Counter
	guardBusy        *metrics.Counter
	guardBlocked     *metrics.Counter
	shed             map[admission.Decision]*metrics.Counter
	failed           map[retry.Result]*metrics.Counter
	outcomes         map[Outcome]*metrics.Counter
	// handoffsReceived counts the calls of other gateways, handoffsDeclined those that this
	// one declined because it reaches no server, and handoffsUnreadable those that it could not
	// read.
	handoffsReceived   *metrics.Counter
	handoffsDeclined   *metrics.Counter
	handoffsUnreadable *metrics.Counter
	claims             map[claim.Kind]*metrics.Counter
	lateResponses      *metrics.Counter
	resendsRefused     *metrics.Counter
	// attemptsWithdrawn counts attempts that were not sent because their server withdrew,
	// and unreadableWithdrawals responses with an invalid header field about it.
	attemptsWithdrawn     *metrics.Counter
	unreadableWithdrawals *metrics.Counter
}

// serviceMetrics are the counters of one service.
type serviceMetrics struct {
	attempts      map[retry.Result]*metrics.Counter
	retries       *metrics.Counter
	retriesDenied *metrics.Counter
	hedges        *metrics.Counter
	hedgesWon     *metrics.Counter
	hedgesDenied  *metrics.Counter
}

// NewMetrics registers the counters in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	calls := func(outcome string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(`balsamhill_calls_total{outcome=%q}`, outcome))
	}
	m := &Metrics{
		set:                set,
		completed:          calls("answered"),
		truncated:          calls("truncated"),
		canceled:           calls("caller_left"),
		upgraded:           calls("upgraded"),
		badRequest:         calls("bad_request"),
		noRoute:            calls("no_route"),
		noServer:           calls("no_server"),
		notReady:           calls("not_ready"),
		tooLarge:           calls("body_too_large"),
		badBody:            calls("body_failed"),
		unframedResponse:   calls("unframed_answer"),
		serversFull:        calls("servers_full"),
		serversAtLimit:     calls("servers_at_limit"),
		serversWithdrawn:   calls("servers_withdrawn"),
		gatewayStopping:    calls("gateway_stopping"),
		isolated:           calls("isolated"),
		crowded:            calls("crowded"),
		handoffsReceived:   set.GetOrCreateCounter(`balsamhill_handoffs_received_total{result="taken"}`),
		handoffsDeclined:   set.GetOrCreateCounter(`balsamhill_handoffs_received_total{result="declined"}`),
		handoffsUnreadable: set.GetOrCreateCounter(`balsamhill_handoffs_received_total{result="unreadable"}`),
		guardBusy:          calls("crash_guard_busy"),
		guardBlocked:       calls("crash_guard_blocked"),
		shed: map[admission.Decision]*metrics.Counter{
			admission.ShedFull:     calls("shed_full"),
			admission.ShedDeadline: calls("shed_deadline"),
			admission.ShedExpired:  calls("shed_expired"),
		},
		failed: map[retry.Result]*metrics.Counter{},
		outcomes: map[Outcome]*metrics.Counter{
			NotRun:  set.GetOrCreateCounter(`balsamhill_refusals_total{outcome="not-run"}`),
			Unknown: set.GetOrCreateCounter(`balsamhill_refusals_total{outcome="unknown"}`),
		},
		claims:         map[claim.Kind]*metrics.Counter{},
		lateResponses:  set.GetOrCreateCounter(`balsamhill_late_answers_total`),
		resendsRefused: set.GetOrCreateCounter(`balsamhill_transport_resends_refused_total`),

		attemptsWithdrawn:     set.GetOrCreateCounter(`balsamhill_attempts_withdrawn_total`),
		unreadableWithdrawals: set.GetOrCreateCounter(`balsamhill_withdrawals_unreadable_total`),
	}
	for _, result := range retry.Results() {
		m.failed[result] = calls("failed_" + result.String())
	}
	kinds := map[claim.Kind]string{
		claim.Refuse: "refuse", claim.Dispatch: "dispatch", claim.Replay: "replay",
		claim.Ran: "ran", claim.Mismatch: "mismatch",
	}
	for kind, name := range kinds {
		m.claims[kind] = set.GetOrCreateCounter(fmt.Sprintf(`balsamhill_claim_decisions_total{kind=%q}`, name))
	}
	return m
}

func (m *Metrics) service(name string) *serviceMetrics {
	counter := func(metric string) *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q}`, metric, name))
	}
	s := &serviceMetrics{
		attempts:      map[retry.Result]*metrics.Counter{},
		retries:       counter("balsamhill_retries_total"),
		retriesDenied: counter("balsamhill_retries_denied_total"),
		hedges:        counter("balsamhill_hedges_total"),
		hedgesWon:     counter("balsamhill_hedges_won_total"),
		hedgesDenied:  counter("balsamhill_hedges_denied_total"),
	}
	for _, result := range retry.Results() {
		s.attempts[result] = m.set.GetOrCreateCounter(
			fmt.Sprintf(`balsamhill_attempts_total{service=%q,end=%q}`, name, result.String()))
	}
	return s
}

// handoff returns the counter of the calls that were handed off to other gateways with a result.
func (m *Metrics) handoff(result string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`balsamhill_handoffs_total{result=%q}`, result))
}
