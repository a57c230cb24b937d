package gateway

import (
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/tlsfiles"
)

// loadTrafficTLS returns a function that adds TLS to the listener for callers, nil if settings
// have no certificate files.
func (g *Gateway) loadTrafficTLS() (func(net.Listener) net.Listener, error) {
	files := g.settings.Traffic.TLS
	if files == nil {
		return nil, nil
	}
	loader, err := tlsfiles.New(tlsfiles.Files{Cert: files.CertFile, Key: files.KeyFile})
	if err != nil {
		return nil, eris.Wrap(err, "load traffic certificates")
	}
	return func(listener net.Listener) net.Listener {
		return tls.NewListener(listener, loader.ServerConfig())
	}, nil
}
