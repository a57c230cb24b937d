package tlsfiles_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/membership"
	"balsamhill/pkg/peer"
	"balsamhill/pkg/tlsfiles"
)

// testCA is a certificate authority that signs certificates of gateways.
type testCA struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newTestCA(t *testing.T) *testCA {
	a := &testCA{t: t, serial: 1}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "peers"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

// writeFiles writes a new certificate, its key and the CA certificate, with the
// given modification time.
func (a *testCA) writeFiles(dir string, modified time.Time) tlsfiles.Files {
	a.serial++
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "gateway"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	file := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
		assert.NilError(a.t, os.WriteFile(path, text, 0o600))
		assert.NilError(a.t, os.Chtimes(path, modified, modified))
		return path
	}
	return tlsfiles.Files{
		Cert: file("cert.pem", "CERTIFICATE", der),
		Key:  file("key.pem", "EC PRIVATE KEY", keyDER),
		CA:   file("ca.pem", "CERTIFICATE", a.certificate.Raw),
	}
}

func (a *testCA) loader() *tlsfiles.Loader {
	loader, err := tlsfiles.New(a.writeFiles(a.t.TempDir(), time.Now()))
	assert.NilError(a.t, err)
	return loader
}

// TestReload guards against new connections that use the old certificate after the
// files changed, and against a failed reload, for example of a key that is half
// written, that replaces the earlier contents.
func TestReload(t *testing.T) {
	a := newTestCA(t)
	dir := t.TempDir()
	clock := time.Now()
	files := a.writeFiles(dir, clock)
	loader, err := tlsfiles.NewWithClock(files, func() time.Time { return clock })
	assert.NilError(t, err)
	serial := func() int64 {
		certificate, err := loader.ServerConfig().GetCertificate(nil)
		assert.NilError(t, err)
		parsed, err := x509.ParseCertificate(certificate.Certificate[0])
		assert.NilError(t, err)
		return parsed.SerialNumber.Int64()
	}
	assert.Equal(t, serial(), int64(2))
	a.writeFiles(dir, clock.Add(time.Minute))
	assert.Equal(t, serial(), int64(2), "checked at most once a second")
	clock = clock.Add(time.Second)
	assert.Equal(t, serial(), int64(3))

	assert.NilError(t, os.WriteFile(files.Key, []byte("half written"), 0o600))
	clock = clock.Add(time.Second)
	assert.Equal(t, serial(), int64(3))
	assert.Equal(t, loader.Failures(), uint64(1))
	a.writeFiles(dir, clock.Add(2*time.Minute))
	clock = clock.Add(time.Second)
	assert.Equal(t, serial(), int64(4))

	_, err = tlsfiles.New(tlsfiles.Files{Cert: files.Cert, Key: files.Cert})
	assert.Assert(t, err != nil)
}

func startPeer(t *testing.T, id string, files *tlsfiles.Loader, seeds ...string) (*peer.Exchange, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	exchange := peer.New(peer.Config{
		Self:          membership.Gateway{ID: id, Incarnation: 1, Region: "khomas", Peer: address},
		Network:       peer.NewTCP(listener),
		TLS:           files,
		Seeds:         seeds,
		CurrentPreset: func() (uint64, []byte) { return 0, nil },
		State:         func() membership.State { return membership.StateReady },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		exchange.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return exchange, address
}

// waitFor polls a condition. Its deadline only bounds how long a failing test runs.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(10 * time.Millisecond)
	}
}

// TestPeersAuthenticate guards against sessions between gateways without mutual
// authentication: a peer without a certificate, or with one that the CA did not sign,
// must not open a session in either direction.
func TestPeersAuthenticate(t *testing.T) {
	a := newTestCA(t)
	first, address := startPeer(t, "gw-1", a.loader())
	second, _ := startPeer(t, "gw-2", a.loader(), address)
	waitFor(t, func() bool { return first.Counters().Opened.Load() > 0 && second.Counters().Opened.Load() > 0 })

	untrusted, untrustedAddress := startPeer(t, "gw-3", newTestCA(t).loader(), address)
	waitFor(t, func() bool { return first.Counters().Refused.Load() > 0 && untrusted.Counters().Refused.Load() > 0 })
	third, _ := startPeer(t, "gw-4", a.loader(), untrustedAddress)
	waitFor(t, func() bool { return third.Counters().Refused.Load() > 0 })
	assert.Equal(t, untrusted.Counters().Opened.Load(), uint64(0))

	before := first.Counters().Refused.Load()
	conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "certificate required")
	_ = conn.Close()
	waitFor(t, func() bool { return first.Counters().Refused.Load() > before })
}
