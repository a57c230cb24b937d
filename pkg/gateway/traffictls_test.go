package gateway

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/settings"
)

// TestTrafficOverTLS guards the TLS listener for callers, and the negotiation of
// HTTP/2.
func TestTrafficOverTLS(t *testing.T) {
	source := httptest.NewTLSServer(nil)
	defer source.Close()
	certificate := source.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	assert.NilError(t, err)
	file := func(kind string, data []byte) string {
		path := filepath.Join(t.TempDir(), "file.pem")
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return path
	}
	g, _ := newTestGateway(t, func(s *settings.Settings) {
		s.Traffic.TLS = &settings.TLS{CertFile: file("CERTIFICATE", certificate.Certificate[0]), KeyFile: file("PRIVATE KEY", key)}
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Get(g.TrafficURL() + "/nowhere")
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.ProtoMajor, 2)
	cancel()
	assert.NilError(t, <-done)
}
