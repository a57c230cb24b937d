package callerconn

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"balsamhill/pkg/connlimit"
	"balsamhill/pkg/machine"
)

// Server is an http.Server whose connections a Guard keeps within limits.
type Server struct {
	*http.Server
	guard *Guard
}

// NewServer returns a server that is not serving yet.
func NewServer(config Config, server *http.Server) *Server {
	s := &Server{Server: server, guard: New(config)}
	s.guard.protect(server)
	return s
}

// Serve serves until the server is closed or shut down. secure adds TLS to a listener; it may be
// nil.
func (s *Server) Serve(listener net.Listener, secure func(net.Listener) net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.guard.run(ctx)
	guarded := s.guard.listener(listener, secure != nil)
	if secure != nil {
		guarded = secure(guarded)
	}
	return s.Server.Serve(guarded)
}

// NewStandaloneServer returns a server that may use what the machine has, with default limits of
// requests and without metrics.
func NewStandaloneServer(name string, server *http.Server) *Server {
	log := slog.Default()
	shares := connlimit.Divide(machine.Usable(connlimit.Capacity{}, log))
	rules := connlimit.DefaultRequests.Rules(&shares, shares.Callers, 0)
	return NewServer(Config{
		Name: name, Log: log, Metrics: metrics.NewSet(),
		Rules: func() connlimit.Rules { return rules },
		Refuse: func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "too many requests are in flight", http.StatusServiceUnavailable)
		},
	}, server)
}
