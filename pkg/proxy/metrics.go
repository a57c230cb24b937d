package proxy

import "github.com/VictoriaMetrics/metrics"

// Metrics are the counters of the traffic path.
type Metrics struct {
	Answered *metrics.Counter
	Failed   *metrics.Counter
	NoRoute  *metrics.Counter
	NoServer *metrics.Counter
}

// NewMetrics registers the counters in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		Answered: set.NewCounter(`balsamhill_calls_total{outcome="answered"}`),
		Failed:   set.NewCounter(`balsamhill_calls_total{outcome="failed"}`),
		NoRoute:  set.NewCounter(`balsamhill_calls_total{outcome="no_route"}`),
		NoServer: set.NewCounter(`balsamhill_calls_total{outcome="no_server"}`),
	}
}
