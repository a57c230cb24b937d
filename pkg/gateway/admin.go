package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"balsamhill/pkg/peer"
	"balsamhill/pkg/presetoffer"
)

// StatusDocument is the response of /status.
type StatusDocument struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"`
	Preset        string `json:"preset"`
	Revision      uint64 `json:"revision"`
	// InForceSince is when this gateway adopted the revision, on its wall clock.
	InForceSince time.Time `json:"inForceSince"`
	// Source is where the revision came from: "store", "operator" or the ID of a peer.
	Source   string          `json:"source"`
	InFlight int64           `json:"inFlight"`
	Services []ServiceStatus `json:"services"`
	Peers    []peer.Status   `json:"peers,omitempty"`
}

// ServiceStatus is one service in /status.
type ServiceStatus struct {
	Name   string `json:"name"`
	Policy string `json:"policy"`
	Usable int    `json:"usable"`
	// SpillShare is the share of calls, 0 to 1, that are sent to the other region
	// although this region has usable servers.
	SpillShare float64        `json:"spillShare"`
	Servers    []ServerStatus `json:"servers"`
}

// ServerStatus is one server in /status, with the values that determine its selection.
type ServerStatus struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Availability  string `json:"availability"`
	// LastResort says that the server is used only if the service has no other one.
	LastResort bool `json:"lastResort,omitempty"`
	// Reason explains the availability or a reduced weight.
	Reason   string  `json:"reason,omitempty"`
	Weight   float64 `json:"weight"`
	InFlight int64   `json:"inFlight"`
	// EstimatedInFlight includes the calls of other gateways.
	EstimatedInFlight float64 `json:"estimatedInFlight"`
	LatencyMillis     float64 `json:"latencyMillis"`
	Successes         uint64  `json:"successes"`
	Failures          uint64  `json:"failures"`
	Sheds             uint64  `json:"sheds"`
}

func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", g.handleReady)
	mux.HandleFunc("GET /status", g.handleStatus)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("POST /notify", g.handleNotify)
	mux.HandleFunc("POST "+presetoffer.Path, g.handleOffer)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	return mux
}

func (g *Gateway) handleReady(w http.ResponseWriter, _ *http.Request) {
	reason := g.notReadyReason()
	if g.stopping.Load() {
		reason = "shutting down"
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// handleNotify makes the gateway read the preset in force at once. The request
// carries no data, so that a forged one can only cause a read.
func (g *Gateway) handleNotify(w http.ResponseWriter, _ *http.Request) {
	select {
	case g.readNow <- struct{}{}:
	default:
	}
	w.WriteHeader(http.StatusNoContent)
}

// BriefStatusPath returns /status without the services, whose size grows with the
// number of servers. The operator tool requests it several times from each gateway.
const BriefStatusPath = "/status?brief=1"

func (g *Gateway) handleStatus(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	document := g.briefStatus()
	if !r.URL.Query().Has("brief") {
		document = g.Status()
	}
	_ = encoder.Encode(document)
}

// Status returns the full document of /status.
func (g *Gateway) Status() StatusDocument {
	document := g.briefStatus()
	document.Services = g.serviceStatuses()
	return document
}

func (g *Gateway) briefStatus() StatusDocument {
	row := g.row()
	return StatusDocument{
		ID:            row.ID,
		Region:        row.Region,
		FailureDomain: row.FailureDomain,
		State:         string(row.State),
		Preset:        row.Preset,
		Revision:      row.Revision,
		InForceSince:  row.InForceSince,
		Source:        g.status.Load().Source,
		InFlight:      g.proxy.InFlight(),
		Peers:         g.peers.status(),
	}
}

func (g *Gateway) serviceStatuses() []ServiceStatus {
	snapshot := g.snapshot.Load()
	if snapshot == nil {
		return nil
	}
	now := g.now()
	var statuses []ServiceStatus
	for _, service := range g.settings.Services {
		view := snapshot.Services[service.Name]
		status := ServiceStatus{
			Name:       view.Name,
			Policy:     string(view.Tuning.Policy),
			Usable:     view.Usable(),
			SpillShare: view.SpillShare,
		}
		for _, server := range view.Servers {
			status.Servers = append(status.Servers, ServerStatus{
				ID:                server.ID,
				Address:           server.Address,
				Region:            server.Region,
				FailureDomain:     server.FailureDomain,
				Availability:      server.Availability.String(),
				LastResort:        server.LastResort,
				Reason:            server.Reason,
				Weight:            server.Weight,
				InFlight:          server.Stats.InFlight(),
				EstimatedInFlight: server.Stats.EstimatedInFlight(now),
				LatencyMillis:     float64(server.Stats.Latency()) / 1e6,
				Successes:         server.Stats.Successes.Load(),
				Failures:          server.Stats.Failures.Load(),
				Sheds:             server.Stats.Sheds.Load(),
			})
		}
		statuses = append(statuses, status)
	}
	return statuses
}
