package callerconn

import (
	"context"
	"net"
	"net/http"
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
