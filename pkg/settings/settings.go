// Package settings defines the static settings of one gateway VM: addresses,
// region, failure domain, platform address, services and routes. They are read
// once at the start from a file in JSON with comments; command balsamhilld and package
// demo load them. Parameters that operators change at run time belong to package preset.
package settings

import (
	"time"

	"balsamhill/pkg/preset"
)

// Settings is the content of one settings file.
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

// VM identifies the gateway VM and its location.
type VM struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// Traffic configures the listener for callers.
type Traffic struct {
	// Listen is host:port.
	Listen string `json:"listen"`
	// TLS is optional. Without it the listener serves cleartext HTTP/1.1 and HTTP/2
	// with prior knowledge.
	TLS *TLS `json:"tls,omitempty"`
	// MaxHeaderBytes bounds the request line and headers.
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	// HeaderTimeoutMillis bounds the time for reading the request headers.
	HeaderTimeoutMillis int64 `json:"headerTimeoutMillis"`
	// IdleTimeoutMillis is the time without requests after which a connection of a
	// caller is closed.
	IdleTimeoutMillis int64 `json:"idleTimeoutMillis"`
	// TrustedProxies lists the address ranges (CIDR) of proxies whose forwarding
	// headers are kept.
	TrustedProxies []string `json:"trustedProxies,omitempty"`
}

// TLS names PEM files. They are read again when they change.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// CAFile holds the CA certificates that verify the certificates of peers. It is
	// required for connections between gateways and not used for callers.
	CAFile string `json:"caFile,omitempty"`
}

// Admin configures the listener for operators and monitoring.
type Admin struct {
	Listen string `json:"listen"`
	// OperatorKeyFile holds the key with which the operator tool signs preset offers.
	// Without it, offers are accepted on a loopback address only.
	OperatorKeyFile string `json:"operatorKeyFile,omitempty"`
}

// Peers configures the connections between gateways.
type Peers struct {
	// Listen is host:port. If it is empty, the gateway does not connect to peers.
	Listen string `json:"listen,omitempty"`
	// Seeds are peer addresses to try while the VM list of the platform is not
	// available.
	Seeds []string `json:"seeds,omitempty"`
	// TLS is required unless Insecure is set.
	TLS *TLS `json:"tls,omitempty"`
	// Insecure allows sessions without TLS, on loopback addresses only.
	Insecure bool `json:"insecure,omitempty"`
	// MaxGateways is the maximum number of gateways in the deployment. A gateway
	// without a grant of a limit uses the limit divided by MaxGateways.
	MaxGateways int `json:"maxGateways"`
	// LinkBitsPerSecond is the capacity of the cross-region link in each direction.
	LinkBitsPerSecond int64 `json:"linkBitsPerSecond"`
}

// Platform configures access to the platform's services.
type Platform struct {
	URL string `json:"url"`
	// Region is the region that holds the store.
	Region string `json:"region"`
	// ClaimTimeoutMillis bounds each attempt to claim an idempotency key.
	ClaimTimeoutMillis int64 `json:"claimTimeoutMillis"`
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// NoticeMillis is the time that the listener stays open after readiness fails,
	// so that the load balancer in front stops sending new connections.
	NoticeMillis int64 `json:"noticeMillis"`
}

// Log configures structured logs.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Service is a group of servers that serve the same requests.
type Service struct {
	Name string `json:"name"`
	// Routes decide which requests belong to the service.
	Routes []Route `json:"routes"`
	// Slots is the number of requests that one server runs concurrently.
	Slots int `json:"slots"`
	// MaxConnections is the connection limit of one server, shared by all gateways.
	MaxConnections int `json:"maxConnections"`
	// ProbeMicros is the time that one probe occupies a slot of a server, in
	// microseconds.
	ProbeMicros int64 `json:"probeMicros"`
	// ProbePath is the path of the load probe. If it is empty, servers are not
	// probed.
	ProbePath string `json:"probePath,omitempty"`
	// HTTP2 makes the gateway use cleartext HTTP/2 to the servers.
	HTTP2 bool `json:"http2,omitempty"`
	// Servers is a fixed list of servers for deployments without a VM list.
	Servers []Server `json:"servers,omitempty"`
}

// Route matches requests by host, path prefix or both.
type Route struct {
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"pathPrefix,omitempty"`
	// Methods restricts the route to these methods. Empty means all methods.
	Methods []string     `json:"methods,omitempty"`
	Class   preset.Class `json:"class"`
}

// Server is an entry of the fixed list of a service.
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

// defaults returns settings in which optional fields have their default values.
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
