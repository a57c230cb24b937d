package control

// Status is the part of a gateway's state that /status shows.
type Status struct {
	Preset   string
	Revision uint64
	// AdoptedAt is in nanoseconds on the gateway's monotonic clock.
	AdoptedAt int64
	Source    string
}

// Status returns the current status.
func (s *State) Status() Status {
	current := s.adopter.Current()
	status := Status{Revision: current.Revision, AdoptedAt: s.adopted.at, Source: s.adopted.source}
	if current.Preset != nil {
		status.Preset = current.Preset.Name
	}
	return status
}

// LoadReport returns the load that this gateway observes at all servers, for its
// peers. Package peer sends only the changes, because it records what each neighbour
// has received.
func (s *State) LoadReport() []PeerLoad {
	rows := s.sortedServers()
	loads := make([]PeerLoad, 0, len(rows))
	for _, row := range rows {
		loads = append(loads, PeerLoad{
			ServerID: row.id,
			InFlight: row.stats.InFlight(),
			Latency:  row.stats.Latency(),
			Ejected:  row.ejection.Ejected(),
		})
	}
	return loads
}
