// Package requestpath finds paths of requests that a server could interpret differently from a
// gateway that matches routes. Package proxy refuses such requests.
package requestpath

import "strings"

// Unambiguous reports whether all servers interpret a decoded path alike. A
// segment of dots followed by a semicolon and parameters counts as a dot segment,
// because some servers remove the parameters first.
func Unambiguous(path string) bool {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return false
	}
	for i := range len(path) {
		if path[i] < ' ' || path[i] == 0x7f || path[i] == '\\' {
			return false
		}
	}
	for rest != "" {
		segment, after, found := strings.Cut(rest, "/")
		name, _, _ := strings.Cut(segment, ";")
		if name == "" || name == "." || name == ".." {
			return false
		}
		if !found {
			break
		}
		rest = after
	}
	return true
}

// HasEncodedSeparator reports whether a path contains an encoded separator or, if
// includeDots is set, an encoded dot. An encoded slash in the raw path becomes a
// separator when it is decoded. One that is still encoded in the decoded path was
// encoded twice, and some servers decode twice.
func HasEncodedSeparator(path string, includeDots bool) bool {
	for {
		_, rest, found := strings.Cut(path, "%")
		if !found {
			return false
		}
		if len(rest) >= 2 && isSeparatorCode(rest[0], rest[1]|0x20, includeDots) {
			return true
		}
		path = rest
	}
}

// isSeparatorCode reports whether two hexadecimal digits encode a slash, a backslash
// or, if includeDots is set, a dot.
func isSeparatorCode(high, low byte, includeDots bool) bool {
	return high == '2' && (low == 'f' || includeDots && low == 'e') || high == '5' && low == 'c'
}
