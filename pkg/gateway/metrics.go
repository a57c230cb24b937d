package gateway

import "github.com/VictoriaMetrics/metrics"

// counters holds the gateway's metrics outside of proxy, claims and peers.
type counters struct {
	presetAdoptions *metrics.Counter
	drainNotices    *metrics.Counter
	platformErrors  *metrics.Counter
	refusedOffers   *metrics.Counter
	// suspected and blocked are the requests that the crash guard suspects and blocks.
	suspected     *metrics.Gauge
	blocked       *metrics.Gauge
	grantFailures *metrics.Counter
	probeFailures *metrics.Counter
	// probes returns the counter of probes sent to a service.
	probes func(service string) *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		presetAdoptions: set.NewCounter("balsamhill_preset_adoptions_total"),
		drainNotices:    set.NewCounter("balsamhill_drain_notices_total"),
		suspected:       set.NewGauge("balsamhill_suspected_requests", nil),
		blocked:         set.NewGauge("balsamhill_blocked_requests", nil),
		refusedOffers:   set.NewCounter("balsamhill_preset_offers_refused_total"),
		platformErrors:  set.NewCounter("balsamhill_platform_errors_total"),
		grantFailures:   set.NewCounter("balsamhill_grant_failures_total"),
		probeFailures:   set.NewCounter("balsamhill_probe_failures_total"),
		probes: func(service string) *metrics.Counter {
			return set.GetOrCreateCounter(probeCounterName(service))
		},
	}
}
