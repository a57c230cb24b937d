package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
)

// counters are the counters of this package; docs/METRICS.md describes them.
type counters struct {
	set             *metrics.Set
	adoptions       *metrics.Counter
	invalidConfigs  *metrics.Counter
	invalidEntries  *metrics.Counter
	invalidMessages *metrics.Counter
	sendErrors      *metrics.Counter
	messagesSent    *metrics.Counter
	messageBytes    *metrics.Counter
	probes          *metrics.Counter
	probeErrors     *metrics.Counter
	joins           *metrics.Counter
	// unreadableProbeWithdrawals counts probe responses with an invalid header field about
	// the work that the server wants.
	unreadableProbeWithdrawals *metrics.Counter
	// configDelay is the time from the announcement of a configuration to its adoption.
	configDelay *metrics.Histogram
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		set:                        set,
		adoptions:                  set.NewCounter("balsamhill_config_adoptions_total"),
		invalidConfigs:             set.NewCounter("balsamhill_config_unreadable_total"),
		invalidEntries:             set.NewCounter("balsamhill_server_entries_unreadable_total"),
		invalidMessages:            set.NewCounter("balsamhill_gossip_unreadable_total"),
		sendErrors:                 set.NewCounter("balsamhill_gossip_send_errors_total"),
		messagesSent:               set.NewCounter("balsamhill_gossip_messages_sent_total"),
		messageBytes:               set.NewCounter("balsamhill_gossip_sent_bytes_total"),
		probes:                     set.NewCounter("balsamhill_probes_total"),
		probeErrors:                set.NewCounter("balsamhill_probe_errors_total"),
		joins:                      set.NewCounter("balsamhill_gateways_joined_total"),
		unreadableProbeWithdrawals: set.GetOrCreateCounter(`balsamhill_withdrawals_unreadable_total`),

		configDelay: set.NewHistogram("balsamhill_config_delay_seconds"),
	}
}

// recordResponse records the latency of a call by service and outcome.
func (c *counters) recordResponse(event proxy.CallEvent) {
	outcome := "in_time"
	switch {
	case event.Status >= http.StatusInternalServerError:
		outcome = "failed"
	case event.Late():
		outcome = "late"
	}
	c.set.GetOrCreateHistogram(fmt.Sprintf(`balsamhill_answer_seconds{service=%q,outcome=%q}`, event.Service, outcome)).
		Update(event.Took.Seconds())
	c.set.GetOrCreateCounter(fmt.Sprintf(`balsamhill_route_calls_total{route=%q,service=%q}`, event.Route, event.Service)).Inc()
}

func (c *counters) recordStoreCall(table feed.Table, err error) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`balsamhill_store_calls_total{table=%q,result=%q}`, table, resultLabel(err))).Inc()
}

// recordWithdrawal counts a withdrawal by its kind and by where this gateway learned it.
func (c *counters) recordWithdrawal(kind, source string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`balsamhill_server_withdrawals_total{kind=%q,source=%q}`, kind, source)).Inc()
}

// recordProbeVerdict counts a change of whether a server responds to probes, by whose probes
// they are.
func (c *counters) recordProbeVerdict(unresponsive, ownProbes bool) {
	verdict, source := "responsive", "gateway"
	if unresponsive {
		verdict = "unresponsive"
	}
	if ownProbes {
		source = "probe"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`balsamhill_probe_verdicts_total{verdict=%q,source=%q}`, verdict, source)).Inc()
}

func (c *counters) recordPeerRead(err error) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`balsamhill_gateway_reads_total{result=%q}`, resultLabel(err))).Inc()
}

// serveMetrics serves /metrics until ctx is done. If the port is in use, the gateway runs
// without it.
func (e *Edge) serveMetrics(ctx context.Context) {
	address := net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.MetricsPort))
	server := e.newServer("metrics", e.shares.Auxiliary, e.metricsHandler())
	go func() {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			err = server.Serve(listener, nil)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			e.log.Warn("metrics listener failed", "address", address, "error", err)
		}
	}()
	<-ctx.Done()
	_ = server.Close()
}

func (e *Edge) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		e.writeGauges()
		e.metrics.WritePrometheus(w)
	})
	return mux
}

// writeGauges updates the gauges of the gateway's state: the servers and other gateways
// that it has, the age of its tables, and its roles.
func (e *Edge) writeGauges() {
	now := e.now()
	gauge := func(value float64, format string, labels ...any) {
		e.metrics.GetOrCreateGauge(fmt.Sprintf(format, labels...), nil).Set(value)
	}
	for _, w := range e.watchers {
		state, known := w.state(now)
		if known {
			gauge(float64(state.Age)/float64(time.Second), `balsamhill_table_age_seconds{table=%q}`, w.table)
			gauge(float64(state.Era), `balsamhill_store_era{table=%q}`, w.table)
		}
	}
	e.peersMu.Lock()
	alive := e.peers.AliveInGroup(now)
	e.peersMu.Unlock()
	gauge(float64(alive), "balsamhill_gateways_alive")
	gauge(indicator(e.longPollsStore(now)), "balsamhill_reader")
	gauge(indicator(e.isRelay.Load()), "balsamhill_relay")
	gauge(indicator(e.contact.Isolated()), "balsamhill_isolated")
	snapshot := e.snapshot.Load()
	if snapshot == nil {
		return
	}
	gauge(float64(snapshot.Version.Revision), "balsamhill_config_revision")
	for name, view := range snapshot.Services {
		state := e.proxy.ServiceState(name, now, e.limits.Load().RetryPercent)
		gauge(float64(view.Usable()), `balsamhill_servers_usable{service=%q}`, name)
		gauge(meanReportAge(now, view), `balsamhill_report_age_seconds{service=%q}`, name)
		gauge(float64(state.Waiting), `balsamhill_calls_waiting{service=%q}`, name)
		gauge(float64(state.RetriesRemaining), `balsamhill_retries_left{service=%q}`, name)
		limited, share := e.serverLimits.totals(now, name)
		gauge(float64(limited), `balsamhill_servers_limited{service=%q}`, name)
		gauge(share, `balsamhill_limit_share{service=%q}`, name)
		gauge(state.SaturationFactor, `balsamhill_crowded_factor{service=%q}`, name)
	}
}

// indicator returns 1 for true and 0 for false.
func indicator(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// meanReportAge returns the mean age in seconds of the load reports of a service's
// servers, 0 if there are none.
func meanReportAge(now int64, view *routing.ServiceView) float64 {
	sum, count := 0.0, 0
	for _, server := range view.All {
		if at := server.Stats.ReportedAt(); at != 0 {
			sum += float64(now-at) / float64(time.Second)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// resultLabel returns the value of the metric label "result".
func resultLabel(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}
