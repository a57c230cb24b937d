package gateway

import (
	"log/slog"
	"net/http"
	"time"

	"balsamhill/pkg/callerconn"
	"balsamhill/pkg/connlimit"
)

// adminLimits are those of requests at the admin listener.
var adminLimits = connlimit.Requests{MaxHeadBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}

func (g *Gateway) newTrafficServer() *callerconn.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	traffic := g.settings.Traffic
	limits := connlimit.Requests{
		MaxHeadBytes:  traffic.MaxHeaderBytes,
		HeaderTimeout: time.Duration(traffic.HeaderTimeoutMillis) * time.Millisecond,
		IdleTimeout:   time.Duration(traffic.IdleTimeoutMillis) * time.Millisecond,
	}
	return g.newServer("callers", limits, g.shares.Callers, &http.Server{
		Handler: g.proxy, Protocols: protocols, MaxHeaderBytes: traffic.MaxHeaderBytes,
	})
}

func (g *Gateway) newAdminServer() *callerconn.Server {
	return g.newServer("admin", adminLimits, g.shares.Auxiliary, &http.Server{Handler: g.adminHandler()})
}

// newServer returns a server for a listener that may have the given number of connections.
func (g *Gateway) newServer(name string, limits connlimit.Requests, connections int, server *http.Server) *callerconn.Server {
	server.ErrorLog = slog.NewLogLogger(g.log.Handler(), slog.LevelDebug)
	rules := limits.Rules(&g.shares, connections, 0)
	return callerconn.NewServer(callerconn.Config{
		Name: name, Log: g.log, Metrics: g.metrics, Refuse: g.proxy.RefuseCrowded,
		Rules: func() connlimit.Rules { return rules },
	}, server)
}
