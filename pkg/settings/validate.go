package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"balsamhill/pkg/preset"
)

// problem is an invalid value found by validate. field is a path such as
// "services[0].slots".
type problem struct {
	field string
	text  string
}

type validator struct {
	problems []problem
}

func (v *validator) report(field, format string, args ...any) {
	v.problems = append(v.problems, problem{field: field, text: fmt.Sprintf(format, args...)})
}

var methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)

var identifierPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func (s *Settings) validate() []problem {
	v := &validator{}
	v.checkIdentifier("vm.id", s.VM.ID)
	v.checkIdentifier("vm.region", s.VM.Region)
	v.checkIdentifier("vm.failureDomain", s.VM.FailureDomain)
	v.checkTraffic(s.Traffic)
	v.checkAddress("admin.listen", s.Admin.Listen)
	v.checkDistinctListeners(s)
	v.checkPeers(s.Peers)
	v.checkPlatform(s.Platform)
	v.checkInteger("shutdown.noticeMillis", s.Shutdown.NoticeMillis, 0, 600_000)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		v.report("log.level", "%q is not one of debug, info, warn, error", s.Log.Level)
	}
	v.checkServices(s.Services)
	return v.problems
}

func (v *validator) checkIdentifier(field, value string) {
	if !identifierPattern.MatchString(value) {
		v.report(field, "%q must be 1 to 63 lower-case letters, digits, dots and hyphens", value)
	}
}

func (v *validator) checkAddress(field, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		v.report(field, "%q is not host:port", value)
		return
	}
	if _, err := netip.ParseAddr(host); err != nil {
		v.report(field, "host %q is not an IP address", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		v.report(field, "port %q is not a number between 0 and 65535", port)
	}
}

// checkRemoteAddress checks an address to connect to, which needs a port other than 0.
func (v *validator) checkRemoteAddress(field, value string) {
	v.checkAddress(field, value)
	if strings.HasSuffix(value, ":0") {
		v.report(field, "%q needs a port between 1 and 65535", value)
	}
}

func (v *validator) checkInteger(field string, value, minimum, maximum int64) {
	if value < minimum || value > maximum {
		v.report(field, "%d is not between %d and %d", value, minimum, maximum)
	}
}

// checkDistinctListeners checks that no two listeners share an address. Port 0 selects a
// free port and never conflicts.
func (v *validator) checkDistinctListeners(s *Settings) {
	used := make(map[string]string)
	for _, listener := range []problem{
		{"traffic.listen", s.Traffic.Listen}, {"admin.listen", s.Admin.Listen}, {"peers.listen", s.Peers.Listen},
	} {
		field, address := listener.field, listener.text
		if address == "" || strings.HasSuffix(address, ":0") {
			continue
		}
		if other, ok := used[address]; ok {
			v.report(field, "%q must differ from %s", address, other)
		}
		used[address] = field
	}
}

func (v *validator) checkTraffic(t Traffic) {
	v.checkAddress("traffic.listen", t.Listen)
	if t.TLS != nil {
		v.checkTLS("traffic.tls", t.TLS, false)
	}
	v.checkInteger("traffic.maxHeaderBytes", int64(t.MaxHeaderBytes), 4<<10, 1<<20)
	v.checkInteger("traffic.headerTimeoutMillis", t.HeaderTimeoutMillis, 100, 120_000)
	v.checkInteger("traffic.idleTimeoutMillis", t.IdleTimeoutMillis, 1_000, 3_600_000)
	for i, cidr := range t.TrustedProxies {
		if _, err := netip.ParsePrefix(cidr); err != nil {
			v.report(fmt.Sprintf("traffic.trustedProxies[%d]", i), "%q is not a CIDR range", cidr)
		}
	}
}

func (v *validator) checkTLS(field string, t *TLS, needCA bool) {
	if t.CertFile == "" {
		v.report(field+".certFile", "is required")
	}
	if t.KeyFile == "" {
		v.report(field+".keyFile", "is required")
	}
	if needCA && t.CAFile == "" {
		v.report(field+".caFile", "is required")
	}
}

func (v *validator) checkPeers(p Peers) {
	v.checkInteger("peers.maxGateways", int64(p.MaxGateways), 1, 500)
	v.checkInteger("peers.linkBitsPerSecond", p.LinkBitsPerSecond, 100_000, 1_000_000_000_000)
	for i, seed := range p.Seeds {
		v.checkRemoteAddress(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	if p.Listen == "" {
		return
	}
	v.checkAddress("peers.listen", p.Listen)
	switch {
	case p.TLS != nil:
		v.checkTLS("peers.tls", p.TLS, true)
	case !p.Insecure:
		v.report("peers.tls", "is required unless peers.insecure is true")
	case !isLoopback(p.Listen):
		v.report("peers.insecure", "is only allowed on a loopback address")
	}
}

func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}

func (v *validator) checkPlatform(p Platform) {
	parsed, err := url.Parse(p.URL)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		v.report("platform.url", "%q is not an http or https URL", p.URL)
	}
	v.checkIdentifier("platform.region", p.Region)
	v.checkInteger("platform.claimTimeoutMillis", p.ClaimTimeoutMillis, 10, 10_000)
}

func (v *validator) checkServices(services []Service) {
	if len(services) == 0 {
		v.report("services", "at least one service is required")
	}
	names := make(map[string]bool)
	routes := make(map[string]string)
	servers := make(map[string]bool)
	for i, service := range services {
		field := fmt.Sprintf("services[%d]", i)
		v.checkIdentifier(field+".name", service.Name)
		if names[service.Name] {
			v.report(field+".name", "%q is used twice", service.Name)
		}
		names[service.Name] = true
		v.checkServiceLimits(field, service)
		if len(service.Routes) == 0 {
			v.report(field+".routes", "at least one route is required")
		}
		for j, route := range service.Routes {
			v.checkRoute(fmt.Sprintf("%s.routes[%d]", field, j), route, routes, service.Name)
		}
		for j, server := range service.Servers {
			v.checkServer(fmt.Sprintf("%s.servers[%d]", field, j), server, servers)
		}
	}
}

// checkServer checks an entry of a fixed list. IDs must be unique across all services.
func (v *validator) checkServer(field string, server Server, seen map[string]bool) {
	v.checkIdentifier(field+".id", server.ID)
	if seen[server.ID] {
		v.report(field+".id", "%q is used twice", server.ID)
	}
	seen[server.ID] = true
	v.checkRemoteAddress(field+".address", server.Address)
	v.checkIdentifier(field+".region", server.Region)
	v.checkIdentifier(field+".failureDomain", server.FailureDomain)
}

func (v *validator) checkServiceLimits(field string, service Service) {
	v.checkInteger(field+".slots", int64(service.Slots), 1, 10_000)
	v.checkInteger(field+".maxConnections", int64(service.MaxConnections), 2, 1_000_000)
	v.checkInteger(field+".probeMicros", service.ProbeMicros, 0, 10_000_000)
	if service.ProbePath != "" && !strings.HasPrefix(service.ProbePath, "/") {
		v.report(field+".probePath", "%q must start with /", service.ProbePath)
	}
}

func (v *validator) checkRoute(field string, route Route, seen map[string]string, service string) {
	if route.Host == "" && route.PathPrefix == "" {
		v.report(field, "needs host or pathPrefix")
	}
	if route.PathPrefix != "" && !strings.HasPrefix(route.PathPrefix, "/") {
		v.report(field+".pathPrefix", "%q must start with /", route.PathPrefix)
	}
	if !slices.Contains(preset.Classes(), route.Class) {
		v.report(field+".class", "%q is not one of fetch, booking, upload", route.Class)
	}
	for i, method := range route.Methods {
		if !methodPattern.MatchString(method) {
			v.report(fmt.Sprintf("%s.methods[%d]", field, i), "%q is not a method in upper-case letters", method)
		}
	}
	methods := slices.Clone(route.Methods)
	slices.Sort(methods)
	key := strings.ToLower(route.Host) + " " + route.PathPrefix + " " + strings.Join(methods, ",")
	if other, ok := seen[key]; ok {
		v.report(field, "matches the same requests as a route of service %q", other)
	}
	seen[key] = service
}
