package gateway

import "github.com/VictoriaMetrics/metrics"

// counters are the counters of the control path.
type counters struct {
	presetAdoptions *metrics.Counter
	drainNotices    *metrics.Counter
	platformErrors  *metrics.Counter
	refusedOffers   *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		presetAdoptions: set.NewCounter("balsamhill_preset_adoptions_total"),
		drainNotices:    set.NewCounter("balsamhill_drain_notices_total"),
		refusedOffers:   set.NewCounter("balsamhill_preset_offers_refused_total"),
		platformErrors:  set.NewCounter("balsamhill_platform_errors_total"),
	}
}
