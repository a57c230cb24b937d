// Package settings defines the static settings of one gateway VM: addresses,
// region, failure domain, platform address, services and routes. They are read
// once at the start from JSON with comments. What operators change while the
// system runs belongs to package preset.
package settings

import (
	"time"

	"balsamhill/pkg/preset"
)

// Settings is one settings file.
type Settings struct {
	VM       VM        `json:"vm"`
	Traffic  Traffic   `json:"traffic"`
	Admin    Admin     `json:"admin"`
	Peers    Peers     `json:"peers"`
	Platform Platform  `json:"platform"`
	Shutdown Shutdown  `json:"shutdown"`
	Log      Log       `json:"log"`
	Services []Service `json:"services"`
}

// VM identifies the gateway VM and its place.
type VM struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// Traffic configures the listener for callers.
type Traffic struct {
	// Listen is host:port.
	Listen string `json:"listen"`
	// TLS is optional; without it the listener speaks cleartext HTTP/1.1 and
	// HTTP/2 with prior knowledge.
	TLS *TLS `json:"tls,omitempty"`
	// MaxHeaderBytes bounds the request line and headers.
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	// HeaderTimeoutMillis is the longest time for reading the request headers.
	HeaderTimeoutMillis int64 `json:"headerTimeoutMillis"`
	// IdleTimeoutMillis closes a caller's connection without requests.
	IdleTimeoutMillis int64 `json:"idleTimeoutMillis"`
	// TrustedProxies lists address ranges (CIDR) whose forwarding headers are kept.
	TrustedProxies []string `json:"trustedProxies,omitempty"`
}

// TLS names key files; they are read again when they change.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// CAFile holds the certificates that sign the other side's certificates.
	// It is required between gateways and unused towards callers.
	CAFile string `json:"caFile,omitempty"`
}

// Admin configures the listener for operators and monitoring.
type Admin struct {
	Listen string `json:"listen"`
	// OperatorKeyFile holds the key that signs preset offers of the operator
	// tool. It is required to take offers on an address that is not loopback.
	OperatorKeyFile string `json:"operatorKeyFile,omitempty"`
}

// Peers configures the exchange between gateways.
type Peers struct {
	// Listen is host:port. Empty switches the exchange off.
	Listen string `json:"listen,omitempty"`
	// Seeds are peer addresses to try when the platform's list is not available.
	Seeds []string `json:"seeds,omitempty"`
	// TLS is required unless Insecure is set.
	TLS *TLS `json:"tls,omitempty"`
	// Insecure allows sessions without TLS; only for loopback addresses.
	Insecure bool `json:"insecure,omitempty"`
	// MaxGateways is the largest number of gateways that the deployment ever has.
	// Shares that need no agreement are divided by it.
	MaxGateways int `json:"maxGateways"`
	// LinkBitsPerSecond is the capacity of the cross-region link, each way.
	LinkBitsPerSecond int64 `json:"linkBitsPerSecond"`
}

// Platform configures access to the platform's services.
type Platform struct {
	URL string `json:"url"`
	// Region is the region that holds the store.
	Region string `json:"region"`
	// ClaimTimeoutMillis bounds the time for claiming an idempotency key.
	ClaimTimeoutMillis int64 `json:"claimTimeoutMillis"`
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// NoticeMillis is how long the listener stays open after readiness fails, so
	// that the balancer in front notices.
	NoticeMillis int64 `json:"noticeMillis"`
}

// Log configures structured logs.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Service is a group of servers that answer the same requests.
type Service struct {
	Name string `json:"name"`
	// Routes decide which requests belong to the service.
	Routes []Route `json:"routes"`
	// Slots is how many requests one server runs at a time.
	Slots int `json:"slots"`
	// MaxConnections is the connection limit of one server, shared by all gateways.
	MaxConnections int `json:"maxConnections"`
	// ProbeMicros is the server time that one probe takes, in microseconds.
	ProbeMicros int64 `json:"probeMicros"`
	// ProbePath is the path of the load probe. Empty switches probes off.
	ProbePath string `json:"probePath,omitempty"`
	// HTTP2 makes the gateway speak cleartext HTTP/2 to the servers.
	HTTP2 bool `json:"http2,omitempty"`
	// Servers is a fixed list for deployments without a VM list.
	Servers []Server `json:"servers,omitempty"`
}

// Route matches requests by host, path prefix or both.
type Route struct {
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"pathPrefix,omitempty"`
	// Methods restricts the route; empty means all methods.
	Methods []string     `json:"methods,omitempty"`
	Class   preset.Class `json:"class"`
}

// Server is a fixed entry of a service.
type Server struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// Notice returns NoticeMillis as a duration.
func (s Shutdown) Notice() time.Duration {
	return time.Duration(s.NoticeMillis) * time.Millisecond
}

// ClaimTimeout returns ClaimTimeoutMillis as a duration.
func (p Platform) ClaimTimeout() time.Duration {
	return time.Duration(p.ClaimTimeoutMillis) * time.Millisecond
}

// defaults returns settings with the values of optional fields.
func defaults() *Settings {
	return &Settings{
		Traffic: Traffic{
			MaxHeaderBytes:      32 << 10,
			HeaderTimeoutMillis: 10_000,
			IdleTimeoutMillis:   120_000,
		},
		Peers:    Peers{MaxGateways: 24, LinkBitsPerSecond: 30_000_000},
		Platform: Platform{ClaimTimeoutMillis: 250},
		Shutdown: Shutdown{NoticeMillis: 10_000},
		Log:      Log{Level: "info"},
	}
}
