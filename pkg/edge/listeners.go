package edge

import (
	"log/slog"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/callerconn"
	"balsamhill/pkg/connlimit"
)

// handoffHeadBytes is how much larger than the head of a caller that of a call that was handed
// off may be.
const handoffHeadBytes = 8 << 10

// newServer returns a server for a listener that may have the given number of connections.
func (e *Edge) newServer(name string, connections int, handler http.Handler) *callerconn.Server {
	extraHeadBytes := 0
	if name == "gateways" {
		extraHeadBytes = handoffHeadBytes
	}
	return callerconn.NewServer(callerconn.Config{
		Name: name, Log: e.log, Metrics: e.metrics, Refuse: e.proxy.RefuseCrowded,
		Rules: func() connlimit.Rules {
			return e.requestLimits.Load().Rules(&e.shares, connections, extraHeadBytes)
		},
	}, &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelDebug)})
}

// listen opens the listeners and the socket for gossip.
func (e *Edge) listen() error {
	for _, l := range []struct {
		name, address string
		listener      *net.Listener
	}{
		{"traffic", e.settings.TrafficAddress, &e.trafficListener},
		{"readiness", e.settings.ReadyAddress, &e.readyListener},
		{"peer", e.self.Address, &e.peerListener},
		{"bootstrap", e.settings.BootstrapAddress, &e.bootstrapListener},
	} {
		if l.address == "" {
			continue
		}
		var err error
		*l.listener, err = net.Listen("tcp", l.address)
		if err != nil {
			return eris.Wrapf(err, "open %s listener", l.name)
		}
	}
	address, err := net.ResolveUDPAddr("udp", e.self.Address)
	if err != nil {
		return eris.Wrap(err, "resolve gossip address")
	}
	e.datagrams, err = net.ListenUDP("udp", address)
	return eris.Wrap(err, "open gossip socket")
}
