package gateway

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// byteCounter is implemented by platform clients that count the bytes of their requests.
type byteCounter interface {
	Bytes() (sent, received uint64)
}

// writePlatformMetrics writes the bytes of platform requests. It does so only in a region
// without the store, where they cross the link.
func (g *Gateway) writePlatformMetrics(w io.Writer) {
	counter, ok := g.platform.(byteCounter)
	if !ok || g.inStoreRegion() {
		return
	}
	sent, received := counter.Bytes()
	metrics.WriteCounterUint64(w, `balsamhill_platform_bytes_total{direction="sent"}`, sent)
	metrics.WriteCounterUint64(w, `balsamhill_platform_bytes_total{direction="received"}`, received)
}

// writePeerMetrics writes the counters of the exchange with other gateways.
func (g *Gateway) writePeerMetrics(w io.Writer) {
	p := g.peers
	if p == nil {
		return
	}
	counters := p.exchange.Counters()
	connected := 0
	for _, status := range p.exchange.Status() {
		if status.Connected {
			connected++
		}
	}
	metrics.WriteGaugeUint64(w, "balsamhill_peers_connected", uint64(connected))
	for _, counter := range []struct {
		name  string
		value uint64
	}{
		{"balsamhill_peer_sessions_opened_total", counters.Opened.Load()},
		{"balsamhill_peer_sessions_refused_total", counters.Refused.Load()},
		{"balsamhill_peer_sessions_silent_total", counters.Unresponsive.Load()},
		{"balsamhill_peer_bad_frames_total", counters.BadFrames.Load()},
		{"balsamhill_peer_bad_documents_total", p.badDocuments.Load()},
		{"balsamhill_peer_dial_failures_total", counters.DialFailures.Load()},
		{"balsamhill_peer_link_refusals_total", counters.LinkRefused.Load()},
		{"balsamhill_peer_key_queries_failed_total", counters.QueriesFailed.Load()},
	} {
		metrics.WriteCounterUint64(w, counter.name, counter.value)
	}
	own := g.settings.VM.Region
	for region, bytes := range counters.Bytes() {
		labels := func(direction string) string {
			return fmt.Sprintf("balsamhill_peer_bytes_total{direction=%q,region=%q,peer_region=%q}", direction, own, region)
		}
		metrics.WriteCounterUint64(w, labels("sent"), bytes.Sent)
		metrics.WriteCounterUint64(w, labels("received"), bytes.Received)
	}
}
