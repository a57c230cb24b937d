package proxy

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
)

// trustsPeer reports whether the peer is a trusted proxy, whose forwarding headers
// are kept.
func (p *Proxy) trustsPeer(peer netip.Addr) bool {
	for _, prefix := range p.config.TrustedProxies {
		if prefix.Contains(peer) {
			return true
		}
	}
	return false
}

func peerAddress(remoteAddr string) (netip.Addr, bool) {
	addressPort, err := netip.ParseAddrPort(remoteAddr)
	if err != nil {
		return netip.Addr{}, false
	}
	return addressPort.Addr().Unmap().WithZone(""), true
}

// addForwardingHeaders appends the peer to X-Forwarded-For, and to Forwarded if a
// trusted proxy sent it. Only the default protocol has these headers. outgoingHeader has already
// removed the forwarding headers of untrusted peers. The gateway that handed off a call has added
// those of its caller.
func (c *call) addForwardingHeaders(to http.Header, values *valueArena) {
	if _, isDefault := c.proxy.config.Protocol.(defaultProtocol); !isDefault || c.received != nil {
		return
	}
	scheme := "http"
	if c.r.TLS != nil {
		scheme = "https"
	}
	if c.peer.IsValid() {
		values.set(to, "X-Forwarded-For", appendListElement(to["X-Forwarded-For"], c.peer.String()))
		if earlier := to["Forwarded"]; len(earlier) > 0 {
			values.set(to, "Forwarded", appendListElement(earlier, "for="+forwardedNode(c.peer)+";proto="+scheme))
		}
	}
	if len(to["X-Forwarded-Proto"]) == 0 {
		values.set(to, "X-Forwarded-Proto", scheme)
	}
	if len(to["X-Forwarded-Host"]) == 0 {
		values.set(to, "X-Forwarded-Host", c.r.Host)
	}
}

// forwardedNode formats an address as a node identifier of RFC 7239.
func forwardedNode(address netip.Addr) string {
	if address.Is4() {
		return address.String()
	}
	return `"[` + address.String() + `]"`
}

func appendListElement(earlier []string, element string) string {
	if len(earlier) == 0 {
		return element
	}
	return strings.Join(earlier, ", ") + ", " + element
}

const maxRequestIDBytes = 128

// requestID returns the caller's request ID, so that the logs of several systems can
// be correlated. It generates one if the caller sent none, or one that is too long or
// contains characters that are unsafe in a log line.
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
