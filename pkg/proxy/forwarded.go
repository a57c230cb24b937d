package proxy

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
)

// ParsePrefixes reads the address ranges of settings.Traffic.TrustedProxies.
func ParsePrefixes(ranges []string) ([]netip.Prefix, error) {
	prefixes := make([]netip.Prefix, 0, len(ranges))
	for _, text := range ranges {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, eris.Wrapf(err, "trusted proxy range %q", text)
		}
		prefixes = append(prefixes, prefix.Masked())
	}
	return prefixes, nil
}

// trustsPeer reports whether the peer's forwarding headers are kept.
func (p *Proxy) trustsPeer(peer netip.Addr) bool {
	for _, prefix := range p.config.TrustedProxies {
		if prefix.Contains(peer) {
			return true
		}
	}
	return false
}

func peerAddress(remote string) (netip.Addr, bool) {
	addressPort, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Addr{}, false
	}
	return addressPort.Addr().Unmap().WithZone(""), true
}

// addForwardingHeaders adds the peer to X-Forwarded-For, and to Forwarded if a trusted
// proxy uses it. Headers of untrusted peers are not in the map any more.
func (c *call) addForwardingHeaders(to http.Header, values *headerValues) {
	if _, own := c.proxy.config.Protocol.(nativeProtocol); !own {
		return
	}
	scheme := "http"
	if c.r.TLS != nil {
		scheme = "https"
	}
	if c.peer.IsValid() {
		values.set(to, "X-Forwarded-For", appendList(to["X-Forwarded-For"], c.peer.String()))
		if earlier := to["Forwarded"]; len(earlier) > 0 {
			values.set(to, "Forwarded", appendList(earlier, "for="+forwardedNode(c.peer)+";proto="+scheme))
		}
	}
	if len(to["X-Forwarded-Proto"]) == 0 {
		values.set(to, "X-Forwarded-Proto", scheme)
	}
	if len(to["X-Forwarded-Host"]) == 0 {
		values.set(to, "X-Forwarded-Host", c.r.Host)
	}
}

// forwardedNode writes an address as RFC 7239 wants it.
func forwardedNode(address netip.Addr) string {
	if address.Is4() {
		return address.String()
	}
	return `"[` + address.String() + `]"`
}

func appendList(earlier []string, element string) string {
	if len(earlier) == 0 {
		return element
	}
	return strings.Join(earlier, ", ") + ", " + element
}

const maxRequestIDBytes = 128

// requestID keeps the id of the caller, so that logs of several systems can be
// joined, unless it is too long or could break a log line.
func (p *Proxy) requestID(r *http.Request) string {
	if id := p.config.Protocol.RequestID(r.Header); id != "" {
		return id
	}
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], rand.Uint64())
	binary.BigEndian.PutUint64(raw[8:], rand.Uint64())
	return hex.EncodeToString(raw[:])
}

func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' || id[i] == '"' || id[i] == '\\' {
			return false
		}
	}
	return true
}
