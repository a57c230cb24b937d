// Package tlsfiles loads certificates, keys and CA certificates from PEM files and
// reloads them when the files change, without a restart. Packages gateway and peer
// use its TLS configurations for callers and for connections between gateways.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Files holds the paths of PEM files. CA may be empty for a listener that does not
// request client certificates.
type Files struct {
	Cert, Key, CA string
}

// Loader holds the last valid contents of the files. It is safe for concurrent use.
type Loader struct {
	files Files
	now   func() time.Time

	mu        sync.Mutex
	checkedAt time.Time
	versions  [3]fileVersion
	current   credentials
	failures  uint64
}

// fileVersion holds the properties that are compared to detect a change of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

type credentials struct {
	certificate *tls.Certificate
	caPool      *x509.CertPool
}

// New loads the files. It fails if they are missing or invalid.
func New(files Files) (*Loader, error) {
	return NewWithClock(files, time.Now)
}

// NewWithClock is New with a clock that tests can set.
func NewWithClock(files Files, now func() time.Time) (*Loader, error) {
	l := &Loader{files: files, now: now, checkedAt: now()}
	// The versions are read first, so that a change during the load is detected by
	// the next check.
	l.versions = l.readVersions()
	loaded, err := l.load()
	if err != nil {
		return nil, err
	}
	l.current = loaded
	return l, nil
}

// Failures returns the number of failed reloads. A failed reload keeps the earlier
// contents and is repeated at the next check, because files may be replaced one
// after the other.
func (l *Loader) Failures() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures
}

// ServerConfig returns the configuration of a listener for callers. Each handshake
// uses the current certificate.
func (l *Loader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.currentCredentials().certificate, nil
		},
	}
}

// PeerServerConfig returns the configuration of a listener for other gateways. The
// client must present a certificate signed by a CA of the CA file.
func (l *Loader) PeerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := l.currentCredentials()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*creds.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    creds.caPool,
				// A resumed session would not be verified against a changed CA file.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// PeerClientConfig returns the configuration for one connection to another
// gateway, with the current contents of the files. The server must present a
// certificate signed by a CA of the CA file.
func (l *Loader) PeerClientConfig() *tls.Config {
	creds := l.currentCredentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*creds.certificate},
		// Gateways are dialled by IP address, and an address may pass to another VM
		// when VMs are replaced. The CA signs certificates of gateways only, so
		// VerifyConnection verifies the chain but not the name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, creds.caPool)
		},
	}
}

func verifyChain(state tls.ConnectionState, caPool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         caPool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return eris.Wrap(err, "verify certificate of peer")
}

// currentCredentials returns the contents of the files. It reloads them if a file
// changed; if that fails, it returns the earlier contents.
func (l *Loader) currentCredentials() credentials {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.checkedAt) < checkInterval {
		return l.current
	}
	l.checkedAt = now
	versions := l.readVersions()
	if versions == l.versions {
		return l.current
	}
	loaded, err := l.load()
	if err != nil {
		l.failures++
		return l.current
	}
	l.versions = versions
	l.current = loaded
	return l.current
}

func (l *Loader) readVersions() [3]fileVersion {
	var versions [3]fileVersion
	for i, path := range []string{l.files.Cert, l.files.Key, l.files.CA} {
		info, err := os.Stat(path)
		if err == nil {
			versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return versions
}

func (l *Loader) load() (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(l.files.Cert, l.files.Key)
	if err != nil {
		return credentials{}, eris.Wrap(err, "load certificate and key")
	}
	creds := credentials{certificate: &certificate}
	if l.files.CA == "" {
		return creds, nil
	}
	text, err := os.ReadFile(l.files.CA)
	if err != nil {
		return credentials{}, eris.Wrap(err, "load CA certificates")
	}
	creds.caPool = x509.NewCertPool()
	if !creds.caPool.AppendCertsFromPEM(text) {
		return credentials{}, eris.Errorf("CA file %s contains no certificate", l.files.CA)
	}
	return creds, nil
}
