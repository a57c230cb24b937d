package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"balsamhill/pkg/preset"
)

// problem is one finding of validate; field is a path such as "services[0].slots".
type problem struct {
	field string
	text  string
}

func (p problem) String() string {
	return p.field + ": " + p.text
}

type validator struct {
	problems []problem
}

func (v *validator) report(field, format string, args ...any) {
	v.problems = append(v.problems, problem{field: field, text: fmt.Sprintf(format, args...)})
}

var identifierPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func (s *Settings) validate() []problem {
	v := &validator{}
	v.identifier("vm.id", s.VM.ID)
	v.identifier("vm.region", s.VM.Region)
	v.identifier("vm.failureDomain", s.VM.FailureDomain)
	v.traffic(s.Traffic)
	v.address("admin.listen", s.Admin.Listen)
	if s.Admin.Listen == s.Traffic.Listen && !strings.HasSuffix(s.Admin.Listen, ":0") {
		v.report("admin.listen", "must differ from traffic.listen")
	}
	v.peers(s.Peers)
	v.platform(s.Platform)
	if s.Shutdown.NoticeMillis < 0 || s.Shutdown.NoticeMillis > 600_000 {
		v.report("shutdown.noticeMillis", "%d is not between 0 and 600000", s.Shutdown.NoticeMillis)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		v.report("log.level", "%q is not one of debug, info, warn, error", s.Log.Level)
	}
	v.services(s.Services)
	return v.problems
}

func (v *validator) identifier(field, value string) {
	if !identifierPattern.MatchString(value) {
		v.report(field, "%q must be 1 to 63 lower-case letters, digits, dots and hyphens", value)
	}
}

func (v *validator) address(field, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		v.report(field, "%q is not host:port", value)
		return
	}
	if _, err := netip.ParseAddr(host); err != nil {
		v.report(field, "host %q is not an IP address", host)
	}
}

func (v *validator) traffic(t Traffic) {
	v.address("traffic.listen", t.Listen)
	if t.TLS != nil {
		v.tls("traffic.tls", t.TLS, false)
	}
	if t.MaxHeaderBytes < 4<<10 || t.MaxHeaderBytes > 1<<20 {
		v.report("traffic.maxHeaderBytes", "%d is not between 4096 and 1048576", t.MaxHeaderBytes)
	}
	if t.HeaderTimeoutMillis < 100 || t.HeaderTimeoutMillis > 120_000 {
		v.report("traffic.headerTimeoutMillis", "%d is not between 100 and 120000", t.HeaderTimeoutMillis)
	}
	if t.IdleTimeoutMillis < 1_000 || t.IdleTimeoutMillis > 3_600_000 {
		v.report("traffic.idleTimeoutMillis", "%d is not between 1000 and 3600000", t.IdleTimeoutMillis)
	}
	for i, cidr := range t.TrustedProxies {
		if _, err := netip.ParsePrefix(cidr); err != nil {
			v.report(fmt.Sprintf("traffic.trustedProxies[%d]", i), "%q is not a CIDR range", cidr)
		}
	}
}

func (v *validator) tls(field string, t *TLS, needCA bool) {
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

func (v *validator) peers(p Peers) {
	if p.MaxGateways < 1 || p.MaxGateways > 500 {
		v.report("peers.maxGateways", "%d is not between 1 and 500", p.MaxGateways)
	}
	if p.LinkBitsPerSecond < 100_000 {
		v.report("peers.linkBitsPerSecond", "%d is less than 100000", p.LinkBitsPerSecond)
	}
	if p.Listen == "" {
		return
	}
	v.address("peers.listen", p.Listen)
	for i, seed := range p.Seeds {
		v.address(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	switch {
	case p.TLS != nil:
		v.tls("peers.tls", p.TLS, true)
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

func (v *validator) platform(p Platform) {
	parsed, err := url.Parse(p.URL)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		v.report("platform.url", "%q is not an http or https URL", p.URL)
	}
	if p.ClaimTimeoutMillis < 10 || p.ClaimTimeoutMillis > 10_000 {
		v.report("platform.claimTimeoutMillis", "%d is not between 10 and 10000", p.ClaimTimeoutMillis)
	}
}

func (v *validator) services(services []Service) {
	if len(services) == 0 {
		v.report("services", "at least one service is required")
	}
	names := make(map[string]bool)
	routes := make(map[string]string)
	for i, service := range services {
		field := fmt.Sprintf("services[%d]", i)
		v.identifier(field+".name", service.Name)
		if names[service.Name] {
			v.report(field+".name", "%q is used twice", service.Name)
		}
		names[service.Name] = true
		v.serviceLimits(field, service)
		if len(service.Routes) == 0 {
			v.report(field+".routes", "at least one route is required")
		}
		for j, route := range service.Routes {
			v.route(fmt.Sprintf("%s.routes[%d]", field, j), route, routes, service.Name)
		}
		for j, server := range service.Servers {
			v.address(fmt.Sprintf("%s.servers[%d].address", field, j), server.Address)
		}
	}
}

func (v *validator) serviceLimits(field string, service Service) {
	if service.Slots < 1 || service.Slots > 10_000 {
		v.report(field+".slots", "%d is not between 1 and 10000", service.Slots)
	}
	if service.MaxConnections < 2 {
		v.report(field+".maxConnections", "%d is less than 2", service.MaxConnections)
	}
	if service.ProbeMicros < 0 {
		v.report(field+".probeMicros", "must not be negative")
	}
	if service.ProbePath != "" && !strings.HasPrefix(service.ProbePath, "/") {
		v.report(field+".probePath", "%q must start with /", service.ProbePath)
	}
}

func (v *validator) route(field string, route Route, seen map[string]string, service string) {
	if route.Host == "" && route.PathPrefix == "" {
		v.report(field, "needs host or pathPrefix")
	}
	if route.PathPrefix != "" && !strings.HasPrefix(route.PathPrefix, "/") {
		v.report(field+".pathPrefix", "%q must start with /", route.PathPrefix)
	}
	classes := []preset.Class{preset.ClassFetch, preset.ClassBooking, preset.ClassUpload}
	if !slices.Contains(classes, route.Class) {
		v.report(field+".class", "%q is not one of fetch, booking, upload", route.Class)
	}
	key := route.Host + " " + route.PathPrefix + " " + strings.Join(route.Methods, ",")
	if other, ok := seen[key]; ok {
		v.report(field, "matches the same requests as a route of service %q", other)
	}
	seen[key] = service
}
