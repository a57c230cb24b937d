package settings

import (
	"net/netip"

	"github.com/rotisserie/eris"
)

// ParsePrefixes parses the address ranges of Traffic.TrustedProxies.
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
