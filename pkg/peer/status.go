package peer

import (
	"slices"
	"time"
)

// Status describes one known gateway in /status.
type Status struct {
	ID          string `json:"id"`
	Region      string `json:"region"`
	Address     string `json:"address,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	State       string `json:"state,omitempty"`
	// Revision is the highest revision that the gateway reported.
	Revision  uint64 `json:"revision"`
	Alive     bool   `json:"alive"`
	Connected bool   `json:"connected"`
	// Neighbour says that this gateway sends it notices and presets within the region,
	// Relay that it does so across the link.
	Neighbour bool `json:"neighbour"`
	Relay     bool `json:"speaker"`
	// SinceHeartbeatMillis is the time since its last heartbeat, -1 if there was
	// none.
	SinceHeartbeatMillis int64 `json:"silentMillis"`
}

// Status returns all known gateways except this one, in ID order.
func (e *Exchange) Status() []Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	neighbours := e.view.Neighbours(now)
	relays := e.view.RemoteRelays(now)
	var list []Status
	for _, g := range e.view.KnownGateways() {
		status := Status{
			ID:                   g.ID,
			Region:               g.Region,
			Address:              g.Peer,
			Incarnation:          g.Incarnation,
			State:                string(g.State),
			Revision:             g.Revision,
			Alive:                e.view.Alive(now, g.ID),
			Connected:            e.sessions[g.ID] != nil,
			Neighbour:            slices.Contains(neighbours, g.ID),
			Relay:                slices.Contains(relays, g.ID),
			SinceHeartbeatMillis: -1,
		}
		if lastHeartbeatAt := e.view.LastHeartbeatAt(g.ID); lastHeartbeatAt != 0 {
			status.SinceHeartbeatMillis = (now - lastHeartbeatAt) / int64(time.Millisecond)
		}
		list = append(list, status)
	}
	return list
}
