package gateway

import (
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/tlsfiles"
)

// secureTraffic adds TLS to the listener for callers if settings have certificate files.
// It closes the listener if the files cannot be loaded.
func (g *Gateway) secureTraffic(listener net.Listener) (net.Listener, error) {
	files := g.settings.Traffic.TLS
	if files == nil {
		return listener, nil
	}
	loader, err := tlsfiles.New(tlsfiles.Files{Cert: files.CertFile, Key: files.KeyFile})
	if err != nil {
		_ = listener.Close()
		return nil, eris.Wrap(err, "load traffic certificates")
	}
	return tls.NewListener(listener, loader.ServerConfig()), nil
}
